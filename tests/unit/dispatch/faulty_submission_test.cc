// Guards against failures of submissions that are counted against workers.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kTick = milliseconds(100);
constexpr MonotonicTime kGoodTime = seconds(1);
constexpr MonotonicTime kFailTime = milliseconds(200);

/// Workers with simulated runs. Tasks of submissions whose id begins with "bad"
/// fail on every worker, and all tasks fail on the faulty workers.
struct SimulatedSite : DispatcherFixture {
  explicit SimulatedSite(int workers) {
    for (int i = 0; i < workers; ++i) {
      AddWorker(("w" + std::to_string(i)).c_str());
    }
  }

  void Submit(const std::string& id, int tasks) {
    Add(id.c_str(), {MakeStep(tasks, 1'000)});
    if (!id.starts_with("bad")) submitted[id] = now;
  }

  /// Advances the time and lets runs end and start.
  void Tick() {
    now += kTick;
    std::vector<Run> ended;
    std::erase_if(runs, [&](const Run& run) {
      if (run.end > now) return false;
      ended.push_back(run);
      return true;
    });
    for (const Run& run : ended) EndRun(run, run.kind);
    for (const StartRun& start : Decide()) Start(start);
    for (const StopRun& stop : TakeCommands<StopRun>()) Stop(stop);
    for (const SubmissionId& id : std::exchange(save_requests, {})) {
      Save(id.str().c_str());
      NoteState(id.str());
    }
    for (const StopRun& stop : TakeCommands<StopRun>()) Stop(stop);
    int excluded = 0;
    for (const WorkerState& worker : dispatcher.registry().workers()) {
      if (now < worker.excluded_until) ++excluded;
    }
    most_excluded = std::max(most_excluded, excluded);
  }

  struct Run {
    std::string vm;
    std::string task;
    std::uint64_t run = 0;
    RunEnd kind = RunEnd::kDone;
    MonotonicTime end{0};
  };

  void Start(const StartRun& start) {
    const std::string vm = start.vm.str();
    const bool fails = start.task.starts_with("bad") || faulty.contains(vm);
    runs.push_back({vm, start.task, start.run.value(),
                    fails ? RunEnd::kFailed : RunEnd::kDone,
                    now + (fails ? kFailTime : kGoodTime)});
    Event(vm.c_str(), RunStarted{start.task, start.run});
  }

  void Stop(const StopRun& stop) {
    const auto it = std::find_if(runs.begin(), runs.end(), [&](const Run& run) {
      return run.task == stop.task;
    });
    if (it == runs.end()) return;
    const Run run = *it;
    runs.erase(it);
    EndRun(run, RunEnd::kStopped);
  }

  void EndRun(const Run& run, RunEnd kind) {
    End(run.vm.c_str(), ++ends[run.vm], run.task, run.run, kind);
  }

  void NoteState(const std::string& id) {
    const auto it = submitted.find(id);
    if (it == submitted.end()) return;
    const auto state = dispatcher.State(SubmissionId(id));
    if (state == SubmissionState::kComplete) {
      longest = std::max(longest, now - it->second);
      submitted.erase(it);
    } else if (state == SubmissionState::kFailed) {
      ++failed;
      submitted.erase(it);
    }
  }

  std::set<std::string> faulty;
  std::vector<Run> runs;
  std::map<std::string, std::uint64_t> ends;  ///< By worker.
  /// Time of submission of the good ones that have not ended.
  std::map<std::string, MonotonicTime> submitted;
  MonotonicTime longest{0};  ///< From a submission to its completion.
  int failed = 0;            ///< Good submissions that failed.
  int most_excluded = 0;
};

/// Waves of 3 s with pauses of 1 s, for 40 s, beside good submissions.
void RunWaves(SimulatedSite& site, int bad_tasks) {
  for (int tick = 0; tick < 400; ++tick) {
    for (int i = 0; i < 3; ++i) {
      site.Submit("good" + std::to_string(tick * 3 + i), 2);
    }
    const bool in_wave = tick % 40 < 30;
    if (in_wave && tick % 7 == 0) {
      site.Submit("bad" + std::to_string(tick), bad_tasks);
    }
    site.Tick();
  }
  for (int tick = 0; tick < 40; ++tick) site.Tick();
}

TEST_CASE("submissions that fail everywhere do not stop others") {
  for (const int workers : {3, 8, 48}) {
    for (const int bad_tasks : {1, 6, 36}) {
      CAPTURE(workers);
      CAPTURE(bad_tasks);
      SimulatedSite site(workers);
      RunWaves(site, bad_tasks);
      CHECK(site.submitted.empty());
      CHECK(site.failed == 0);
      CHECK(site.longest <= seconds(3));
      CHECK(site.most_excluded <= std::max(1, workers / 5));
    }
  }
}

// Guards against workers that stay excluded because wide submissions fail on
// all of them.
TEST_CASE("wide submissions that fail everywhere leave no worker excluded") {
  for (const int workers : {8, 48}) {
    CAPTURE(workers);
    SimulatedSite site(workers);
    RunWaves(site, 36);
    CHECK(site.most_excluded == 0);
  }
}

// Guards against faulty workers that use up the attempts of tasks: they are
// found as soon as two of their runs in succession have failed.
TEST_CASE("a fifth of the workers that fail all tasks are excluded at once") {
  constexpr int kTicksOfTwoRuns = 2 * kFailTime / kTick + 2;
  constexpr int kTicksOfTraffic = 40;
  constexpr int kTicksToComplete = 60;
  for (const int workers : {5, 10, 20, 48}) {
    CAPTURE(workers);
    SimulatedSite site(workers);
    for (int i = 0; i < workers / 5; ++i) {
      site.faulty.insert("w" + std::to_string(i));
    }
    for (int tick = 0; tick < kTicksOfTraffic; ++tick) {
      site.Submit("good" + std::to_string(tick), std::min(workers, 36));
      site.Tick();
      if (tick == kTicksOfTwoRuns) CHECK(site.most_excluded == workers / 5);
    }
    for (int tick = 0; tick < kTicksToComplete; ++tick) site.Tick();
    CHECK(site.submitted.empty());
    CHECK(site.failed == 0);
  }
}

// Guards against a worker that stays excluded for the failures of a submission
// that proves to fail everywhere.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a worker is readmitted when its failures are withdrawn") {
  AddWorker("w0");
  Add("a", {MakeStep(2, 1'000)});
  Add("b", {MakeStep(1, 1'000)});
  REQUIRE(Decide().size() == 3);
  for (const char* vm : {"w1", "w2", "w3", "w4"}) AddWorker(vm);
  End("w0", 1, "a.0.0.0", 1, RunEnd::kFailed);
  End("w0", 2, "a.0.0.1", 1, RunEnd::kFailed);
  End("w0", 3, "b.0.0.0", 1, RunEnd::kFailed);
  CHECK(dispatcher.counters().excluded == 1);
  CHECK(now < dispatcher.registry().workers()[0].excluded_until);
  for (const StartRun& start : Decide()) {
    CHECK(start.vm != VmName("w0"));
    if (!start.task.starts_with("a")) continue;
    End(start.vm.str().c_str(), 1, start.task, 2, RunEnd::kFailed);
  }
  CHECK(now >= dispatcher.registry().workers()[0].excluded_until);
  CHECK(dispatcher.counters().readmitted == 1);
}

}  // namespace
}  // namespace mangospread::dispatch::test
