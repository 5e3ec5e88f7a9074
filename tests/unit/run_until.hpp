/// @file
/// Runs an event loop in a test until a condition holds.
#pragma once

#include <event2/event.h>

#include <functional>
#include <stdexcept>

#include "base/loop/clock.hpp"
#include "base/loop/event_loop.hpp"

namespace mangospread::test {

/// Runs the loop until `condition` holds.
/// @throws std::runtime_error after one minute, which fails the test.
inline void RunUntil(base::EventLoop& loop,
                     const std::function<bool()>& condition) {
  const MonotonicTime deadline =
      base::MonotonicNow() +
      std::chrono::duration_cast<MonotonicTime>(std::chrono::minutes(1));
  // Ends the wait for events, so that the condition is checked regularly.
  const base::Timer wakeup_timer =
      loop.Every(std::chrono::milliseconds(1), 0, [] {});
  while (!condition()) {
    if (base::MonotonicNow() > deadline) throw std::runtime_error("timed out");
    event_base_loop(loop.raw(), EVLOOP_ONCE);
  }
}

/// Runs the loop for a time.
inline void RunFor(base::EventLoop& loop, MonotonicTime time) {
  const MonotonicTime end = base::MonotonicNow() + time;
  RunUntil(loop, [end] { return base::MonotonicNow() >= end; });
}

}  // namespace mangospread::test
