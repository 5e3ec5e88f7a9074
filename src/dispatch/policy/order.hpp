/// @file
/// The order in which waiting steps are offered for placement.
#pragma once

#include <compare>

#include "dispatch/core/job.hpp"

namespace mangospread::dispatch {

/// Urgency of a submission; lower goes first.
struct Urgency {
  bool hopeless = false;  ///< Its completion is worth nothing any more.
  bool late = false;      ///< Its objective has passed.
  int priority = 0;
  MonotonicTime objective{0};

  friend auto operator<=>(const Urgency&, const Urgency&) = default;
};

/// Submissions that can still meet their objective go first, by priority and
/// then by the earliest objective; those that missed it earn little and wait.
[[nodiscard]] inline Urgency UrgencyOf(const Job& job, const Step& step,
                                       MonotonicTime now) {
  if (step.spec.long_running) return {false, false, job.policy().priority, {}};
  const MonotonicTime objective = job.ObjectiveOf(step);
  const MonotonicTime last_useful =
      objective + (job.last_useful() - job.objective());
  return {now > last_useful, now > objective, job.policy().priority, objective};
}

}  // namespace mangospread::dispatch
