/// @file
/// Claims workers for this node and records their owners in the table.
#pragma once

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "base/token_bucket.hpp"
#include "config/store.hpp"
#include "mangospread/platform/table.hpp"
#include "mangospread/platform/vm.hpp"
#include "membership/membership.hpp"
#include "ownership/owned_worker.hpp"
#include "table/writer.hpp"

namespace mangospread::ownership {

/// Value of an own/<vm> row.
struct OwnershipRow {
  NodeId node;
  Incarnation incarnation;
  Epoch epoch;
};

/// A VM's owner in the view of one node.
struct KnownOwner {
  VmName vm;
  OwnershipRow row;
  /// Version of the row in the table. Absent for an epoch that a worker has
  /// granted and that is not recorded in the table yet.
  std::optional<RowVersion> version;
};

struct ManagerOptions {
  NodeId node;
  Incarnation incarnation;
  DataCenter data_center;
  LeaseOptions lease;
  Milliseconds tick_period{200};
  /// Period of the small read that checks whether the table responds and
  /// updates the rows known to be stale.
  Milliseconds refresh_period{500};
  /// Period of the read of all rows. Peers push every change, so it only
  /// recovers changes whose push was lost.
  Milliseconds full_refresh_period{30'000};
  /// A write without a result for this long no longer delays a claim that the
  /// worker grants without a table record.
  Milliseconds max_write_wait{500};
  /// The table counts as unavailable for this long after a failed write.
  Milliseconds write_retry_delay{1'000};
  /// Delay between the first claims of a worker whose lease has not expired.
  Milliseconds lease_held_retry_delay{300};
  Milliseconds vm_list_period{1'000};
  /// Time after the start from which an owner without any heartbeat counts as
  /// unreachable.
  Milliseconds discovery_period{3'000};
  /// Maximum number of workers per second that are handed over to other nodes,
  /// unless this node is stopping.
  double max_moves_per_second = 4;
  /// Whether a worker may grant a claim that is not recorded in the table.
  bool claim_without_table = true;
  /// Whether this node serves requests; until then no worker is assigned to it.
  /// Empty means ready.
  std::function<bool()> is_ready;
  /// Whether this node refuses requests because neither the table nor a peer
  /// responds. It then claims no workers, and other nodes may claim those that
  /// it owns. Empty means never.
  std::function<bool()> is_isolated;
};

struct ManagerCounters {
  std::uint64_t claims = 0;
  std::uint64_t claims_refused = 0;
  /// Claims that a worker granted without a table record.
  std::uint64_t grants = 0;
  std::uint64_t reads = 0;  ///< Reads of the table.
  /// Writes rejected because another node had changed the row.
  std::uint64_t row_conflicts = 0;
};

/// Clients of one worker: for its control interface and for requests.
struct WorkerLink {
  std::function<std::unique_ptr<Worker>()> make_control;
  std::shared_ptr<net::HttpClientPool> requests;
};
using LinkFactory = std::function<WorkerLink(const VmInfo&)>;

/// Claims the workers that rendezvous hashing assigns to this node, renews
/// their leases and hands them over when the assignment changes. Owners are
/// recorded in the table by compare-and-set; a worker fences off former owners
/// by epoch.
class Manager {
 public:
  Manager(base::EventLoop& loop, ManagerOptions options, Table& table,
          table::Writer& writer, VmList& vm_list,
          membership::Membership& membership, const config::Store& store,
          LinkFactory make_link);
  ~Manager();
  Manager(const Manager&) = delete;
  Manager& operator=(const Manager&) = delete;

  void Start();

  /// Hands all workers over to other nodes. `done` is called when no worker or
  /// no ready successor is left, or after `limit`.
  void HandOverAll(Milliseconds limit, std::function<void()> done);

  /// Workers that this node has claimed and owns.
  [[nodiscard]] const std::vector<std::shared_ptr<OwnedWorker>>& owned()
      const noexcept {
    return owned_;
  }
  [[nodiscard]] std::shared_ptr<OwnedWorker> FindOwned(const VmName& vm) const;
  /// Owners of all VMs in the view of this node, to be sent to peers.
  [[nodiscard]] std::vector<KnownOwner> Rows() const;
  /// Merges the owners in a peer's view: single changes that the peer pushed,
  /// or all owners for a node that starts without the table.
  void AdoptRows(const std::vector<KnownOwner>& rows);
  [[nodiscard]] std::vector<VmInfo> Vms() const;
  /// Adds the VMs that a peer knows. Does nothing once the VM list has been
  /// read.
  void AdoptVms(const std::vector<VmInfo>& vms);
  /// True until both the table and the VM list have been read once.
  [[nodiscard]] bool needs_peers() const noexcept {
    return !rows_loaded_ || !vms_loaded_;
  }

  /// Emitted when this node has written a row or been granted a worker.
  sigc::signal<void(const KnownOwner&)>& owner_changed() noexcept {
    return owner_changed_;
  }
  [[nodiscard]] const ManagerCounters& counters() const noexcept {
    return counters_;
  }

  /// Emitted when a slot of any owned worker has become free.
  sigc::signal<void()>& slot_free() noexcept { return slot_free_; }

 private:
  struct Entry;
  using EntryPtr = std::shared_ptr<Entry>;

  void Tick();

  // Table rows and the VM list.
  void RefreshRows();
  void ReadStaleRows();
  /// Reads the rows after the key `after` page by page; `read_at` is the start
  /// of the whole read.
  void ReadAllRows(const std::string& after, MonotonicTime read_at);
  /// Records whether the table responds and returns it.
  bool RecordReadResult(const Result<std::vector<Row>>& rows);
  void ApplyRows(const std::vector<Row>& rows);
  void RefreshVms();
  void OnVms(const std::vector<VmInfo>& vms);
  void AddVm(const VmInfo& vm);
  /// Writes the row of `entry` if its last known version is still current.
  void WriteRow(Entry& entry, OwnershipRow row);
  void OnWritten(const EntryPtr& entry, const OwnershipRow& row,
                 const table::WriteResult& result);

  // Ownership decisions.
  /// Starts the next step for a VM, if one is due: a claim or a write of its
  /// row.
  void Reconcile(Entry& entry);
  /// Reconcile for a worker that this node owns.
  void ReconcileOwned(Entry& entry);
  /// Writes the proposed owner into the row if it is another node.
  void MaybeHandOver(Entry& entry);
  /// Writes this node into the row, with an epoch above all known ones.
  void TakeOver(Entry& entry);
  void Claim(Entry& entry, Epoch epoch, ClaimBasis basis);
  void OnClaimed(Entry& entry, Epoch epoch, ClaimBasis basis,
                 const Result<WorkerReport>& report);
  void OnRefused(Entry& entry, Epoch epoch, const Error& error);
  void AddOwnedWorker(Entry& entry, Epoch epoch, const WorkerReport& report);
  void OnWorkerLost(const EntryPtr& entry);
  /// Completes HandOverAll when no worker or no ready successor is left.
  void FinishHandOver();
  void RemoveOwnedWorker(Entry& entry);
  void RebuildOwned();
  void ScheduleRetry(Entry& entry);
  /// Emits owner_changed.
  /// @param recorded true if the table has `row`; its version is then passed
  /// on.
  void Announce(const Entry& entry, const OwnershipRow& row, bool recorded);
  /// True when there never was an owner, or when the owner is a former
  /// incarnation of its node or has the name of this node.
  [[nodiscard]] bool OwnerIsReplaced(const OwnershipRow& row) const;
  /// True when the owner's node is not known or its heartbeats are missing; the
  /// owner may still be running.
  [[nodiscard]] bool OwnerIsUnreachable(const OwnershipRow& row) const;
  /// True when the owner is stopping and cannot hand over through the table.
  [[nodiscard]] bool OwnerIsYielding(const Entry& entry) const;
  [[nodiscard]] bool OwnerIsUnavailable(const OwnershipRow& row) const;
  [[nodiscard]] bool IsIsolated() const;
  /// Whether peers and the table have had time to respond since the start.
  [[nodiscard]] bool DiscoveryPeriodElapsed() const;
  [[nodiscard]] bool IsSelf(const OwnershipRow& row) const;
  /// False once the entry has been removed or replaced.
  [[nodiscard]] bool IsCurrent(const Entry& entry) const;
  /// Whether a decision about the worker can be made through the table now.
  [[nodiscard]] bool CanUseTable(const Entry& entry) const;
  /// The owner proposed by rendezvous hashing, cached until view_version_
  /// changes. Empty when no node is ready.
  [[nodiscard]] const NodeId& Propose(Entry& entry) const;
  /// @return false when max_moves_per_second allows no hand-over now.
  [[nodiscard]] bool ConsumeMoveBudget();

  base::EventLoop& loop_;
  ManagerOptions options_;
  Table& table_;
  table::Writer& writer_;
  VmList& vm_list_;
  membership::Membership& membership_;
  const config::Store& store_;
  LinkFactory make_link_;
  /// Owner in fencing tokens. It includes the incarnation: a node that restarts
  /// under the same name must not share an epoch with its paused predecessor.
  NodeId fence_owner_;
  std::map<VmName, EntryPtr> entries_;
  std::vector<std::shared_ptr<OwnedWorker>> owned_;
  bool rows_loaded_ = false;
  bool vms_loaded_ = false;
  bool table_reachable_ = false;
  MonotonicTime next_full_read_at_{0};
  MonotonicTime writes_suspended_until_{0};
  /// Incremented when the membership changes, or when this node becomes ready,
  /// stops being ready or leaves; a cached proposal is valid for one version.
  std::uint64_t view_version_ = 1;
  ManagerCounters counters_;
  bool reading_rows_ = false;
  bool reading_vms_ = false;
  bool leaving_ = false;
  bool ready_ = false;
  base::TokenBucket move_budget_{0, MonotonicTime{0}};
  std::function<void()> on_handed_over_;
  base::Timer tick_timer_;
  base::Timer refresh_timer_;
  base::Timer vm_list_timer_;
  base::Timer hand_over_timer_;
  sigc::signal<void()> slot_free_;
  sigc::signal<void(const KnownOwner&)> owner_changed_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::ownership
