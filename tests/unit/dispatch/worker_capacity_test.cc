// Guards against starts that bring a worker over its capacity (LIMIT), on
// workers that do not check it themselves.
#include <doctest/doctest.h>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

struct CapacityFixture : DispatcherFixture {
  /// Reports the capacity of a worker again, as its registration does.
  void SetCapacity(const char* name, int millicores, int mebibytes = 128'000) {
    const WorkerSlot slot = dispatcher.registry().Find(VmName(name));
    WorkerInfo info =
        dispatcher.registry().workers()[static_cast<std::size_t>(slot)].info;
    info.capacity.cpu = Millicores(millicores);
    info.capacity.memory = Mebibytes(mebibytes);
    dispatcher.OnWorker(info);
  }
};

TEST_CASE_FIXTURE(CapacityFixture,
                  "a worker whose capacity has shrunk gets no further work") {
  AddWorker("w1", 4'000);
  Add("a", {MakeStep(3, 1'000)});
  const auto starts = Decide();
  REQUIRE(starts.size() == 3);
  SUBCASE("processors") { SetCapacity("w1", 2'000); }
  SUBCASE("memory") { SetCapacity("w1", 4'000, 200); }
  Add("b", {MakeStep(2, 1'000)});
  CHECK(Decide().empty());
  // Two tasks use all that is left.
  End("w1", 1, starts[0].task, 1, RunEnd::kDone);
  CHECK(Decide().empty());
  End("w1", 2, starts[1].task, 1, RunEnd::kDone);
  CHECK(Decide().size() == 1);
  SetCapacity("w1", 4'000);
  CHECK(Decide().size() == 1);
}

TEST_CASE_FIXTURE(CapacityFixture,
                  "a gang does not start on a worker that has shrunk") {
  AddWorker("w1", 4'000);
  SetCapacity("w1", 1'000);
  StepSpec gang = MakeStep(2, 1'000);
  gang.gang = true;
  Add("a", {gang});
  CHECK(Decide().empty());
  SetCapacity("w1", 2'000);
  CHECK(Decide().size() == 2);
}

// After a takeover a worker may still run tasks of submissions that have ended
// meanwhile or are not known any more.
TEST_CASE_FIXTURE(CapacityFixture,
                  "a run that is being stopped uses capacity until it ends") {
  AddWorker("w1", 1'000);
  Event("w1", Attached{WorkerIncarnation(1),
                       0,
                       {},
                       {{"gone.0.0.0", Attempt(1), {}, 10, 0}},
                       {}});
  REQUIRE(TakeCommands<StopRun>().size() == 1);
  Add("a", {MakeStep(1, 1'000)});
  CHECK(Decide().empty());
  SUBCASE("its end is listed") {
    End("w1", 1, "gone.0.0.0", 1, RunEnd::kStopped);
  }
  SUBCASE("the worker is attached again without it") {
    Event("w1", Attached{WorkerIncarnation(1), 0, {}, {}, {}});
  }
  CHECK(Decide().size() == 1);
}

// The task was given up on its first worker, started again and then found done
// on the first one.
TEST_CASE_FIXTURE(CapacityFixture,
                  "a second run of a done task uses capacity until it ends") {
  AddWorker("w1", 1'000);
  Add("a", {MakeStep(1, 1'000)});
  const auto first = Decide();
  REQUIRE(first.size() == 1);
  AddWorker("w2", 1'000);
  Event("w1", RunNotStarted{first[0].task, first[0].run,
                            CommandOutcome::kNoCapacity});
  const auto second = Decide();
  REQUIRE(second.size() == 1);
  REQUIRE(second[0].vm == VmName("w2"));
  End("w1", 1, first[0].task, first[0].run.value(), RunEnd::kDone);
  CHECK(TakeCommands<StopRun>().size() == 1);
  Add("b", {MakeStep(2, 1'000)});
  for (const StartRun& start : Decide()) CHECK(start.vm != VmName("w2"));
  SUBCASE("its end is listed") {
    End("w2", 1, second[0].task, second[0].run.value(), RunEnd::kStopped);
  }
  SUBCASE("its start was not sent yet") {
    Event("w2", RunNotStarted{second[0].task, second[0].run,
                              CommandOutcome::kNotSent});
  }
  now += std::chrono::seconds(1);
  const auto after = Decide();
  CHECK(std::any_of(after.begin(), after.end(), [](const StartRun& start) {
    return start.vm == VmName("w2");
  }));
}

}  // namespace
}  // namespace mangospread::dispatch::test
