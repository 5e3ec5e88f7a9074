#include "base/loop/clock.hpp"

#include <ctime>

#include "base/loop/simulated_clock.hpp"

namespace mangospread::base {
namespace {

std::uint64_t ReadClock(clockid_t id) noexcept {
  constexpr std::uint64_t kNanosecondsPerSecond = 1'000'000'000;
  timespec ts{};
  clock_gettime(id, &ts);
  return static_cast<std::uint64_t>(ts.tv_sec) * kNanosecondsPerSecond +
         static_cast<std::uint64_t>(ts.tv_nsec);
}

}  // namespace

MonotonicTime MonotonicNow() noexcept {
  if (const SimulatedClock* clock = SimulatedClock::Current()) {
    return clock->now();
  }
  return MonotonicTime(static_cast<std::int64_t>(ReadClock(CLOCK_BOOTTIME)));
}

std::uint64_t WallNanoseconds() noexcept { return ReadClock(CLOCK_REALTIME); }

std::uint64_t WallMilliseconds() noexcept {
  constexpr std::uint64_t kNanosecondsPerMillisecond = 1'000'000;
  return WallNanoseconds() / kNanosecondsPerMillisecond;
}

}  // namespace mangospread::base
