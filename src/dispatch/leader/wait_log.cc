#include "dispatch/leader/wait_log.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace mangospread::dispatch {
namespace {

/// Lower goes first.
int Rank(const WaitingTasks& waiting) {
  if (WaitsAsPlanned(waiting.wait.reason)) return 2;
  return waiting.long_running ? 0 : 1;
}

}  // namespace

WaitLog::Key WaitLog::KeyOf(const WaitingTasks& waiting) {
  // These name the first step that waits, which changes as steps end.
  const int step = WaitsAsPlanned(waiting.wait.reason) ? 0 : waiting.index.step;
  return {waiting.task.submission, step, waiting.wait.reason};
}

MonotonicTime WaitLog::LastLine(const WaitingTasks& waiting) const {
  const auto it = last_lines_.find(KeyOf(waiting));
  return it == last_lines_.end() ? MonotonicTime(0) : it->second;
}

WaitLog::Lines WaitLog::Take(std::vector<WaitingTasks> waiting,
                             MonotonicTime now) {
  std::erase_if(waiting, [](const WaitingTasks& tasks) {
    return tasks.wait.waited < kFirstLine;
  });
  std::set<Key> present;
  for (const WaitingTasks& tasks : waiting) present.insert(KeyOf(tasks));
  std::erase_if(last_lines_, [&](const auto& line) {
    return !present.contains(line.first);
  });
  std::erase_if(waiting, [&](const WaitingTasks& tasks) {
    const MonotonicTime last = LastLine(tasks);
    return last.count() > 0 && now - last < kNextLine;
  });
  const auto key = [this](const WaitingTasks& tasks) {
    return std::tuple(Rank(tasks), LastLine(tasks), -tasks.wait.waited);
  };
  std::stable_sort(
      waiting.begin(), waiting.end(),
      [&](const auto& a, const auto& b) { return key(a) < key(b); });
  tokens_.Refill(kLinesPerSecond, kLinesPerSecond, now);
  Lines lines;
  while (lines.due.size() < waiting.size() && tokens_.Take()) {
    WaitingTasks& next = waiting[lines.due.size()];
    last_lines_[KeyOf(next)] = now;
    lines.due.push_back(std::move(next));
  }
  lines.left_out = waiting.size() - lines.due.size();
  return lines;
}

}  // namespace mangospread::dispatch
