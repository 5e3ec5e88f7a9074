// Workers that are missing from the list though they respond. Guards against
// stops of tasks that are at work there (AVAIL): entries expire in an outage of
// the table, and a new leader may not have read the list yet.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Entries that expired in an outage are back this long after its end.
constexpr milliseconds kBackAfterOutage(2'000);
constexpr int kTasks = 4;

struct MissingWorkerFixture : LeaderFixture {
  MissingWorkerFixture() {
    step = DispatcherFixture::MakeStep(kTasks, 1'000);
    step.long_running = true;
    step.image = ImageName("web");
    step.latency_target = Milliseconds(50);
  }

  /// A service whose tasks run on the only worker.
  void RunService() {
    Lead(1);
    ListWorkers({"w1"});
    leader->SetWorkersCurrent(true);
    Attach("w1");
    Call(ServiceVerb::kSubmit);
    REQUIRE(starts.size() == kTasks);
    for (const StartRun& start : starts) {
      Event("w1", RunStarted{start.task, start.run});
    }
    Measure();
  }

  /// Reports all tasks as at work.
  void Measure() {
    WorkerLoad load;
    for (const StartRun& run : starts) {
      load.runs.push_back({run.task, run.run, 5, 100});
    }
    Event("w1", std::move(load));
  }

  /// Time passes, and the worker reports its tasks.
  void Work(MonotonicTime time) {
    for (MonotonicTime passed{0}; passed < time; passed += milliseconds(500)) {
      Measure();
      RunFor(milliseconds(450));
    }
  }
};

TEST_CASE_FIXTURE(MissingWorkerFixture,
                  "an entry that expired in an outage stops nothing") {
  RunService();
  leader->SetWorkersCurrent(false);
  Work(seconds(5));
  leader->SetWorkersCurrent(true);
  ListWorkers({});
  Work(kBackAfterOutage);
  ListWorkers({"w1"});
  Work(seconds(5));
  CHECK(stops.empty());
}

TEST_CASE_FIXTURE(MissingWorkerFixture,
                  "a list that cannot be read stops nothing") {
  RunService();
  ListWorkers({});
  leader->SetWorkersCurrent(false);
  Work(seconds(20));
  CHECK(stops.empty());
}

TEST_CASE_FIXTURE(MissingWorkerFixture,
                  "a new leader without the list stops nothing") {
  RunService();
  std::vector<RunningRun> running;
  for (const StartRun& start : starts) {
    running.push_back({start.task, start.run, {}, 100, 5});
  }
  FormerLeaderRuns known;
  known.worker.vm = VmName("w1");
  known.worker.service = ServiceName("s");
  known.renewing = true;
  known.runs_as_of = fences[VmName("w1")];
  last_grant_age = Milliseconds(0);
  Lead(2);
  leader->OnKnownRuns(NodeId("agent"), known);
  EndReports("agent");
  RunFor(milliseconds(500));
  Event("w1", Attached{WorkerIncarnation(1), 1'000, {}, running, {}});
  REQUIRE(leader->unresolved_workers() == 0);
  Work(seconds(20));
  CHECK(stops.empty());
}

// Also shows that the checks above can fail.
TEST_CASE_FIXTURE(MissingWorkerFixture,
                  "a worker that stays missing loses its tasks") {
  SUBCASE("at once") {
    RunService();
    ListWorkers({});
    Work(seconds(5));
    CHECK(stops.size() == kTasks);
  }
  SUBCASE("only where they may be interrupted and fit elsewhere") {
    step.max_unavailable = 1;
    RunService();
    ListWorkers({});
    Work(seconds(5));
    CHECK(stops.empty());
    ListWorkers({"w2"});
    Attach("w2");
    Work(seconds(5));
    CHECK(stops.size() == 1);
  }
}

}  // namespace
}  // namespace mangospread::dispatch::test
