#include "app/stop_schedule.hpp"

#include <doctest/doctest.h>

namespace mangospread::app {
namespace {

constexpr MonotonicTime kBegunAt = std::chrono::seconds(100);
constexpr Milliseconds kGrace{6'000};

struct StopScheduleFixture {
  StopPhase CheckAfter(int milliseconds, bool idle) {
    return schedule.Check(kBegunAt + Milliseconds(milliseconds), idle);
  }

  StopSchedule schedule{kBegunAt, kGrace};
};

// Guards against requests that are in flight when the process ends.
TEST_CASE_FIXTURE(StopScheduleFixture,
                  "requests in flight are answered before the end") {
  CHECK(CheckAfter(0, false) == StopPhase::kServe);
  CHECK(CheckAfter(4'450, false) == StopPhase::kServe);
  CHECK(CheckAfter(4'500, false) == StopPhase::kAnswer);
  CHECK(CheckAfter(5'250, false) == StopPhase::kAnswer);
  CHECK(CheckAfter(5'300, false) == StopPhase::kEnd);
}

// Guards against a starved process, whose first check after a pause comes when
// it should have ended.
TEST_CASE_FIXTURE(StopScheduleFixture, "a late check answers before the end") {
  CHECK(CheckAfter(100, false) == StopPhase::kServe);
  CHECK(CheckAfter(5'400, false) == StopPhase::kAnswer);
  CHECK(CheckAfter(5'450, false) == StopPhase::kEnd);
}

// Guards against an end while the load balancer still sends connections.
TEST_CASE_FIXTURE(StopScheduleFixture,
                  "an idle process ends after the notice") {
  CHECK(CheckAfter(2'200, true) == StopPhase::kServe);
  CHECK(CheckAfter(2'250, true) == StopPhase::kServe);
  CHECK(CheckAfter(2'300, true) == StopPhase::kEnd);
}

// Guards against an end beside a request that has arrived but was not read.
TEST_CASE_FIXTURE(StopScheduleFixture,
                  "a process ends when it is idle at two checks in a row") {
  CHECK(CheckAfter(3'000, false) == StopPhase::kServe);
  CHECK(CheckAfter(3'050, true) == StopPhase::kServe);
  CHECK(CheckAfter(3'100, false) == StopPhase::kServe);
  CHECK(CheckAfter(4'500, true) == StopPhase::kAnswer);
  CHECK(CheckAfter(4'550, true) == StopPhase::kEnd);
}

// Guards against a process that is killed while it waits for the load balancer.
TEST_CASE("a grace time shorter than the notice is kept") {
  StopSchedule schedule(kBegunAt, Milliseconds(2'000));
  const auto check_after = [&](int milliseconds) {
    return schedule.Check(kBegunAt + Milliseconds(milliseconds), false);
  };
  CHECK(check_after(450) == StopPhase::kServe);
  CHECK(check_after(500) == StopPhase::kAnswer);
  CHECK(check_after(1'300) == StopPhase::kEnd);
}

}  // namespace
}  // namespace mangospread::app
