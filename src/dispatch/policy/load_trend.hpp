/// @file
/// Trend of the load of a latency-critical task.
#pragma once

#include "dispatch/model/submission.hpp"

namespace mangospread::dispatch {

/// Level and slope of a latency-critical task's own utilisation by double
/// exponential smoothing, so that best-effort tasks can be throttled before a
/// rising load reaches the limit.
class LoadTrend {
 public:
  /// Adds a measurement: the utilisation without the effects of best-effort
  /// tasks.
  void Observe(MonotonicTime time, double level);

  [[nodiscard]] bool known() const noexcept { return time_.count() > 0; }
  [[nodiscard]] double level() const noexcept { return level_; }
  /// Expected gain of utilisation within `horizon`; 0 if it is falling.
  [[nodiscard]] double RiseWithin(MonotonicTime horizon) const;

 private:
  MonotonicTime time_{0};
  double level_ = 0;
  double slope_ = 0;  ///< Per second.
};

}  // namespace mangospread::dispatch
