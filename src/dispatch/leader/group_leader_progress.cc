#include <limits>
#include <utility>

#include "dispatch/leader/group_leader.hpp"

namespace mangospread::dispatch {

std::vector<std::string> GroupLeader::EncodeProgress(const SubmissionId& id,
                                                     ProgressRow& row) {
  row = {dispatcher_->Queue(id), dispatcher_->Progress(id)};
  auto rows = EncodeProgressRows(row, options_.row_bytes);
  if (rows.ok()) return std::move(rows.value());
  dispatcher_->Fail(id, "progress_too_large");
  row.progress = dispatcher_->Progress(id);
  constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  return std::move(EncodeProgressRows(row, kUnlimited).value());
}

void GroupLeader::RemoveProgressParts(const SubmissionId& id, int from,
                                      Transaction& change) const {
  const auto stored = progress_parts_.find(id);
  if (stored == progress_parts_.end()) return;
  for (int part = from; part <= stored->second; ++part) {
    change.writes.push_back({ProgressKey(id, part), std::nullopt});
  }
}

void GroupLeader::Save(const SubmissionId& id) {
  ProgressRow row;
  std::vector<std::string> rows = EncodeProgress(id, row);
  const std::uint64_t generation = dispatcher_->Generation(id);
  const auto further = static_cast<int>(rows.size()) - 1;
  Transaction change = LeaderTransaction();
  for (int part = 0; part <= further; ++part) {
    change.writes.push_back({ProgressKey(id, part),
                             std::move(rows[static_cast<std::size_t>(part)])});
  }
  RemoveProgressParts(id, further + 1, change);
  if (IsFinal(row.progress.state)) {
    change.writes.push_back({kJobPrefix + id.str(), std::nullopt});
  }
  saving_.insert(id);
  writer_.Submit(std::move(change), [this, id, generation, further](
                                        const table::WriteResult& result) {
    if (result.status == table::WriteStatus::kCommitted) {
      progress_parts_.erase(id);
      if (further > 0) progress_parts_.emplace(id, further);
    }
    OnSaved(id, generation, result);
  });
}

}  // namespace mangospread::dispatch
