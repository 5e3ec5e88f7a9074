#include "dispatch/policy/pace_guard.hpp"

#include <algorithm>

namespace mangospread::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr double kSlowDownRatio = 0.9;
constexpr double kStopRatio = 1.3;
constexpr double kSpeedUpRatio = 0.7;
constexpr int kLowestPercent = 5;
constexpr int kSpeedUpStep = 20;
constexpr MonotonicTime kSlowDownPause = milliseconds(600);
constexpr MonotonicTime kSpeedUpPause = milliseconds(800);

}  // namespace

int PaceGuard::Update(double tail_ratio, MonotonicTime now) {
  const MonotonicTime settled = now - changed_at_;
  if (tail_ratio > kSlowDownRatio && settled >= kSlowDownPause) {
    const int slower = tail_ratio > kStopRatio ? 0 : percent_ / 2;
    percent_ = slower < kLowestPercent ? 0 : slower;
    changed_at_ = now;
  } else if (tail_ratio < kSpeedUpRatio && percent_ < 100 &&
             settled >= kSpeedUpPause) {
    percent_ = std::min(100, percent_ + kSpeedUpStep);
    changed_at_ = now;
  }
  return percent_;
}

}  // namespace mangospread::dispatch
