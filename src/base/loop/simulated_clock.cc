#include "base/loop/simulated_clock.hpp"

#include <utility>

namespace mangospread::base {
namespace {

constexpr unsigned kSeed = 1;

/// Not zero: zero means "never" in many places.
constexpr MonotonicTime kBegin = std::chrono::hours(1);

thread_local SimulatedClock* current = nullptr;

}  // namespace

SimulatedClock::SimulatedClock() : now_(kBegin), random_(kSeed) {
  current = this;
}

SimulatedClock::~SimulatedClock() { current = nullptr; }

SimulatedClock* SimulatedClock::Current() noexcept { return current; }

void SimulatedClock::Add(MonotonicTime delay,
                         std::weak_ptr<detail::TimerState> timer) {
  timers_.emplace(now_ + delay, std::move(timer));
}

std::shared_ptr<detail::TimerState> SimulatedClock::Next() {
  if (timers_.empty()) return nullptr;
  auto node = timers_.extract(timers_.begin());
  now_ = node.key();
  return node.mapped().lock();
}

}  // namespace mangospread::base
