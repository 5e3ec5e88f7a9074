#include "base/loop/loop_stall.hpp"

#include <algorithm>

#include "base/loop/clock.hpp"

namespace mangospread::base {
namespace {

/// The record keeps the maximum of the current window and of the previous one.
constexpr MonotonicTime kWindow = std::chrono::seconds(30);

}  // namespace

void StallRecord::Add(MonotonicTime delay, MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  RotateWindow(now);
  current_max_ = std::max(current_max_, delay);
}

MonotonicTime StallRecord::Longest(MonotonicTime now) const {
  const std::lock_guard lock(mutex_);
  RotateWindow(now);
  return std::max(current_max_, previous_max_);
}

void StallRecord::RotateWindow(MonotonicTime now) const {
  const MonotonicTime elapsed = now - window_start_;
  if (elapsed < kWindow) return;
  previous_max_ = elapsed < 2 * kWindow ? current_max_ : MonotonicTime(0);
  current_max_ = MonotonicTime(0);
  window_start_ = now;
}

LoopStallProbe::LoopStallProbe(EventLoop& loop, StallRecord& record)
    : loop_(loop), record_(record) {
  ScheduleProbe();
}

void LoopStallProbe::ScheduleProbe() {
  const MonotonicTime due_time = MonotonicNow() + kStallProbePeriod;
  timer_ = loop_.After(kStallProbePeriod, [this, due_time] {
    const MonotonicTime now = MonotonicNow();
    record_.Add(now - due_time, now);
    ScheduleProbe();
  });
}

}  // namespace mangospread::base
