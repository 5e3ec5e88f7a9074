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

void IdleSubmissions::AddNew(std::vector<WaitingTasks>& idle, MonotonicTime now,
                             std::vector<MonotonicTime>& ended) {
  for (WaitingTasks& tasks : idle) {
    const MonotonicTime begin = std::max(now - *tasks.runs.idle, last_check_);
    auto [it, added] = idle_since_.emplace(tasks.task.submission, begin);
    if (!added && begin > last_check_) {
      // It ran since the last check.
      ended.push_back(begin - it->second);
      it->second = begin;
    }
    tasks.runs.idle = now - it->second;
  }
}

IdleSubmissions::Lines IdleSubmissions::Update(std::vector<WaitingTasks> idle,
                                               MonotonicTime now) {
  Lines lines;
  lines.due = OneEach(std::move(idle));
  lines.ended = RemoveEnded(lines.due, now);
  AddNew(lines.due, now, lines.ended);
  last_check_ = now;
  counts_ = {};
  for (const WaitingTasks& tasks : lines.due) {
    ++counts_[static_cast<std::size_t>(tasks.wait.reason)];
  }
  std::erase_if(lines.due, [this](const WaitingTasks& tasks) {
    if (logged_.contains(tasks.task.submission)) return false;
    return *tasks.runs.idle < kFirstLine || !CouldRun(tasks);
  });
  std::stable_sort(lines.due.begin(), lines.due.end(),
                   [](const WaitingTasks& a, const WaitingTasks& b) {
                     return *a.runs.idle > *b.runs.idle;
                   });
  if (lines.due.size() > kMaxLines) {
    lines.left_out = lines.due.size() - kMaxLines;
    lines.due.erase(lines.due.begin() + kMaxLines, lines.due.end());
  }
  logged_.clear();
  for (const WaitingTasks& tasks : lines.due) {
    if (CouldRun(tasks)) logged_.insert(tasks.task.submission);
  }
  return lines;
}

}  // namespace mangospread::dispatch
