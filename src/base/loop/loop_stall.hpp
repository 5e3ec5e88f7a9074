/// @file
/// Measurement of event loop stalls: how late a loop runs its callbacks.
#pragma once

#include <mutex>

#include "base/loop/event_loop.hpp"
#include "mangospread/units.hpp"

namespace mangospread::base {

/// Longest stall of the last half to one minute. Written by the thread of the
/// loop and read by another thread.
class StallRecord {
 public:
  void Add(MonotonicTime delay, MonotonicTime now);
  [[nodiscard]] MonotonicTime Longest(MonotonicTime now) const;

 private:
  void RotateWindow(MonotonicTime now) const;

  mutable std::mutex mutex_;
  mutable MonotonicTime window_start_{0};
  mutable MonotonicTime current_max_{0};
  mutable MonotonicTime previous_max_{0};
};

/// Period of the timer that probes each observed loop; its delay is the stall.
/// A stall of at least this length is always detected, a shorter one with a
/// probability in proportion to its length. Twenty wake-ups per second take a
/// small part of the processor budget of the control plane.
inline constexpr Milliseconds kStallProbePeriod{50};

/// Measures the stalls of a libevent loop on its own thread.
class LoopStallProbe {
 public:
  LoopStallProbe(EventLoop& loop, StallRecord& record);

 private:
  void ScheduleProbe();

  EventLoop& loop_;
  StallRecord& record_;
  Timer timer_;
};

}  // namespace mangospread::base
