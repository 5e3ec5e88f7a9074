// Counts of the workers that get no task of a step, by reason.
#include "dispatch/policy/rejections.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/policy/placement.hpp"

namespace mangospread::dispatch {
namespace {

constexpr MonotonicTime kNow = std::chrono::seconds(100);
const ServiceName kServiceName("s");
const ImageName kServing("serving");
const ImageName kIndexing("indexing");

struct RejectionsFixture {
  RejectionsFixture() {
    spec.cpu = Millicores(1'000);
    spec.memory = Mebibytes(100);
    serving.long_running = true;
    serving.image = kServing;
    serving.cpu = Millicores(500);
    serving.latency_target = Milliseconds(20);
  }

  WorkerState& Add(const std::string& name) {
    WorkerInfo info;
    info.vm = VmName(name);
    info.service = kServiceName;
    info.capacity.cpu = Millicores(4'000);
    info.capacity.memory = Mebibytes(8'000);
    WorkerState& worker = registry.at(registry.Upsert(info));
    worker.attached = true;
    return worker;
  }

  /// Places a run of `step` on a worker.
  static void Run(WorkerState& worker, const StepSpec& step) {
    PlacedRun placed;
    placed.spec = &step;
    worker.runs.emplace(TaskName{SubmissionId("a"), 0, {0, 0}}, placed);
    worker.Add(step);
  }

  [[nodiscard]] Rejections Count() const {
    StepPlacer placer(
        registry, model, kServiceName, spec, [](WorkerSlot) { return 1; },
        kNow);
    return CountRejections(registry, kServiceName, placer);
  }

  StepSpec spec;
  StepSpec serving;
  WorkerRegistry registry;
  InterferenceModel model;
};

// Guards against a task that waits without a trace of which condition rejects
// the workers, or with a wrong one.
TEST_CASE_FIXTURE(RejectionsFixture, "each worker counts under its reason") {
  const std::vector<std::pair<Rejection, std::function<void(WorkerState&)>>>
      changes = {
          {Rejection::kNone, [](WorkerState&) {}},
          {Rejection::kLeaving, [](WorkerState& w) { w.info.draining = true; }},
          {Rejection::kDetached, [](WorkerState& w) { w.attached = false; }},
          {Rejection::kSilent, [](WorkerState& w) { w.silent_since = kNow; }},
          {Rejection::kUnknownUse,
           [](WorkerState& w) { w.stray_runs.insert("t"); }},
          {Rejection::kRefused,
           [](WorkerState& w) { w.full_until = 2 * kNow; }},
          {Rejection::kOnTrial,
           [](WorkerState& w) { w.trial_until = 2 * kNow; }},
          {Rejection::kSuspected,
           [](WorkerState& w) { w.excluded_until = 2 * kNow; }},
          {Rejection::kProcessors,
           [](WorkerState& w) { w.cpu_used = Millicores(3'500); }},
          {Rejection::kMemory,
           [](WorkerState& w) { w.memory_used = Mebibytes(7'999); }},
      };
  int number = 0;
  for (const auto& [rejection, change] : changes) {
    change(Add("w" + std::to_string(++number)));
  }
  const Rejections counted = Count();
  for (const auto& expected : changes) {
    CAPTURE(RejectionName(expected.first));
    CHECK(counted.Of(expected.first) == 1);
  }
}

// Guards against counts that leave out what the step alone requires.
TEST_CASE_FIXTURE(RejectionsFixture,
                  "the step's own constraints have reasons of their own") {
  Add("w1");
  spec.required_label = Label("fast");
  CHECK(Count().Of(Rejection::kLabel) == 1);
  spec.required_label = Label();
  spec.accelerators = Accelerators(1);
  CHECK(Count().Of(Rejection::kAccelerators) == 1);
  spec.accelerators = Accelerators(0);
  spec.max_per_worker = 1;
  CHECK(Count().Of(Rejection::kSpread) == 1);
}

// Guards against a best-effort task that waits beside free processors without
// a trace of the image that it would slow down (LOST 154).
TEST_CASE_FIXTURE(RejectionsFixture,
                  "the image without headroom for the step is named") {
  model.Import({{kServing, 5, 0.3, 0.001, {{kIndexing, 0.5, 0.001}}}});
  StepSpec other = serving;
  other.image = ImageName("other");
  other.latency_target = Milliseconds(0);
  Run(Add("w1"), serving);
  Run(Add("w2"), serving);
  Run(Add("w3"), other);
  spec.best_effort = true;
  spec.image = kIndexing;
  spec.cpu = Millicores(2'000);
  const Rejections counted = Count();
  CHECK(counted.Of(Rejection::kHeadroom) == 2);
  CHECK(counted.Of(Rejection::kNone) == 1);
  CHECK(counted.image == kServing);
}

}  // namespace
}  // namespace mangospread::dispatch
