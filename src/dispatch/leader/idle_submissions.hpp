/// @file
/// Submissions that have nothing running though a step is ready.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "dispatch/core/waiting.hpp"

namespace mangospread::dispatch {

/// Number of submissions, each counted under one reason.
using IdleCounts = std::array<int, kWaitReasonCount>;

/// Counts the idle submissions, measures how long they are idle, and chooses
/// those that get a log line at this check: their tasks fit at least twice and
/// less than half of the service's processors are reserved, so something of
/// them should run soon. At most kMaxLines are chosen, those that have
/// been idle for the longest time first, so that a submission keeps its lines.
/// One that is idle but could not run any more gets another line that says so.
///
/// A submission counts as idle at most since the last check at which it was
/// not. The order of a task's first start ends the time, too.
class IdleSubmissions {
 public:
  /// Shorter times are usual, and get no line.
  static constexpr MonotonicTime kFirstLine = std::chrono::seconds(1);
  static constexpr std::size_t kMaxLines = 200;
  static constexpr int kMinFits = 2;
  static constexpr double kMaxReserved = 0.5;

  /// What has changed since the last check.
  struct Lines {
    std::vector<WaitingTasks> due;     ///< One entry for a submission.
    std::size_t left_out = 0;          ///< Number beyond the limit.
    std::vector<MonotonicTime> ended;  ///< How long submissions were idle.
  };
  /// @param idle waiting tasks of all idle submissions, with free capacity,
  ///   those of a submission together.
  [[nodiscard]] Lines Update(std::vector<WaitingTasks> idle, MonotonicTime now);

  /// As of the last update.
  [[nodiscard]] const IdleCounts& counts() const noexcept { return counts_; }

 private:
  /// Removes the submissions that are not idle any more.
  [[nodiscard]] std::vector<MonotonicTime> RemoveEnded(
      const std::vector<WaitingTasks>& idle, MonotonicTime now);

  /// Adds those that were not idle before. Sets since when all are idle.
  void AddNew(std::vector<WaitingTasks>& idle, MonotonicTime now,
              std::vector<MonotonicTime>& ended);

  IdleCounts counts_{};
  MonotonicTime last_check_{0};
  std::set<SubmissionId> logged_;  ///< At the last check, as able to run.
  std::map<SubmissionId, MonotonicTime> idle_since_;
};

}  // namespace mangospread::dispatch
