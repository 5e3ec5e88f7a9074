/// @file
/// Time for tests that does not wait.
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
/// time, and an EventLoop made on the thread runs its timers by it. The time
/// stands still while callbacks run and then jumps to the next timer, so a test
/// takes no longer than its computations, and a busy machine expires nothing.
/// Sockets are not simulated. Jitter comes from a fixed seed.
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
  /// Moves the time to the next timer and takes it out.
  /// @return null when it was cancelled or there is none.
  std::shared_ptr<detail::TimerState> Next();

  MonotonicTime now_;
  std::mt19937_64 random_;
  /// Timers of the same time run in the order in which they were added.
  std::multimap<MonotonicTime, std::weak_ptr<detail::TimerState>> timers_;
};

}  // namespace mangospread::base
