#include <doctest/doctest.h>

#include <cmath>
#include <random>

#include "dispatch/leader/sharing_row.hpp"
#include "dispatch/policy/fill_guard.hpp"
#include "dispatch/policy/order.hpp"
#include "dispatch/policy/sharing_model.hpp"
#include "dispatch/policy/worker_health.hpp"
#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

constexpr double kIdleTail = 4;
const ImageName kVictim("victim");
const ImageName kCulprit("culprit");
const ImageName kHarmless("harmless");

/// Tail of a serving task at a load of its own and with a culprit's cores.
double Tail(double load, double culprit_cores) {
  const double used = std::min(0.98, load + 0.04 * culprit_cores);
  return kIdleTail / (1 - used);
}

/// Replays one serving task whose load swings while a culprit and a harmless
/// image start and end beside it.
SharingModel Trained(int samples = 400) {
  constexpr MonotonicTime kPeriod = std::chrono::milliseconds(500);
  SharingModel model;
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> cores(0, 6);
  std::bernoulli_distribution toggles(0.3);
  std::normal_distribution<double> noise(0, 0.4);
  SharingSample before;
  double culprit = 0;
  double harmless = 0;
  for (int i = 0; i < samples; ++i) {
    if (toggles(random)) culprit = culprit > 0 ? 0 : cores(random);
    if (toggles(random)) harmless = harmless > 0 ? 0 : cores(random);
    // The swing of the load's period of 14 s.
    const double load = 0.42 + 0.21 * std::sin(i * 0.5 * 2 * M_PI / 14);
    SharingSample sample{
        kPeriod * i,
        std::max(kIdleTail, Tail(load, culprit) + noise(random)),
        Milliseconds(18),
        {{kCulprit, culprit}, {kHarmless, harmless}}};
    model.Learn(kVictim, before, sample);
    before = std::move(sample);
  }
  return model;
}

/// A fleet of ten cores of which lasting tasks have taken nine; another lasting
/// task of one core, "second", waits.
void FillWithLasting(DispatcherFixture& fixture) {
  fixture.AddWorker("w1", 10'000);
  StepSpec lasting = DispatcherFixture::MakeStep(1, 9'000);
  lasting.long_running = true;
  fixture.Add("first", {lasting});
  REQUIRE(fixture.Decide().size() == 1);  // Room is plentiful.
  lasting.cpu = Millicores(1'000);
  fixture.Add("second", {lasting});
}

// Guards against a model that blames whatever runs beside the culprit.
TEST_CASE("the sharing model tells a culprit from a bystander") {
  const SharingModel model = Trained();
  CHECK(model.Effect(kCulprit, kVictim) > 0.025);
  CHECK(model.Effect(kHarmless, kVictim) < 0.008);
  CHECK(model.HighLevel(kVictim) > 0.4);
  CHECK(model.HighLevel(kVictim) < 0.8);
}

// Replays the first seconds after a pair of images meets: guards against a
// model that needs many samples, while each of them is time over a target.
TEST_CASE("a culprit is known after a few starts and ends") {
  const SharingModel model = Trained(24);
  CHECK(model.Effect(kCulprit, kVictim) > 0.025);
  CHECK(model.Effect(kHarmless, kVictim) < 0.012);
}

// Guards against a successor that learns every pair again.
TEST_CASE("what a sharing model learned can be handed on") {
  const auto stored = DecodeSharing(EncodeSharing(Trained().Export()));
  REQUIRE(stored.ok());
  SharingModel next;
  next.Import(stored.value());
  CHECK(next.Effect(kCulprit, kVictim) > 0.025);
  CHECK(next.Effect(kHarmless, kVictim) < 0.008);
  CHECK(next.HighLevel(kVictim) ==
        doctest::Approx(Trained().HighLevel(kVictim)).epsilon(1e-4));
  for (const char* damaged :
       {"", "{}", "[1]", R"([["a",1,2,3]])", R"([["a",1,2,3,[["b",1]]]])"}) {
    CHECK_FALSE(DecodeSharing(damaged).ok());
  }
}

// Guards against serving tasks beyond their target for seconds, and against
// slowing down tasks that have nothing to do with it.
TEST_CASE("the guard slows the culprit and lets it go again") {
  const SharingModel model = Trained();
  const std::vector<FillSample> fills = {{"culprit", kCulprit, 6, 6, 100},
                                         {"bystander", kHarmless, 6, 6, 100}};
  const auto slowed =
      AdjustFills(model, {{kVictim, 100, Milliseconds(18)}}, fills);
  REQUIRE(slowed.size() == 1);
  CHECK(slowed[0].task == "culprit");
  CHECK(slowed[0].percent == 0);
  CHECK(AdjustFills(model, {{kVictim, 10, Milliseconds(18)}}, fills).empty());
  std::vector<FillSample> paused = fills;
  paused[0].percent = 0;
  const auto released =
      AdjustFills(model, {{kVictim, 5, Milliseconds(18)}}, paused);
  REQUIRE(released.size() == 1);
  CHECK(released[0].percent > 0);
}

// Replays a service whose load rises steadily under its target: guards against
// a guard that acts when the target is missed already.
TEST_CASE("the guard slows a culprit before a rising load meets the target") {
  const SharingModel model = Trained();
  LoadTrend trend;
  const double level = model.Utilisation(kVictim, 12) - 0.3;
  for (int i = 0; i <= 6; ++i) {
    trend.Observe(std::chrono::milliseconds(500 * (i + 1)), level + 0.05 * i);
  }
  CHECK(trend.RiseWithin(std::chrono::seconds(1)) > 0.07);
  const std::vector<FillSample> fills = {{"culprit", kCulprit, 6, 6, 100}};
  ServingSample sample{kVictim, 14, Milliseconds(18)};
  CHECK(AdjustFills(model, {sample}, fills).empty());
  sample.rise = trend.RiseWithin(std::chrono::seconds(1));
  CHECK(AdjustFills(model, {sample}, fills).size() == 1);
}

// Guards against a model that is wrong: the serving task stays beyond its
// target while tasks that it calls harmless work on.
TEST_CASE("beside a task that stays over its target every fill pauses") {
  const SharingModel model = Trained();
  ServingSample sample{kVictim, 30, Milliseconds(18)};
  const std::vector<FillSample> fills = {{"bystander", kHarmless, 6, 6, 100}};
  CHECK(AdjustFills(model, {sample}, fills).empty());
  sample.over_for = std::chrono::seconds(2);
  const auto paused = AdjustFills(model, {sample}, fills);
  REQUIRE(paused.size() == 1);
  CHECK(paused[0].percent == 0);
}

// Replays the pattern of a burst of batch work over a full fleet: the sum of
// declared sizes is far above what is left, and urgent work arrives between.
// Guards against urgent work that waits behind the burst, and against workers
// that are given more than they can hold.
TEST_CASE_FIXTURE(
    DispatcherFixture,
    "in a burst urgent work starts at once and nothing overflows") {
  for (const char* worker : {"w1", "w2", "w3", "w4"}) AddWorker(worker);
  for (int i = 0; i < 40; ++i) {
    const std::string id = "batch" + std::to_string(i);
    StepSpec step = MakeStep(16, 3'500);
    step.fills = true;
    step.image = kHarmless;
    Submission submission = MakeSubmission(id.c_str(), {step});
    QueuePolicy policy = Policy();
    policy.priority = 2;
    dispatcher.Add(std::move(submission), policy, now);
  }
  const auto burst = Decide();
  // 128 cores at 3.5 each; filling tasks beyond that would only slow others.
  CHECK(burst.size() == 36);
  Add("urgent", {MakeStep(6, 2'300)});
  const auto urgent = Decide();
  CHECK(urgent.size() == 6);
  for (const WorkerRoom& room : dispatcher.book().rooms()) {
    CHECK(room.cpu_used <= room.info.capacity.cpu);
    CHECK(room.memory_used <= room.info.capacity.memory);
  }
}

// Replays a backlog in which some submissions have missed their objective:
// guards against finishing those first while others miss theirs too.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "what can be in time goes before what cannot") {
  Add("late", {MakeStep(1, 1'000)});
  now += std::chrono::seconds(5);
  Add("fresh", {MakeStep(1, 1'000)});
  AddWorker("w1", 1'000);
  const auto starts = Decide();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task == "fresh.0.0.0");
}

// Replays a backlog that grows faster than it is worked off: guards against
// working on whatever is about to be missed, so that everything is missed.
TEST_CASE_FIXTURE(
    DispatcherFixture,
    "in a backlog what has begun and what has time left go first") {
  const auto urgency = [this](const char* id, bool crowded) {
    Job job(MakeSubmission(id, {MakeStep(1, 1'000)}), Policy(), now,
            MonotonicTime(0));
    return UrgencyOf(job, job.steps()[0], now, crowded);
  };
  const Urgency earlier = urgency("earlier", true);
  const Urgency earlier_calm = urgency("earlier", false);
  now += std::chrono::milliseconds(500);
  CHECK(urgency("later", true) < earlier);
  CHECK(earlier_calm < urgency("later", false));
  Job begun(MakeSubmission("begun", {MakeStep(2, 1'000)}), Policy(),
            now - std::chrono::seconds(1), MonotonicTime(0));
  begun.SetPhase({0, 0}, TaskPhase::kStarting, now);
  CHECK(UrgencyOf(begun, begun.steps()[0], now, true) < urgency("later", true));
}

// Guards against work on a submission whose rest no longer fits before its
// objective, while others could still be in time.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "a chain that is too long for the time left is late") {
  StepSpec second = MakeStep(1, 1'000);
  second.after = {0};
  const Job job(MakeSubmission("a", {MakeStep(1, 1'000), second}), Policy(),
                now, MonotonicTime(0));
  // Objective: twice the chain of two seconds and one second more.
  const MonotonicTime slack = std::chrono::milliseconds(3'700);
  CHECK_FALSE(UrgencyOf(job, job.steps()[0], now + slack, false).late);
  CHECK(UrgencyOf(job, job.steps()[0], now + slack + 200 * kMillisecond, false)
            .late);
  CHECK_FALSE(
      UrgencyOf(job, job.steps()[1], now + slack + 200 * kMillisecond, false)
          .late);
}

// Replays a fleet that lasting tasks would fill: short requests come several
// times a second and need room for a second. Guards against lasting tasks that
// take every gap for good, and against ones that wait beside unused room.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "lasting tasks take scarce room only when it stays unused") {
  FillWithLasting(*this);
  CHECK(Decide().empty());
  now += std::chrono::milliseconds(1'000);
  Add("short", {MakeStep(1, 1'000)});
  const auto urgent = Decide();
  REQUIRE(urgent.size() == 1);
  CHECK(urgent[0].task == "short.0.0.0");
  now += std::chrono::milliseconds(1'000);
  End("w1", 1, "short.0.0.0", 1, RunEnd::kDone);
  CHECK(Decide().empty());
  now += std::chrono::milliseconds(1'500);
  const auto settled = Decide();
  REQUIRE(settled.size() == 1);
  CHECK(settled[0].task == "second.0.0.0");
}

// Replays short work that takes all room for a moment every half second:
// guards against a lasting task that waits for ever beside room that is there
// nearly all the time (imcan-ops-grown, fresh-25a1).
TEST_CASE_FIXTURE(DispatcherFixture,
                  "room that is taken for moments counts as unused") {
  FillWithLasting(*this);
  bool placed = false;
  std::uint64_t ends = 0;
  for (int tick = 0; tick < 25 && !placed; ++tick) {
    now += std::chrono::milliseconds(100);
    const bool burst = tick % 5 == 0;
    const std::string id = "short" + std::to_string(tick);
    if (burst) Add(id.c_str(), {MakeStep(1, 1'000)});
    for (const StartRun& start : Decide()) {
      placed = placed || start.task == "second.0.0.0";
    }
    if (!burst || placed) continue;
    now += std::chrono::milliseconds(50);
    End("w1", ++ends, id + ".0.0.0", 1, RunEnd::kDone);
  }
  CHECK(placed);
}

// Guards against serving tasks of all images on every worker, which leaves no
// worker for a filling task that harms one of them.
TEST_CASE_FIXTURE(DispatcherFixture, "serving tasks are grouped by image") {
  AddWorker("w1");
  AddWorker("w2");
  for (const char* id : {"a1", "b1", "a2", "b2"}) {
    StepSpec step = MakeStep(2, 6'000);
    step.long_running = true;
    step.latency_target = Milliseconds(18);
    step.image = ImageName(std::string(id, 1));
    Add(id, {step});
  }
  const auto starts = Decide();
  REQUIRE(starts.size() == 8);
  std::map<VmName, std::set<ImageName>> images;
  for (const StartRun& start : starts) {
    images[start.vm].insert(start.traits.image);
  }
  CHECK(images[VmName("w1")].size() == 1);
  CHECK(images[VmName("w2")].size() == 1);
}

// Guards against a poisonous submission that takes workers out of use.
TEST_CASE("a worker is blamed only for failures of several submissions") {
  WorkerHealth health;
  const VmName vm("w1");
  MonotonicTime now = std::chrono::seconds(1);
  for (int i = 0; i < 10; ++i) {
    CHECK(health.OnFailure(vm, SubmissionId("poison"), now).count() == 0);
  }
  CHECK(health.OnFailure(vm, SubmissionId("other"), now).count() > 0);
}

}  // namespace
}  // namespace mangospread::dispatch::test
