/// @file
/// Simulates a policy with fake workers in steps of simulated time.
#pragma once

#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bench/fake_worker.hpp"
#include "scheduler/types.hpp"

namespace mangospread::bench {

using scheduler::AttemptEnd;
using scheduler::Decision;
using scheduler::DecisionEngine;
using scheduler::TaskId;

struct Scenario {
  const char* name;
  int workers;
  int per_rack;
  int always_failing;  ///< Workers on which every task fails.
  /// Batch work that the burst offers for each worker, in cores.
  double offered;
};

/// Request-weighted distribution of a service's p99 over workers and steps. The
/// latencies of the requests of one worker and step are assumed to be
/// exponentially distributed with that p99; Percentile99 is the p99 of all
/// requests together.
class LatencyPool {
 public:
  void Add(double p99_ms, double weight) {
    const double position = std::log(std::max(p99_ms, 0.1) / 0.1) / kWidth;
    bins_[std::min(kBins - 1, static_cast<std::size_t>(position))] += weight;
    total_ += weight;
  }
  [[nodiscard]] double Percentile99() const {
    double low = 0.1;
    double high = 1e6;
    for (int i = 0; i < 60; ++i) {
      const double middle = std::sqrt(low * high);
      (Above(middle) > 0.01 * total_ ? low : high) = middle;
    }
    return low;
  }

 private:
  static constexpr std::size_t kBins = 1600;
  static constexpr double kWidth = 0.01;

  [[nodiscard]] double Above(double x) const {
    double sum = 0;
    for (std::size_t i = 0; i < kBins; ++i) {
      if (bins_[i] == 0) continue;
      const double p99 =
          0.1 * std::exp((static_cast<double>(i) + 0.5) * kWidth);
      sum += bins_[i] * std::exp(-std::log(100.0) * x / p99);
    }
    return sum;
  }
  std::vector<double> bins_ = std::vector<double>(kBins, 0.0);
  double total_ = 0;
};

struct RunResult {
  std::array<LatencyPool, kServiceClasses> latency;
  double work_done = 0;  ///< Core-seconds.
  int evictions = 0;
  int throttles = 0;
  int failed_attempts = 0;
  int memory_overflows = 0;
  double cpu_share = 0;  ///< Mean processor use during the burst.
  /// Seconds from the submission to the start of each urgent task.
  std::vector<double> urgent_starts;
  int urgent_not_started = 0;  ///< Urgent tasks that never started.
};

/// Simulates, for one seed, a period of light load and then a burst of batch
/// work.
class Simulation {
 public:
  static constexpr double kBurstStartSeconds = 600;
  static constexpr double kEndSeconds = 3'600;

  Simulation(const Scenario& scenario, std::uint64_t seed, bool batch);
  RunResult Run(DecisionEngine& engine);

 private:
  struct Arrival {
    double arrives_at;
    RunningTask task;
  };
  struct Placed {
    std::size_t worker;
    RunningTask task;
    double starts_at;
  };

  void GenerateArrivals(std::uint64_t seed, double offered_cores);
  void AddJob(double arrives_at, int task_class, int tasks, bool urgent,
              std::mt19937_64& random);
  void Submit(DecisionEngine& engine, double now);
  void Execute(const Decision& decision, double now);
  void StartPlaced(double now);
  void EndTasks(DecisionEngine& engine, double now);
  void DeliverReports(DecisionEngine& engine, double now);
  void Sample(double now);

  GroundTruth truth_;
  std::vector<FakeWorker> workers_;
  std::map<VmName, std::size_t> worker_index_;
  std::vector<Arrival> arrivals_;
  std::size_t next_arrival_ = 0;
  int job_count_ = 0;
  std::map<TaskId, RunningTask> queued_tasks_;
  std::map<TaskId, Placed> placed_;
  std::vector<TaskId> starting_;
  std::vector<std::set<TaskId>> tasks_by_worker_;
  std::map<TaskId, double> urgent_since_;
  std::vector<EndedAttempt> ended_attempts_;
  std::mt19937_64 delay_random_;
  RunResult result_;
  std::uint64_t samples_ = 0;
};

inline Simulation::Simulation(const Scenario& scenario, std::uint64_t seed,
                              bool batch)
    : truth_(seed), delay_random_(seed + 99) {
  for (int i = 0; i < scenario.workers; ++i) {
    const std::string name = "vm-" + std::to_string(100 + i);
    // The failing workers are spread over the fleet and include the first one,
    // which first fit prefers.
    const bool always_fails =
        i % (scenario.workers / scenario.always_failing) == 0 &&
        i / (scenario.workers / scenario.always_failing) <
            scenario.always_failing;
    worker_index_[VmName(name)] = workers_.size();
    workers_.emplace_back(
        truth_, name, "rack-" + std::to_string(i / scenario.per_rack), i,
        always_fails, seed * 1000 + static_cast<std::uint64_t>(i));
  }
  tasks_by_worker_.resize(workers_.size());
  if (batch) GenerateArrivals(seed, scenario.offered);
}

inline void Simulation::AddJob(double arrives_at, int task_class, int tasks,
                               bool urgent, std::mt19937_64& random) {
  std::normal_distribution<double> spread(0, 0.15);
  const TaskTraits& traits = truth_.tasks[static_cast<std::size_t>(task_class)];
  const std::string job = "job-" + std::to_string(job_count_++);
  for (int i = 0; i < tasks; ++i) {
    RunningTask task;
    task.task_class = task_class;
    task.cpu = traits.cpu * std::exp(spread(random));
    task.memory = traits.memory * std::exp(spread(random));
    task.remaining_seconds = traits.seconds * std::exp(spread(random));
    TaskDemand& demand = task.demand;
    demand.id = TaskId(job + "/" + std::to_string(i));
    demand.job = JobName(job);
    demand.team = TeamName("team-" + std::to_string(job_count_ % 8));
    demand.task_class =
        scheduler::TaskClass("class-" + std::to_string(task_class));
    demand.urgent = urgent;
    demand.cpu = Millicores(
        std::llround(1000 * traits.cpu * traits.declared_cpu_factor));
    demand.memory =
        Mebibytes(std::llround(traits.memory * traits.declared_memory_factor));
    demand.run_time = Milliseconds(
        std::llround(1000 * traits.seconds * traits.declared_cpu_factor));
    arrivals_.push_back({arrives_at, task});
  }
}

inline void Simulation::GenerateArrivals(std::uint64_t seed,
                                         double offered_cores) {
  std::mt19937_64 random(seed * 31 + 5);
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto pick = [&](int count) {
    return static_cast<int>(uniform(random) * count);
  };
  // A few tasks while the load is light, then the burst.
  const double cores = offered_cores * static_cast<double>(workers_.size());
  for (double arrives_at = 20; arrives_at < kBurstStartSeconds;
       arrives_at += 20) {
    AddJob(arrives_at, pick(kTaskClasses), 1 + pick(3), false, random);
  }
  double offered = 0;
  for (double arrives_at = kBurstStartSeconds; arrives_at < kEndSeconds;
       arrives_at += 5) {
    // Most of the work arrives early. The last tenth of the burst brings none,
    // so that the work that arrived can be finished.
    const double share = (arrives_at - kBurstStartSeconds) /
                         (0.9 * (kEndSeconds - kBurstStartSeconds));
    const double target = cores * (kEndSeconds - kBurstStartSeconds) *
                          std::min(1.0, std::sqrt(share));
    while (offered < target) {
      const int task_class = pick(kTaskClasses);
      const int tasks = 5 + pick(30);
      const TaskTraits& traits =
          truth_.tasks[static_cast<std::size_t>(task_class)];
      offered += tasks * traits.cpu * traits.seconds;
      AddJob(arrives_at, task_class, tasks, false, random);
    }
  }
  // Bursts of a single class.
  for (double arrives_at = kBurstStartSeconds + 300; arrives_at < kEndSeconds;
       arrives_at += 600) {
    AddJob(arrives_at, pick(kTaskClasses), 60, false, random);
  }
  for (double arrives_at = 60; arrives_at < kEndSeconds - 60;
       arrives_at += 10 + 30 * uniform(random)) {
    AddJob(arrives_at, pick(kTaskClasses), 1 + pick(2), true, random);
  }
  std::stable_sort(arrivals_.begin(), arrivals_.end(),
                   [](const Arrival& a, const Arrival& b) {
                     return a.arrives_at < b.arrives_at;
                   });
}

inline void Simulation::Submit(DecisionEngine& engine, double now) {
  for (; next_arrival_ < arrivals_.size() &&
         arrivals_[next_arrival_].arrives_at <= now;
       ++next_arrival_) {
    const RunningTask& task = arrivals_[next_arrival_].task;
    if (task.demand.urgent) urgent_since_[task.demand.id] = now;
    queued_tasks_[task.demand.id] = task;
    engine.Enqueue(task.demand, MonotonicSeconds(now));
  }
}

inline void Simulation::Execute(const Decision& decision, double now) {
  std::uniform_real_distribution<double> delay(0.2, 0.6);
  if (const auto* place = std::get_if<scheduler::PlaceDecision>(&decision)) {
    RunningTask task = queued_tasks_.at(place->task);
    queued_tasks_.erase(place->task);
    task.placed_at = MonotonicSeconds(now);
    task.evict_at = -1;
    task.throttle = 0;
    task.throttle_at = -1;
    tasks_by_worker_[worker_index_.at(place->vm)].insert(place->task);
    starting_.push_back(place->task);
    placed_[place->task] =
        Placed{worker_index_.at(place->vm), task, now + delay(delay_random_)};
  } else if (const auto* evict =
                 std::get_if<scheduler::EvictDecision>(&decision)) {
    // An eviction takes time for the checkpoint, the stop and its record.
    workers_[worker_index_.at(evict->vm)].Evict(
        evict->task, now + 1 + 2 * delay(delay_random_));
  } else if (const auto* throttle =
                 std::get_if<scheduler::ThrottleDecision>(&decision)) {
    ++result_.throttles;
    workers_[worker_index_.at(throttle->vm)].Throttle(
        throttle->task, throttle->throttle_percent, now + delay(delay_random_));
  }
}

inline void Simulation::StartPlaced(double now) {
  std::vector<TaskId> later;
  for (const TaskId& id : std::exchange(starting_, {})) {
    Placed& placed = placed_.at(id);
    if (placed.starts_at > now) {
      later.push_back(id);
      continue;
    }
    placed.task.started_at = now;
    FakeWorker& worker = workers_[placed.worker];
    worker.Start(placed.task);
    // A start on a worker that fails every task does not count.
    if (!placed.task.demand.urgent || worker.always_fails()) continue;
    const auto since = urgent_since_.find(id);
    if (since == urgent_since_.end()) continue;
    result_.urgent_starts.push_back(now - since->second);
    urgent_since_.erase(since);
  }
  starting_ = std::move(later);
}

inline void Simulation::EndTasks(DecisionEngine& engine, double now) {
  for (const EndedAttempt& ended_attempt : ended_attempts_) {
    const TaskId& id = ended_attempt.task.demand.id;
    const Placed placed = placed_.at(id);
    placed_.erase(id);
    tasks_by_worker_[placed.worker].erase(id);
    const VmName& vm = workers_[placed.worker].name();
    engine.OnEnded(id, vm, ended_attempt.end, MonotonicSeconds(now));
    const double full = placed.task.remaining_seconds;
    if (ended_attempt.end == AttemptEnd::kDone) {
      result_.work_done += placed.task.cpu * full;
      continue;
    }
    RunningTask retry = placed.task;
    if (ended_attempt.end == AttemptEnd::kEvicted) {
      ++result_.evictions;
      ++retry.demand.evictions;
      result_.work_done +=
          retry.cpu * (full - ended_attempt.task.remaining_seconds);
      retry.remaining_seconds = ended_attempt.task.remaining_seconds;
    } else {
      ++result_.failed_attempts;
    }
    queued_tasks_[id] = retry;
    engine.Enqueue(retry.demand, MonotonicSeconds(now));
  }
  ended_attempts_.clear();
}

inline void Simulation::DeliverReports(DecisionEngine& engine, double now) {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    WorkerState state;
    if (!workers_[i].TakeReport(now, state)) continue;
    std::map<TaskId, scheduler::PlacedTask> measured;
    for (scheduler::PlacedTask& task : state.tasks) {
      measured[task.demand.id] = std::move(task);
    }
    state.tasks.clear();
    for (const TaskId& id : tasks_by_worker_[i]) {
      const Placed& placed = placed_.at(id);
      scheduler::PlacedTask task;
      const auto found = measured.find(id);
      if (found != measured.end()) task = found->second;
      task.demand = placed.task.demand;
      task.placed_at = placed.task.placed_at;
      state.tasks.push_back(std::move(task));
    }
    engine.UpdateWorker(state);
  }
}

inline void Simulation::Sample(double now) {
  for (const FakeWorker& worker : workers_) {
    for (std::size_t i = 0; i < worker.services().size(); ++i) {
      const int service = worker.services()[i];
      result_.latency[static_cast<std::size_t>(service)].Add(
          worker.alone_ms(i, now) * worker.ratio(i),
          truth_.LoadLevel(service, now));
    }
    result_.cpu_share += std::min(1.0, worker.cpu() / 32);
    ++samples_;
  }
}

inline RunResult Simulation::Run(DecisionEngine& engine) {
  int step = 0;
  for (double now = 0; now < kEndSeconds; now += kStepSeconds, ++step) {
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      workers_[i].Step(now, ended_attempts_);
      if ((static_cast<std::size_t>(step) + i) % 4 == 0) {
        workers_[i].Measure(now);
      }
    }
    EndTasks(engine, now);
    DeliverReports(engine, now);
    Submit(engine, now);
    for (const Decision& decision : engine.Decide(MonotonicSeconds(now), 200)) {
      Execute(decision, now);
    }
    StartPlaced(now);
    if (now >= kBurstStartSeconds) Sample(now);
  }
  for (const FakeWorker& worker : workers_) {
    result_.memory_overflows += worker.memory_overflows();
    for (const RunningTask& task : worker.tasks()) {
      const double full = placed_.at(task.demand.id).task.remaining_seconds;
      result_.work_done += task.cpu * (full - task.remaining_seconds);
    }
  }
  result_.cpu_share /= static_cast<double>(samples_);
  result_.urgent_not_started = static_cast<int>(urgent_since_.size());
  return std::move(result_);
}

}  // namespace mangospread::bench
