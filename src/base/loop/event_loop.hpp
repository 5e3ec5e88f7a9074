/// @file
/// A libevent loop with timers and a queue of posted functions.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "mangospread/units.hpp"

struct event;
struct event_base;

namespace mangospread::base {

class SimulatedClock;

namespace detail {
struct TimerState;
}  // namespace detail

/// A scheduled callback. Destroying or resetting the timer cancels it.
class Timer {
 public:
  Timer() noexcept;
  Timer(Timer&&) noexcept;
  Timer& operator=(Timer&&) noexcept;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

  /// True while the callback is scheduled.
  [[nodiscard]] bool active() const noexcept;
  /// Cancels the callback.
  void reset() noexcept;

 private:
  friend class EventLoop;
  explicit Timer(std::shared_ptr<detail::TimerState> state) noexcept;

  std::shared_ptr<detail::TimerState> state_;
};

/// Resolution of a loop's timers. Microsecond timers cost a system call each.
enum class TimerResolution : unsigned char { kMillisecond, kMicrosecond };

/// One libevent loop. If its thread has a SimulatedClock, timers follow that
/// clock. All members but Post must be called on the thread of the loop.
class EventLoop {
 public:
  explicit EventLoop(
      TimerResolution resolution = TimerResolution::kMillisecond);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// The libevent loop, for use with libevent functions.
  [[nodiscard]] event_base* raw() const noexcept { return base_; }

  /// Runs `fn` once after `delay`.
  [[nodiscard]] Timer After(MonotonicTime delay, std::function<void()> fn);

  /// Runs `fn` every `period`, each time shifted by up to `jitter` (a fraction
  /// of the period) in either direction, so that nodes do not act in step.
  [[nodiscard]] Timer Every(MonotonicTime period, double jitter,
                            std::function<void()> fn);

  /// Runs `fn` on the thread of the loop. May be called from any thread;
  /// functions that are posted before Run returns for the last time are run.
  void Post(std::function<void()> fn);

  /// Runs callbacks until Stop is called, then the functions that are still
  /// posted.
  void Run();
  void Stop();

 private:
  void RunPosted();
  Timer Schedule(std::shared_ptr<detail::TimerState> state,
                 MonotonicTime delay);
  void RunSimulated();

  event_base* base_;
  /// Clock of the thread that created the loop; null outside tests.
  SimulatedClock* simulated_;
  bool stopped_ = false;
  event* wakeup_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
};

}  // namespace mangospread::base
