#include "cli/load/histogram.hpp"

#include <doctest/doctest.h>

namespace mangospread::cli {
namespace {

// Guards against quantiles outside the documented relative error of about 3%;
// the check allows 4%.
TEST_CASE("quantiles are within the documented error") {
  Histogram histogram;
  CHECK(histogram.Quantile(0.5) == 0);
  for (std::uint64_t v = 1; v <= 100'000; ++v) histogram.Add(v);
  for (const double q : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    const double exact = q * 100'000;
    const auto estimate = static_cast<double>(histogram.Quantile(q));
    CHECK(estimate >= exact * 0.96);
    CHECK(estimate <= exact * 1.04);
  }
}

}  // namespace
}  // namespace mangospread::cli
