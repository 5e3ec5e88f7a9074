/// @file
/// Clocks.
#pragma once

#include <cstdint>

#include "mangospread/units.hpp"

namespace mangospread::base {

/// Time that also counts while the VM is suspended (CLOCK_BOOTTIME). Leases
/// and deadlines use it, so that a pause is noticed on resume.
[[nodiscard]] MonotonicTime MonotonicNow() noexcept;

/// Nanoseconds since the Unix epoch.
[[nodiscard]] std::uint64_t WallNanoseconds() noexcept;

}  // namespace mangospread::base
