#include "gateway/limits/service_stats.hpp"

#include <algorithm>

namespace mangospread::gateway {
namespace {

/// The median is computed anew after this many samples.
constexpr std::size_t kRefresh = 8;

}  // namespace

void RecentMedian::Add(MonotonicTime time) noexcept {
  samples_[added_ % kSamples] = time;
  if (++added_ % kRefresh != 0) return;
  auto sorted = samples_;
  const auto count = static_cast<std::ptrdiff_t>(std::min(added_, kSamples));
  const auto middle = sorted.begin() + count / 2;
  std::nth_element(sorted.begin(), middle, sorted.begin() + count);
  median_ = *middle;
}

}  // namespace mangospread::gateway
