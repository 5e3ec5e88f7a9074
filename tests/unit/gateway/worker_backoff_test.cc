#include "gateway/routing/worker_backoff.hpp"

#include <doctest/doctest.h>

#include <string>

namespace mangospread::gateway {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  MonotonicTime now = std::chrono::seconds(100);
  WorkerBackoff backoff{{}, [this] { return now; }, [] { return 0.5; }};
  VmName bad{"bad"};

  void Fail(const VmName& vm, SendVerdict verdict, int times,
            std::size_t owned = 8) {
    for (int i = 0; i < times; ++i) backoff.OnResult(vm, verdict, owned);
  }
};

// Guards against a worker that refuses at once, looks idle and so attracts
// all requests.
TEST_CASE_FIXTURE(Fixture, "worker that refuses is out with growing pauses") {
  Fail(bad, SendVerdict::kRefused, 1);
  CHECK(backoff.MayUse(bad));
  Fail(bad, SendVerdict::kRefused, 1);
  CHECK_FALSE(backoff.MayUse(bad));
  now += milliseconds(200);
  CHECK(backoff.MayUse(bad));
  backoff.OnSent(bad);
  CHECK_FALSE(backoff.MayUse(bad));  // One probe at a time.
  Fail(bad, SendVerdict::kRefused, 1);
  now += milliseconds(399);
  CHECK_FALSE(backoff.MayUse(bad));
  now += milliseconds(1);
  CHECK(backoff.MayUse(bad));
  backoff.OnSent(bad);
  backoff.OnResult(bad, SendVerdict::kGood, 8);
  CHECK(backoff.MayUse(bad));
  CHECK(backoff.out() == 0);
}

// Guards against a worker taken out for single errors of its endpoint.
TEST_CASE_FIXTURE(Fixture, "only a high share of errors counts") {
  for (int i = 0; i < 50; ++i) {
    Fail(bad, SendVerdict::kError, 1);
    Fail(bad, SendVerdict::kGood, 2);
  }
  CHECK(backoff.MayUse(bad));
  Fail(bad, SendVerdict::kError, 4);
  CHECK_FALSE(backoff.MayUse(bad));
}

// Guards against a fault common to all workers that leaves none in use.
TEST_CASE_FIXTURE(Fixture, "at most half of the workers are out") {
  for (int i = 0; i < 8; ++i) {
    Fail(VmName(std::to_string(i)), SendVerdict::kRefused, 20);
  }
  CHECK(backoff.out() == 4);
  Fail(bad, SendVerdict::kRefused, 20, 1);
  CHECK(backoff.MayUse(bad));
}

}  // namespace
}  // namespace mangospread::gateway
