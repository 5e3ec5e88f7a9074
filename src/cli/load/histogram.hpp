/// @file
/// Latency histogram with bounded relative error.
#pragma once

#include <array>
#include <bit>
#include <cstdint>

namespace mangospread::cli {

/// Counts microseconds in buckets of 1/32 of a power of two, so that a
/// quantile is off by at most about 3%.
class Histogram {
 public:
  void Add(std::uint64_t micros) noexcept {
    ++buckets_[Index(micros)];
    ++count_;
  }

  [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

  /// @param q between 0 and 1.
  /// @return microseconds, 0 when nothing was counted.
  [[nodiscard]] std::uint64_t Quantile(double q) const noexcept {
    const auto rank =
        static_cast<std::uint64_t>(q * static_cast<double>(count_));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
      seen += buckets_[i];
      if (seen > rank || (seen == count_ && seen > 0)) return Value(i);
    }
    return 0;
  }

 private:
  static constexpr unsigned kSubBits = 5;
  static constexpr std::size_t kSub = 1U << kSubBits;
  static constexpr std::size_t kBuckets = 40 * kSub;

  static constexpr std::size_t Index(std::uint64_t value) noexcept {
    if (value < kSub) return static_cast<std::size_t>(value);
    const auto power = static_cast<unsigned>(std::bit_width(value)) - 1;
    const std::size_t sub = (value >> (power - kSubBits)) - kSub;
    const std::size_t index = (power - kSubBits + 1) * kSub + sub;
    return index < kBuckets ? index : kBuckets - 1;
  }

  static constexpr std::uint64_t Value(std::size_t index) noexcept {
    if (index < kSub) return index;
    const std::size_t power = index / kSub + kSubBits - 1;
    const std::uint64_t sub = index % kSub + kSub;
    return sub << (power - kSubBits);
  }

  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t count_ = 0;
};

}  // namespace mangospread::cli
