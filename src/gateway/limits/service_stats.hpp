/// @file
/// Recent behaviour of a service, as far as this node saw it.
#pragma once

#include <array>
#include <cstddef>

#include "gateway/limits/token_bucket.hpp"

namespace mangospread::gateway {

/// Median of the latest service times.
class RecentMedian {
 public:
  void Add(MonotonicTime time) noexcept;
  /// Zero until there are enough samples to tell.
  [[nodiscard]] MonotonicTime value() const noexcept { return median_; }

 private:
  static constexpr std::size_t kSamples = 64;

  std::array<MonotonicTime, kSamples> samples_{};
  std::size_t added_ = 0;
  MonotonicTime median_{0};
};

/// Allows retries of at most a tenth of recent requests. A quiet service may
/// retry about once a second.
class RetryBudget {
 public:
  explicit RetryBudget(MonotonicTime now) noexcept : tokens_(kStart, now) {}

  void OnRequest() noexcept { tokens_.Add(kShare, kMost); }
  [[nodiscard]] bool Take(MonotonicTime now) noexcept {
    // The floor only fills the first few tokens: a busy service earns its own.
    if (tokens_.tokens() < kStart) tokens_.Refill(kFloorRate, kStart, now);
    return tokens_.Take();
  }

 private:
  static constexpr double kShare = 0.1;
  static constexpr double kStart = 3;
  static constexpr double kFloorRate = 1;
  /// What a busy service can save up: a burst of retries beyond this would
  /// meet the other owners while they take over a dead one's workers.
  static constexpr double kMost = 20;

  TokenBucket tokens_;
};

struct ServiceStats {
  explicit ServiceStats(MonotonicTime now) noexcept : retries(now) {}

  RecentMedian median;
  RetryBudget retries;
};

}  // namespace mangospread::gateway
