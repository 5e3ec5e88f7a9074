#include "base/loop/clock.hpp"

#include <ctime>

#include "base/loop/simulated_clock.hpp"

namespace mangospread::base {
namespace {

std::uint64_t Read(clockid_t id) noexcept {
  constexpr std::uint64_t kNanosPerSecond = 1'000'000'000;
  timespec ts{};
  clock_gettime(id, &ts);
  return static_cast<std::uint64_t>(ts.tv_sec) * kNanosPerSecond +
         static_cast<std::uint64_t>(ts.tv_nsec);
}

}  // namespace

MonotonicTime MonotonicNow() noexcept {
  if (const SimulatedClock* clock = SimulatedClock::Current()) {
    return clock->now();
  }
  return MonotonicTime(static_cast<std::int64_t>(Read(CLOCK_BOOTTIME)));
}

std::uint64_t WallNanoseconds() noexcept { return Read(CLOCK_REALTIME); }

}  // namespace mangospread::base
