/// @file
/// How long an event loop keeps its callbacks waiting.
#pragma once

#include <mutex>

#include "base/loop/event_loop.hpp"
#include "mangospread/units.hpp"

namespace mangospread::base {

/// Longest delay of the last half to one minute. Written by the loop's thread
/// and read by another.
class StallRecord {
 public:
  void Add(MonotonicTime delay, MonotonicTime now);
  [[nodiscard]] MonotonicTime Longest(MonotonicTime now) const;

 private:
  void Advance(MonotonicTime now) const;

  mutable std::mutex mutex_;
  mutable MonotonicTime window_start_{0};
  mutable MonotonicTime current_{0};
  mutable MonotonicTime previous_{0};
};

/// A timer is due this often in each observed loop; its delay is the stall. A
/// stall of this length is always seen, a shorter one in proportion. Twenty
/// wake-ups a second are a small part of the processor budget of control.
inline constexpr Milliseconds kStallProbePeriod{50};

/// Observes a libevent loop from its own thread.
class LoopStallProbe {
 public:
  LoopStallProbe(EventLoop& loop, StallRecord& record);

 private:
  void Plan();

  EventLoop& loop_;
  StallRecord& record_;
  Timer timer_;
};

}  // namespace mangospread::base
