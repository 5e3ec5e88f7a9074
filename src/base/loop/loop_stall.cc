#include "base/loop/loop_stall.hpp"

#include <algorithm>

#include "base/loop/clock.hpp"

namespace mangospread::base {
namespace {

constexpr MonotonicTime kWindow = std::chrono::seconds(30);

}  // namespace

void StallRecord::Add(MonotonicTime delay, MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  Advance(now);
  current_ = std::max(current_, delay);
}

MonotonicTime StallRecord::Longest(MonotonicTime now) const {
  const std::lock_guard lock(mutex_);
  Advance(now);
  return std::max(current_, previous_);
}

void StallRecord::Advance(MonotonicTime now) const {
  const MonotonicTime elapsed = now - window_start_;
  if (elapsed < kWindow) return;
  previous_ = elapsed < 2 * kWindow ? current_ : MonotonicTime(0);
  current_ = MonotonicTime(0);
  window_start_ = now;
}

LoopStallProbe::LoopStallProbe(EventLoop& loop, StallRecord& record)
    : loop_(loop), record_(record) {
  Plan();
}

void LoopStallProbe::Plan() {
  const MonotonicTime due = MonotonicNow() + kStallProbePeriod;
  timer_ = loop_.After(kStallProbePeriod, [this, due] {
    const MonotonicTime now = MonotonicNow();
    record_.Add(now - due, now);
    Plan();
  });
}

}  // namespace mangospread::base
