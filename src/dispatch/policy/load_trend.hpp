/// @file
/// Follows how the load of a serving task changes.
#pragma once

#include "dispatch/model/submission.hpp"

namespace mangospread::dispatch {

/// Level and slope of a serving task's own utilisation by double exponential
/// smoothing, so that the guard can act before a rising load reaches the limit.
class LoadTrend {
 public:
  /// Takes in the utilisation without the effects of filling tasks.
  void Observe(MonotonicTime at, double level);

  [[nodiscard]] bool known() const noexcept { return at_.count() > 0; }
  [[nodiscard]] double level() const noexcept { return level_; }
  /// Expected gain of utilisation over the time ahead; 0 while it falls.
  [[nodiscard]] double RiseWithin(MonotonicTime ahead) const;

 private:
  MonotonicTime at_{0};
  double level_ = 0;
  double slope_ = 0;  ///< Per second.
};

}  // namespace mangospread::dispatch
