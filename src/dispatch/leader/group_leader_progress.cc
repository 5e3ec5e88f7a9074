// How the progress of submissions is stored.
#include <limits>
#include <utility>

#include "dispatch/leader/group_leader.hpp"

namespace mangospread::dispatch {
namespace {

using table::WriteStatus;

/// Most rows and most bytes of their values that are written at once. With the
/// conditions and the writer's own row they fit into one transaction.
constexpr std::size_t kMaxRowsPerChange = 90;
constexpr std::size_t kMaxBytesPerChange = 600'000;

std::size_t SizeOf(const ProgressWrite& write) {
  return write.write.value ? write.write.value->size() : 0;
}

}  // namespace

struct GroupLeader::ProgressSave {
  SubmissionId id;
  std::uint64_t generation = 0;
  bool is_final = false;
  std::vector<ProgressWrite> writes;
  std::size_t next = 0;  ///< The first one that was not sent yet.
};

std::vector<ProgressWrite> GroupLeader::PlanSave(const SubmissionId& id,
                                                 ProgressRow& row) {
  const auto stored = progress_rows_.find(id);
  const FurtherProgressRows none;
  const FurtherProgressRows& further =
      stored == progress_rows_.end() ? none : stored->second;
  row = {dispatcher_->Queue(id), dispatcher_->Progress(id)};
  auto writes = PlanProgressWrites(id, row, further, options_.row_bytes);
  if (writes.ok()) return std::move(writes.value());
  // Was accepted by a version that did not refuse it.
  dispatcher_->Fail(id, "progress_too_large");
  row.progress = dispatcher_->Progress(id);
  constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  return std::move(PlanProgressWrites(id, row, further, kUnlimited).value());
}

void GroupLeader::Save(const SubmissionId& id) {
  ProgressRow row;
  auto save = std::make_shared<ProgressSave>();
  save->id = id;
  save->writes = PlanSave(id, row);
  save->generation = dispatcher_->Generation(id);
  save->is_final = IsFinal(row.progress.state);
  if (save->is_final) {
    save->writes.push_back(
        {{kJobPrefix + id.str(), std::nullopt}, std::nullopt, 0, std::nullopt});
  }
  saving_.insert(id);
  SendNextRows(std::move(save));
}

void GroupLeader::SendNextRows(std::shared_ptr<ProgressSave> save) {
  Transaction change = LeaderTransaction();
  const std::size_t first = save->next;
  std::size_t bytes = 0;
  while (save->next < save->writes.size() &&
         save->next - first < kMaxRowsPerChange) {
    const ProgressWrite& write = save->writes[save->next];
    bytes += SizeOf(write);
    if (save->next > first && bytes > kMaxBytesPerChange) break;
    change.writes.push_back(write.write);
    ++save->next;
  }
  writer_.Submit(std::move(change), [this, save = std::move(save),
                                     first](const table::WriteResult& result) {
    if (result.status == WriteStatus::kCommitted) NoteRows(*save, first);
    OnRowsSent(save, result);
  });
}

void GroupLeader::NoteRows(const ProgressSave& save, std::size_t first) {
  FurtherProgressRows& stored = progress_rows_[save.id];
  for (std::size_t i = first; i < save.next; ++i) {
    NoteCommitted(save.writes[i], stored);
  }
  if (save.next == save.writes.size()) stored.parts = 0;
  if (stored.empty()) progress_rows_.erase(save.id);
}

void GroupLeader::OnRowsSent(const std::shared_ptr<ProgressSave>& save,
                             const table::WriteResult& result) {
  const bool complete = save->next == save->writes.size();
  if (complete || result.status != WriteStatus::kCommitted) {
    return OnSaved(save->id, save->generation, result);
  }
  // What else there is to store of a cancelled submission is not needed.
  if (cancelling_callbacks_.contains(save->id)) {
    saving_.erase(save->id);
    return MarkDirty(save->id);
  }
  SendNextRows(save);
}

bool GroupLeader::RemoveBlocks(const EndedSubmission& ended) {
  const auto stored = progress_rows_.find(ended.id);
  if (stored == progress_rows_.end() || stored->second.blocks.empty()) {
    return false;
  }
  Transaction change = LeaderTransaction();
  std::vector<int> removed;
  for (const auto& [block, digest] : stored->second.blocks) {
    if (removed.size() == kMaxRowsPerChange) break;
    change.writes.push_back({ProgressBlockKey(ended.id, block), std::nullopt});
    removed.push_back(block);
  }
  writer_.Submit(std::move(change), [this, ended, removed = std::move(removed)](
                                        const table::WriteResult& result) {
    if (CheckConflict(result)) return;
    ended_.push_back(ended);
    if (result.status != WriteStatus::kCommitted) return;
    auto& blocks = progress_rows_[ended.id].blocks;
    for (const int block : removed) blocks.erase(block);
  });
  return true;
}

void GroupLeader::RemoveProgress(const EndedSubmission& ended) {
  if (deferred_calls_.Contains(ended.id)) return ended_.push_back(ended);
  // The first row goes last: it tells the next leader that the others are to
  // be removed.
  if (RemoveBlocks(ended)) return;
  Transaction change = LeaderTransaction();
  change.writes.push_back({ProgressKey(ended.id, 0), std::nullopt});
  const auto stored = progress_rows_.find(ended.id);
  const int parts = stored == progress_rows_.end() ? 0 : stored->second.parts;
  for (int part = 1; part <= parts; ++part) {
    change.writes.push_back({ProgressKey(ended.id, part), std::nullopt});
  }
  if (unsubmitted_.contains(ended.id)) deferred_calls_.Begin(ended.id, 0);
  writer_.Submit(std::move(change),
                 [this, ended](const table::WriteResult& result) {
                   if (result.status == WriteStatus::kCommitted) {
                     dispatcher_->Discard(ended.id);
                     progress_rows_.erase(ended.id);
                     unsubmitted_.erase(ended.id);
                   } else {
                     ended_.push_back(ended);
                   }
                   Settle(ended.id, result);
                 });
}

}  // namespace mangospread::dispatch
