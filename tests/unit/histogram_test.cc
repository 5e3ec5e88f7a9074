#include "cli/load/histogram.hpp"

#include <doctest/doctest.h>

namespace mangospread::cli {
namespace {

/// Checks that the estimate is not above the exact value and less than 1/32
/// below it.
void CheckError(std::uint64_t estimate, std::uint64_t exact) {
  CAPTURE(exact);
  CHECK(estimate <= exact);
  CHECK((exact - estimate) * 32 < exact);
}

// Guards against quantiles outside the documented relative error.
TEST_CASE("quantiles are within the documented error") {
  Histogram histogram;
  CHECK(histogram.Quantile(0.5) == 0);
  for (std::uint64_t v = 1; v <= 100'000; ++v) histogram.Add(v);
  for (const double q : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    // The values are their own ranks, which start at 1.
    CheckError(histogram.Quantile(q),
               static_cast<std::uint64_t>(q * 100'000) + 1);
  }
  for (std::uint64_t v = 1; v <= 100'000; ++v) {
    Histogram single;
    single.Add(v);
    CheckError(single.Quantile(0.5), v);
  }
}

}  // namespace
}  // namespace mangospread::cli
