/// @file
/// How long a lease granted to a worker may last.
#pragma once

#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// Upper bound, on the granting node's clock, of the time for which a worker
/// holds a lease that it was granted now. A worker's clock may run 2% slow.
[[nodiscard]] constexpr MonotonicTime LeaseUpperBound(
    Milliseconds lease) noexcept {
  constexpr int kSkewedPercent = 103;
  constexpr MonotonicTime kMargin = Milliseconds(150);
  return MonotonicTime(lease) * kSkewedPercent / 100 + kMargin;
}

}  // namespace mangospread::dispatch
