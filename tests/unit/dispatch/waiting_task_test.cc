// How long accepted best-effort tasks wait beside free workers.
#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>

#include "unit/dispatch/interference_world.hpp"

namespace mangospread::dispatch::test {
namespace {

constexpr double kMaxLearnedEffect = 0.08;
/// The platform asks for the submissions 14 s after the last one arrives. From
/// then on none may have nothing running for 3 s while workers are free.
constexpr MonotonicTime kMaxWait = std::chrono::seconds(14);
constexpr MonotonicTime kMaxWaitOfNextStep = std::chrono::seconds(3);
/// The platform allows a task to exceed its target for 4 s because of
/// best-effort tasks.
constexpr MonotonicTime kMaxExcess = std::chrono::seconds(4);

/// Three workers with latency-critical tasks of two images each, and a model
/// that holds the same effect for each pair of images.
struct WaitingTaskWorld : InterferenceWorld {
  explicit WaitingTaskWorld(double true_effect) : InterferenceWorld(1) {
    for (const char* batch : {"b0", "b1", "b2"}) {
      for (const char* service : {"web", "api"}) {
        effects[{ImageName(batch), ImageName(service)}] = true_effect;
      }
    }
  }

  void Learned(double effect) {
    std::vector<LearnedInterference> learned;
    for (const char* service : {"web", "api"}) {
      LearnedInterference entry{
          ImageName(service), kIdleTailMs, kMeanLoad, 0.02, {}};
      for (const char* batch : {"b0", "b1", "b2"}) {
        entry.effects.push_back({ImageName(batch), effect, 0.001});
      }
      learned.push_back(entry);
    }
    dispatcher.ImportInterference(learned);
  }

  void StartServices() {
    for (const char* worker : {"w1", "w2", "w3"}) AddWorker(worker);
    AddStep("web", LatencyCritical("web", 3));
    AddStep("api", LatencyCritical("api", 3));
    RunFor(std::chrono::seconds(10));
  }
};

}  // namespace

// Guards against accepted work that waits all day beside free workers: the
// learned effect of a best-effort task fits beside no latency-critical task,
// and nothing new is learned while nothing runs.
TEST_CASE("a task whose learned effect fits nowhere starts and ends") {
  double learned = 0;
  double true_effect = 0;
  SUBCASE("overestimated") {
    learned = kMaxLearnedEffect;
    true_effect = 0.005;
  }
  SUBCASE("real") { learned = true_effect = kMaxLearnedEffect; }
  SUBCASE("beyond all bounds, from a stored row") {
    learned = 100;
    true_effect = 0.01;
  }
  WaitingTaskWorld world(true_effect);
  world.Learned(learned);
  world.StartServices();
  world.AddStep("batch", world.BestEffort("b0", 1, 8'000, Milliseconds(3'000)));
  world.RunFor(kMaxWait);
  CHECK((world.IsRunning("batch.0.0.0") || world.Done("batch")));
  world.RunFor(std::chrono::seconds(60));
  CHECK(world.Done("batch"));
  CHECK(world.longest_excess < kMaxExcess);
}

// Guards against an old submission whose next step waits as long as the first:
// at the end of a day it has nothing running beside free workers.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "the next step of a submission that waited starts soon") {
  dispatcher.ImportInterference(
      {{ImageName("web"), 10, 0.45, 0.02, {{ImageName("b0"), 100, 0}}}});
  AddWorker("w1");
  StepSpec service = MakeStep(1, 4'000);
  service.long_running = true;
  service.image = ImageName("web");
  service.latency_target = Milliseconds(45);
  Run("service", service);
  StepSpec first = MakeStep(1, 8'000);
  first.best_effort = true;
  first.image = ImageName("b0");
  StepSpec next = first;
  next.after = {0};
  Add("batch", {first, next});
  const auto wait = [this] {
    const MonotonicTime since = now;
    while (now - since <= kMaxWait && Decide().empty()) {
      now += std::chrono::milliseconds(100);
    }
    return now - since;
  };
  CHECK(wait() <= kMaxWait);
  Event("w1", RunStarted{"batch.0.0.0", Attempt(1)});
  End("w1", 1, "batch.0.0.0", 1, RunEnd::kDone);
  CHECK(wait() < kMaxWaitOfNextStep);
}

// Guards against a task that waits behind one of another image: a step that
// found no headroom for its own image says nothing about larger ones of others.
TEST_CASE("a task without effects does not wait behind a smaller one") {
  WaitingTaskWorld world(0.001);
  world.Learned(kMaxLearnedEffect);
  world.effects[{ImageName("neutral"), ImageName("web")}] = 0;
  world.effects[{ImageName("neutral"), ImageName("api")}] = 0;
  world.StartServices();
  world.AddStep("first", world.BestEffort("b0", 1, 8'000, Milliseconds(3'000)));
  world.AddStep("second",
                world.BestEffort("neutral", 1, 9'000, Milliseconds(3'000)));
  world.RunFor(std::chrono::milliseconds(200));
  CHECK(world.IsRunning("second.0.0.0"));
}

// Guards against work that never ends and against targets missed for it, with
// many pairs of images that interfere and with few.
TEST_CASE("all best-effort tasks end soon after the last arrival") {
  double interfering_share = 0;
  SUBCASE("dense effects") { interfering_share = 0.9; }
  SUBCASE("sparse effects") { interfering_share = 0.2; }
  constexpr int kServices = 4;
  constexpr int kBatches = 6;
  constexpr int kSubmissions = 40;
  InterferenceWorld world(7);
  std::bernoulli_distribution interferes(interfering_share);
  std::uniform_real_distribution<double> effect(0.02, 0.06);
  for (int s = 0; s < kServices; ++s) {
    for (int b = 0; b < kBatches; ++b) {
      world.effects[{ImageName("b" + std::to_string(b)),
                     ImageName("s" + std::to_string(s))}] =
          interferes(world.random) ? effect(world.random) : 0.0;
    }
  }
  for (int w = 0; w < 5; ++w) {
    world.AddWorker(("w" + std::to_string(w)).c_str(), 24'000);
  }
  for (int s = 0; s < kServices; ++s) {
    const std::string image = "s" + std::to_string(s);
    world.AddStep(image, world.LatencyCritical(image, 3));
  }
  world.RunFor(std::chrono::seconds(10));
  std::uniform_int_distribution<int> batch(0, kBatches - 1);
  std::uniform_int_distribution<int> millicores(1'000, 8'000);
  std::uniform_int_distribution<int> duration(500, 4'000);
  for (int i = 0; i < kSubmissions; ++i) {
    world.AddStep("job" + std::to_string(i),
                  world.BestEffort("b" + std::to_string(batch(world.random)), 2,
                                   millicores(world.random),
                                   Milliseconds(duration(world.random))));
    world.RunFor(std::chrono::milliseconds(500));
  }
  world.RunFor(std::chrono::seconds(60));
  int unfinished = 0;
  for (int i = 0; i < kSubmissions; ++i) {
    unfinished += world.Done("job" + std::to_string(i)) ? 0 : 1;
  }
  CHECK(unfinished == 0);
  CHECK(world.longest_excess < kMaxExcess);
}

}  // namespace mangospread::dispatch::test
