/// @file
/// The order in which waiting steps are offered for placement.
#pragma once

#include <compare>

#include "dispatch/core/job.hpp"

namespace mangospread::dispatch {

/// Urgency of a step; lower goes first.
struct Urgency {
  bool hopeless = false;  ///< Its completion is worth nothing any more.
  bool late = false;      ///< Its objective cannot be met any more.
  int priority = 0;
  /// Such tasks keep the room that they take; others give it back soon.
  bool long_running = false;
  bool fresh = false;  ///< Nothing of its submission has run yet.
  MonotonicTime objective{0};

  friend auto operator<=>(const Urgency&, const Urgency&) = default;
};

/// Share of the estimates that the rest of a submission certainly takes.
inline constexpr double kCertainShare = 0.6;

/// Submissions that can still meet their objective go first, by priority and
/// then by the earliest objective; those that cannot earn little and wait.
///
/// @param crowded work has been waiting beyond its objective. Then the earliest
///   objectives are those that are about to be missed: what has begun is
///   finished first, and of the rest what has most time left.
[[nodiscard]] inline Urgency UrgencyOf(const Job& job, const Step& step,
                                       MonotonicTime now, bool crowded) {
  if (step.spec.long_running) {
    return {false, false, job.policy().priority, true, false, {}};
  }
  const MonotonicTime objective = job.ObjectiveOf(step);
  const MonotonicTime last_useful =
      objective + (job.last_useful() - job.objective());
  const MonotonicTime done_at = now + std::chrono::duration_cast<MonotonicTime>(
                                          step.chain_to_end * kCertainShare);
  const bool fresh = crowded && !job.begun();
  return {now > last_useful,
          done_at > objective,
          job.policy().priority,
          false,
          fresh,
          fresh ? -objective : objective};
}

}  // namespace mangospread::dispatch
