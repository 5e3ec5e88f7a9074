#include "gateway/routing/worker_backoff.hpp"

#include <doctest/doctest.h>

#include <string>

namespace mangospread::gateway {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  MonotonicTime now = std::chrono::seconds(100);
  WorkerBackoff backoff{{}, [this] { return now; }, [] { return 0.5; }};
  VmName failing{"bad"};

  void Report(const VmName& vm, AttemptResult result, int times,
              std::size_t owned = 8) {
    for (int i = 0; i < times; ++i) backoff.OnResult(vm, result, owned);
  }
};

// Guards against a worker that refuses requests immediately, appears idle and
// so attracts all requests.
TEST_CASE_FIXTURE(Fixture,
                  "worker that refuses is excluded with increasing delays") {
  Report(failing, AttemptResult::kRefused, 1);
  CHECK(backoff.MayUse(failing));
  Report(failing, AttemptResult::kRefused, 1);
  CHECK_FALSE(backoff.MayUse(failing));
  now += milliseconds(200);
  CHECK(backoff.MayUse(failing));
  backoff.OnSent(failing);
  CHECK_FALSE(backoff.MayUse(failing));  // One probe at a time.
  Report(failing, AttemptResult::kRefused, 1);
  now += milliseconds(399);
  CHECK_FALSE(backoff.MayUse(failing));
  now += milliseconds(1);
  CHECK(backoff.MayUse(failing));
  backoff.OnSent(failing);
  backoff.OnResult(failing, AttemptResult::kSuccess, 8);
  CHECK(backoff.MayUse(failing));
  CHECK(backoff.excluded() == 0);
}

// Guards against the exclusion of a worker for single errors of its endpoint.
TEST_CASE_FIXTURE(Fixture, "worker is excluded only for a high error rate") {
  for (int i = 0; i < 50; ++i) {
    Report(failing, AttemptResult::kServerError, 1);
    Report(failing, AttemptResult::kSuccess, 2);
  }
  CHECK(backoff.MayUse(failing));
  Report(failing, AttemptResult::kServerError, 4);
  CHECK_FALSE(backoff.MayUse(failing));
}

// Guards against the exclusion of all workers for a fault common to all.
TEST_CASE_FIXTURE(Fixture, "at most half of the workers are excluded") {
  for (int i = 0; i < 8; ++i) {
    Report(VmName(std::to_string(i)), AttemptResult::kRefused, 20);
  }
  CHECK(backoff.excluded() == 4);
  Report(failing, AttemptResult::kRefused, 20, 1);
  CHECK(backoff.MayUse(failing));
}

}  // namespace
}  // namespace mangospread::gateway
