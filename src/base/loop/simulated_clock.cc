#include "base/loop/simulated_clock.hpp"

#include <utility>

namespace mangospread::base {
namespace {

constexpr unsigned kJitterSeed = 1;

/// Not zero, since many classes use zero for "never".
constexpr MonotonicTime kStartTime = std::chrono::hours(1);

thread_local SimulatedClock* current_clock = nullptr;

}  // namespace

SimulatedClock::SimulatedClock() : now_(kStartTime), random_(kJitterSeed) {
  current_clock = this;
}

SimulatedClock::~SimulatedClock() { current_clock = nullptr; }

SimulatedClock* SimulatedClock::Current() noexcept { return current_clock; }

void SimulatedClock::Add(MonotonicTime delay,
                         std::weak_ptr<detail::TimerState> timer) {
  timers_.emplace(now_ + delay, std::move(timer));
}

std::shared_ptr<detail::TimerState> SimulatedClock::PopNext() {
  if (timers_.empty()) return nullptr;
  auto node = timers_.extract(timers_.begin());
  now_ = node.key();
  return node.mapped().lock();
}

}  // namespace mangospread::base
