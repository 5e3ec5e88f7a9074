/// @file
/// The writes that bring the stored progress of a submission up to date.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "dispatch/leader/job_rows.hpp"
#include "mangospread/platform/table.hpp"

namespace mangospread::dispatch {

/// One row to write or to remove.
struct ProgressWrite {
  Write write;
  /// The block whose row it is; nullopt for other rows.
  std::optional<int> block;
  std::uint64_t digest = 0;  ///< Of the block, if its row is written.
  /// Set for the first row: whether it says that the rows of the blocks hold.
  std::optional<bool> blocked;
};

/// Returns the writes in the order in which they have to be committed; they may
/// be divided over several transactions. After each of them the stored rows
/// describe every task as it was before or as it is now: progress that has been
/// acknowledged is never missing.
///
/// Rows of blocks that are as stored are left out. Rows that the first one does
/// not refer to any more stay until the submission ends or needs them again.
/// @param max_bytes most bytes of a row.
/// @errors kTooLarge if the tasks that are done do not fit into the first row.
[[nodiscard]] Result<std::vector<ProgressWrite>> PlanProgressWrites(
    const SubmissionId& id, const ProgressRow& row,
    const FurtherProgressRows& stored, std::size_t max_bytes);

/// Notes that a write is committed.
void NoteCommitted(const ProgressWrite& write, FurtherProgressRows& stored);

}  // namespace mangospread::dispatch
