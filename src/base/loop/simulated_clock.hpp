/// @file
/// Simulated time for tests.
#pragma once

#include <map>
#include <memory>
#include <random>

#include "mangospread/units.hpp"

namespace mangospread::base {

namespace detail {
struct TimerState;
}  // namespace detail

/// Replaces the clock of its thread while it exists: MonotonicNow returns its
/// time, and the timers of an EventLoop created on the thread follow it. The
/// time is constant while callbacks run and then advances to the next timer, so
/// a test takes only the time of its computations, and nothing expires because
/// the machine is busy. Sockets are not simulated. Jitter is generated from a
/// fixed seed.
class SimulatedClock {
 public:
  SimulatedClock();
  ~SimulatedClock();
  SimulatedClock(const SimulatedClock&) = delete;
  SimulatedClock& operator=(const SimulatedClock&) = delete;

  /// The clock of this thread, or null.
  [[nodiscard]] static SimulatedClock* Current() noexcept;

  [[nodiscard]] MonotonicTime now() const noexcept { return now_; }

 private:
  friend class EventLoop;

  void Add(MonotonicTime delay, std::weak_ptr<detail::TimerState> timer);
  /// Advances the time to the next timer and removes that timer.
  /// @return null if the timer was cancelled or there is none.
  std::shared_ptr<detail::TimerState> PopNext();

  MonotonicTime now_;
  std::mt19937_64 random_;
  /// Timers by due time; those with the same time run in the order in which
  /// they were added.
  std::multimap<MonotonicTime, std::weak_ptr<detail::TimerState>> timers_;
};

}  // namespace mangospread::base
