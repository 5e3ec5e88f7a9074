// Figures that the leader's metrics show.
#include "dispatch/metrics/figures.hpp"

#include <doctest/doctest.h>

#include <algorithm>

#include "app/wait_status.hpp"
#include "net/http_status.hpp"
#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

WorkerState& AddTo(WorkerRegistry& registry, const char* name) {
  WorkerInfo info;
  info.vm = VmName(name);
  info.service = ServiceName("s");
  info.capacity.cpu = Millicores(4'000);
  WorkerState& worker = registry.at(registry.Upsert(info));
  worker.attached = true;
  return worker;
}

// Guards against processor time that counts as free although nothing can start
// there, which hides why tasks wait.
TEST_CASE("processors are free only on workers that accept tasks") {
  constexpr MonotonicTime kNow = std::chrono::seconds(100);
  WorkerRegistry registry;
  AddTo(registry, "w1").cpu_used = Millicores(1'000);
  AddTo(registry, "w2").silent_since = kNow;
  AddTo(registry, "w3").excluded_until = 2 * kNow;
  WorkerState& serving = AddTo(registry, "w4");
  serving.cpu_used = serving.latency_critical_cpu = Millicores(4'000);
  serving.best_effort_cpu = Millicores(500);
  const FreeProcessors free = CountFreeProcessors(registry, kNow);
  CHECK(free.reservable == doctest::Approx(3'000));
  CHECK(free.best_effort == doctest::Approx(3'000 + 1'500));
}

// Guards against one series for each pair of images, of which there may be
// thousands.
TEST_CASE("learned effects are counted by size") {
  InterferenceModel model;
  LearnedInterference learned;
  learned.image = ImageName("serving");
  learned.idle_tail_ms = 5;
  for (const double effect : {0.0, 0.004, 0.01, 0.04, 0.3}) {
    learned.effects.push_back(
        {ImageName("b" + std::to_string(learned.effects.size())), effect, 0.1});
  }
  model.Import({learned});
  CHECK(CountEffects(model) == std::array<int, kEffectBuckets>{2, 1, 1, 1});
}

// Guards against metrics or an answer that differ from what the leader does
// with the task.
TEST_CASE_FIXTURE(LeaderFixture,
                  "the leader shows what a submission waits for") {
  Lead(1);
  Call(ServiceVerb::kSubmit);
  const auto waits = leader->ExplainWaits(SubmissionId(kId));
  REQUIRE(waits.size() == 1);
  CHECK(waits[0].wait.reason == WaitReason::kNoUsableWorker);
  const auto answer = app::ExplainSubmission(leader.get(), std::nullopt, kId);
  CHECK(answer.status == net::status::kOk);
  CHECK(answer.body.str().find("no_usable_worker") != std::string::npos);
  CHECK(app::ExplainSubmission(leader.get(), std::nullopt, "x").status ==
        net::status::kNotFound);
  const WaitCounts counts = leader->CountWaiting(base::MonotonicNow());
  const auto reason = static_cast<std::size_t>(WaitReason::kNoUsableWorker);
  CHECK(counts[reason] == std::array<int, kWaitAgeCount>{0, 1, 0, 0});
  std::vector<api::Sample> samples;
  app::AppendWaitSamples(*leader, base::MonotonicNow(), samples);
  CHECK(samples.size() == kWaitReasonCount * kWaitAgeCount + kWaitReasonCount +
                              2 + kEffectBuckets);
  const auto idle =
      std::find_if(samples.begin(), samples.end(), [](const auto& sample) {
        return sample.name == "idle_submissions" && sample.value > 0;
      });
  REQUIRE(idle != samples.end());
  CHECK(idle->labels == decltype(idle->labels){{"reason", "no_usable_worker"}});
  CHECK(answer.body.str().find(
            "s nothing of it has been running though a step is ready; 100% of "
            "the processors of its service are reserved, and a task that is "
            "ready fits 0 times, headroom aside.") != std::string::npos);
}

// Guards against a follower that denies a submission instead of naming the
// leader, which knows it.
TEST_CASE("a node that does not lead names the leader") {
  LeaderRecord known;
  known.node = NodeId("front-1");
  const auto answer = app::ExplainSubmission(nullptr, known, "aa");
  CHECK(answer.status == net::status::kServiceUnavailable);
  CHECK(answer.body.str().find("front-1") != std::string::npos);
}

}  // namespace
}  // namespace mangospread::dispatch::test
