// When long-running tasks that have lost their runs start again among short
// tasks on a full fleet.
#include <doctest/doctest.h>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {

// Guards against a long-running task that has lost its run and waits on and on
// for scarce capacity, since short work takes all of it for more than a moment
// each time (LOST).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a lost long-running task takes scarce capacity in time") {
  RunLongRunning("w0", "lasting", 1'000);
  // 11 of 12 cores are used, and the last one has been taken for a second.
  AddWorker("w1", 12'000);
  Run("long", MakeStep(11, 1'000));
  Run("short", MakeStep(1, 1'000));
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  CHECK(Decide().empty());
  now += std::chrono::milliseconds(500);
  CHECK(Decide().empty());
  now += std::chrono::milliseconds(400);
  End("w1", 1, "short.0.0.0", 1, RunEnd::kDone);
  CHECK(Decide().empty());
  now += std::chrono::milliseconds(100);
  const auto restarted = Decide();
  REQUIRE(restarted.size() == 1);
  CHECK(restarted[0].task == "lasting.0.0.0");
}

// Guards against a large long-running task that never finds enough free
// capacity, since smaller tasks that wait use each piece of it (LOST).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a lost long-running task goes before short tasks in time") {
  RunLongRunning("w0", "lasting", 4'000);
  AddWorker("w1", 4'000);
  Run("first", MakeStep(4, 1'000));
  Add("next", {MakeStep(4, 1'000)});
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  now += std::chrono::milliseconds(1'000);
  for (int task = 0; task < 4; ++task) {
    End("w1", static_cast<std::uint64_t>(task) + 1,
        "first.0.0." + std::to_string(task), 1, RunEnd::kDone);
  }
  const auto restarted = Decide();
  REQUIRE(restarted.size() == 1);
  CHECK(restarted[0].task == "lasting.0.0.0");
}

// Guards against a long-running task that has waited for the lease of its
// worker and then waits a second more, in which short tasks use all capacity
// (LOST).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a lost task has waited since its worker fell silent") {
  RunLongRunning("w0", "lasting", 1'000);
  dispatcher.OnDetached(VmName("w0"), now);
  now += std::chrono::seconds(6);
  AddWorker("w1", 1'000);
  Add("short", {MakeStep(1, 1'000)});
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  const auto started = Decide();
  REQUIRE(started.size() == 1);
  CHECK(started[0].task == "lasting.0.0.0");
}

// Guards against a long-running task whose run ended shortly before a takeover,
// and which the new leader takes for one that never ran (LOST).
TEST_CASE_FIXTURE(
    DispatcherFixture,
    "a new leader knows that a pending long-running task has run") {
  AddWorker("w0", 1'000);
  AddWorker("w1", 1'000);
  StepSpec step = MakeStep(2, 1'000);
  step.long_running = true;
  Add("lasting", {step});
  REQUIRE(Decide().size() == 2);
  End("w0", 1, "lasting.0.0.0", 1, RunEnd::kFailed);
  CHECK(save_requests.size() == 1);
  dispatcher.OnWorkerRemoved(VmName("w1"), WorkerRemoval::kLeaseExpired, now);
  CHECK(save_requests.size() == 2);
  const JobProgress stored = dispatcher.Progress(SubmissionId("lasting"));

  Dispatcher next(MakeHooks(), 1'001, MonotonicTime(0));
  next.Restore(MakeSubmission("lasting", {step}), Policy(), stored, now);
  next.Resume();
  WorkerInfo worker;
  worker.vm = VmName("w2");
  worker.service = ServiceName("s");
  worker.capacity.cpu = Millicores(2'000);
  worker.capacity.memory = Mebibytes(128'000);
  next.OnWorker(worker);
  next.OnEvent({worker.vm, WorkerFence(1),
                Attached{WorkerIncarnation(1), 0, {}, {}, {}}},
               now);
  next.Add(MakeSubmission("short", {MakeStep(2, 1'000)}), Policy(), now);
  next.Decide(now);
  const auto started = TakeCommands<StartRun>();
  REQUIRE(started.size() == 2);
  CHECK(started[0].task == "lasting.0.0.0");
  CHECK(started[1].task == "lasting.0.0.1");
}

// Guards against long-running tasks that never ran and go before all short work
// for good after a takeover.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a restored task that never ran waits behind short tasks") {
  StepSpec step = MakeStep(10, 1'000);
  step.long_running = true;
  dispatcher.Restore(MakeSubmission("lasting", {step}), Policy(), JobProgress(),
                     now);
  dispatcher.Resume();
  AddWorker("w0", 10'000);
  Add("short", {MakeStep(1, 1'000)});
  const auto started = Decide();
  REQUIRE_FALSE(started.empty());
  CHECK(started[0].task == "short.0.0.0");
}

// Guards against a lost long-running task of which a new leader does not know
// that it has run, and which waits on and on behind short tasks (LOST).
TEST_CASE_FIXTURE(
    DispatcherFixture,
    "a restored task may have been on a worker whose runs are not known") {
  StepSpec step = MakeStep(1, 2'000);
  step.long_running = true;
  dispatcher.Restore(MakeSubmission("lasting", {step}), Policy(), JobProgress(),
                     now);
  dispatcher.OnRunsUnknown();
  dispatcher.Resume();
  AddWorker("w0", 2'000);
  Add("short", {MakeStep(1, 1'000)});
  const auto started = Decide();
  REQUIRE(started.size() == 1);
  CHECK(started[0].task == "lasting.0.0.0");
}

// Guards against short tasks that wait behind tasks of a step that have never
// run, since another task of the step has lost its run.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "only the tasks that lost their runs go before short tasks") {
  AddWorker("w0", 1'000);
  StepSpec step = MakeStep(10, 1'000);
  step.long_running = true;
  Add("lasting", {step});
  REQUIRE(Decide().size() == 1);
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  now += std::chrono::milliseconds(1'000);
  AddWorker("w1", 2'000);
  Add("short", {MakeStep(1, 1'000)});
  const auto started = Decide();
  REQUIRE(started.size() == 2);
  CHECK(started[0].task == "lasting.0.0.0");
  CHECK(started[1].task == "short.0.0.0");
}

// Guards against a cancellation that stays invisible to its caller until one
// more write is stored, for a run that cannot restart.
TEST_CASE_FIXTURE(
    DispatcherFixture,
    "the loss of a cancelled run does not delay the final state") {
  RunLongRunning("w0", "lasting", 1'000);
  const SubmissionId id("lasting");
  dispatcher.Cancel(id, now);
  const std::uint64_t cancelled = dispatcher.Generation(id);
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  CHECK(save_requests.size() == 1);
  dispatcher.OnSaved(id, cancelled, now);
  CHECK(dispatcher.State(id) == SubmissionState::kCancelled);
}

// Guards against a task that a new leader takes for one that never ran, since
// it was placed again before its loss was stored and the start was refused
// (LOST).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a loss is stored after a second start that is refused") {
  AddWorker("w0", 1'000);
  AddWorker("w1", 1'000);
  StepSpec step = MakeStep(1, 1'000);
  step.long_running = true;
  Add("lasting", {step});
  const auto first = Decide();
  REQUIRE(first.size() == 1);
  now += std::chrono::seconds(1);  // The run is not suspected of a crash.
  dispatcher.OnWorkerRemoved(first[0].vm, WorkerRemoval::kLeaseExpired, now);
  const auto second = Decide();
  REQUIRE(second.size() == 1);
  Save("lasting");
  REQUIRE(dispatcher.Progress(SubmissionId("lasting")).tasks.empty());
  save_requests.clear();
  SUBCASE("refused") {
    Event(second[0].vm.str().c_str(),
          RunNotStarted{second[0].task, second[0].run,
                        CommandOutcome::kNoCapacity});
  }
  SUBCASE("not listed") {
    Event(second[0].vm.str().c_str(),
          Attached{WorkerIncarnation(1), second[0].number, {}, {}, {}});
  }
  CHECK(save_requests.size() == 1);
  CHECK(dispatcher.Progress(SubmissionId("lasting")).tasks.size() == 1);
}

// Guards against a long-running task that has waited for its worker, which then
// comes back without the run, and which waits a second more (LOST).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a lost task has waited since its worker was last heard of") {
  RunLongRunning("w0", "lasting", 1'000);
  Event("w0", RunStarted{"lasting.0.0.0", Attempt(1)});
  SUBCASE("the worker comes back without the run") {
    dispatcher.OnDetached(VmName("w0"), now);
    now += std::chrono::seconds(6);
    Event("w0", Attached{WorkerIncarnation(1), 1, {}, {}, {}});
  }
  SUBCASE("the worker follows another leader") {
    Event("w0", WorkerSuperseded{});
    now += std::chrono::seconds(6);
    AddWorker("w1", 1'000);
    dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  }
  Add("short", {MakeStep(1, 1'000)});
  const auto started = Decide();
  REQUIRE(started.size() == 1);
  CHECK(started[0].task == "lasting.0.0.0");
}

// Guards against a second of waiting that begins anew when a new leader gives
// up a worker of the one before (LOST).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a run that is lost in a takeover has waited long enough") {
  StepSpec step = MakeStep(1, 1'000);
  step.long_running = true;
  dispatcher.Restore(MakeSubmission("lasting", {step}), Policy(), JobProgress(),
                     now);
  AddWorker("w1", 1'000);
  WorkerInfo lost;
  lost.vm = VmName("w0");
  lost.service = ServiceName("s");
  dispatcher.OnWorker(lost);
  dispatcher.AddUnconfirmedRuns(lost.vm, {{"lasting.0.0.0", Attempt(1), false}},
                                now);
  dispatcher.OnWorkerRemoved(lost.vm, WorkerRemoval::kLeaseExpired, now);
  dispatcher.Resume();
  Add("short", {MakeStep(1, 1'000)});
  const auto started = Decide();
  REQUIRE(started.size() == 1);
  CHECK(started[0].task == "lasting.0.0.0");
}

// Guards against a second of waiting that begins anew with each start that a
// worker refuses (LOST).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a refused start does not interrupt the time without a run") {
  RunLongRunning("w0", "lasting", 1'000);
  Event("w0", RunStarted{"lasting.0.0.0", Attempt(1)});
  now += std::chrono::seconds(1);
  dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired, now);
  now += std::chrono::milliseconds(900);
  AddWorker("w1", 1'000);
  const auto refused = Decide();
  REQUIRE(refused.size() == 1);
  Event("w1", RunNotStarted{refused[0].task, refused[0].run,
                            CommandOutcome::kNoCapacity});
  now += std::chrono::milliseconds(400);
  Add("short", {MakeStep(1, 1'000)});
  const auto started = Decide();
  REQUIRE(started.size() == 1);
  CHECK(started[0].task == "lasting.0.0.0");
}

// Guards against a task that fails at once and then goes before all short work
// each time, or one that never ran and does so after its first refused start.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a long-running task waits after a failure and a first "
                  "refusal") {
  RunLongRunning("w0", "lasting", 1'000);
  SUBCASE("failure") {
    now += std::chrono::seconds(2);
    End("w0", 1, "lasting.0.0.0", 1, RunEnd::kFailed);
  }
  SUBCASE("first refusal") {
    Event("w0", RunNotStarted{"lasting.0.0.0", Attempt(1),
                              CommandOutcome::kNoCapacity});
    now += std::chrono::milliseconds(400);
  }
  Add("short", {MakeStep(1, 1'000)});
  const auto started = Decide();
  REQUIRE(started.size() == 1);
  CHECK(started[0].task == "short.0.0.0");
}

}  // namespace mangospread::dispatch::test
