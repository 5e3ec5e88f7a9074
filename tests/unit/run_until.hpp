/// @file
/// Runs a loop in a test.
#pragma once

#include <event2/event.h>

#include <functional>
#include <stdexcept>

#include "base/loop/clock.hpp"
#include "base/loop/event_loop.hpp"

namespace mangospread::test {

/// Runs the loop until `condition` holds; fails the test after a minute.
inline void RunUntil(base::EventLoop& loop,
                     const std::function<bool()>& condition) {
  const MonotonicTime limit =
      base::MonotonicNow() +
      std::chrono::duration_cast<MonotonicTime>(std::chrono::minutes(1));
  const base::Timer tick = loop.Every(std::chrono::milliseconds(1), 0, [] {});
  while (!condition()) {
    if (base::MonotonicNow() > limit) throw std::runtime_error("no progress");
    event_base_loop(loop.raw(), EVLOOP_ONCE);
  }
}

}  // namespace mangospread::test
