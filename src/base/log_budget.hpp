/// @file
/// Limits how many lines an event may write.
#pragma once

#include <algorithm>
#include <chrono>

#include "mangospread/units.hpp"

namespace mangospread::base {

/// Token bucket for one event.
class EventBudget {
 public:
  static constexpr double kLinesPerSecond = 400;
  static constexpr double kBurst = 1'200;

  /// True if a line may be written now.
  [[nodiscard]] bool Take(MonotonicTime now) noexcept {
    const double elapsed = std::chrono::duration<double>(now - at_).count();
    tokens_ = std::min(kBurst, tokens_ + elapsed * kLinesPerSecond);
    at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kBurst;
  MonotonicTime at_{0};
};

}  // namespace mangospread::base
