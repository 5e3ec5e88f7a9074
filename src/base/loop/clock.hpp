/// @file
/// Monotonic clock and wall clock.
#pragma once

#include <cstdint>

#include "mangospread/units.hpp"

namespace mangospread::base {

/// Time that also advances while the VM is suspended (CLOCK_BOOTTIME). Leases
/// and deadlines use it, so that a suspension is detected on resume.
[[nodiscard]] MonotonicTime MonotonicNow() noexcept;

/// Wall-clock time in nanoseconds since the Unix epoch.
[[nodiscard]] std::uint64_t WallNanoseconds() noexcept;
/// The same in milliseconds.
[[nodiscard]] std::uint64_t WallMilliseconds() noexcept;

}  // namespace mangospread::base
