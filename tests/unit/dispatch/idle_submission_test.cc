// Submissions of which nothing runs beside a half-empty service.
#include <doctest/doctest.h>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

/// One worker whose latency-critical task leaves no headroom for `step`, by
/// what the model has learned.
struct IdleSubmissionFixture : DispatcherFixture {
  IdleSubmissionFixture() {
    dispatcher.ImportInterference(
        {{ImageName("web"), 10, 0.45, 0.02, {{ImageName("b0"), 100, 0}}}});
    AddWorker("w1");
    StepSpec service = MakeStep(1, 4'000);
    service.long_running = true;
    service.image = ImageName("web");
    service.latency_target = Milliseconds(45);
    Run("service", service);
    step.best_effort = true;
    step.image = ImageName("b0");
  }

  /// The starts of the next 3 s.
  std::vector<StartRun> DecideFor3s() {
    std::vector<StartRun> starts;
    for (int i = 0; i < 30 && starts.empty(); ++i) {
      now += std::chrono::milliseconds(100);
      starts = Decide();
    }
    return starts;
  }

  StepSpec step = MakeStep(1, 8'000);
};

}  // namespace

// Guards against a new submission that waits 10 s for headroom, and against one
// whose start is paused, while most processors are free (LOST).
TEST_CASE_FIXTURE(IdleSubmissionFixture,
                  "a submission starts slowly beside a half-empty service") {
  SUBCASE("a single task") {}
  SUBCASE("a gang") {
    step.gang = true;
    step.count = 2;
  }
  Add("batch", {step});
  CHECK(Decide().empty());
  CHECK(DecideFor3s().size() == static_cast<std::size_t>(step.count));
  for (const ThrottleRun& speed : TakeCommands<ThrottleRun>()) {
    CHECK(speed.percent == 10);
  }
}

// Guards against a submission whose only run stays paused while most processors
// are free (LOST).
TEST_CASE_FIXTURE(IdleSubmissionFixture, "a paused submission resumes") {
  dispatcher.ImportInterference({{ImageName("web"), 10, 0.1, 0, {}}});
  Event("w1", WorkerLoad{});
  Run("batch", step);
  Event("w1", RunStarted{"batch.0.0.0", Attempt(1)});
  dispatcher.ImportInterference(
      {{ImageName("web"), 10, 0.45, 0.02, {{ImageName("b0"), 100, 0}}}});
  Event("w1", WorkerLoad{{{"service.0.0.0", Attempt(1), 200, 100},
                          {"batch.0.0.0", Attempt(1), 8'000, 50}}});
  const auto paused = TakeCommands<ThrottleRun>();
  REQUIRE(paused.size() == 1);
  REQUIRE(paused[0].percent == 0);
  DecideFor3s();
  const auto resumed = TakeCommands<ThrottleRun>();
  REQUIRE(resumed.size() == 1);
  CHECK(resumed[0].percent == 10);
}

}  // namespace mangospread::dispatch::test
