/// @file
/// Rate limit of the log lines of an event.
#pragma once

#include <algorithm>
#include <chrono>

#include "mangospread/units.hpp"

namespace mangospread::base {

/// Token bucket that limits the log lines of one event.
class EventBudget {
 public:
  static constexpr double kLinesPerSecond = 400;
  static constexpr double kBurstLines = 1'200;

  /// Takes a token for one line. Returns false if none is left; the line must
  /// then be dropped.
  [[nodiscard]] bool TryTake(MonotonicTime now) noexcept {
    const double elapsed =
        std::chrono::duration<double>(now - last_refill_).count();
    tokens_ = std::min(kBurstLines, tokens_ + elapsed * kLinesPerSecond);
    last_refill_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kBurstLines;
  MonotonicTime last_refill_{0};
};

}  // namespace mangospread::base
