/// @file
/// The order in which pending steps are considered for placement.
#pragma once

#include <compare>

#include "dispatch/core/job.hpp"

namespace mangospread::dispatch {

/// Sort key of a step; lower goes first.
struct Urgency {
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
    return {false, false, job.policy().priority, true, false, {}};
  }
  const MonotonicTime objective = job.ObjectiveOf(step);
  const MonotonicTime last_useful =
      objective + (job.last_useful() - job.objective());
  const MonotonicTime earliest_end =
      now + std::chrono::duration_cast<MonotonicTime>(step.critical_path *
                                                      kMinRemainingShare);
  const bool not_started = backlogged && !job.started();
  return {now > last_useful,     earliest_end > objective,
          job.policy().priority, false,
          not_started,           not_started ? -objective : objective};
}

}  // namespace mangospread::dispatch
