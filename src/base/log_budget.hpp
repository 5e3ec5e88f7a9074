/// @file
/// Rate limit of the log lines of an event.
#pragma once

#include "base/token_bucket.hpp"
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
    tokens_.Refill(kLinesPerSecond, kBurstLines, now);
    return tokens_.Take();
  }

 private:
  TokenBucket tokens_{kBurstLines, MonotonicTime{0}};
};

}  // namespace mangospread::base
