/// @file
/// Token bucket for rate limits.
#pragma once

#include <algorithm>
#include <chrono>

#include "mangospread/units.hpp"

namespace mangospread::base {

/// Refills over time up to a burst size. Rate and burst size are passed to each
/// call, so that a configuration change does not require a new bucket.
class TokenBucket {
 public:
  /// @param tokens that it holds at first; the burst size for a full bucket.
  TokenBucket(double tokens, MonotonicTime now) noexcept
      : tokens_(tokens), last_refill_(now) {}

  /// Adds the tokens for the time since the last refill.
  /// @param rate tokens per second.
  void Refill(double rate, double burst, MonotonicTime now) noexcept {
    const double elapsed =
        std::chrono::duration<double>(now - last_refill_).count();
    last_refill_ = now;
    tokens_ = std::min(burst, tokens_ + std::max(0.0, elapsed) * rate);
  }
  /// Adds tokens up to the burst size.
  void Add(double tokens, double burst) noexcept {
    tokens_ = std::min(burst, tokens_ + tokens);
  }
  /// Takes one token.
  /// @return false when there is less than one token.
  [[nodiscard]] bool Take() noexcept {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  [[nodiscard]] double tokens() const noexcept { return tokens_; }

 private:
  double tokens_;
  MonotonicTime last_refill_;
};

}  // namespace mangospread::base
