#include "dispatch/leader/idle_submissions.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace mangospread::dispatch {
namespace {

/// True if one of the tasks could run. Before a takeover has ended, neither the
/// runs nor the free capacity are known.
bool CouldRun(const WaitingTasks& tasks) {
  return !MayHaveProcess(tasks.wait.reason) &&
         tasks.wait.reason != WaitReason::kTakeover && tasks.capacity &&
         tasks.capacity->fits >= IdleSubmissions::kMinFits &&
         tasks.capacity->reserved < IdleSubmissions::kMaxReserved;
}

/// Order in which tasks stand for their submission.
auto Rank(const WaitingTasks& tasks) {
  return std::tuple(CouldRun(tasks), !MayHaveProcess(tasks.wait.reason),
                    tasks.wait.waited);
}

/// Keeps one entry for each submission.
std::vector<WaitingTasks> OneEach(std::vector<WaitingTasks> idle) {
  std::vector<WaitingTasks> chosen;
  for (WaitingTasks& tasks : idle) {
    if (chosen.empty() ||
        chosen.back().task.submission != tasks.task.submission) {
      chosen.push_back(std::move(tasks));
    } else if (Rank(chosen.back()) < Rank(tasks)) {
      chosen.back() = std::move(tasks);
    }
  }
  return chosen;
}

}  // namespace

std::vector<MonotonicTime> IdleSubmissions::RemoveEnded(
    const std::vector<WaitingTasks>& idle, MonotonicTime now) {
  std::set<SubmissionId> present;
  for (const WaitingTasks& tasks : idle) present.insert(tasks.task.submission);
  std::vector<MonotonicTime> ended;
  std::erase_if(idle_since_, [&](const auto& submission) {
    if (present.contains(submission.first)) return false;
    ended.push_back(now - submission.second);
    return true;
  });
  return ended;
}

IdleSubmissions::Lines IdleSubmissions::Update(std::vector<WaitingTasks> idle,
                                               MonotonicTime now) {
  Lines lines;
  lines.due = OneEach(std::move(idle));
  lines.ended = RemoveEnded(lines.due, now);
  counts_ = {};
  for (const WaitingTasks& tasks : lines.due) {
    ++counts_[static_cast<std::size_t>(tasks.wait.reason)];
    idle_since_.emplace(tasks.task.submission, now - *tasks.runs.idle);
  }
  std::erase_if(lines.due, [](const WaitingTasks& tasks) {
    return *tasks.runs.idle < kFirstLine || !CouldRun(tasks);
  });
  std::stable_sort(lines.due.begin(), lines.due.end(),
                   [&](const WaitingTasks& a, const WaitingTasks& b) {
                     return idle_since_.at(a.task.submission) <
                            idle_since_.at(b.task.submission);
                   });
  if (lines.due.size() > kMaxLines) {
    lines.left_out = lines.due.size() - kMaxLines;
    lines.due.erase(lines.due.begin() + kMaxLines, lines.due.end());
  }
  return lines;
}

}  // namespace mangospread::dispatch
