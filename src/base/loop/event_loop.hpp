/// @file
/// The libevent loop of a thread, its timers and its mailbox.
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

  [[nodiscard]] bool active() const noexcept;
  void reset() noexcept;

 private:
  friend class EventLoop;
  explicit Timer(std::shared_ptr<detail::TimerState> state) noexcept;

  std::shared_ptr<detail::TimerState> state_;
};

/// Resolution of a loop's timers. Precise timers cost a system call each.
enum class TimerResolution : unsigned char { kMillisecond, kMicrosecond };

/// One libevent loop. With a SimulatedClock on the thread, timers run by that
/// clock. All members but Post are for the loop's own thread.
class EventLoop {
 public:
  explicit EventLoop(
      TimerResolution resolution = TimerResolution::kMillisecond);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  [[nodiscard]] event_base* raw() const noexcept { return base_; }

  /// Runs `fn` once after `delay`.
  [[nodiscard]] Timer After(MonotonicTime delay, std::function<void()> fn);

  /// Runs `fn` every `period`, each time shifted by up to `jitter` (a fraction
  /// of the period) either way, so that nodes do not act in step.
  [[nodiscard]] Timer Every(MonotonicTime period, double jitter,
                            std::function<void()> fn);

  /// Runs `fn` on the loop's thread. Safe from any thread; what is posted
  /// before Run returns for good is run.
  void Post(std::function<void()> fn);

  /// Runs callbacks until Stop, then what is left in the mailbox.
  void Run();
  void Stop();

 private:
  void Drain();
  Timer Schedule(std::shared_ptr<detail::TimerState> state,
                 MonotonicTime delay);
  void RunSimulated();

  event_base* base_;
  /// Null outside tests.
  SimulatedClock* simulated_;
  bool stopped_ = false;
  event* wakeup_;
  std::mutex mutex_;
  std::vector<std::function<void()>> mailbox_;
};

}  // namespace mangospread::base
