#include "dispatch/policy/load_trend.hpp"

#include <algorithm>

namespace mangospread::dispatch {
namespace {

constexpr double kLevelWeight = 0.6;
constexpr double kSlopeWeight = 0.3;
/// Bound of the slope per second; the load of a service does not change faster
/// on its own.
constexpr double kMaxSlope = 0.15;
/// After a longer gap between measurements the slope is meaningless.
constexpr MonotonicTime kMaxGap = std::chrono::seconds(3);

double Seconds(MonotonicTime time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void LoadTrend::Observe(MonotonicTime time, double level) {
  const double elapsed = Seconds(time - time_);
  if (time_.count() == 0 || time - time_ > kMaxGap) {
    *this = LoadTrend();
    time_ = time;
    level_ = level;
    return;
  }
  if (elapsed <= 0) return;
  const double expected = level_ + slope_ * elapsed;
  const double error = level - expected;
  level_ = expected + kLevelWeight * error;
  slope_ = std::clamp(slope_ + kSlopeWeight * error / elapsed, -kMaxSlope,
                      kMaxSlope);
  time_ = time;
}

double LoadTrend::RiseWithin(MonotonicTime horizon) const {
  return std::max(0.0, slope_ * Seconds(horizon));
}

}  // namespace mangospread::dispatch
