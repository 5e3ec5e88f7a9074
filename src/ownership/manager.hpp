/// @file
/// Decides and records which workers this node owns.
#pragma once

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/loop/event_loop.hpp"
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

/// What a node knows about a VM's owner.
struct KnownOwner {
  VmName vm;
  OwnershipRow row;
  /// Version of the table's row. Absent for an epoch that a worker granted
  /// and the table does not have yet.
  std::optional<RowVersion> version;
};

struct ManagerOptions {
  NodeId node;
  Incarnation incarnation;
  DataCenter data_center;
  LeaseOptions lease;
  Milliseconds tick{200};
  /// Period of the small read that shows whether the table answers and reads
  /// the rows known to be out of date.
  Milliseconds refresh{500};
  /// Period of the read of all rows. Peers push every change, so it only
  /// finds what a lost push left out.
  Milliseconds full_refresh{30'000};
  /// A write without result for this long no longer holds back a claim that
  /// the worker grants.
  Milliseconds write_patience{500};
  /// After a failed write the table counts as down for this long.
  Milliseconds write_retry{1'000};
  /// Time between the first claims of a worker whose lease has not run out.
  Milliseconds lease_held_retry{300};
  Milliseconds vm_list_period{1'000};
  /// Owners that were never heard of count as gone after this time.
  Milliseconds unheard_is_gone{3'000};
  /// Workers handed to another node per second while both nodes stay.
  double moves_per_second = 4;
  /// Whether a worker may grant a claim that the table has not recorded.
  bool claim_without_table = true;
  /// A node that does not serve yet takes no workers; empty means ready.
  std::function<bool()> is_ready;
  /// Whether the node refuses requests because it hears neither the table nor
  /// a peer. It then claims nothing and others may claim its workers. Empty
  /// means never.
  std::function<bool()> is_isolated;
};

struct ManagerCounters {
  std::uint64_t claims = 0;
  std::uint64_t claims_refused = 0;
  std::uint64_t grants = 0;  ///< Claims that a worker granted by itself.
  std::uint64_t reads = 0;
  std::uint64_t row_conflicts = 0;
};

/// Control client and request connections of one worker.
struct WorkerLink {
  std::function<std::unique_ptr<Worker>()> make_control;
  std::shared_ptr<net::HttpClientPool> requests;
};
using LinkFactory = std::function<WorkerLink(const VmInfo&)>;

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

  /// Hands all workers to other nodes; `done` is called when none is left or
  /// after `limit`.
  void HandOverAll(Milliseconds limit, std::function<void()> done);

  /// Workers that this node owns and has claimed.
  [[nodiscard]] const std::vector<std::shared_ptr<OwnedWorker>>& owned()
      const noexcept {
    return owned_;
  }
  [[nodiscard]] std::shared_ptr<OwnedWorker> FindOwned(const VmName& vm) const;
  /// What is known about each VM's owner, for peers.
  [[nodiscard]] std::vector<KnownOwner> Rows() const;
  /// Takes what a peer knows: pushed changes, and everything for a node that
  /// starts without the table.
  void AdoptRows(const std::vector<KnownOwner>& rows);
  [[nodiscard]] std::vector<VmInfo> Vms() const;
  /// Takes a peer's VMs while the VM list has never answered.
  void AdoptVms(const std::vector<VmInfo>& vms);
  /// True until both the table and the VM list have answered once.
  [[nodiscard]] bool needs_peers() const noexcept {
    return !rows_loaded_ || !vms_loaded_;
  }

  /// Emitted when this node changed a row or was granted a worker.
  sigc::signal<void(const KnownOwner&)>& owner_changed() noexcept {
    return owner_changed_;
  }
  [[nodiscard]] const ManagerCounters& counters() const noexcept {
    return counters_;
  }

  /// Emitted when a slot became free on any owned worker.
  sigc::signal<void()>& slot_free() noexcept { return slot_free_; }

 private:
  struct Entry;
  using EntryPtr = std::shared_ptr<Entry>;

  void Tick();

  // Table rows and the VM list.
  void RefreshRows();
  void ReadStaleRows();
  void ReadAllRows(const std::string& after, MonotonicTime begun);
  bool OnRead(const Result<std::vector<Row>>& rows);
  void TakeRows(const std::vector<Row>& rows);
  void RefreshVms();
  void OnVms(const std::vector<VmInfo>& vms);
  void AddVm(const VmInfo& vm);
  /// Writes the row of `entry` under the condition of its last version.
  void WriteRow(Entry& entry, OwnershipRow row);
  void OnWritten(const EntryPtr& entry, const OwnershipRow& row,
                 const table::WriteResult& result);

  // Decisions.
  void Consider(Entry& entry);
  void ConsiderHeld(Entry& entry);
  void ConsiderHandOver(Entry& entry);
  void TakeOver(Entry& entry);
  void Claim(Entry& entry, Epoch epoch, ClaimBasis basis);
  void OnClaimed(Entry& entry, Epoch epoch, ClaimBasis basis,
                 const Result<WorkerReport>& report);
  void OnRefused(Entry& entry, Epoch epoch, const Error& error);
  void Own(Entry& entry, Epoch epoch, const WorkerReport& report);
  void OnWorkerLost(const EntryPtr& entry);
  /// Reports the end of HandOverAll when no worker or no successor is left.
  void FinishHandOver();
  void DropWorker(Entry& entry);
  void RebuildOwned();
  void Backoff(Entry& entry);
  void Announce(const Entry& entry, const OwnershipRow& row, bool recorded);
  /// True when the owner has certainly ended or there never was one.
  [[nodiscard]] bool OwnerIsReplaced(const OwnershipRow& row) const;
  /// True when the owner was not heard for long; it may still live.
  [[nodiscard]] bool OwnerIsSilent(const OwnershipRow& row) const;
  /// True when the owner stops and cannot hand over through the table.
  [[nodiscard]] bool OwnerYields(const Entry& entry) const;
  [[nodiscard]] bool OwnerIsGone(const OwnershipRow& row) const;
  [[nodiscard]] bool IsIsolated() const;
  /// Whether peers and the table had time to be heard since the start.
  [[nodiscard]] bool HadTimeToHear() const;
  [[nodiscard]] bool IsSelf(const OwnershipRow& row) const;
  [[nodiscard]] bool IsCurrent(const Entry& entry) const;
  /// Whether a decision about this worker can go through the table now.
  [[nodiscard]] bool TableDecides(const Entry& entry) const;
  [[nodiscard]] const NodeId& Propose(Entry& entry) const;
  [[nodiscard]] bool TakeMoveBudget();

  base::EventLoop& loop_;
  ManagerOptions options_;
  Table& table_;
  table::Writer& writer_;
  VmList& vm_list_;
  membership::Membership& membership_;
  const config::Store& store_;
  LinkFactory make_link_;
  /// Owner named in fences. It includes the incarnation: a node that restarts
  /// under the same name must not share an epoch with its paused predecessor.
  NodeId fence_owner_;
  std::map<VmName, EntryPtr> entries_;
  std::vector<std::shared_ptr<OwnedWorker>> owned_;
  bool rows_loaded_ = false;
  bool vms_loaded_ = false;
  bool table_answers_ = false;
  MonotonicTime full_read_at_{0};
  MonotonicTime writes_fail_until_{0};
  /// Changes with the membership; proposals are kept until then.
  std::uint64_t view_version_ = 1;
  ManagerCounters counters_;
  bool reading_rows_ = false;
  bool reading_vms_ = false;
  bool leaving_ = false;
  bool ready_ = false;
  double move_budget_ = 0;
  MonotonicTime move_budget_time_{0};
  std::function<void()> handed_over_;
  base::Timer tick_timer_;
  base::Timer refresh_timer_;
  base::Timer vm_timer_;
  base::Timer leave_timer_;
  sigc::signal<void()> slot_free_;
  sigc::signal<void(const KnownOwner&)> owner_changed_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::ownership
