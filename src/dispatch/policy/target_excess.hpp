/// @file
/// How long a latency-critical task has been above its latency target.
#pragma once

#include <algorithm>
#include <chrono>

#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// Judges measurements that are rough figures, so that single ones may be below
/// the target while the task stays above it. It sums how far they are above the
/// target, or below it; the task counts as above it until the sum returns to 0.
class TargetExcess {
 public:
  /// @param target_share the measured tail latency as a share of the target.
  /// @return the time for which the task has been above its target; 0 if it is
  ///   not, or since this measurement.
  MonotonicTime Observe(MonotonicTime now, double target_share) {
    if (now - measured_at_ > kMaxGap) sum_ = 0;
    measured_at_ = now;
    const bool was_above = sum_ > 0;
    sum_ = std::clamp(sum_ + target_share - kThreshold, 0.0, kMaxSum);
    if (!was_above) since_ = now;
    return sum_ > 0 ? now - since_ : MonotonicTime(0);
  }

 private:
  /// Share of the target that adds nothing to the sum; above 1, so that a task
  /// which stays exactly at its target returns to 0.
  static constexpr double kThreshold = 1.02;
  /// Bounds how long measurements below the target take to end an excess: two
  /// at 92% of it end the longest one.
  static constexpr double kMaxSum = 0.2;

  /// While a task is above its target, it is measured every half second.
  static constexpr MonotonicTime kMaxGap = std::chrono::milliseconds(1'600);

  double sum_ = 0;
  MonotonicTime since_{0};
  MonotonicTime measured_at_{0};
};

}  // namespace mangospread::dispatch
