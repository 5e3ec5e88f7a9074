/// @file
/// Token bucket.
#pragma once

#include <algorithm>
#include <chrono>

#include "mangospread/units.hpp"

namespace mangospread::gateway {

/// Refills with time up to a burst. The rate is given at each use, so that a
/// configuration change needs no rebuild.
class TokenBucket {
 public:
  /// Starts full.
  TokenBucket(double burst, MonotonicTime now) noexcept
      : tokens_(burst), refilled_(now) {}

  void Refill(double rate, double burst, MonotonicTime now) noexcept {
    const double elapsed =
        std::chrono::duration<double>(now - refilled_).count();
    refilled_ = now;
    tokens_ = std::min(burst, tokens_ + std::max(0.0, elapsed) * rate);
  }
  void Add(double tokens, double burst) noexcept {
    tokens_ = std::min(burst, tokens_ + tokens);
  }
  [[nodiscard]] bool Take() noexcept {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  [[nodiscard]] double tokens() const noexcept { return tokens_; }

 private:
  double tokens_;
  MonotonicTime refilled_;
};

}  // namespace mangospread::gateway
