#include <doctest/doctest.h>

#include <algorithm>

#include "policy_fixture.hpp"
#include "scheduler/policy/engine.hpp"
#include "scheduler/policy/weights.hpp"

namespace mangospread::scheduler::policy {
namespace {

using std::chrono::seconds;

std::unique_ptr<DecisionEngine> TestEngine() {
  return MakeEngine(*PresetWeights("latency-first"), 7);
}

/// One worker with one accelerator, and a task that occupies it.
struct FullWorkerFixture {
  FullWorkerFixture() {
    worker.capacity.accelerators = Accelerators(1);
    engine->UpdateWorker(worker);
    task.accelerators = Accelerators(1);
    engine->Enqueue(task, seconds(1));
    REQUIRE(PlaceDecisionsIn(engine->Decide(seconds(1), 10)).size() == 1);
  }

  std::unique_ptr<DecisionEngine> engine = TestEngine();
  WorkerState worker = MakeWorker("w1", "r1");
  TaskDemand task = MakeTask("j/0");
};

// Guards against free capacity computed from lagging reports alone: tasks
// placed since the report have to be included, or one worker gets all tasks at
// once.
TEST_CASE("tasks placed since the last report reserve their full size") {
  auto engine = TestEngine();
  engine->UpdateWorker(MakeWorker("w1", "r1"));
  for (int i = 0; i < 100; ++i) {
    TaskDemand task = MakeTask("j/" + std::to_string(i));
    task.memory = Mebibytes(31'000);
    engine->Enqueue(task, seconds(1));
  }
  std::size_t placed = 0;
  for (int t = 1; t < 200; ++t) {
    placed += PlaceDecisionsIn(engine->Decide(seconds(t), 100)).size();
  }
  CHECK(placed == 3);
}

// Guards against an impossible task that blocks all others, and against
// reporting a task as impossible while the workers are still being registered.
TEST_CASE("an impossible task is reported and blocks nothing") {
  auto engine = TestEngine();
  TaskDemand huge = MakeTask("huge/0");
  huge.memory = Mebibytes(500'000);
  engine->Enqueue(huge, seconds(1));
  engine->Enqueue(MakeTask("j/0"), seconds(2));
  engine->UpdateWorker(MakeWorker("w1", "r1"));
  const auto first = engine->Decide(seconds(3), 10);
  REQUIRE(first.size() == 1);
  CHECK(PlaceDecisionsIn(first).at(0).task == TaskId("j/0"));
  const auto later = engine->Decide(seconds(9), 10);
  REQUIRE(later.size() == 1);
  CHECK(std::get<CannotRunDecision>(later[0]).task == TaskId("huge/0"));
  CHECK(engine->queued() == 0);
}

// Guards against capacity that stays reserved after an attempt that never
// started.
TEST_CASE("capacity of a task that did not start is released") {
  FullWorkerFixture f;
  f.engine->OnNotStarted(f.task.id, f.worker.vm);
  f.engine->Enqueue(f.task, seconds(2));
  CHECK(PlaceDecisionsIn(f.engine->Decide(seconds(9), 10)).size() == 1);
}

// Guards against urgent work that waits while the fleet is full, and against
// evicting the task that would lose the most work or was evicted before.
TEST_CASE("urgent work starts by the cheapest eviction") {
  auto engine = TestEngine();
  WorkerState worker = MakeWorker("w1", "r1");
  worker.capacity.accelerators = Accelerators(3);
  engine->UpdateWorker(worker);
  const char* names[] = {"old/0", "evicted/0", "young/0"};
  for (int i = 0; i < 3; ++i) {
    TaskDemand task = MakeTask(names[i]);
    task.accelerators = Accelerators(1);
    task.evictions = i == 1 ? 3 : 0;
    engine->Enqueue(task, seconds(100 * i));
    REQUIRE(PlaceDecisionsIn(engine->Decide(seconds(100 * i), 10)).size() == 1);
  }
  TaskDemand urgent = MakeTask("urgent/0");
  urgent.urgent = true;
  urgent.accelerators = Accelerators(1);
  engine->Enqueue(urgent, seconds(201));
  const auto decisions = engine->Decide(seconds(201), 10);
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<EvictDecision>(decisions[0]).task == TaskId("young/0"));
  engine->OnEnded(TaskId("young/0"), worker.vm, AttemptEnd::kEvicted,
                  seconds(202));
  // A batch task must not use the capacity that was freed for the urgent task.
  TaskDemand batch = MakeTask("batch/0");
  batch.accelerators = Accelerators(1);
  engine->Enqueue(batch, seconds(202));
  const auto places = PlaceDecisionsIn(engine->Decide(seconds(203), 10));
  REQUIRE(places.size() == 1);
  CHECK(places[0].task == urgent.id);
}

// Guards against the removal of a placed task because the next report does not
// list it: the list may have been written before the placement.
TEST_CASE("a report that does not list a new placement does not remove it") {
  FullWorkerFixture f;
  f.worker.report_at = seconds(2);
  f.engine->UpdateWorker(f.worker);
  f.task.id = TaskId("j/1");
  f.engine->Enqueue(f.task, seconds(2));
  CHECK(f.engine->Decide(seconds(3), 10).empty());
}

// Guards against a task that waits indefinitely without a reported reason,
// because it fits an empty worker but no worker beside its services.
TEST_CASE("a waiting task has a reason") {
  FullWorkerFixture f;
  f.worker.report_at = seconds(2);
  f.worker.memory_used = Mebibytes(60'000);
  f.engine->UpdateWorker(f.worker);
  TaskDemand large = MakeTask("large/0");
  large.memory = Mebibytes(100'000);
  f.task.id = TaskId("j/1");
  CHECK(f.engine->WaitReason(large.id).empty());
  f.engine->Enqueue(large, seconds(2));
  f.engine->Enqueue(f.task, seconds(2));
  CHECK(f.engine->Decide(seconds(40), 10).empty());
  CHECK(f.engine->WaitReason(large.id) == "fits no worker beside its services");
  CHECK(f.engine->WaitReason(f.task.id) == "no worker has room now");
}

// Guards against a worker that is quarantined without a report to the operator.
TEST_CASE("a quarantine is reported once") {
  auto engine = TestEngine();
  engine->UpdateWorker(MakeWorker("w1", "r1"));
  int reported = 0;
  for (int t = 1; t < 60; ++t) {
    engine->Enqueue(MakeTask("j/0"), seconds(t));
    for (const Decision& decision : engine->Decide(seconds(t), 10)) {
      if (const auto* place = std::get_if<PlaceDecision>(&decision)) {
        engine->OnEnded(place->task, place->vm, AttemptEnd::kFailed,
                        seconds(t));
      } else if (std::holds_alternative<QuarantineDecision>(decision)) {
        CHECK(std::get<QuarantineDecision>(decision).vm == VmName("w1"));
        ++reported;
      }
    }
  }
  CHECK(reported == 1);
}

}  // namespace
}  // namespace mangospread::scheduler::policy
