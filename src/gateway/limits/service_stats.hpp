/// @file
/// Service times and retry budget of a service, from the requests that entered
/// at this node.
#pragma once

#include <array>
#include <cstddef>

#include "base/token_bucket.hpp"

namespace mangospread::gateway {

/// Median of the most recent service times.
class RecentMedian {
 public:
  void Add(MonotonicTime time) noexcept;
  /// Zero until there are enough samples for a first median.
  [[nodiscard]] MonotonicTime value() const noexcept { return median_; }

 private:
  static constexpr std::size_t kSamples = 64;

  std::array<MonotonicTime, kSamples> samples_{};
  std::size_t sample_count_ = 0;
  MonotonicTime median_{0};
};

/// Limits retries to a tenth of recent requests. A service with few requests
/// may retry about once a second.
class RetryBudget {
 public:
  explicit RetryBudget(MonotonicTime now) noexcept : tokens_(kInitial, now) {}

  /// Counts a request, which adds to the budget.
  void OnRequest() noexcept { tokens_.Add(kTokensPerRequest, kMaxTokens); }
  /// Takes the token for one retry.
  /// @return false when the budget is exhausted.
  [[nodiscard]] bool Take(MonotonicTime now) noexcept {
    // Only the first few tokens are refilled with time; a busy service gets its
    // tokens from its requests.
    if (tokens_.tokens() < kInitial) tokens_.Refill(kRefillRate, kInitial, now);
    return tokens_.Take();
  }

 private:
  /// Tokens added per request.
  static constexpr double kTokensPerRequest = 0.1;
  /// Initial tokens, and the limit of the refill with time.
  static constexpr double kInitial = 3;
  /// Tokens per second.
  static constexpr double kRefillRate = 1;
  /// Maximum tokens that a busy service accumulates. A larger burst of retries
  /// would reach the other owners while they take over the workers of a failed
  /// owner.
  static constexpr double kMaxTokens = 20;

  base::TokenBucket tokens_;
};

/// Statistics that a node keeps per service.
struct ServiceStats {
  explicit ServiceStats(MonotonicTime now) noexcept : retry_budget(now) {}

  RecentMedian median;
  RetryBudget retry_budget;
};

}  // namespace mangospread::gateway
