// Data centres under evacuation. Guards against starts there (EVAC), and
// against moves that cost more than they save.
#include <doctest/doctest.h>

#include <string>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

const DataCenter kNorth("north");
const DataCenter kSouth("south");
const ImageName kImage("web");

struct EvacuationFixture : DispatcherFixture {
  void AddWorkerIn(const DataCenter& data_center, const char* name,
                   int millicores) {
    WorkerInfo info;
    info.vm = VmName(name);
    info.service = ServiceName("s");
    info.data_center = data_center;
    info.capacity.cpu = Millicores(millicores);
    info.capacity.memory = Mebibytes(128'000);
    dispatcher.OnWorker(info);
    Event(name, Attached{WorkerIncarnation(1), 0, {}, {}, {}});
  }
  void Evacuate(const Evacuations& evacuations) {
    dispatcher.SetEvacuations(evacuations, now);
  }

  /// A service of `count` tasks of 1,000 millicores, at most one of which may
  /// be interrupted. They start and are measured at work.
  void RunService(const char* id, int count) {
    StepSpec step = MakeStep(count, 1'000);
    step.long_running = true;
    step.image = kImage;
    step.latency_target = Milliseconds(50);
    step.max_unavailable = 1;
    Add(id, {step});
    started = Decide();
    REQUIRE(started.size() == static_cast<std::size_t>(count));
    for (const StartRun& start : started) {
      Event(start.vm.str().c_str(), RunStarted{start.task, start.run});
    }
    MeasureAll();
  }
  void MeasureAll() {
    for (const StartRun& start : started) {
      WorkerLoad load;
      for (const StartRun& run : started) {
        if (run.vm != start.vm) continue;
        load.runs.push_back({run.task, run.run, 5, 100});
      }
      Event(start.vm.str().c_str(), std::move(load));
    }
  }
  /// Stops that one round of decisions orders.
  std::size_t DecideStops() {
    now += std::chrono::milliseconds(150);
    dispatcher.Decide(now);
    return TakeCommands<StopRun>().size();
  }

  std::vector<StartRun> started;
};

TEST_CASE_FIXTURE(EvacuationFixture, "nothing starts in an evacuated centre") {
  AddWorkerIn(kNorth, "n", 4'000);
  AddWorkerIn(kSouth, "s", 4'000);
  Evacuate({{kNorth, RowVersion(7)}});
  Add("a", {MakeStep(8, 1'000)});
  const auto starts = Decide();
  REQUIRE(starts.size() == 4);
  for (const StartRun& start : starts) CHECK(start.vm == VmName("s"));

  SUBCASE("until it is taken back") {
    Evacuate({});
    CHECK(Decide().size() == 4);
  }
  SUBCASE("while several are") {
    Evacuate({{kNorth, RowVersion(7)}, {kSouth, RowVersion(8)}});
    AddWorkerIn(kSouth, "s2", 4'000);
    CHECK(Decide().empty());
  }
  SUBCASE("also on a worker that registers later") {
    AddWorkerIn(kNorth, "n2", 4'000);
    CHECK(Decide().empty());
  }
}

TEST_CASE_FIXTURE(EvacuationFixture, "the wait names the evacuation") {
  AddWorkerIn(kNorth, "n", 4'000);
  Evacuate({{kNorth, RowVersion(7)}});
  Add("a", {MakeStep(1, 1'000)});
  CHECK(Decide().empty());
  auto waits = dispatcher.Waiting(SubmissionId("a"), now, MonotonicTime(0));
  REQUIRE(waits.size() == 1);
  dispatcher.AddRejections(waits.front(), now);
  REQUIRE(waits.front().rejections);
  const auto evacuated = static_cast<std::size_t>(Rejection::kEvacuated);
  CHECK(waits.front().rejections->workers[evacuated] == 1);
}

// Load pattern: the workers of a centre that was taken back are all free, so
// that they would get all new work at once, cold as they are.
TEST_CASE_FIXTURE(EvacuationFixture, "a returned centre gets load by and by") {
  AddWorkerIn(kNorth, "n", 4'000);
  AddWorkerIn(kSouth, "s", 4'000);
  Evacuate({{kNorth, RowVersion(7)}});
  Run("a", MakeStep(2, 1'000));
  Evacuate({});
  Add("b", {MakeStep(1, 1'000)});
  auto starts = Decide();
  REQUIRE(starts.size() == 1);
  CHECK(starts.front().vm == VmName("s"));
  now += std::chrono::seconds(6);
  Add("c", {MakeStep(1, 1'000)});
  starts = Decide();
  REQUIRE(starts.size() == 1);
  CHECK(starts.front().vm == VmName("n"));
}

TEST_CASE_FIXTURE(EvacuationFixture, "a service moves one task at a time") {
  AddWorkerIn(kNorth, "n", 4'000);
  AddWorkerIn(kSouth, "s", 16'000);
  Evacuate({{kSouth, RowVersion(6)}});
  RunService("web", 3);
  Evacuate({{kNorth, RowVersion(7)}});
  CHECK(DecideStops() == 1);
  // The next one waits until the first is measured at work again.
  CHECK(DecideStops() == 0);
  CHECK(DecideStops() == 0);
}

TEST_CASE_FIXTURE(EvacuationFixture, "a service stays without room elsewhere") {
  AddWorkerIn(kNorth, "n", 4'000);
  AddWorkerIn(kSouth, "s", 900);
  RunService("web", 3);
  Evacuate({{kNorth, RowVersion(7)}});
  CHECK(DecideStops() == 0);
}

TEST_CASE_FIXTURE(EvacuationFixture, "short batch tasks end where they are") {
  AddWorkerIn(kNorth, "n", 4'000);
  AddWorkerIn(kSouth, "s", 16'000);
  Evacuate({{kSouth, RowVersion(6)}});
  StepSpec step = MakeStep(1, 1'000);
  step.checkpoints = true;
  SUBCASE("short") { step.estimate = Milliseconds(3'000); }
  SUBCASE("long") { step.estimate = Milliseconds(60'000); }
  const std::size_t moves = step.estimate > Milliseconds(10'000) ? 1 : 0;
  Add("a", {step});
  for (const StartRun& start : Decide()) {
    Event("n", RunStarted{start.task, start.run});
  }
  Evacuate({{kNorth, RowVersion(7)}});
  CHECK(DecideStops() == moves);
}

}  // namespace
}  // namespace mangospread::dispatch::test
