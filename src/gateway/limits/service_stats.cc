#include "gateway/limits/service_stats.hpp"

#include <algorithm>

namespace mangospread::gateway {
namespace {

/// Number of samples after which the median is recomputed.
constexpr std::size_t kSamplesPerUpdate = 8;

}  // namespace

void RecentMedian::Add(MonotonicTime time) noexcept {
  samples_[sample_count_ % kSamples] = time;
  if (++sample_count_ % kSamplesPerUpdate != 0) return;
  auto sorted = samples_;
  const auto count =
      static_cast<std::ptrdiff_t>(std::min(sample_count_, kSamples));
  const auto middle = sorted.begin() + count / 2;
  std::nth_element(sorted.begin(), middle, sorted.begin() + count);
  median_ = *middle;
}

}  // namespace mangospread::gateway
