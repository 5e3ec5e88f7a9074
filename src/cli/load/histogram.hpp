/// @file
/// Latency histogram with bounded relative error.
#pragma once

#include <array>
#include <bit>
#include <cstdint>

namespace mangospread::cli {

/// Counts durations in buckets of 1/32 of a power of two and returns the lower
/// bounds of buckets, so that a quantile is never above the exact value and
/// less than 1/32 (3.1%) below it. Durations of 2^44 microseconds or more share
/// the last bucket.
class Histogram {
 public:
  /// Counts one duration.
  void Add(std::uint64_t microseconds) noexcept {
    ++buckets_[BucketIndex(microseconds)];
    ++count_;
  }

  [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

  /// @param q quantile, between 0 and 1.
  /// @return microseconds; 0 if nothing was counted.
  [[nodiscard]] std::uint64_t Quantile(double q) const noexcept {
    const auto rank =
        static_cast<std::uint64_t>(q * static_cast<double>(count_));
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
      total += buckets_[i];
      if (total > rank || (total == count_ && total > 0)) return LowerBound(i);
    }
    return 0;
  }

 private:
  static constexpr unsigned kSubBits = 5;
  static constexpr std::size_t kSubBuckets = 1U << kSubBits;
  static constexpr std::size_t kBuckets = 40 * kSubBuckets;

  static constexpr std::size_t BucketIndex(std::uint64_t value) noexcept {
    if (value < kSubBuckets) return static_cast<std::size_t>(value);
    const auto power = static_cast<unsigned>(std::bit_width(value)) - 1;
    const std::size_t sub_bucket = (value >> (power - kSubBits)) - kSubBuckets;
    const std::size_t index = (power - kSubBits + 1) * kSubBuckets + sub_bucket;
    return index < kBuckets ? index : kBuckets - 1;
  }

  static constexpr std::uint64_t LowerBound(std::size_t index) noexcept {
    if (index < kSubBuckets) return index;
    const std::size_t power = index / kSubBuckets + kSubBits - 1;
    const std::uint64_t sub_bucket = index % kSubBuckets + kSubBuckets;
    return sub_bucket << (power - kSubBits);
  }

  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t count_ = 0;
};

}  // namespace mangospread::cli
