// Guards against a task that crashes worker after worker, and against giving up
// the tasks beside it (incident 2026-12-04, crashing tasks).
#include <doctest/doctest.h>

#include "dispatch/policy/lost_run.hpp"
#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// After three workers have crashed under a task, it may be started two more
/// times.
constexpr int kMaxStarts = 5;

LostRun MakeLostRun(MonotonicTime exposure, int earlier_losses = 0,
                    int earlier_suspicions = 0) {
  LostRun lost;
  lost.exposure = exposure;
  lost.earlier_losses = earlier_losses;
  lost.earlier_suspicions = earlier_suspicions;
  return lost;
}

std::vector<Suspicion> Suspicions(std::vector<LostRun> lost,
                                  bool process_ended = true) {
  AssignSuspicion(lost, process_ended);
  std::vector<Suspicion> suspicions;
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
        std::vector{kShared, kNone});
}

TEST_CASE("a task is given up on strong evidence or after many losses") {
  const auto crashes = [](Suspicion suspicion, int losses, int suspicions) {
    LostRun lost = MakeLostRun(milliseconds(5), losses, suspicions);
    lost.suspicion = suspicion;
    return CrashesWorkers(lost);
  };
  CHECK_FALSE(crashes(Suspicion::kSole, 0, 0));
  CHECK_FALSE(crashes(Suspicion::kSole, 1, 0));
  CHECK(crashes(Suspicion::kSole, 1, 1));
  CHECK_FALSE(crashes(Suspicion::kShared, 2, 2));
  CHECK_FALSE(crashes(Suspicion::kPresent, 2, 0));
  CHECK_FALSE(crashes(Suspicion::kNone, kMaxStarts, kMaxStarts));
  // The last start that is allowed has been used.
  CHECK(crashes(Suspicion::kShared, kMaxStarts - 1, 0));
  CHECK(crashes(Suspicion::kPresent, kMaxStarts - 1, 0));
}

struct CrashFixture : DispatcherFixture {
  CrashFixture() {
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

TEST_CASE("losses are counted across leaders") {
  CrashFixture former;
  former.Add("a", {DispatcherFixture::MakeStep(1, 1'000)});
  former.Crash(former.Decide().at(0).vm);
  CrashFixture next;
  next.dispatcher.Restore(DispatcherFixture::MakeSubmission(
                              "a", {DispatcherFixture::MakeStep(1, 1'000)}),
                          DispatcherFixture::Policy(),
                          former.dispatcher.Progress(SubmissionId("a")),
                          next.now);
  next.dispatcher.Resume();
  next.Crash(next.Decide().at(0).vm);
  CHECK(next.StateOf("a") == SubmissionState::kFailed);
}

}  // namespace
}  // namespace mangospread::dispatch::test
