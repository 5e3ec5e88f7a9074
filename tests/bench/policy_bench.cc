// Compares the scheduler's decisions with simpler policies. Everything is
// simulated with fixed seeds, except for the decision times.
//
// Usage: policy_bench [seeds] [first seed] [part of a scenario's name]

#include <malloc.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <future>
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
  bool batch = true;  ///< False to simulate the services alone.
};

std::vector<Policy> Policies() {
  const auto make_engine = [](const char* preset) {
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
      {"latency-first", make_engine("latency-first")},
      {"throughput-first", make_engine("throughput-first")},
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
  int out_of_memory_failures = 0;
  int urgent_never_started = 0;
  /// Seconds from the submission to the start of each urgent task.
  std::vector<double> urgent_starts;
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
  totals.out_of_memory_failures += run.memory_overflows;
  totals.urgent_never_started += run.urgent_not_started;
  totals.urgent_starts.insert(totals.urgent_starts.end(),
                              run.urgent_starts.begin(),
                              run.urgent_starts.end());
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(share * last)];
}

constexpr int kParallelSeeds = 3;

std::vector<RunResult> RunSeed(const Scenario& scenario, std::uint64_t seed) {
  std::vector<RunResult> runs;
  for (const Policy& policy : Policies()) {
    const std::unique_ptr<DecisionEngine> engine = policy.make(seed);
    runs.push_back(Simulation(scenario, seed, policy.batch).Run(*engine));
  }
  return runs;
}

void ComparePolicies(const Scenario& scenario, int seeds, int first) {
  const std::vector<Policy> policies = Policies();
  std::vector<Totals> totals(policies.size());
  // Runs are independent, so several seeds run in parallel.
  for (int seed = first; seed < first + seeds; seed += kParallelSeeds) {
    std::vector<std::future<std::vector<RunResult>>> running;
    for (int i = seed; i < std::min(seed + kParallelSeeds, first + seeds);
         ++i) {
      running.push_back(std::async(std::launch::async, RunSeed, scenario,
                                   static_cast<std::uint64_t>(i)));
    }
    for (auto& future : running) {
      const std::vector<RunResult> runs = future.get();
      for (std::size_t i = 0; i < runs.size(); ++i) {
        AddRun(runs[i], runs[0], totals[i]);
      }
    }
  }
  std::printf(
      "\n%s: %d workers, %d to a rack, %d of them fail everything, "
      "%d seeds\n",
      scenario.name, scenario.workers, scenario.per_rack,
      scenario.always_failing, seeds);
  std::printf("%-24s %7s %7s %6s %5s %6s %6s %7s %5s %6s %6s %5s\n", "policy",
              "p99", "worst", "work", "cpu", "evict", "thrott", "failed", "oom",
              "urg99", "urgmax", "never");
  for (std::size_t i = 0; i < policies.size(); ++i) {
    const Totals& t = totals[i];
    const double work = totals[1].work > 0 ? t.work / totals[1].work : 0;
    std::printf(
        "%-24s %7.3f %7.3f %6.3f %4.0f%% %6d %6d %7d %5d %6.1f %6.1f %5d\n",
        policies[i].name, t.p99_mean / seeds, t.p99_worst, work,
        100 * t.cpu / seeds, t.evictions, t.throttles, t.failed,
        t.out_of_memory_failures, Percentile(t.urgent_starts, 0.99),
        Percentile(t.urgent_starts, 1.0), t.urgent_never_started);
  }
}

/// Measures decision times of a fleet in steady state: every worker runs four
/// tasks beside three services, and 5,000 tasks of 110 teams are queued.
class DecisionTimer {
 public:
  DecisionTimer(int workers, int queued_tasks)
      : engine_(MakeEngine(*PresetWeights("latency-first"), 1)),
        workers_(workers) {
    for (int i = 0; i < workers; ++i) engine_->UpdateWorker(Report(i, 1));
    for (int i = 0; i < queued_tasks; ++i) Enqueue(2);
  }

  /// Prints percentiles of the time of one decision.
  void Run(int decisions) {
    // Microseconds of the calls with and without a decision.
    std::vector<double> times;
    std::vector<double> refused;
    double seconds = 10;
    for (int i = 0; i < decisions; ++i) {
      seconds += 0.002;
      Enqueue(seconds);
      engine_->UpdateWorker(Report(i % workers_, seconds));
      const auto start = std::chrono::steady_clock::now();
      const auto decisions_made = engine_->Decide(MonotonicSeconds(seconds), 1);
      const auto end = std::chrono::steady_clock::now();
      (decisions_made.empty() ? refused : times)
          .push_back(
              std::chrono::duration<double, std::micro>(end - start).count());
      for (const Decision& decision : decisions_made) {
        const auto* place = std::get_if<scheduler::PlaceDecision>(&decision);
        if (place == nullptr) continue;
        ++placed_;
        engine_->OnEnded(place->task, place->vm, AttemptEnd::kDone,
                         MonotonicSeconds(seconds + 0.001));
      }
    }
    std::printf(
        "%5d workers: p50 %6.0f us, p99 %6.0f us, max %6.0f us "
        "(%d placements; %zu calls without one, p99 %.0f us)\n",
        workers_, Percentile(times, 0.5), Percentile(times, 0.99),
        Percentile(times, 1.0), placed_, refused.size(),
        Percentile(refused, 0.99));
  }

 private:
  TaskDemand Demand() {
    const int number = next_task_++;
    TaskDemand task;
    task.job = JobName("job-" + std::to_string(number / 25));
    task.id = TaskId(task.job.str() + "/" + std::to_string(number % 25));
    task.team = TeamName("team-" + std::to_string(number / 25 % 110));
    task.task_class =
        scheduler::TaskClass("class-" + std::to_string(number / 25 % 400));
    task.cpu = Millicores(1'000);
    task.memory = Mebibytes(2'000);
    return task;
  }
  void Enqueue(double seconds) {
    engine_->Enqueue(Demand(), MonotonicSeconds(seconds));
  }
  WorkerState Report(int index, double seconds) {
    WorkerState state;
    state.vm = VmName("vm-" + std::to_string(index));
    state.rack = RackName("rack-" + std::to_string(index / 40));
    state.report_at = MonotonicSeconds(seconds);
    state.cpu_used = Millicores(14'000);
    state.memory_used = Mebibytes(40'000);
    for (int i = 0; i < 3; ++i) {
      const std::string name = "svc-" + std::to_string((index + 7 * i) % 60);
      state.services.push_back({ServiceName(name), scheduler::TaskClass(name),
                                10.0, Milliseconds(20), true, 100.0});
    }
    for (int i = 0; i < 4; ++i) {
      scheduler::PlacedTask task;
      task.demand = Demand();
      task.demand.id = TaskId(state.vm.str() + "/" + std::to_string(i));
      task.cpu_used = Millicores(1'000);
      task.memory_used = Mebibytes(2'000);
      state.tasks.push_back(task);
    }
    return state;
  }

  std::unique_ptr<DecisionEngine> engine_;
  int workers_;
  int next_task_ = 0;
  int placed_ = 0;
};

}  // namespace

/// Measures the memory that the engine uses at the largest supported scale:
/// 22,400 tasks run beside services on 5,600 workers, and the others of 100,000
/// tasks are queued.
void MeasureMemory() {
  constexpr int kWorkers = 5'600;
  constexpr int kTasks = 100'000;
  const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  const DecisionTimer timer(kWorkers, kTasks - 4 * kWorkers);
  const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
  std::printf("\nMemory at %d workers and %d tasks: %.1f MiB\n", kWorkers,
              kTasks, static_cast<double>(after - before) / 1048576.0);
}

void MeasureDecisionTimes() {
  std::printf("\nTime of Decide for one placement\n");
  for (const int workers : {50, 500, 5'600}) {
    DecisionTimer(workers, 5'000).Run(5'000);
  }
}

}  // namespace mangospread::bench

int main(int argc, char** argv) {
  using mangospread::bench::Scenario;
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 10;
  const int first = argc > 2 ? std::atoi(argv[2]) : 1;
  std::printf(
      "p99: mean over services and seeds of the p99 of all requests "
      "of the burst, relative to services alone; worst: any service "
      "and seed; work: core-seconds relative to (a); urgent starts "
      "in seconds\n");
  // The burst offers work for half of the processors, or for more than there
  // are.
  for (const Scenario& scenario :
       {Scenario{"Asociacion, night", 50, 6, 3, 16},
        Scenario{"Imanes Cantabricos, night", 65, 11, 4, 16},
        Scenario{"Asociacion, overload", 50, 6, 3, 26},
        Scenario{"Imanes Cantabricos, overload", 65, 11, 4, 26}}) {
    if (argc > 3 && std::strstr(scenario.name, argv[3]) == nullptr) continue;
    mangospread::bench::ComparePolicies(scenario, seeds, first);
  }
  mangospread::bench::MeasureMemory();
  mangospread::bench::MeasureDecisionTimes();
  return 0;
}
