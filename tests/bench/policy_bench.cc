// Measures the scheduler's decisions against simpler policies. Everything is
// simulated with fixed seeds, except for the decision times.
//
// Usage: policy_bench [seeds] [first seed]

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <vector>

#include "bench/baseline_policies.hpp"
#include "bench/simulation.hpp"
#include "scheduler/policy/engine.hpp"
#include "scheduler/policy/weights.hpp"

namespace mangospread::bench {
namespace {

using scheduler::MakeEngine;
using scheduler::policy::PresetWeights;
using EngineMaker =
    std::function<std::unique_ptr<DecisionEngine>(std::uint64_t)>;

struct Policy {
  const char* name;
  EngineMaker make;
  bool batch = true;
};

std::vector<Policy> Policies() {
  const auto ours = [](const char* preset) {
    return [preset](std::uint64_t seed) {
      return MakeEngine(*PresetWeights(preset), seed);
    };
  };
  return {
      {"services alone (c)",
       [](std::uint64_t) { return std::make_unique<FirstFit>(); }, false},
      {"first fit, no guard (a)",
       [](std::uint64_t) { return std::make_unique<FirstFit>(); }},
      {"evict above 80% cpu (b)",
       [](std::uint64_t) { return std::make_unique<FirstFit>(0.8); }},
      {"latency-first", ours("latency-first")},
      {"throughput-first", ours("throughput-first")},
  };
}

/// Sums over seeds.
struct Totals {
  double p99_mean = 0;   ///< Mean over services of p99 / p99 alone.
  double p99_worst = 0;  ///< Worst service of any seed.
  double work = 0;
  double cpu = 0;
  int evictions = 0;
  int throttles = 0;
  int failed = 0;
  int overflows = 0;
  int never_started = 0;
  std::vector<double> urgent;
};

void AddRun(const RunResult& run, const RunResult& alone, Totals& totals) {
  double sum = 0;
  for (std::size_t s = 0; s < kServiceClasses; ++s) {
    const double ratio =
        run.latency[s].Percentile99() / alone.latency[s].Percentile99();
    sum += ratio;
    totals.p99_worst = std::max(totals.p99_worst, ratio);
  }
  totals.p99_mean += sum / kServiceClasses;
  totals.work += run.work_done;
  totals.cpu += run.cpu_share;
  totals.evictions += run.evictions;
  totals.throttles += run.throttles;
  totals.failed += run.failed_attempts;
  totals.overflows += run.memory_overflows;
  totals.never_started += run.urgent_waiting;
  totals.urgent.insert(totals.urgent.end(), run.urgent_starts.begin(),
                       run.urgent_starts.end());
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(share * last)];
}

void CompareOn(const Shape& shape, int seeds, int first) {
  const std::vector<Policy> policies = Policies();
  std::vector<Totals> totals(policies.size());
  for (int seed = first; seed < first + seeds; ++seed) {
    const auto number = static_cast<std::uint64_t>(seed);
    RunResult alone;
    for (std::size_t i = 0; i < policies.size(); ++i) {
      const std::unique_ptr<DecisionEngine> engine = policies[i].make(number);
      RunResult run = Simulation(shape, number, policies[i].batch).Run(*engine);
      if (i == 0) alone = run;
      AddRun(run, alone, totals[i]);
    }
  }
  std::printf(
      "\n%s: %d workers, %d to a rack, %d of them fail everything, "
      "%d seeds\n",
      shape.name, shape.workers, shape.per_rack, shape.failing, seeds);
  std::printf("%-24s %7s %7s %6s %5s %6s %6s %7s %5s %6s %6s %5s\n", "policy",
              "p99", "worst", "work", "cpu", "evict", "thrott", "failed", "oom",
              "urg99", "urgmax", "never");
  for (std::size_t i = 0; i < policies.size(); ++i) {
    const Totals& t = totals[i];
    const double work = totals[1].work > 0 ? t.work / totals[1].work : 0;
    std::printf(
        "%-24s %7.3f %7.3f %6.3f %4.0f%% %6d %6d %7d %5d %6.1f %6.1f %5d\n",
        policies[i].name, t.p99_mean / seeds, t.p99_worst, work,
        100 * t.cpu / seeds, t.evictions, t.throttles, t.failed, t.overflows,
        Percentile(t.urgent, 0.99), Percentile(t.urgent, 1.0), t.never_started);
  }
}

}  // namespace

}  // namespace mangospread::bench

int main(int argc, char** argv) {
  using mangospread::bench::Shape;
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 10;
  const int first = argc > 2 ? std::atoi(argv[2]) : 1;
  std::printf(
      "p99: mean over services and seeds of the p99 of all requests "
      "of the wave, relative to services alone; worst: any service "
      "and seed; work: core-seconds relative to (a); urgent starts "
      "in seconds\n");
  // The wave offers half of the processors, or more than there is.
  for (const Shape& shape :
       {Shape{"Asociacion, night", 50, 6, 3, 16},
        Shape{"Imanes Cantabricos, night", 65, 11, 4, 16},
        Shape{"Asociacion, overload", 50, 6, 3, 26},
        Shape{"Imanes Cantabricos, overload", 65, 11, 4, 26}}) {
    mangospread::bench::CompareOn(shape, seeds, first);
  }
  return 0;
}
