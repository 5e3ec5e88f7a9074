/// @file
/// State of one VM in the ownership manager.
#pragma once

#include <memory>
#include <optional>

#include "ownership/manager.hpp"

namespace mangospread::ownership {

struct Manager::Entry : std::enable_shared_from_this<Manager::Entry> {
  /// The owner with the highest known epoch, recorded in the table or not.
  [[nodiscard]] const OwnershipRow& latest() const noexcept {
    return grant.epoch > row.epoch ? grant : row;
  }

  VmInfo vm;
  /// The VM is in the VM list as last read, or was added from a peer.
  bool listed = true;
  MonotonicTime added_at{0};
  /// The row in the table as last read, written or received from a peer.
  OwnershipRow row;
  /// Version of that row; absent until the row is known.
  std::optional<RowVersion> row_version;
  /// The row in the table may have changed since, so it is read again.
  bool stale = false;
  MonotonicTime written_at{0};  ///< When this node last committed the row.
  /// The highest epoch that the worker is known to have granted without a table
  /// record; the node is empty when only the epoch is known.
  OwnershipRow grant;
  /// Epoch under which this node last owned the worker.
  Epoch last_owned_epoch;
  WorkerLink link;
  std::shared_ptr<Worker> claim_client;
  std::shared_ptr<OwnedWorker> worker;
  bool writing = false;
  MonotonicTime write_started_at{0};
  bool claiming = false;
  /// Consecutive failed claims and writes, for the backoff.
  int failures = 0;
  /// Consecutive claims refused because the lease had not expired.
  int lease_held_refusals = 0;
  MonotonicTime retry_at{0};  ///< Tick starts no step before.
  NodeId proposed_owner;
  std::uint64_t proposal_view_version = 0;
};

}  // namespace mangospread::ownership
