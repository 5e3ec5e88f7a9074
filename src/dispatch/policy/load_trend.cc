#include "dispatch/policy/load_trend.hpp"

#include <algorithm>

namespace mangospread::dispatch {
namespace {

constexpr double kLevelWeight = 0.6;
constexpr double kSlopeWeight = 0.3;
/// Of the slope per second; services do not change faster by themselves.
constexpr double kSteepest = 0.15;
/// After a longer gap the slope says nothing.
constexpr MonotonicTime kLongestGap = std::chrono::seconds(3);

double Seconds(MonotonicTime time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void LoadTrend::Observe(MonotonicTime at, double level) {
  const double elapsed = Seconds(at - at_);
  if (at_.count() == 0 || at - at_ > kLongestGap) {
    *this = LoadTrend();
    at_ = at;
    level_ = level;
    return;
  }
  if (elapsed <= 0) return;
  const double expected = level_ + slope_ * elapsed;
  const double error = level - expected;
  level_ = expected + kLevelWeight * error;
  slope_ = std::clamp(slope_ + kSlopeWeight * error / elapsed, -kSteepest,
                      kSteepest);
  at_ = at;
}

double LoadTrend::RiseWithin(MonotonicTime ahead) const {
  return std::max(0.0, slope_ * Seconds(ahead));
}

}  // namespace mangospread::dispatch
