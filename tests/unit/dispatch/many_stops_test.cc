// The stops of many runs on one worker.
#include <doctest/doctest.h>

#include <string>

#include "unit/dispatch/worker_session_fixture.hpp"

namespace mangospread::dispatch {
namespace {

StopRun MakeStop(int task) {
  return {VmName("w1"), "a.0.0." + std::to_string(task), Attempt(1)};
}

/// A worker that takes calls on 64 connections.
struct ManyStops : SessionFixture {
  ManyStops() {
    link->connections = 64;
    RunFor(Milliseconds(50));
  }

  void StopAll(int count) {
    for (int task = 0; task < count; ++task) session->Stop(MakeStop(task));
  }
};

// Guards against runs of a cancelled submission that go on for seconds: stops
// beyond the worker's connections were refused and sent again 200 ms later, so
// that 400 of them reached it in a second (review case 9, UNASKED).
TEST_CASE_FIXTURE(ManyStops, "20,000 runs are stopped within a second") {
  StopAll(20'000);
  RunFor(Milliseconds(1'000));
  CHECK(link->accepted_stops.size() == 20'000);
}

// Guards against a worker whose lease expires since stops take all of its
// connections.
TEST_CASE_FIXTURE(ManyStops, "stops leave connections for other calls") {
  StopAll(1'000);
  CHECK(link->calls_in_progress <= 40);
  session->Start(MakeStart(1));
  RunFor(Milliseconds(10));
  CHECK(link->starts.size() == 1);
  CHECK(Count<RunNotStarted>() == 0);
}

// Guards against stops that are lost, or sent without end, while the worker
// does not accept them.
TEST_CASE_FIXTURE(ManyStops, "stops that fail are sent again after a delay") {
  link->outcome = CommandOutcome::kNotSent;
  StopAll(100);
  RunFor(Milliseconds(1'000));
  CHECK(link->accepted_stops.empty());
  CHECK(link->stops <= 6 * 32);
  link->outcome = CommandOutcome::kAccepted;
  RunFor(Milliseconds(300));
  CHECK(link->accepted_stops.size() == 100);
}

// Guards against calls for a run whose stop is on its way, or that has ended:
// each attachment requests the stops of stray runs again.
TEST_CASE_FIXTURE(ManyStops, "each run is stopped once") {
  StopAll(500);
  StopAll(500);
  RunFor(Milliseconds(500));
  CHECK(link->stops == 500);
  link->outcome = CommandOutcome::kNotSent;
  session->Stop(MakeStop(1'000));
  link->report.ended.push_back(
      {EndNumber(1), MakeStop(1'000).task, Attempt(1), RunEnd::kExpired, {}});
  RunFor(Milliseconds(1'000));
  link->outcome = CommandOutcome::kAccepted;
  RunFor(Milliseconds(500));
  CHECK(link->accepted_stops.size() == 500);
}

}  // namespace
}  // namespace mangospread::dispatch
