/// @file
/// What the ownership manager keeps for one VM.
#pragma once

#include <memory>
#include <optional>

#include "ownership/manager.hpp"

namespace mangospread::ownership {

struct Manager::Entry : std::enable_shared_from_this<Manager::Entry> {
  /// The owner with the highest epoch known, recorded in the table or not.
  [[nodiscard]] const OwnershipRow& latest() const noexcept {
    return grant.epoch > row.epoch ? grant : row;
  }

  VmInfo vm;
  bool listed = true;
  MonotonicTime added_at{0};
  /// The table's row as last read, written or told by a peer.
  OwnershipRow row;
  /// Version of that row; absent while the row is not known at all.
  std::optional<RowVersion> row_version;
  /// The row in the table may be another one by now.
  bool stale = false;
  MonotonicTime written_at{0};
  /// The highest epoch known to be granted by the worker beyond the table's;
  /// its node is empty when only the epoch is known.
  OwnershipRow grant;
  /// Epoch with which this node held the worker last.
  Epoch last_held;
  WorkerLink link;
  std::shared_ptr<Worker> claimant;
  std::shared_ptr<OwnedWorker> worker;
  bool writing = false;
  MonotonicTime writing_since{0};
  bool claiming = false;
  int failures = 0;
  /// Claims in a row that were refused because the lease was held.
  int lease_refusals = 0;
  MonotonicTime retry_at{0};
  NodeId proposed;
  std::uint64_t proposed_in = 0;
};

}  // namespace mangospread::ownership
