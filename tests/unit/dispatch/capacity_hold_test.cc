// Capacity that is held for long-running tasks that lost their workers.
#include <doctest/doctest.h>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {

// Guards against a lost long-running task that goes first but never fits, since
// smaller tasks take each piece of capacity as soon as it becomes free (LOST).
TEST_CASE_FIXTURE(
    DispatcherFixture,
    "pieces of capacity are held until a lost long-running task fits") {
  RunLongRunning("w0", "lasting", 4'000);
  AddWorker("w1", 4'000);
  Run("first", MakeStep(4, 1'000));
  Add("next", {MakeStep(8, 1'000)});
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  now += std::chrono::milliseconds(1'000);
  for (int task = 0; task < 4; ++task) {
    CHECK(Decide().empty());
    End("w1", static_cast<std::uint64_t>(task) + 1,
        "first.0.0." + std::to_string(task), 1, RunEnd::kDone);
    now += std::chrono::milliseconds(100);
  }
  const auto restarted = Decide();
  REQUIRE(restarted.size() == 1);
  CHECK(restarted[0].task == "lasting.0.0.0");
}

// Guards against a lost long-running task that waits beside a worker with
// enough capacity, since that is held for an earlier, larger one that fits
// nowhere (LOST).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a lost task that fits starts on capacity held for a larger "
                  "one") {
  StepSpec step = RunLongRunning("w0", "larger", 4'000);
  AddWorker("w1", 2'000);
  step.cpu = Millicores(2'000);
  Add("smaller", {step});
  REQUIRE(Decide().size() == 1);
  AddWorker("w2", 4'000);
  StepSpec slow = MakeStep(4, 1'000);
  slow.estimate = Milliseconds(20'000);
  Add("slow", {slow});
  REQUIRE(Decide().size() == 4);
  Add("next", {MakeStep(8, 1'000)});
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  dispatcher.OnWorkerRemoved(VmName("w1"), WorkerRemoval::kLeaseExpired, now);
  now += std::chrono::milliseconds(1'000);
  End("w2", 1, "slow.0.0.0", 1, RunEnd::kDone);
  // The piece is held for either of them.
  CHECK(Decide().empty());
  End("w2", 2, "slow.0.0.1", 1, RunEnd::kDone);
  const auto restarted = Decide();
  REQUIRE(restarted.size() == 1);
  CHECK(restarted[0].task == "smaller.0.0.0");
  CHECK(restarted[0].vm == VmName("w2"));
}

// Guards against capacity that is held on more workers than the lost tasks
// need, or on one where other long-running tasks leave no room for them.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "capacity for a lost task is held on the worker that is free "
                  "soonest") {
  StepSpec step = RunLongRunning("w0", "lasting", 4'000);
  AddWorker("w1", 4'000);
  step.cpu = Millicores(2'000);
  Add("stays", {step});
  REQUIRE(Decide().size() == 1);
  Run("beside", MakeStep(2, 1'000));
  AddWorker("w2", 4'000);
  StepSpec slow = MakeStep(4, 1'000);
  slow.estimate = Milliseconds(9'000);
  Add("slow", {slow});
  REQUIRE(Decide().size() == 4);
  AddWorker("w3", 4'000);
  Run("quick", MakeStep(4, 1'000));
  Add("next", {MakeStep(8, 1'000)});
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  now += std::chrono::milliseconds(1'000);
  End("w1", 1, "beside.0.0.0", 1, RunEnd::kDone);
  End("w2", 1, "slow.0.0.0", 1, RunEnd::kDone);
  End("w3", 1, "quick.0.0.0", 1, RunEnd::kDone);
  const auto started = Decide();
  REQUIRE(started.size() == 2);
  CHECK(started[0].vm == VmName("w1"));
  CHECK(started[1].vm == VmName("w2"));
}

// Guards against capacity that is held beside a short run that never ends.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "capacity is not held where a run is long overdue") {
  RunLongRunning("w0", "lasting", 2'000);
  AddWorker("w1", 2'000);
  Run("hangs", MakeStep(2, 1'000));
  now += std::chrono::seconds(10);
  AddWorker("w2", 2'000);
  Run("quick", MakeStep(2, 1'000));
  Add("next", {MakeStep(4, 1'000)});
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  now += std::chrono::milliseconds(1'000);
  End("w1", 1, "hangs.0.0.0", 1, RunEnd::kDone);
  End("w2", 1, "quick.0.0.0", 1, RunEnd::kDone);
  const auto started = Decide();
  REQUIRE(started.size() == 1);
  CHECK(started[0].vm == VmName("w1"));
}

// Guards against capacity that is held where nothing can start for the moment,
// while smaller tasks use each piece of it on the other workers (LOST).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "capacity is not held on a worker that refuses starts") {
  RunLongRunning("w0", "lasting", 4'000);
  // w1 would have enough capacity at once, w2 only when its runs have ended.
  AddWorker("w2", 4'000);
  StepSpec first = MakeStep(4, 1'000);
  first.estimate = Milliseconds(1'100);
  Add("first", {first});
  REQUIRE(Decide().size() == 4);
  dispatcher.OnDetached(VmName("w0"), now);
  now += std::chrono::milliseconds(900);
  AddWorker("w1", 4'000);
  SUBCASE("it has refused a start") {
    Add("refused", {MakeStep(1, 1'000)});
    const auto refused = Decide();
    REQUIRE(refused.size() == 1);
    REQUIRE(refused[0].vm == VmName("w1"));
    dispatcher.Cancel(SubmissionId("refused"), now);
    Event("w1", RunNotStarted{refused[0].task, refused[0].run,
                              CommandOutcome::kNoCapacity});
  }
  SUBCASE("an unknown run is being stopped there") {
    Event("w1", Attached{WorkerIncarnation(1),
                         0,
                         {},
                         {{"unknown.0.0.0", Attempt(1), {}, 0, 0}},
                         {}});
  }
  now += std::chrono::milliseconds(100);
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  Add("next", {MakeStep(4, 1'000)});
  End("w2", 1, "first.0.0.0", 1, RunEnd::kDone);
  CHECK(Decide().empty());
}

// Guards against capacity that is held on a worker which starts nothing until a
// suspected task has run there for a while, though another one is free sooner.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "the hold counts the time until a worker starts anything") {
  RunLongRunning("w0", "lasting", 2'000);
  AddWorker("w2", 2'000);
  StepSpec first = MakeStep(2, 1'000);
  first.estimate = Milliseconds(1'100);
  Add("first", {first});
  REQUIRE(Decide().size() == 2);
  AddWorker("w3", 1'000);
  Run("suspected", MakeStep(1, 1'000));
  dispatcher.OnWorkerRemoved(VmName("w3"), WorkerRemoval::kProcessEnded, now);
  Save("suspected");
  AddWorker("w1", 3'000);
  dispatcher.OnDetached(VmName("w0"), now);
  now += std::chrono::seconds(1);
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  const auto started = Decide();
  REQUIRE(started.size() == 1);
  REQUIRE(started[0].vm == VmName("w1"));
  Add("next", {MakeStep(4, 1'000)});
  End("w2", 1, "first.0.0.0", 1, RunEnd::kDone);
  CHECK(Decide().empty());
}

// Guards against steps with nothing to hold capacity for that use up the bound
// of a round, so that a lost task gets no hold (LOST).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "only steps with a hold count for the bound of a round") {
  StepSpec step = MakeStep(1, 5'000);
  step.long_running = true;
  dispatcher.Restore(
      MakeSubmission("unknown", std::vector<StepSpec>(2'000, step)), Policy(),
      JobProgress(), now);
  dispatcher.OnRunsUnknown();
  dispatcher.Resume();
  AddWorker("w0", 4'000);
  step.cpu = Millicores(4'000);
  Add("lasting", {step});
  REQUIRE(Decide().size() == 1);
  AddWorker("w1", 4'000);
  Run("first", MakeStep(4, 1'000));
  Add("next", {MakeStep(4, 1'000)});
  dispatcher.OnDetached(VmName("w0"), now);
  now += std::chrono::seconds(1);
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  End("w1", 1, "first.0.0.0", 1, RunEnd::kDone);
  CHECK(Decide().empty());
}

}  // namespace mangospread::dispatch::test
