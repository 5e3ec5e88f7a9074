/// @file
/// Slows filling tasks down while they harm the serving tasks beside them.
#pragma once

#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// Control loop for one worker. Halves the speed of the filling tasks while a
/// serving task is close to its latency target and gives it back in steps.
/// Measurements lag by about half a second, so each change is left to show its
/// effect before the next.
class PaceGuard {
 public:
  /// Takes in the highest tail latency relative to its target.
  /// @return the speed for filling tasks in percent.
  int Update(double tail_ratio, MonotonicTime now);

  [[nodiscard]] int percent() const noexcept { return percent_; }

 private:
  int percent_ = 100;
  MonotonicTime changed_at_{0};
};

}  // namespace mangospread::dispatch
