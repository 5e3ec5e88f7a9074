/// @file
/// A simulated worker for benchmarks of scheduling decisions. Its interference
/// follows the GroundTruth, which the policies cannot read; its reports are
/// delayed and noisy. Time advances only when Step is called.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "bench/ground_truth.hpp"
#include "scheduler/types.hpp"

namespace mangospread::bench {

using scheduler::PlacedTask;
using scheduler::ServiceLoad;
using scheduler::TaskDemand;
using scheduler::WorkerState;

inline constexpr double kStepSeconds = 0.5;

inline MonotonicTime MonotonicSeconds(double seconds) {
  return MonotonicTime(static_cast<std::int64_t>(seconds * 1e9));
}

/// A task on a worker.
struct RunningTask {
  TaskDemand demand;
  int task_class = 0;
  double remaining_seconds = 0;  ///< Seconds at full speed.
  double cpu = 0;                ///< Cores.
  double memory = 0;             ///< MiB.
  MonotonicTime placed_at{0};
  double started_at = 0;
  double evict_at = -1;  ///< Time at which an eviction takes effect.
  int throttle = 0;      ///< Percentage.
  int next_throttle = 0;
  double throttle_at = -1;  ///< Time at which `next_throttle` takes effect.
};

/// An attempt that ended, with its outcome.
struct EndedAttempt {
  RunningTask task;
  scheduler::AttemptEnd end = scheduler::AttemptEnd::kDone;
};

class FakeWorker {
 public:
  FakeWorker(const GroundTruth& truth, std::string name, std::string rack,
             int first_service, bool always_fails, std::uint64_t seed)
      : truth_(truth),
        name_(std::move(name)),
        rack_(std::move(rack)),
        always_fails_(always_fails),
        random_(seed) {
    for (int i = 0; i < 3; ++i) {
      services_.push_back((first_service + i * (1 + first_service % 2)) %
                          kServiceClasses);
    }
    ratio_sum_.assign(services_.size(), 0.0);
  }

  void Start(RunningTask task) { tasks_.push_back(std::move(task)); }
  /// The commands take effect after a delay. Repeating a command changes
  /// nothing.
  void Evict(const scheduler::TaskId& id, double effective_at);
  void Throttle(const scheduler::TaskId& id, int percent, double effective_at);

  void Step(double now, std::vector<EndedAttempt>& ended_attempts);
  /// Takes a measurement; TakeReport returns it after a delay.
  void Measure(double now);
  /// Fills in the newest report that has arrived by now.
  /// @return false if none has arrived since the last call.
  [[nodiscard]] bool TakeReport(double now, WorkerState& state);

  [[nodiscard]] const VmName& name() const { return name_; }
  [[nodiscard]] const std::vector<int>& services() const { return services_; }
  /// p99 relative to p99 alone at the last step.
  [[nodiscard]] double ratio(std::size_t service) const {
    return ratios_[service];
  }
  [[nodiscard]] double alone_ms(std::size_t service, double now) const;
  [[nodiscard]] const std::vector<RunningTask>& tasks() const { return tasks_; }
  [[nodiscard]] int memory_overflows() const { return memory_overflows_; }
  [[nodiscard]] bool always_fails() const { return always_fails_; }
  [[nodiscard]] double cpu() const { return cpu_; }

 private:
  static constexpr double kCores = 32;
  static constexpr double kMemoryMebibytes = 125'000;

  [[nodiscard]] double MemoryOf(const RunningTask& task, double now) const {
    return task.memory * std::min(1.0, 0.2 + (now - task.started_at) / 30.0);
  }
  void ComputeRatios(double now);

  const GroundTruth& truth_;
  VmName name_;
  std::string rack_;
  bool always_fails_;
  std::mt19937_64 random_;
  std::vector<int> services_;
  std::vector<RunningTask> tasks_;
  std::vector<double> ratios_ = std::vector<double>(3, 1.0);
  std::vector<double> ratio_sum_;
  int ratio_count_ = 0;
  double cpu_ = 0;
  double memory_ = 0;
  int memory_overflows_ = 0;
  struct Report {
    double delivered_at = 0;
    WorkerState state;
  };
  std::deque<Report> reports_;
};

inline void FakeWorker::Evict(const scheduler::TaskId& id,
                              double effective_at) {
  for (RunningTask& task : tasks_) {
    if (task.demand.id == id && task.evict_at < 0) task.evict_at = effective_at;
  }
}

inline void FakeWorker::Throttle(const scheduler::TaskId& id, int percent,
                                 double effective_at) {
  for (RunningTask& task : tasks_) {
    if (task.demand.id != id) continue;
    task.next_throttle = percent;
    task.throttle_at = effective_at;
  }
}

inline double FakeWorker::alone_ms(std::size_t service, double now) const {
  const int index = services_[service];
  const double load_level = truth_.LoadLevel(index, now);
  return truth_.services[static_cast<std::size_t>(index)].base_p99_ms *
         (1 + 0.5 * load_level * load_level);
}

inline void FakeWorker::ComputeRatios(double now) {
  const double share = cpu_ / kCores;
  double pressure = 1 + std::max(0.0, share - 0.7);
  if (share > 1) pressure += 4 * (share - 1);
  if (memory_ > kMemoryMebibytes) pressure *= 3;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    const auto service_index = static_cast<std::size_t>(services_[i]);
    const double load_level = truth_.LoadLevel(services_[i], now);
    double sum = 0;
    for (const RunningTask& task : tasks_) {
      const TaskTraits& traits =
          truth_.tasks[static_cast<std::size_t>(task.task_class)];
      sum += (traits.low[service_index] * (1 - load_level) +
              traits.high[service_index] * load_level) *
             (1 - task.throttle / 100.0);
    }
    ratios_[i] = std::exp(sum) * pressure;
    ratio_sum_[i] += ratios_[i];
  }
  ++ratio_count_;
}

inline void FakeWorker::Step(double now,
                             std::vector<EndedAttempt>& ended_attempts) {
  cpu_ = 0.5;
  memory_ = 2'000;
  for (const int service : services_) {
    const ServiceTraits& traits =
        truth_.services[static_cast<std::size_t>(service)];
    cpu_ += traits.cpu * truth_.LoadLevel(service, now);
    memory_ += traits.memory;
  }
  double slowdown = 1;
  for (RunningTask& task : tasks_) {
    if (task.throttle_at >= 0 && now >= task.throttle_at) {
      task.throttle = task.next_throttle;
      task.throttle_at = -1;
    }
    cpu_ += task.cpu * (1 - task.throttle / 100.0);
    memory_ += MemoryOf(task, now);
    slowdown +=
        truth_.tasks[static_cast<std::size_t>(task.task_class)].task_slowdown;
  }
  ComputeRatios(now);
  const double speed = std::min(1.0, kCores / cpu_) / slowdown;
  for (std::size_t i = 0; i < tasks_.size();) {
    RunningTask& task = tasks_[i];
    task.remaining_seconds -=
        kStepSeconds * speed * (1 - task.throttle / 100.0);
    auto end = scheduler::AttemptEnd::kCancelled;
    const bool newest = i + 1 == tasks_.size();
    if (always_fails_ && now - task.started_at >= 2) {
      end = scheduler::AttemptEnd::kFailed;
    } else if (memory_ > kMemoryMebibytes && newest) {
      ++memory_overflows_;
      end = scheduler::AttemptEnd::kFailed;
    } else if (task.remaining_seconds <= 0) {
      end = scheduler::AttemptEnd::kDone;
    } else if (task.evict_at >= 0 && now >= task.evict_at) {
      end = scheduler::AttemptEnd::kEvicted;
    } else {
      ++i;
      continue;
    }
    ended_attempts.push_back({task, end});
    tasks_.erase(tasks_.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

inline void FakeWorker::Measure(double now) {
  std::normal_distribution<double> noise(0, 0.1);
  std::uniform_real_distribution<double> lag(1, 3);
  WorkerState state;
  state.report_at = MonotonicSeconds(now);
  state.cpu_used = Millicores(std::llround(1000 * std::min(cpu_, kCores) *
                                           std::exp(0.2 * noise(random_))));
  state.memory_used = Mebibytes(std::llround(memory_));
  for (std::size_t i = 0; i < services_.size(); ++i) {
    const std::string name = "svc-" + std::to_string(services_[i]);
    const auto service_index = static_cast<std::size_t>(services_[i]);
    ServiceLoad load;
    load.service = ServiceName(name);
    load.task_class = scheduler::TaskClass(name);
    load.p99_ms = alone_ms(i, now) * ratio_sum_[i] / ratio_count_ *
                  std::exp(noise(random_));
    load.objective_p99 = Milliseconds(
        std::llround(truth_.services[service_index].base_p99_ms * 1.5 * 1.2));
    load.requests_per_second = 100 * truth_.LoadLevel(services_[i], now);
    state.services.push_back(load);
    ratio_sum_[i] = 0;
  }
  ratio_count_ = 0;
  for (const RunningTask& task : tasks_) {
    PlacedTask placed;
    placed.demand.id = task.demand.id;
    placed.cpu_used = Millicores(
        std::llround(1000 * task.cpu * (1 - task.throttle / 100.0) *
                     std::min(1.0, kCores / cpu_) * std::exp(noise(random_))));
    placed.memory_used = Mebibytes(std::llround(MemoryOf(task, now)));
    placed.throttle_percent = task.throttle;
    state.tasks.push_back(placed);
  }
  reports_.push_back({now + lag(random_), std::move(state)});
}

inline bool FakeWorker::TakeReport(double now, WorkerState& state) {
  bool arrived = false;
  while (!reports_.empty() && reports_.front().delivered_at <= now) {
    state = std::move(reports_.front().state);
    reports_.pop_front();
    arrived = true;
  }
  if (!arrived) return false;
  state.vm = name_;
  state.data_center = DataCenter("dc1");
  state.rack = RackName(rack_);
  return true;
}

}  // namespace mangospread::bench
