/// @file
/// How long a lease granted to a worker may last.
#pragma once

#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// Length of the leases that agents grant to workers. Runs survive a takeover
/// that is shorter; lost ones wait for at least this long.
inline constexpr Milliseconds kWorkerLease{4'200};

/// The same of former versions, which tell nobody.
inline constexpr Milliseconds kFormerVersionLease{6'000};

/// Longest lease that a worker accepts.
inline constexpr Milliseconds kMaxWorkerLease{10'000};

/// Upper bound, on the granting node's clock, of the time for which a worker
/// holds a lease that it was granted now. A worker's clock may run 2% slow.
[[nodiscard]] constexpr MonotonicTime LeaseUpperBound(
    Milliseconds lease) noexcept {
  constexpr int kSkewedPercent = 103;
  constexpr MonotonicTime kMargin = Milliseconds(150);
  return MonotonicTime(lease) * kSkewedPercent / 100 + kMargin;
}

/// Upper bound, on this node's clock, of a time that another node measures.
/// Each clock may be 2% fast or slow.
[[nodiscard]] constexpr MonotonicTime OtherClockUpperBound(
    Milliseconds time) noexcept {
  constexpr int kSkewedPercent = 105;
  return MonotonicTime(time) * kSkewedPercent / 100;
}

}  // namespace mangospread::dispatch
