/// @file
/// The order in which pending steps are considered for placement.
#pragma once

#include <algorithm>
#include <compare>

#include "dispatch/core/job.hpp"

namespace mangospread::dispatch {

/// A long-running task that has lost its run waits at most this long behind
/// short tasks. The platform allows it three seconds without a run while there
/// is capacity, beginning six seconds after its end; most of that time passes
/// until the end of a run on a lost worker is certain.
inline constexpr MonotonicTime kMaxRestartWait = std::chrono::seconds(1);

/// True if a long-running task has lost its run and has waited for
/// kMaxRestartWait since, or since its worker fell silent.
///
/// Load pattern: short tasks wait at all times and use each piece of capacity
/// that becomes free, so that a larger task never finds enough of it.
///
/// @param may_have_run a run of the task may have been lost even if none is
///   known.
[[nodiscard]] inline bool RestartIsDue(const StepSpec& spec, const Task& task,
                                       bool may_have_run, MonotonicTime now) {
  return spec.long_running && task.phase == TaskPhase::kPending &&
         (task.run > 0 || may_have_run) &&
         now - task.without_run_since >= kMaxRestartWait;
}

/// Sort key of a step; lower goes first.
struct Urgency {
  /// False for the tasks of a step for which RestartIsDue.
  bool can_wait = true;
  bool expired = false;  ///< Its completion has no value any more.
  bool late = false;     ///< Its objective cannot be met any more.
  int priority = 0;
  /// Long-running tasks keep their capacity; others release it soon.
  bool long_running = false;
  /// In a backlog: no task of its submission has been started yet.
  bool not_started = false;
  /// Negated if `not_started`, so that the latest objective goes first.
  MonotonicTime objective{0};

  friend auto operator<=>(const Urgency&, const Urgency&) = default;
};

/// Minimum share of the estimates that the remaining steps of a submission
/// take.
inline constexpr double kMinRemainingShare = 0.6;

/// Submissions that can still meet their objective go first, by priority and
/// then by earliest objective. Late ones have little value and go last.
///
/// @param backlogged true if work is pending beyond its objective. Then the
///   earliest objectives are about to be missed, so submissions that have
///   started go first, followed by the others with the latest objective first.
[[nodiscard]] inline Urgency UrgencyOf(const Job& job, const Step& step,
                                       MonotonicTime now, bool backlogged) {
  if (step.spec.long_running) {
    return {true, false, false, job.policy().priority, true, false, {}};
  }
  const MonotonicTime objective = job.ObjectiveOf(step);
  const MonotonicTime last_useful =
      objective + (job.last_useful() - job.objective());
  const MonotonicTime earliest_end =
      now + std::chrono::duration_cast<MonotonicTime>(step.critical_path *
                                                      kMinRemainingShare);
  const bool not_started = backlogged && !job.started();
  return {true,
          now > last_useful,
          earliest_end > objective,
          job.policy().priority,
          false,
          not_started,
          not_started ? -objective : objective};
}

}  // namespace mangospread::dispatch
