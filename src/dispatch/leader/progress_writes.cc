#include "dispatch/leader/progress_writes.hpp"

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <utility>

namespace mangospread::dispatch {
namespace {

using TaskSpan = std::span<const TaskProgress>;

/// The tasks by block.
std::map<int, TaskSpan> DivideIntoBlocks(TaskSpan tasks) {
  std::map<int, TaskSpan> blocks;
  const auto block_of = [&tasks](std::size_t index) {
    return tasks[index].position / kTasksPerBlock;
  };
  for (std::size_t first = 0; first < tasks.size();) {
    std::size_t end = first + 1;
    while (end < tasks.size() && block_of(end) == block_of(first)) ++end;
    blocks.emplace(block_of(first), tasks.subspan(first, end - first));
    first = end;
  }
  return blocks;
}

/// Writes of the blocks that differ from their stored rows, and removals of
/// those of which nothing is left.
std::vector<ProgressWrite> PlanBlocks(const SubmissionId& id, TaskSpan tasks,
                                      const FurtherProgressRows& stored,
                                      std::size_t max_bytes) {
  std::vector<ProgressWrite> writes;
  const std::map<int, TaskSpan> blocks = DivideIntoBlocks(tasks);
  for (const auto& [block, tasks_of_block] : blocks) {
    const std::uint64_t digest = BlockDigest(tasks_of_block);
    const auto row = stored.blocks.find(block);
    if (row != stored.blocks.end() && row->second == digest) continue;
    writes.push_back({{ProgressBlockKey(id, block),
                       EncodeProgressBlock(tasks_of_block, max_bytes)},
                      block,
                      digest,
                      std::nullopt});
  }
  for (const auto& [block, digest] : stored.blocks) {
    if (blocks.contains(block)) continue;
    writes.push_back(
        {{ProgressBlockKey(id, block), std::nullopt}, block, 0, std::nullopt});
  }
  return writes;
}

}  // namespace

Result<std::vector<ProgressWrite>> PlanProgressWrites(
    const SubmissionId& id, const ProgressRow& row,
    const FurtherProgressRows& stored, std::size_t max_bytes) {
  auto first = EncodeProgressRow(row, max_bytes);
  const bool blocked = !first.ok();
  std::vector<ProgressWrite> writes;
  if (blocked) {
    first = EncodeBlockedProgressRow(row, max_bytes);
    if (!first.ok()) return first.error();
    writes = PlanBlocks(id, row.progress.tasks, stored, max_bytes);
  }
  ProgressWrite first_write{
      {ProgressKey(id, 0), std::move(first.value())}, std::nullopt, 0, blocked};
  // A first row that holds the tasks itself is replaced once the blocks are
  // complete. Otherwise it goes first: a block leaves out what is known of a
  // task that is done.
  const bool goes_last = blocked && !stored.blocked;
  writes.insert(goes_last ? writes.end() : writes.begin(),
                std::move(first_write));
  for (int part = 1; part <= stored.parts; ++part) {
    writes.push_back(
        {{ProgressKey(id, part), std::nullopt}, std::nullopt, 0, std::nullopt});
  }
  return writes;
}

void NoteCommitted(const ProgressWrite& write, FurtherProgressRows& stored) {
  if (write.blocked) stored.blocked = *write.blocked;
  if (!write.block) return;
  if (write.write.value) {
    stored.blocks[*write.block] = write.digest;
  } else {
    stored.blocks.erase(*write.block);
  }
}

}  // namespace mangospread::dispatch
