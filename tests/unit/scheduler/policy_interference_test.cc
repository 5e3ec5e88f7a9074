#include <doctest/doctest.h>

#include <cmath>
#include <random>

#include "policy_fixture.hpp"
#include "scheduler/policy/interference/interference.hpp"
#include "scheduler/policy/interference/interference_price.hpp"

namespace mangospread::scheduler::policy {
namespace {

using std::chrono::seconds;

class InterferenceFixture {
 public:
  ClassIndex Task(const std::string& name) {
    TaskDemand task = MakeTask("j/0");
    task.task_class = TaskClass(name);
    return classes.ForTask(task);
  }
  ClassIndex Service(const std::string& name) {
    ServiceLoad load;
    load.service = ServiceName(name);
    return classes.ForService(load);
  }

  ClassTable classes;
  InterferenceModel model{classes};
};

// Guards against attributing the slowdown to a harmless class that runs beside
// a harmful one, and against assuming the same effect at all loads.
TEST_CASE("effects of pairs are separated from noisy measurements") {
  InterferenceFixture f;
  const ClassIndex victim = f.Service("quotes");
  const ClassIndex interfering = f.Task("noisy");
  const ClassIndex harmless = f.Task("quiet");
  std::mt19937_64 random(1);
  std::normal_distribution<double> noise(0, 0.1);
  std::uniform_real_distribution<double> uniform(0, 1);
  for (int i = 0; i < 4'000; ++i) {
    Observation observation;
    observation.victim = victim;
    observation.load_level = uniform(random);
    observation.measured_at = seconds(2 * i);
    const double interfering_tasks = std::floor(3 * uniform(random));
    const double harmless_tasks = std::floor(3 * uniform(random));
    observation.exposures = {{interfering, interfering_tasks},
                             {harmless, harmless_tasks}};
    // The effect is 0.1 without load and 0.3 at full load.
    observation.value =
        20 * std::exp(interfering_tasks * (0.1 + 0.2 * observation.load_level) +
                      noise(random));
    f.model.Learn(observation);
  }
  CHECK(f.model.Predict(interfering, victim, 0).mean ==
        doctest::Approx(0.1).epsilon(0.3));
  CHECK(f.model.Predict(interfering, victim, 1).mean ==
        doctest::Approx(0.3).epsilon(0.2));
  CHECK(f.model.Predict(harmless, victim, 1).mean < 0.03);
  CHECK(f.model.PredictAlone(victim, 0.5) ==
        doctest::Approx(std::log(20.0)).epsilon(0.02));
  const ClassIndex unmeasured = f.Task("fresh");
  CHECK(f.model.Predict(unmeasured, victim, 0).variance >
        10 * f.model.Predict(harmless, victim, 0).variance);
}

// Guards against an estimate that never changes when a class changes.
TEST_CASE("the uncertainty of an estimate grows with time") {
  InterferenceFixture f;
  const ClassIndex victim = f.Service("quotes");
  const ClassIndex task = f.Task("batch");
  for (int i = 0; i < 500; ++i) {
    f.model.Learn({victim,
                   0,
                   0,
                   i % 2 ? 10.0 : 15.0,
                   seconds(i),
                   {{task, i % 2 ? 0.0 : 1.0}}});
  }
  const double before = f.model.Predict(task, victim, 0).variance;
  f.model.Learn({victim, 0, 0, 15.0, std::chrono::hours(24), {{task, 1.0}}});
  CHECK(f.model.Predict(task, victim, 0).variance > 5 * before);
}

// Guards against memory that grows with the number of classes.
TEST_CASE("the table of pairs is bounded") {
  InterferenceFixture f;
  for (int t = 0; t < 1'500; ++t) {
    const ClassIndex task = f.Task("t" + std::to_string(t));
    for (int s = 0; s < 70; ++s) {
      const ClassIndex victim = f.Service("s" + std::to_string(s));
      f.model.Learn({victim, 0.5, 0, 10.0, seconds(t), {{task, 1.0}}});
    }
  }
  CHECK(f.model.pairs() <= InterferenceModel::kMaxPairs);
  CHECK(f.model.pairs() > InterferenceModel::kMaxPairs / 2);
}

// Guards against relying on declarations that are wrong by a factor of ten.
TEST_CASE("measured use replaces declared sizes") {
  InterferenceFixture f;
  const ClassIndex task = f.Task("batch");
  CHECK(f.classes.ExpectedCpu(task, Millicores(500)) == Millicores(500));
  for (int i = 0; i < 10; ++i) {
    f.classes.Measure(task, Millicores(2'500), Mebibytes(9'000), 50);
  }
  CHECK(f.classes.ExpectedCpu(task, Millicores(500)) == Millicores(5'000));
  CHECK(f.classes.SafeMemory(task, Mebibytes(900)) >= Mebibytes(9'000));
}

// Guards against a price that ignores interference, falls although no task was
// refused because of it, or refuses tasks that cause almost no interference.
TEST_CASE("the interference price follows the mean effect on a service class") {
  InterferencePrice prices;
  const ClassIndex service = 3;
  prices.Set(0, {{service, 0.5, 0.1}});
  prices.Update(std::chrono::seconds(1), false, 0.1);
  const double on_target = prices.PriceOf(service);
  // A placement raises the price immediately.
  prices.Set(1, {{service, 0.5, 0.12}});
  CHECK(prices.PriceOf(service) > on_target);
  prices.Set(1, {});
  CHECK(prices.PriceOf(service) == doctest::Approx(on_target));
  prices.Set(0, {{service, 0.5, 0.08}});
  const double below = prices.PriceOf(service);
  prices.Update(std::chrono::seconds(3), false, 0.1);
  CHECK(prices.PriceOf(service) == doctest::Approx(below));
  for (int t = 4; t < 600; ++t) {
    prices.Update(std::chrono::seconds(t), t < 300, 0.1);
  }
  CHECK(prices.PriceOf(service) < below);
  prices.Set(0, {{service, 0.5, 5.0}});
  for (int t = 600; t < 6'000; ++t) {
    prices.Update(std::chrono::seconds(t), true, 0.1);
  }
  CHECK(prices.PriceOf(service) > on_target);
  CHECK(prices.PriceOf(service) * 0.001 < 1);
}

}  // namespace
}  // namespace mangospread::scheduler::policy
