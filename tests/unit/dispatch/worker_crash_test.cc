// Guards against a task that crashes worker after worker, and against giving up
// the tasks beside it (incident 2026-12-04, crashing tasks).
#include <doctest/doctest.h>

#include "dispatch/peer/frames.hpp"
#include "dispatch/policy/lost_run.hpp"
#include "unit/dispatch/dispatcher_fixture.hpp"
#include "unit/dispatch/worker_session_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// After three workers have crashed under a task, it may be started two more
/// times.
constexpr int kMaxStarts = 5;

LostRun MakeLostRun(MonotonicTime exposure) {
  LostRun lost;
  lost.exposure = exposure;
  return lost;
}

std::vector<Suspicion> Suspicions(std::vector<LostRun> lost,
                                  bool process_ended = true) {
  AssignSuspicion(lost, process_ended);
  std::vector<Suspicion> suspicions;
  suspicions.reserve(lost.size());
  for (const LostRun& run : lost) suspicions.push_back(run.suspicion);
  return suspicions;
}

TEST_CASE("the run that had just started is suspected of a crash") {
  const LostRun started_later = MakeLostRun(milliseconds(-1));
  const LostRun just_started = MakeLostRun(milliseconds(5));
  const LostRun working = MakeLostRun(seconds(1));
  const LostRun long_working = MakeLostRun(seconds(60));
  using enum Suspicion;
  CHECK(Suspicions({just_started, working, started_later}) ==
        std::vector{kSole, kNone, kNone});
  CHECK(Suspicions({just_started, just_started, working}) ==
        std::vector{kShared, kShared, kNone});
  CHECK(Suspicions({working, long_working, started_later}) ==
        std::vector{kPresent, kNone, kNone});
  // The worker may only have been cut off.
  CHECK(Suspicions({working, long_working}, false) ==
        std::vector{kNone, kNone});
  CHECK(Suspicions({just_started, working}, false) ==
        std::vector{kPresent, kNone});
}

// Guards against a submission that fails although its task was not on the
// worker when that crashed (karaagac-travers, crashing.toml --seed 130).
TEST_CASE("a start without a reply is no certain loss") {
  LostRun run = MakeLostRun(milliseconds(5));
  const auto certain = [&run](bool process_ended) {
    std::vector<LostRun> lost = {run};
    AssignSuspicion(lost, process_ended);
    return lost[0].certain;
  };
  CHECK_FALSE(certain(true));
  run.start_confirmed = true;
  CHECK(certain(true));
  // The worker may only have been cut off.
  CHECK_FALSE(certain(false));
}

TEST_CASE("a task is given up on strong evidence or after many losses") {
  using enum Suspicion;
  const auto crashes = [](std::vector<TaskLoss> losses) {
    LostRun lost;
    lost.suspicion = losses.back().suspicion;
    lost.certain = losses.back().certain;
    losses.pop_back();
    lost.earlier = std::move(losses);
    return CrashesWorkers(lost);
  };
  const TaskLoss sole{1, kSole, true};
  const TaskLoss sole_unconfirmed{1, kSole, false};
  const TaskLoss shared{1, kShared, true};
  const TaskLoss shared_unconfirmed{1, kShared, false};
  const TaskLoss present{1, kPresent, true};
  CHECK_FALSE(crashes({sole}));
  CHECK(crashes({sole, sole}));
  CHECK(crashes({shared, sole}));
  // The worker may have been cut off, so the task may never have been there.
  CHECK_FALSE(crashes({sole, sole_unconfirmed}));
  CHECK_FALSE(crashes({shared_unconfirmed, sole}));
  CHECK(crashes({sole_unconfirmed, sole_unconfirmed, sole_unconfirmed}));
  CHECK_FALSE(crashes({shared, shared, shared}));
  CHECK_FALSE(crashes({present, present, present}));
  CHECK_FALSE(crashes({sole, sole, {1, kNone, false}}));
  // All but the last start that is allowed have been used.
  CHECK(crashes({shared, shared, shared, shared}));
  CHECK(crashes({present, present, present, present}));
  CHECK_FALSE(crashes(
      {shared, shared_unconfirmed, shared_unconfirmed, shared_unconfirmed}));
}

struct CrashFixture : DispatcherFixture {
  explicit CrashFixture(std::uint32_t first_run = 1)
      : DispatcherFixture(first_run) {
    for (const char* name : {"w1", "w2", "w3", "w4"}) AddWorker(name);
    // The workers have been up for a while.
    now += seconds(10);
  }

  void Confirm(const StartRun& start) {
    Event(start.vm.str().c_str(), RunStarted{start.task, start.run});
  }

  /// The worker stops responding now; later another process replies.
  void Crash(const VmName& vm) {
    Event(vm.str().c_str(), WorkerLoad{{}, false});
    now += seconds(2);
    Event(vm.str().c_str(), WorkerEnded{});
    AddWorker(vm.str().c_str());
    now += seconds(1);
    for (const SubmissionId& id : std::exchange(save_requests, {})) {
      Save(id.str().c_str());
    }
  }

  [[nodiscard]] SubmissionState StateOf(const char* id) {
    Save(id);
    return dispatcher.State(SubmissionId(id)).value();
  }
};

TEST_CASE_FIXTURE(CrashFixture, "a task that crashes each worker is given up") {
  milliseconds crash_delay(0);
  SUBCASE("before the reply to the start") {}
  SUBCASE("right after its start") { crash_delay = milliseconds(10); }
  SUBCASE("after some work") { crash_delay = milliseconds(2'000); }
  Add("a", {MakeStep(1, 1'000)});
  int starts = 0;
  while (StateOf("a") != SubmissionState::kFailed && starts <= kMaxStarts) {
    const auto started = Decide();
    REQUIRE(started.size() == 1);
    ++starts;
    now += crash_delay;
    if (crash_delay.count() > 0) Confirm(started[0]);
    Crash(started[0].vm);
  }
  CHECK(starts <= kMaxStarts);
}

TEST_CASE_FIXTURE(CrashFixture, "a task that restarts in place is given up") {
  Add("a", {MakeStep(1, 1'000)});
  int starts = 0;
  std::uint64_t incarnation = 1;
  while (StateOf("a") != SubmissionState::kFailed && starts <= kMaxStarts) {
    const auto started = Decide();
    REQUIRE(started.size() == 1);
    ++starts;
    Event(started[0].vm.str().c_str(),
          Attached{WorkerIncarnation(++incarnation), 1'000, {}, {}, {}});
    now += seconds(1);
  }
  CHECK(starts <= kMaxStarts);
}

TEST_CASE_FIXTURE(CrashFixture, "the tasks beside a crashing one complete") {
  // Both start on the same worker at the same time, and beside a third one.
  for (const char* name : {"w2", "w3", "w4"}) {
    Event(name, WorkerLoad{{}, false});
  }
  Add("old", {MakeStep(1, 1'000)});
  Confirm(Decide().at(0));
  now += seconds(1);
  Add("crashing", {MakeStep(1, 1'000)});
  Add("beside", {MakeStep(1, 1'000)});
  REQUIRE(Decide().size() == 2);
  for (const char* name : {"w2", "w3", "w4"}) {
    Event(name, WorkerLoad{{}, true});
  }
  Crash(VmName("w1"));
  for (int round = 0; round < kMaxStarts; ++round) {
    std::map<VmName, int> starts_on;
    std::optional<VmName> crashed;
    for (const StartRun& start : Decide()) {
      ++starts_on[start.vm];
      Confirm(start);
      if (start.task == "crashing.0.0.0") crashed = start.vm;
    }
    for (const auto& [vm, starts] : starts_on) CHECK(starts == 1);
    if (crashed) Crash(*crashed);
    now += seconds(1);
  }
  CHECK(StateOf("crashing") == SubmissionState::kFailed);
  CHECK(StateOf("beside") == SubmissionState::kRunning);
  CHECK(StateOf("old") == SubmissionState::kRunning);
}

TEST_CASE_FIXTURE(CrashFixture,
                  "a worker that has just started a suspected task waits") {
  Add("a", {MakeStep(1, 1'000)});
  Crash(Decide().at(0).vm);
  const auto again = Decide();
  REQUIRE(again.size() == 1);
  Add("b", {MakeStep(8, 1'000)});
  for (const StartRun& start : Decide()) CHECK(start.vm != again[0].vm);
  now += seconds(1);
  Add("c", {MakeStep(8, 1'000)});
  int on_same_worker = 0;
  for (const StartRun& start : Decide()) {
    on_same_worker += start.vm == again[0].vm ? 1 : 0;
  }
  CHECK(on_same_worker > 0);
}

TEST_CASE_FIXTURE(CrashFixture, "a silent worker gets no further starts") {
  for (const char* name : {"w1", "w2", "w3"}) {
    Event(name, WorkerLoad{{}, false});
  }
  Add("a", {MakeStep(8, 1'000)});
  for (const StartRun& start : Decide()) CHECK(start.vm == VmName("w4"));
  Event("w4", WorkerLoad{{}, false});
  Add("b", {MakeStep(1, 1'000)});
  CHECK(Decide().empty());
  Event("w4", WorkerLoad{{}, true});
  CHECK(Decide().size() == 1);
}

TEST_CASE_FIXTURE(CrashFixture, "a planned end of a worker is not a crash") {
  Add("a", {MakeStep(1, 1'000)});
  for (int round = 0; round <= kMaxStarts; ++round) {
    const auto started = Decide();
    REQUIRE(started.size() == 1);
    WorkerInfo info = dispatcher.registry()
                          .workers()[static_cast<std::size_t>(
                              dispatcher.registry().Find(started[0].vm))]
                          .info;
    info.draining = true;
    dispatcher.OnWorker(info);
    Crash(started[0].vm);
  }
  CHECK(StateOf("a") == SubmissionState::kRunning);
}

// Guards against a long-running task that is given up after some crashes of
// workers during its life.
TEST_CASE_FIXTURE(CrashFixture,
                  "a run that has worked for long is no suspect") {
  StepSpec step = MakeStep(1, 1'000);
  step.long_running = true;
  Add("a", {step});
  for (int round = 0; round <= 2 * kMaxStarts; ++round) {
    const auto started = Decide();
    REQUIRE(started.size() == 1);
    Confirm(started[0]);
    now += round % 2 == 0 ? seconds(2) : seconds(60);
    Crash(started[0].vm);
  }
  CHECK(StateOf("a") == SubmissionState::kRunning);
}

// Guards against a crash that no leader remembers, if the leader is lost right
// after the task has started again.
TEST_CASE_FIXTURE(CrashFixture,
                  "a suspected task waits until its loss is stored") {
  Add("a", {MakeStep(1, 1'000)});
  const StartRun start = Decide().at(0);
  Event(start.vm.str().c_str(), WorkerEnded{});
  now += seconds(1);
  CHECK(Decide().empty());
  Save("a");
  CHECK(Decide().size() == 1);
}

// Guards against a suspected task that cannot be told from the tasks that start
// with it, as when a new leader starts all that waits.
TEST_CASE_FIXTURE(CrashFixture, "a suspected task starts before the others") {
  Add("crashing", {MakeStep(1, 1'000)});
  Crash(Decide().at(0).vm);
  Add("urgent", {MakeStep(24, 1'000)});
  now += seconds(1);
  std::map<VmName, int> starts_on;
  std::optional<VmName> suspected;
  for (const StartRun& start : Decide()) {
    ++starts_on[start.vm];
    if (start.task == "crashing.0.0.0") suspected = start.vm;
  }
  REQUIRE(suspected);
  CHECK(starts_on[*suspected] == 1);
  CHECK(starts_on.size() == 4);
}

// Guards against a crash that another run on the worker explains as well.
TEST_CASE_FIXTURE(CrashFixture, "a suspected task gets the quietest worker") {
  Add("a", {MakeStep(1, 1'000)});
  const StartRun start = Decide().at(0);
  Event(start.vm.str().c_str(), WorkerEnded{});
  AddWorker(start.vm.str().c_str());
  // w4 is the most used worker, but the others have started something since.
  const auto others_respond = [this](bool responding) {
    for (const char* name : {"w1", "w2", "w3"}) {
      Event(name, WorkerLoad{{}, responding});
    }
  };
  others_respond(false);
  Add("old", {MakeStep(8, 1'000)});
  CHECK(Decide().size() == 8);
  others_respond(true);
  now += milliseconds(400);
  Add("new", {MakeStep(3, 1'000)});
  CHECK(Decide().size() == 3);
  now += milliseconds(400);
  Save("a");
  CHECK(Decide().at(0).vm == VmName("w4"));
}

TEST_CASE_FIXTURE(CrashFixture, "a suspected task waits for a quiet worker") {
  Add("a", {MakeStep(1, 1'000)});
  const StartRun start = Decide().at(0);
  Event(start.vm.str().c_str(), WorkerEnded{});
  AddWorker(start.vm.str().c_str());
  // Every worker starts something before the loss is stored.
  Add("b", {MakeStep(40, 1'000)});
  CHECK(Decide().size() == 40);
  Save("a");
  CHECK(Decide().empty());
  now += milliseconds(400);
  CHECK(Decide().size() == 1);
}

TEST_CASE("losses are counted across leaders") {
  CrashFixture former;
  former.Add("a", {DispatcherFixture::MakeStep(1, 1'000)});
  const StartRun start = former.Decide().at(0);
  former.Confirm(start);
  former.Crash(start.vm);
  CrashFixture next;
  next.dispatcher.Restore(DispatcherFixture::MakeSubmission(
                              "a", {DispatcherFixture::MakeStep(1, 1'000)}),
                          DispatcherFixture::Policy(),
                          former.dispatcher.Progress(SubmissionId("a")),
                          next.now);
  next.dispatcher.Resume();
  const StartRun again = next.Decide().at(0);
  next.Confirm(again);
  next.Crash(again.vm);
  CHECK(next.StateOf("a") == SubmissionState::kFailed);
}

/// A worker whose process ends while no leader learns of it, and a next leader
/// to which its agent reports the runs.
struct ReportedCrashFixture : SessionFixture {
  ReportedCrashFixture() {
    next.dispatcher.Restore(DispatcherFixture::MakeSubmission(
                                "a", {DispatcherFixture::MakeStep(2, 1'000)}),
                            DispatcherFixture::Policy(), {}, next.now);
  }

  /// Replaces the session by one of another agent.
  void Reassign(Assignment assignment) {
    assignment.worker.vm = VmName("w1");
    assignment.fence = WorkerFence(6 * kFenceStride);
    session->Close();
    session = WorkerSession::Create(
        loop, link, std::move(assignment), WorkerSessionOptions(),
        [](const AgentEvent&) {},
        {[] { return Permission::kStarts; },
         [](MonotonicTime) { return true; }},
        [](Timing, MonotonicTime) {});
    session->Begin();
  }

  /// The worker stops responding; later another process replies.
  void CrashWorker() {
    link->error = Errc::kConnectionLost;
    RunFor(milliseconds(150));
    link->error = Errc::kNotOwner;
    RunFor(milliseconds(400));
  }

  /// Reports the runs that the session knows. Returns the loss that counts
  /// against the task whose run is lost.
  TaskLoss ReportTo(CrashFixture& leader) const {
    const auto collected = session->CollectRuns();
    REQUIRE(collected);
    REQUIRE(collected->ended);
    const auto decoded = DecodeFrame(EncodeFrame(*collected));
    REQUIRE(decoded.ok());
    const auto& report = std::get<FormerLeaderRuns>(decoded.value());
    const VmName vm("w1");
    leader.dispatcher.AddUnconfirmedRuns(vm, report.runs, leader.now);
    leader.dispatcher.OnWorkerRemoved(vm, WorkerRemoval::kProcessEnded,
                                      leader.now);
    leader.Save("a");
    const auto progress = leader.dispatcher.Progress(SubmissionId("a"));
    REQUIRE(progress.tasks.size() == 1);
    REQUIRE(progress.tasks[0].losses.size() == 1);
    return progress.tasks[0].losses[0];
  }

  CrashFixture next{1'001};
};

// Guards against a task that crashes its workers beyond the limit since the
// loss of a run counts as uncertain if the leader that started it is lost, too
// (previsur-cuotas, crashing.toml --vary --seed 998011042302: BUDGET).
TEST_CASE_FIXTURE(ReportedCrashFixture,
                  "a crash counts the same if the leader is lost, too") {
  RunFor(milliseconds(50));
  session->Start(MakeStart(1));
  RunFor(milliseconds(10));
  CrashWorker();
  const TaskLoss loss = ReportTo(next);
  CHECK(loss.suspicion == Suspicion::kSole);
  CHECK(loss.certain);
  next.dispatcher.Resume();
  const auto started = next.Decide();
  const auto again = std::find_if(
      started.begin(), started.end(),
      [](const StartRun& start) { return start.task == "a.0.0.1"; });
  REQUIRE(again != started.end());
  next.Confirm(*again);
  next.Crash(again->vm);
  CHECK(next.StateOf("a") == SubmissionState::kFailed);
}

// Guards against a submission that fails although its task was not on the
// worker when that crashed.
TEST_CASE_FIXTURE(ReportedCrashFixture,
                  "a reported start without a reply is no certain loss") {
  RunFor(milliseconds(50));
  link->outcome = CommandOutcome::kUnknown;
  session->Start(MakeStart(1));
  CrashWorker();
  CHECK_FALSE(ReportTo(next).certain);
}

// Guards against a run that the worker has listed, but that counts as
// uncertain since another session has sent its start.
TEST_CASE_FIXTURE(ReportedCrashFixture, "a listed run is a certain loss") {
  link->report.running = {{"a.0.0.1", Attempt(1), {}, 40, 0}};
  Assignment assignment;
  assignment.known_runs = std::vector{RunId{"a.0.0.1", Attempt(1), true}};
  Reassign(std::move(assignment));
  RunFor(milliseconds(50));
  CrashWorker();
  // It has worked since it was listed, so it is no suspect.
  const auto collected = session->CollectRuns();
  REQUIRE(collected);
  REQUIRE(collected->runs.size() == 1);
  CHECK(collected->runs[0].confirmed);
  CHECK_FALSE(collected->runs[0].just_started);
}

// Guards against a loss that counts as uncertain since the worker was assigned
// to another agent after it had fallen silent.
TEST_CASE_FIXTURE(ReportedCrashFixture,
                  "the next agent of a worker knows which starts it accepted") {
  bool accepted = false;
  SUBCASE("with a reply to the start") { accepted = true; }
  SUBCASE("without") {}
  CrashFixture former;
  for (const char* name : {"w2", "w3", "w4"}) {
    former.Event(name, WorkerLoad{{}, false});
  }
  former.Add("a", {DispatcherFixture::MakeStep(1, 1'000)});
  const auto started = former.Decide();
  REQUIRE(started.size() == 1);
  REQUIRE(started[0].vm == VmName("w1"));
  if (accepted) former.Confirm(started[0]);
  former.Event("w1", WorkerLoad{{}, false});
  Assignment assignment;
  assignment.known_runs = former.dispatcher.Runs(VmName("w1"));
  // That agent does not reach the worker before the process has ended.
  link->error = Errc::kNotOwner;
  Reassign(std::move(assignment));
  RunFor(milliseconds(50));
  CHECK(ReportTo(next).certain == accepted);
}

}  // namespace
}  // namespace mangospread::dispatch::test
