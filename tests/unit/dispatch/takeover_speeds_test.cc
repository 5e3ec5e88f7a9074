// Speeds of best-effort tasks across a takeover.
#include <doctest/doctest.h>

#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

/// A leader that takes over a paused best-effort task.
struct TakeoverSpeedsFixture : LeaderFixture {
  TakeoverSpeedsFixture() : placed(PlaceBestEffort()) {
    FormerLeaderRuns report;
    report.worker.vm = placed.run.vm;
    report.runs = {{placed.run.task, placed.run.run, false, 0}};
    report.renewing = true;
    Lead(2);
    leader->OnKnownRuns(NodeId("agent"), report);
    ListWorkers({"w1", "w2"});
  }

  PlacedOnOne PlaceBestEffort() {
    step.best_effort = true;
    return PlaceOnOneOfTwo();
  }

  /// The worker lists this run of the task.
  void List(Attempt run) {
    Event(placed.busy, Attached{WorkerIncarnation(1),
                                1'000,
                                {},
                                {{placed.run.task, run, {}, 40, 0}},
                                {}});
  }

  PlacedOnOne placed;
};

// Guards against a takeover that lets all best-effort tasks that were paused
// for a latency-critical task work at full speed until it exceeds its target
// again (HARM).
TEST_CASE_FIXTURE(TakeoverSpeedsFixture, "a paused task stays paused") {
  List(placed.run.run);
  REQUIRE(descriptions.size() == 1);
  CHECK(descriptions[0].percent == 0);
}

// Guards against an outdated report that pauses a later run.
TEST_CASE_FIXTURE(TakeoverSpeedsFixture, "another run has its full speed") {
  List(Attempt(placed.run.run.value() + 1));
  REQUIRE(descriptions.size() == 1);
  CHECK(descriptions[0].percent == 100);
}

// Guards against a speed that is lost with the agent that knows it.
TEST_CASE_FIXTURE(TakeoverSpeedsFixture,
                  "the next agent of a worker knows the speeds") {
  const auto& known = newest.at(placed.run.vm).assignment.known_runs;
  REQUIRE(known);
  REQUIRE(known->size() == 1);
  CHECK((*known)[0].percent == 0);
}

}  // namespace
}  // namespace mangospread::dispatch::test
