#include "dispatch/policy/worker_health.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "dispatch/policy/placement.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("s");

VmName Vm(int worker) { return VmName("w" + std::to_string(worker)); }

SubmissionId Id(int submission) {
  return SubmissionId(std::to_string(submission));
}

/// The workers of one service, the first of which are numbered from 0.
struct Service {
  explicit Service(int count) : workers(count) {}

  /// Records a failure and returns true if the worker is excluded for it.
  bool Fail(int worker, const SubmissionId& submission) {
    const HealthChange change = health.OnFailure(
        {Vm(worker), submission, kService, static_cast<std::size_t>(workers)},
        now);
    for (const VmName& vm : change.readmitted) excluded.erase(vm);
    if (change.replaced) excluded.erase(*change.replaced);
    if (change.exclusion.count() == 0) return false;
    excluded.insert(Vm(worker));
    return true;
  }

  int workers;
  WorkerHealth health;
  MonotonicTime now = seconds(1);
  std::set<VmName> excluded;  ///< Without regard to the time.
};

// Guards against a faulty submission that gets workers excluded.
TEST_CASE("a worker is excluded only for failures of several submissions") {
  Service service(10);
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(service.Fail(0, SubmissionId("faulty")));
  }
  CHECK(service.Fail(0, SubmissionId("other")));
}

// Guards against idle workers without work: submissions that fail on every
// worker count as evidence against all of them.
TEST_CASE("failures of submissions that fail everywhere exclude no worker") {
  for (const int workers : {1, 2, 3, 8, 48}) {
    CAPTURE(workers);
    Service service(workers);
    for (int submission = 0; submission < 10; ++submission) {
      for (int task = 0; task < 36; ++task) {
        service.Fail(task % workers, Id(submission));
      }
      CHECK(service.excluded.empty());
      service.now += milliseconds(700);
    }
  }
}

// Guards against exclusions that outlast their evidence: the first failures of
// two submissions arrive before either is known to fail everywhere.
TEST_CASE("an exclusion ends when its evidence is withdrawn") {
  Service service(48);
  for (int worker = 0; worker < 5; ++worker) {
    service.Fail(worker, Id(1));
    CHECK(service.Fail(worker, Id(2)));
  }
  for (int worker = 5; worker < 48; ++worker) service.Fail(worker, Id(1));
  CHECK(service.excluded.empty());
  CHECK_FALSE(service.Fail(0, Id(2)));
  CHECK(service.Fail(0, Id(3)));
}

// Guards against a faulty worker that uses up the attempts of tasks, since its
// failures are attributed to the submissions. Each submission fails on all
// faulty workers before it succeeds anywhere.
TEST_CASE("faulty workers are excluded after two failures") {
  struct Case {
    int workers;
    int faulty;
  };
  for (const Case& c : {Case{5, 1}, Case{10, 2}, Case{20, 3}, Case{20, 4},
                        Case{48, 7}, Case{48, 9}, Case{66, 10}, Case{66, 13}}) {
    CAPTURE(c.workers);
    CAPTURE(c.faulty);
    Service service(c.workers);
    for (int worker = 0; worker < c.faulty; ++worker) {
      CHECK_FALSE(service.Fail(worker, Id(1)));
    }
    for (int worker = 0; worker < c.faulty; ++worker) {
      CHECK(service.Fail(worker, Id(2)));
    }
    CHECK(service.excluded.size() == static_cast<std::size_t>(c.faulty));
  }
}

// Guards against a submission that counts as faulty for good because it has met
// several faulty workers first.
TEST_CASE("a submission that succeeds elsewhere is not at fault") {
  Service service(20);
  for (int worker = 0; worker < 6; ++worker) service.Fail(worker, Id(1));
  for (int worker = 6; worker < 12; ++worker) {
    service.health.OnSuccess(Vm(worker), Id(1), service.now);
  }
  CHECK(service.Fail(0, Id(2)));
}

// Guards against a service without workers: most of them fail runs of several
// submissions.
TEST_CASE("at most a fifth of the workers is excluded at a time") {
  for (const int workers : {1, 4, 5, 9, 48}) {
    CAPTURE(workers);
    Service service(workers);
    int submission = 0;
    for (int worker = 0; worker < workers; ++worker) {
      for (int i = 0; i < 4; ++i) service.Fail(worker, Id(submission++));
    }
    CHECK(service.excluded.size() <=
          static_cast<std::size_t>(std::max(1, workers / 5)));
    // Exclusions that have ended make room for others.
    service.now += seconds(25);
    const int last = workers - 1;
    service.Fail(last, Id(submission++));
    CHECK(service.Fail(last, Id(submission++)) == (workers > 1));
  }
}

// Guards against a worker that fails all runs but is not excluded, since
// workers that were faulty earlier use up the limit with their longer
// exclusions.
TEST_CASE("a long exclusion ends early for another worker") {
  Service service(5);
  int submission = 0;
  const auto fail_twice = [&](int worker) {
    service.Fail(worker, Id(submission++));
    return service.Fail(worker, Id(submission++));
  };
  CHECK(fail_twice(0));
  service.now += milliseconds(100);
  CHECK(fail_twice(0));
  service.now += milliseconds(2'900);
  CHECK_FALSE(fail_twice(1));
  service.now += milliseconds(100);
  CHECK(service.Fail(1, Id(submission++)));
  CHECK(service.excluded == std::set<VmName>{Vm(1)});
}

struct Placements {
  Placements(int workers, int millicores) {
    for (int i = 0; i < workers; ++i) {
      WorkerInfo info;
      info.vm = Vm(i);
      info.service = kService;
      info.capacity.cpu = Millicores(millicores);
      info.capacity.memory = Mebibytes(1'000);
      registry.at(registry.Upsert(info)).attached = true;
    }
    spec.cpu = Millicores(1'000);
    spec.memory = Mebibytes(10);
  }

  void Exclude(WorkerSlot slot, int suspicion) {
    registry.at(slot).excluded_until = now + seconds(3);
    registry.at(slot).suspicion = suspicion;
  }

  /// Places one task and returns its worker.
  Placement Place() {
    const Placement place =
        StepPlacer(
            registry, model, kService, spec,
            [this](WorkerSlot slot) { return tasks.count(slot) ? 1 : 0; }, now)
            .Next();
    if (place.worker == kNoWorker) return place;
    registry.at(place.worker).Add(spec);
    tasks.insert(place.worker);
    return place;
  }

  WorkerRegistry registry;
  InterferenceModel model;
  StepSpec spec;
  MonotonicTime now = seconds(10);
  std::set<WorkerSlot> tasks;
};

// Guards against work that waits beside idle workers since all of them are
// excluded.
TEST_CASE("the least suspect workers run a step if all are excluded") {
  Placements placements(3, 1'000);
  placements.Exclude(0, 9);
  placements.Exclude(1, 2);
  placements.Exclude(2, 5);
  CHECK(placements.Place().worker == 1);
  CHECK(placements.Place().worker == 2);
  CHECK(placements.Place().worker == 0);
  CHECK(placements.Place().reason == PlacementFailure::kNoCapacity);
}

// Guards against attempts used up on a faulty worker while others are busy for
// a moment.
TEST_CASE("an excluded worker gets no task that another could run later") {
  Placements placements(2, 1'000);
  placements.Exclude(0, 2);
  CHECK(placements.Place().worker == 1);
  CHECK(placements.Place().reason == PlacementFailure::kNoCapacity);
}

// Guards against tasks that use up their attempts on a worker which fails them
// while the other one can start nothing for a moment.
TEST_CASE("an excluded worker gets no task while others start none") {
  Placements placements(2, 4'000);
  placements.Exclude(0, 2);
  WorkerState& sound = placements.registry.at(1);
  SUBCASE("refused a start") { sound.full_until = std::chrono::hours(1); }
  SUBCASE("silent") { sound.silent_since = MonotonicTime(1); }
  SUBCASE("without an agent") { sound.attached = false; }
  SUBCASE("stops a run") { sound.stray_runs = {"a.0.0.0"}; }
  SUBCASE("tries a task") { sound.trial_until = std::chrono::hours(1); }
  SUBCASE("runs another task of the step") {
    placements.spec.max_per_worker = 1;
    CHECK(placements.Place().worker == 1);
  }
  CHECK(placements.Place().worker == kNoWorker);
}

// Guards against a task that waits because the only workers which satisfy its
// constraints are excluded.
TEST_CASE("an excluded worker runs a task that no other could run") {
  SUBCASE("label") {
    Placements placements(3, 1'000);
    placements.spec.required_label = Label("gpu");
    placements.registry.at(0).info.labels = {Label("gpu")};
    placements.Exclude(0, 2);
    CHECK(placements.Place().worker == 0);
  }
  SUBCASE("size") {
    Placements placements(3, 1'000);
    placements.registry.at(0).info.capacity.cpu = Millicores(4'000);
    placements.spec.cpu = Millicores(2'000);
    placements.Exclude(0, 2);
    CHECK(placements.Place().worker == 0);
  }
  SUBCASE("spread") {
    Placements placements(2, 4'000);
    placements.spec.max_per_worker = 1;
    placements.spec.long_running = true;
    placements.Exclude(0, 2);
    CHECK(placements.Place().worker == 1);
    CHECK(placements.Place().worker == 0);
  }
}

}  // namespace
}  // namespace mangospread::dispatch::test
