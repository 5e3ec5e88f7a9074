// Which of several runs of a task counts after a takeover.
#include <doctest/doctest.h>

#include <utility>
#include <vector>

#include "unit/dispatch/dispatcher_fixture.hpp"
#include "unit/dispatch/worker_session_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

/// Two workers that do not respond, and one that does.
struct UnconfirmedFixture : DispatcherFixture {
  UnconfirmedFixture() {
    for (const char* vm : {"w1", "w2", "w3"}) AddWorker(vm, 1'000);
    Add("a", {MakeStep(1, 1'000)});
  }

  void Report(const char* vm, std::vector<RunId> runs) {
    dispatcher.AddUnconfirmedRuns(VmName(vm), runs, now);
  }

  const RunId older{"a.0.0.0", Attempt(1)};
  const RunId newer{"a.0.0.0", Attempt(2)};
};

// Guards against a second run: an outdated report hides a newer run of its
// task, which is started again when the older one is given up.
TEST_CASE_FIXTURE(UnconfirmedFixture, "the newest run of a task counts") {
  SUBCASE("two agents, the older run first") {
    Report("w1", {older});
    Report("w2", {newer});
  }
  SUBCASE("two agents, the newer run first") {
    Report("w2", {newer});
    Report("w1", {older});
  }
  SUBCASE("one worker, the older run first") { Report("w2", {older, newer}); }
  SUBCASE("one worker, the newer run first") { Report("w2", {newer, older}); }
  dispatcher.OnWorkerRemoved(VmName("w1"), WorkerRemoval::kLeaseExpired, now);
  CHECK(Decide().empty());
  REQUIRE(dispatcher.Runs(VmName("w2")).size() == 1);
  CHECK(dispatcher.Runs(VmName("w2"))[0].run == newer.run);
  dispatcher.OnWorkerRemoved(VmName("w2"), WorkerRemoval::kLeaseExpired, now);
  CHECK(Decide().size() == 1);
}

// Guards against the same where the worker with the older run lists it.
TEST_CASE_FIXTURE(UnconfirmedFixture,
                  "a listed run that is older than a reported one is stopped") {
  const RunningRun listed{older.task, older.run, {}, 50, 0};
  const Attached attached{WorkerIncarnation(1), 0, {}, {listed}, {}};
  SUBCASE("reported first") {
    Report("w2", {newer});
    Event("w1", attached);
  }
  SUBCASE("listed first") {
    Event("w1", attached);
    Report("w2", {newer});
  }
  const auto stops = TakeCommands<StopRun>();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].vm == VmName("w1"));
  CHECK(stops[0].run == older.run);
  CHECK(dispatcher.Runs(VmName("w2")).size() == 1);
}

// Guards against an agent that forgets the newer of two runs which the leader
// or a former session names.
TEST_CASE_FIXTURE(SessionFixture, "a session keeps the newest run of a task") {
  std::vector<RunId> runs = {{"t", Attempt(2)}, {"t", Attempt(1)}};
  SUBCASE("the newer one first") {}
  SUBCASE("the older one first") { std::swap(runs[0], runs[1]); }
  Assignment assignment;
  assignment.worker.vm = VmName("w1");
  assignment.fence = WorkerFence(6 * kFenceStride);
  assignment.known_runs = runs;
  const auto next = WorkerSession::Create(
      loop, link, assignment, WorkerSessionOptions(), [](const AgentEvent&) {},
      {[this] { return permission; }, [](MonotonicTime) { return true; }},
      [](Timing, MonotonicTime) {});
  REQUIRE(next->CollectRuns());
  REQUIRE(next->CollectRuns()->runs.size() == 1);
  CHECK(next->CollectRuns()->runs[0].run == Attempt(2));
  next->Close();
}

}  // namespace
}  // namespace mangospread::dispatch::test
