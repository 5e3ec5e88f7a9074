#include "dispatch/core/dispatcher.hpp"

#include <doctest/doctest.h>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

// Guards against a task that runs twice: the end is acknowledged, the worker
// discards it, and a scheduler that takes over finds no record of it.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "an end is acknowledged only after it is stored") {
  AddWorker("w1");
  Add("a", {MakeStep(2, 1'000)});
  const auto starts = Decide();
  REQUIRE(starts.size() == 2);
  End("w1", 1, starts[0].task, 1, RunEnd::kDone);
  CHECK(Acknowledged() == 0);
  Save("a");
  CHECK(Acknowledged() == 1);
}

// Guards against a task that runs twice because its end is acknowledged while
// the cancellation of its submission is not stored yet: a scheduler that takes
// over finds the submission still running.
TEST_CASE_FIXTURE(
    DispatcherFixture,
    "an end during an unstored cancellation is not acknowledged") {
  AddWorker("w1");
  Add("a", {MakeStep(1, 1'000)});
  const auto starts = Decide();
  REQUIRE(starts.size() == 1);
  REQUIRE(dispatcher.Cancel(SubmissionId("a"), now));
  End("w1", 1, starts[0].task, 1, RunEnd::kDone);
  CHECK(Acknowledged() == 0);
  Save("a");
  CHECK(Acknowledged() == 1);
}

// Guards against a caller that reads "complete" and later reads "running".
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a complete state is visible only once it is stored") {
  AddWorker("w1");
  Add("a", {MakeStep(1, 1'000)});
  const auto starts = Decide();
  End("w1", 1, starts.at(0).task, 1, RunEnd::kDone);
  CHECK(dispatcher.State(SubmissionId("a")) == SubmissionState::kRunning);
  Save("a");
  CHECK(dispatcher.State(SubmissionId("a")) == SubmissionState::kComplete);
}

// Guards against a dependent step that starts too early.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a step starts after the steps that it depends on") {
  AddWorker("w1");
  StepSpec second = MakeStep(1, 1'000);
  second.after = {0};
  Add("a", {MakeStep(2, 1'000), second});
  const auto starts = Decide();
  REQUIRE(starts.size() == 2);
  End("w1", 1, starts[0].task, 1, RunEnd::kDone);
  CHECK(Decide().empty());
  End("w1", 2, starts[1].task, 1, RunEnd::kDone);
  const auto next = Decide();
  REQUIRE(next.size() == 1);
  CHECK(next[0].task == "a.0.1.0");
}

// Guards against a worker that gets more tasks than its capacity allows.
TEST_CASE_FIXTURE(DispatcherFixture, "a worker is never overloaded") {
  AddWorker("w1", 4'000);
  Add("a", {MakeStep(6, 1'500)});
  const auto starts = Decide();
  CHECK(starts.size() == 2);
  Event("w1", RunNotStarted{starts.at(0).task, Attempt(1),
                            CommandOutcome::kStaleFence});
  CHECK(Decide().size() == 1);
}

// Guards against two runs of a task while the first run's worker is merely
// unreachable.
TEST_CASE_FIXTURE(
    DispatcherFixture,
    "tasks of an unreachable worker restart after its lease expires") {
  AddWorker("w1");
  Add("a", {MakeStep(1, 1'000)});
  REQUIRE(Decide().size() == 1);
  AddWorker("w2");
  Event("w1", WorkerUnreachable{Milliseconds(5'000)});
  CHECK(Decide().empty());
  dispatcher.OnWorkerRemoved(VmName("w1"), WorkerRemoval::kLeaseExpired, now);
  const auto restarts = Decide();
  REQUIRE(restarts.size() == 1);
  CHECK(restarts[0].vm == VmName("w2"));
  CHECK(restarts[0].run == Attempt(2));
}

// Guards against a second start of a task whose start command crosses the
// worker's list in transit, so that the list does not contain it yet.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a start after the agent's list is not treated as lost") {
  AddWorker("w1");
  Add("a", {MakeStep(1, 1'000)});
  const auto starts = Decide();
  REQUIRE(starts.size() == 1);
  Event("w1", Attached{WorkerIncarnation(1), starts[0].number - 1, {}, {}, {}});
  CHECK(Decide().empty());
  Event("w1", Attached{WorkerIncarnation(1), starts[0].number, {}, {}, {}});
  CHECK(Decide().size() == 1);
}

// Guards against counting one failure twice, which fails a submission before
// its attempts are used: after a takeover between storing a failed end and
// acknowledging it, the worker lists the end again (found by hunt run
// hunt-3066-3).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a failed end that is listed again counts once") {
  AddWorker("w1");
  JobProgress progress;
  progress.state = SubmissionState::kRunning;
  TaskProgress failed;
  failed.run = 2;
  failed.failed_runs = {1, 2};
  progress.tasks.push_back(failed);
  dispatcher.Restore(MakeSubmission("a", {MakeStep(1, 1'000)}), Policy(),
                     progress, now);
  dispatcher.Resume();
  End("w1", 1, "a.0.0.0", 1, RunEnd::kFailed);
  End("w1", 2, "a.0.0.0", 2, RunEnd::kFailed);
  CHECK(dispatcher.State(SubmissionId("a")) == SubmissionState::kRunning);
  CHECK(Decide().size() == 1);
}

// Guards against a task that fails more often than its queue allows.
TEST_CASE_FIXTURE(DispatcherFixture, "a submission fails after its attempts") {
  AddWorker("w1");
  Add("a", {MakeStep(1, 1'000)});
  for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
    const auto starts = Decide();
    REQUIRE(starts.size() == 1);
    End("w1", attempt, starts[0].task, attempt, RunEnd::kFailed);
  }
  CHECK(Decide().empty());
  Save("a");
  CHECK(dispatcher.State(SubmissionId("a")) == SubmissionState::kFailed);
}

// Guards against a second run after a takeover: a task that is not stored as
// done may still run on a worker that is not attached yet.
TEST_CASE("restored tasks start only after all workers are known") {
  DispatcherFixture fixture(1'001);
  JobProgress progress;
  progress.tasks.push_back({{0, 0}, true, 1, {}, {}, {}});
  fixture.dispatcher.Restore(DispatcherFixture::MakeSubmission(
                                 "a", {DispatcherFixture::MakeStep(3, 1'000)}),
                             DispatcherFixture::Policy(), progress,
                             fixture.now);
  fixture.AddWorker("w1");
  CHECK(fixture.Decide().empty());
  fixture.dispatcher.OnWorker([] {
    WorkerInfo info;
    info.vm = VmName("w2");
    info.service = ServiceName("s");
    return info;
  }());
  fixture.Event("w2", Attached{WorkerIncarnation(1),
                               0,
                               {},
                               {{"a.0.1.7", Attempt(1), {}, 0, 0},
                                {"a.0.0.1", Attempt(1), {}, 40, 0}},
                               {}});
  // The submission has no task a.0.1.7.
  CHECK(fixture.TakeCommands<StopRun>().size() == 1);
  fixture.dispatcher.Resume();
  const auto starts = fixture.Decide();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task == "a.0.0.2");
  CHECK(starts[0].run == Attempt(1'001));
}

// Guards against a takeover that blocks all restored work until the lease of
// one unreachable worker expires, although an agent reported the worker's runs.
TEST_CASE(
    "only the reported runs of an unreachable worker wait for its lease") {
  DispatcherFixture fixture(1'001);
  fixture.dispatcher.Restore(DispatcherFixture::MakeSubmission(
                                 "a", {DispatcherFixture::MakeStep(2, 1'000)}),
                             DispatcherFixture::Policy(), {}, fixture.now);
  WorkerInfo unreachable;
  unreachable.vm = VmName("w0");
  unreachable.service = ServiceName("s");
  unreachable.draining = true;
  fixture.dispatcher.OnWorker(unreachable);
  fixture.dispatcher.AddUnconfirmedRuns(VmName("w0"), {{"a.0.0.0", Attempt(1)}},
                                        fixture.now);
  fixture.AddWorker("w1");
  fixture.dispatcher.Resume();
  const auto starts = fixture.Decide();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task == "a.0.0.1");
  fixture.dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired,
                                     fixture.now);
  CHECK(fixture.Decide().size() == 1);
}

// Guards against stopping a run that a worker lists because of an agent's
// outdated report about another worker.
TEST_CASE("a listed run takes precedence over a reported one") {
  DispatcherFixture fixture(1'001);
  fixture.dispatcher.Restore(DispatcherFixture::MakeSubmission(
                                 "a", {DispatcherFixture::MakeStep(1, 1'000)}),
                             DispatcherFixture::Policy(), {}, fixture.now);
  WorkerInfo unreachable;
  unreachable.vm = VmName("w0");
  fixture.dispatcher.OnWorker(unreachable);
  fixture.dispatcher.AddUnconfirmedRuns(VmName("w0"), {{"a.0.0.0", Attempt(1)}},
                                        fixture.now);
  WorkerInfo info;
  info.vm = VmName("w1");
  info.service = ServiceName("s");
  fixture.dispatcher.OnWorker(info);
  fixture.Event("w1", Attached{WorkerIncarnation(1),
                               0,
                               {},
                               {{"a.0.0.0", Attempt(2), {}, 40, 0}},
                               {}});
  CHECK(fixture.TakeCommands<StopRun>().empty());
  fixture.dispatcher.OnWorkerRemoved(VmName("w0"), WorkerRemoval::kLeaseExpired,
                                     fixture.now);
  fixture.dispatcher.Resume();
  CHECK(fixture.Decide().empty());
}

// Guards against tasks that are lost with a worker whose shutdown was
// announced.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "long-running tasks of a draining worker move to another") {
  AddWorker("w1");
  StepSpec step = MakeStep(1, 1'000);
  step.long_running = true;
  Add("a", {step});
  const auto starts = Decide();
  REQUIRE(starts.size() == 1);
  Event("w1", RunStarted{starts[0].task, Attempt(1)});
  AddWorker("w2");
  WorkerInfo draining_worker;
  draining_worker.vm = VmName("w1");
  draining_worker.service = ServiceName("s");
  draining_worker.draining = true;
  dispatcher.OnWorker(draining_worker);
  Decide();
  CHECK(TakeCommands<StopRun>().size() == 1);
  End("w1", 1, starts[0].task, 1, RunEnd::kStopped);
  const auto moved = Decide();
  REQUIRE(moved.size() == 1);
  CHECK(moved[0].vm == VmName("w2"));
}

// Guards against runs of a cancelled submission that continue.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a cancelled submission's runs are stopped once stored") {
  AddWorker("w1");
  Add("a", {MakeStep(2, 1'000)});
  REQUIRE(Decide().size() == 2);
  dispatcher.Cancel(SubmissionId("a"), now);
  CHECK(TakeCommands<StopRun>().empty());
  Save("a");
  CHECK(TakeCommands<StopRun>().size() == 2);
  CHECK(dispatcher.State(SubmissionId("a")) == SubmissionState::kCancelled);
  End("w1", 1, "a.0.0.0", 1, RunEnd::kStopped);
  CHECK(Decide().empty());
}

// Guards against a worker that fails every run and therefore attracts more
// work.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a worker on which runs fail is excluded") {
  AddWorker("w1");
  Add("a", {MakeStep(1, 1'000)});
  Add("b", {MakeStep(1, 1'000)});
  REQUIRE(Decide().size() == 2);
  AddWorker("w2", 2'000);
  End("w1", 1, "a.0.0.0", 1, RunEnd::kFailed);
  End("w1", 2, "b.0.0.0", 1, RunEnd::kFailed);
  Add("c", {MakeStep(1, 1'000)});
  const auto starts = Decide();
  REQUIRE(starts.size() == 2);
  for (const StartRun& start : starts) CHECK(start.vm == VmName("w2"));
  CHECK(Decide().empty());
  now += std::chrono::seconds(30);
  const auto later = Decide();
  REQUIRE(later.size() == 1);
  CHECK(later[0].vm == VmName("w1"));
}

// Guards against a gang of which only some members start: they reserve capacity
// without making progress.
TEST_CASE_FIXTURE(DispatcherFixture, "a gang starts as a whole or not at all") {
  AddWorker("w1", 4'000);
  StepSpec step = MakeStep(3, 1'500);
  step.gang = true;
  Add("a", {step});
  CHECK(Decide().empty());
  CHECK(dispatcher.registry().workers()[0].cpu_used == Millicores(0));
  AddWorker("w2", 4'000);
  const auto starts = Decide();
  REQUIRE(starts.size() == 3);
  CHECK(starts[0].run == starts[2].run);
}

// Guards against gang members that wait for one that will never start.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a gang that loses a member restarts as a whole") {
  AddWorker("w1");
  StepSpec step = MakeStep(3, 1'500);
  step.gang = true;
  Add("a", {step});
  REQUIRE(Decide().size() == 3);
  End("w1", 1, "a.0.0.1", 1, RunEnd::kFailed);
  CHECK(TakeCommands<StopRun>().size() == 2);
  CHECK(Decide().empty());
  End("w1", 2, "a.0.0.0", 1, RunEnd::kStopped);
  CHECK(Decide().empty());
  End("w1", 3, "a.0.0.2", 1, RunEnd::kGangMemberEnded);
  const auto restarts = Decide();
  REQUIRE(restarts.size() == 3);
  for (const StartRun& start : restarts) CHECK(start.run == Attempt(2));
  End("w1", 4, "a.0.0.0", 2, RunEnd::kDone);
  Save("a");
  CHECK(dispatcher.State(SubmissionId("a")) == SubmissionState::kComplete);
}

// Guards against a submission that is not counted as pending though every
// worker has refused its starts (MIXED), or that is counted once it has begun.
TEST_CASE_FIXTURE(DispatcherFixture, "a refused start begins nothing") {
  const QueueName queue("q");
  AddWorker("w1");
  Add("a", {MakeStep(1, 1'000)});
  CHECK(dispatcher.Pending(queue) == 1);
  const auto refused = Decide();
  REQUIRE(refused.size() == 1);
  Event("w1", RunNotStarted{refused[0].task, refused[0].run,
                            CommandOutcome::kUnhealthy});
  CHECK(dispatcher.Pending(queue) == 1);
  now += std::chrono::seconds(10);
  const auto started = Decide();
  REQUIRE(started.size() == 1);
  SUBCASE("until a worker accepts one") {
    Event("w1", RunStarted{started[0].task, started[0].run});
  }
  SUBCASE("until it has ended") {
    End("w1", 1, started[0].task, started[0].run.value(), RunEnd::kFailed);
  }
  SUBCASE("until it is cancelled") {
    CHECK(dispatcher.Cancel(SubmissionId("a"), now));
  }
  CHECK(dispatcher.Pending(queue) == 0);
}

// Guards against an occurrence that starts before its time or waits for another
// occurrence.
TEST_CASE_FIXTURE(DispatcherFixture, "each occurrence starts when it is due") {
  AddWorker("w1");
  StepSpec second = MakeStep(1, 1'000);
  second.after = {0};
  Submission submission = MakeSubmission("a", {MakeStep(1, 1'000), second});
  submission.occurrences = 2;
  submission.first_due =
      std::chrono::duration_cast<Milliseconds>(now) + Milliseconds(1'000);
  submission.interval = Milliseconds(500);
  dispatcher.Add(std::move(submission), Policy(), now);
  CHECK(dispatcher.Pending(QueueName("q")) == 0);
  now += std::chrono::milliseconds(990);
  CHECK(Decide().empty());
  now += std::chrono::milliseconds(60);
  const auto first = Decide();
  REQUIRE(first.size() == 1);
  CHECK(first[0].task == "a.0.0.0");
  now += std::chrono::milliseconds(500);
  const auto next = Decide();
  REQUIRE(next.size() == 1);
  CHECK(next[0].task == "a.1.0.0");
  End("w1", 1, "a.1.0.0", 1, RunEnd::kDone);
  const auto dependent = Decide();
  REQUIRE(dependent.size() == 1);
  CHECK(dependent[0].task == "a.1.1.0");
  End("w1", 2, "a.0.0.0", 1, RunEnd::kDone);
  CHECK(Decide().size() == 1);
  End("w1", 3, "a.0.1.0", 1, RunEnd::kDone);
  End("w1", 4, "a.1.1.0", 1, RunEnd::kDone);
  Save("a");
  CHECK(dispatcher.State(SubmissionId("a")) == SubmissionState::kComplete);
}

// Guards against more tasks of a step on one worker than the caller allows, and
// against a worker without the required label.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "placement satisfies a step's constraints") {
  WorkerInfo labelled;
  labelled.vm = VmName("w1");
  labelled.service = ServiceName("s");
  labelled.labels = {Label("kind")};
  labelled.capacity.cpu = Millicores(32'000);
  dispatcher.OnWorker(labelled);
  Event("w1", Attached{WorkerIncarnation(1), 0, {}, {}, {}});
  AddWorker("w2");
  StepSpec step = MakeStep(3, 1'000);
  step.required_label = Label("kind");
  step.max_per_worker = 2;
  Add("a", {step});
  const auto starts = Decide();
  REQUIRE(starts.size() == 2);
  for (const StartRun& start : starts) CHECK(start.vm == VmName("w1"));
  dispatcher.OnWorker([] {
    WorkerInfo other;
    other.vm = VmName("w3");
    other.service = ServiceName("another");
    other.labels = {Label("kind")};
    return other;
  }());
  Event("w3", Attached{WorkerIncarnation(1), 0, {}, {}, {}});
  CHECK(Decide().empty());
}

}  // namespace
}  // namespace mangospread::dispatch::test
