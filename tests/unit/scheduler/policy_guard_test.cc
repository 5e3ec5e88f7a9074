#include <doctest/doctest.h>

#include "policy_fixture.hpp"
#include "scheduler/policy/engine.hpp"
#include "scheduler/policy/guard/quarantine.hpp"
#include "scheduler/policy/weights.hpp"

namespace mangospread::scheduler::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One worker with a guarded service and one task.
class GuardFixture {
 public:
  explicit GuardFixture(const char* preset = "latency-first")
      : engine(MakeEngine(*PresetWeights(preset), 3)) {
    worker = MakeWorker("w1", "r1");
    ServiceLoad load;
    load.service = ServiceName("checks");
    load.objective_p99 = milliseconds(100);
    load.requests_per_second = 10;
    load.p99_ms = 50;
    worker.services = {load};
    Report(seconds(1), 50);
    engine->Enqueue(MakeTask("j/0"), seconds(1));
    REQUIRE(PlaceDecisionsIn(engine->Decide(seconds(1), 1)).size() == 1);
    PlacedTask task;
    task.demand = MakeTask("j/0");
    task.placed_at = seconds(1);
    task.cpu_used = Millicores(1'000);
    worker.tasks = {task};
  }

  std::vector<Decision> Report(MonotonicTime time, double p99) {
    worker.report_at = time;
    worker.services[0].p99_ms = p99;
    engine->UpdateWorker(worker);
    std::vector<Decision> decisions = engine->Decide(time, 10);
    for (const Decision& decision : decisions) {
      if (const auto* throttle = std::get_if<ThrottleDecision>(&decision)) {
        worker.tasks[0].throttle_percent = throttle->throttle_percent;
      }
    }
    return decisions;
  }

  std::unique_ptr<DecisionEngine> engine;
  WorkerState worker;
};

// Guards against acting on one noisy report, against a second action before the
// effect of the first could be measured, and against eviction without
// throttling first.
TEST_CASE("a breach throttles first and evicts only after the eviction delay") {
  // The eviction delay of this preset is 80 s.
  GuardFixture f("throughput-first");
  CHECK(f.Report(seconds(3), 300).empty());
  const auto first = f.Report(seconds(5), 300);
  REQUIRE(first.size() == 1);
  CHECK(std::get<ThrottleDecision>(first[0]).throttle_percent == 50);
  CHECK(f.Report(seconds(7), 300).empty());
  CHECK(f.Report(seconds(8), 300).empty());
  bool evicted = false;
  int time = 9;
  for (; time < 120 && !evicted; ++time) {
    for (const Decision& decision : f.Report(seconds(time), 300)) {
      evicted = evicted || std::holds_alternative<EvictDecision>(decision);
    }
  }
  CHECK(evicted);
  CHECK(time > 85);
}

// Guards against actions for services that are not guarded.
TEST_CASE("an unguarded service causes no action") {
  GuardFixture f;
  f.worker.services[0].guard = false;
  for (int time = 3; time < 60; time += 2) {
    CHECK(f.Report(seconds(time), 300).empty());
  }
}

// Guards against oscillation: throttling is reduced after a delay, and after a
// longer one if the previous reduction caused a breach.
TEST_CASE(
    "throttling ends after a delay, and a longer one after another breach") {
  GuardFixture f;
  f.Report(seconds(3), 120);
  f.Report(seconds(5), 120);
  REQUIRE(f.Report(seconds(7), 120).size() == 1);
  const auto released_after = [&f](int throttled_at) {
    for (int time = throttled_at + 2;; time += 2) {
      if (!f.Report(seconds(time), 50).empty()) return time - throttled_at;
    }
  };
  const int first = released_after(7);
  CHECK(first >= 30);
  CHECK(f.worker.tasks[0].throttle_percent == 0);
  int time = 7 + first;
  while (f.worker.tasks[0].throttle_percent == 0) {
    time += 2;
    f.Report(seconds(time), 120);
  }
  CHECK(released_after(time) >= 60);
}

// Guards against workers that are never evaluated because more reported at once
// than are evaluated in one call.
TEST_CASE("a breach on every worker is acted on within a few calls") {
  const auto engine = MakeEngine(*PresetWeights("latency-first"), 3);
  constexpr std::size_t kWorkers = 2'500;
  std::size_t throttled = 0;
  for (int t = 1; t < 9; t += 2) {
    for (std::size_t i = 0; i < kWorkers; ++i) {
      WorkerState worker = MakeWorker("w" + std::to_string(i), "r1");
      ServiceLoad load;
      load.service = ServiceName("checks");
      load.objective_p99 = milliseconds(100);
      load.p99_ms = 120;
      worker.services = {load};
      PlacedTask task;
      task.demand = MakeTask("j/" + std::to_string(i));
      worker.tasks = {task};
      worker.report_at = seconds(t);
      engine->UpdateWorker(worker);
    }
    for (int call = 0; call < 4; ++call) {
      throttled += engine->Decide(seconds(t), 10).size();
    }
  }
  CHECK(throttled == kWorkers);
}

// Guards against a worker whose tasks fail at once, so that it always has free
// capacity, and against a worker that is never tried again.
TEST_CASE("a failing worker is quarantined and tried again") {
  Quarantine quarantine;
  const VmName vm("w1");
  int failures = 0;
  MonotonicTime now = seconds(1);
  while (!quarantine.IsQuarantined(vm, now)) {
    REQUIRE(++failures < 10);
    now += seconds(10);
    quarantine.OnPlaced(vm);
    quarantine.OnFailure(vm, 1.0, 50, now);
    CHECK(quarantine.StartsAllowed(vm, now) == 0);
  }
  CHECK(quarantine.StartsAllowed(vm, now + seconds(30)) == 0);
  now += seconds(61);
  CHECK(quarantine.StartsAllowed(vm, now) == 1);
  quarantine.OnPlaced(vm);
  CHECK(quarantine.StartsAllowed(vm, now) == 0);
  quarantine.OnFailure(vm, 1.0, 50, now);
  CHECK(quarantine.IsQuarantined(vm, now + seconds(100)));
  now += seconds(200);
  for (int i = 0; i < 5; ++i) quarantine.OnSuccess(vm);
  CHECK(quarantine.StartsAllowed(vm, now) == Quarantine::kUnlimited);
}

// Guards against a fault common to all workers that quarantines all of them.
TEST_CASE("only some workers are quarantined at once") {
  Quarantine quarantine;
  for (int round = 0; round < 10; ++round) {
    for (int i = 0; i < 50; ++i) {
      quarantine.OnFailure(VmName("w" + std::to_string(i)), 1.0, 50,
                           seconds(1 + round));
    }
  }
  CHECK(quarantine.CountQuarantined(seconds(20)) == 5);
}

}  // namespace
}  // namespace mangospread::scheduler::policy
