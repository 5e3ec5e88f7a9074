/// @file
/// A worker for benchmarks of scheduling decisions. Interference comes from
/// the World's hidden table; reports are late and noisy. Time
/// advances only when Step is called.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "bench/fake_world.hpp"
#include "scheduler/types.hpp"

namespace mangospread::bench {

using scheduler::PlacedTask;
using scheduler::ServiceLoad;
using scheduler::TaskDemand;
using scheduler::WorkerState;

inline constexpr double kStepSeconds = 0.5;

inline MonotonicTime FromSeconds(double seconds) {
  return MonotonicTime(static_cast<std::int64_t>(seconds * 1e9));
}

/// A task on a worker.
struct RunningTask {
  TaskDemand demand;
  int task_class = 0;
  double work_left = 0;  ///< Seconds at full speed.
  double cpu = 0;
  double memory = 0;
  MonotonicTime placed_at{0};
  double started_at = 0;
  double stops_at = -1;  ///< Time at which an eviction takes effect.
  int throttle = 0;
  int next_throttle = 0;
  double throttles_at = -1;
};

/// How a task left the worker.
struct Ending {
  RunningTask task;
  scheduler::AttemptEnd end = scheduler::AttemptEnd::kDone;
};

class FakeWorker {
 public:
  FakeWorker(const World& world, std::string name, std::string rack, int first,
             bool fails, std::uint64_t seed)
      : world_(world),
        name_(std::move(name)),
        rack_(std::move(rack)),
        fails_(fails),
        random_(seed) {
    for (int i = 0; i < 3; ++i) {
      services_.push_back((first + i * (1 + first % 2)) % kServiceClasses);
    }
    ratio_sum_.assign(services_.size(), 0.0);
  }

  void Start(RunningTask task) { tasks_.push_back(std::move(task)); }
  /// The commands take effect after a delay. Repeating one changes nothing.
  void Evict(const scheduler::TaskId& id, double at);
  void Throttle(const scheduler::TaskId& id, int percent, double at);

  void Step(double now, std::vector<Ending>& endings);
  /// Measures; the report is delivered later by the caller.
  void Measure(double now);
  /// The newest report that has arrived, with everything placed by now.
  [[nodiscard]] bool Deliver(double now, WorkerState& state);

  [[nodiscard]] const VmName& name() const { return name_; }
  [[nodiscard]] const std::vector<int>& services() const { return services_; }
  /// p99 relative to alone at the last step.
  [[nodiscard]] double ratio(std::size_t service) const {
    return ratios_[service];
  }
  [[nodiscard]] double alone_ms(std::size_t service, double now) const;
  [[nodiscard]] const std::vector<RunningTask>& tasks() const { return tasks_; }
  [[nodiscard]] int memory_overflows() const { return memory_overflows_; }
  [[nodiscard]] bool fails() const { return fails_; }
  [[nodiscard]] double cpu() const { return cpu_; }

 private:
  static constexpr double kCores = 32;
  static constexpr double kMemory = 125'000;

  [[nodiscard]] double MemoryOf(const RunningTask& task, double now) const {
    return task.memory * std::min(1.0, 0.2 + (now - task.started_at) / 30.0);
  }
  void ComputeRatios(double now);

  const World& world_;
  VmName name_;
  std::string rack_;
  bool fails_;
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
    double arrives_at = 0;
    WorkerState state;
  };
  std::deque<Report> reports_;
};

inline void FakeWorker::Evict(const scheduler::TaskId& id, double at) {
  for (RunningTask& task : tasks_) {
    if (task.demand.id == id && task.stops_at < 0) task.stops_at = at;
  }
}

inline void FakeWorker::Throttle(const scheduler::TaskId& id, int percent,
                                 double at) {
  for (RunningTask& task : tasks_) {
    if (task.demand.id != id) continue;
    task.next_throttle = percent;
    task.throttles_at = at;
  }
}

inline double FakeWorker::alone_ms(std::size_t service, double now) const {
  const int index = services_[service];
  const double level = world_.Level(index, now);
  return world_.services[static_cast<std::size_t>(index)].base_ms *
         (1 + 0.5 * level * level);
}

inline void FakeWorker::ComputeRatios(double now) {
  const double share = cpu_ / kCores;
  double pressure = 1 + std::max(0.0, share - 0.7);
  if (share > 1) pressure += 4 * (share - 1);
  if (memory_ > kMemory) pressure *= 3;
  for (std::size_t i = 0; i < services_.size(); ++i) {
    const auto s = static_cast<std::size_t>(services_[i]);
    const double level = world_.Level(services_[i], now);
    double sum = 0;
    for (const RunningTask& task : tasks_) {
      const TaskTraits& traits =
          world_.tasks[static_cast<std::size_t>(task.task_class)];
      sum += (traits.low[s] * (1 - level) + traits.high[s] * level) *
             (1 - task.throttle / 100.0);
    }
    ratios_[i] = std::exp(sum) * pressure;
    ratio_sum_[i] += ratios_[i];
  }
  ++ratio_count_;
}

inline void FakeWorker::Step(double now, std::vector<Ending>& endings) {
  cpu_ = 0.5;
  memory_ = 2'000;
  for (const int service : services_) {
    const ServiceTraits& traits =
        world_.services[static_cast<std::size_t>(service)];
    cpu_ += traits.cpu * world_.Level(service, now);
    memory_ += traits.memory;
  }
  double slowdown = 1;
  for (RunningTask& task : tasks_) {
    if (task.throttles_at >= 0 && now >= task.throttles_at) {
      task.throttle = task.next_throttle;
      task.throttles_at = -1;
    }
    cpu_ += task.cpu * (1 - task.throttle / 100.0);
    memory_ += MemoryOf(task, now);
    slowdown +=
        world_.tasks[static_cast<std::size_t>(task.task_class)].slows_tasks;
  }
  ComputeRatios(now);
  const double speed = std::min(1.0, kCores / cpu_) / slowdown;
  for (std::size_t i = 0; i < tasks_.size();) {
    RunningTask& task = tasks_[i];
    task.work_left -= kStepSeconds * speed * (1 - task.throttle / 100.0);
    auto end = scheduler::AttemptEnd::kCancelled;
    const bool newest = i + 1 == tasks_.size();
    if (fails_ && now - task.started_at >= 2) {
      end = scheduler::AttemptEnd::kFailed;
    } else if (memory_ > kMemory && newest) {
      ++memory_overflows_;
      end = scheduler::AttemptEnd::kFailed;
    } else if (task.work_left <= 0) {
      end = scheduler::AttemptEnd::kDone;
    } else if (task.stops_at >= 0 && now >= task.stops_at) {
      end = scheduler::AttemptEnd::kEvicted;
    } else {
      ++i;
      continue;
    }
    endings.push_back({task, end});
    tasks_.erase(tasks_.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

inline void FakeWorker::Measure(double now) {
  std::normal_distribution<double> noise(0, 0.1);
  std::uniform_real_distribution<double> lag(1, 3);
  WorkerState state;
  state.report_at = FromSeconds(now);
  state.cpu_used = Millicores(std::llround(1000 * std::min(cpu_, kCores) *
                                           std::exp(0.2 * noise(random_))));
  state.memory_used = Mebibytes(std::llround(memory_));
  for (std::size_t i = 0; i < services_.size(); ++i) {
    const std::string name = "svc-" + std::to_string(services_[i]);
    const auto s = static_cast<std::size_t>(services_[i]);
    ServiceLoad load;
    load.service = ServiceName(name);
    load.task_class = scheduler::TaskClass(name);
    load.p99_ms = alone_ms(i, now) * ratio_sum_[i] / ratio_count_ *
                  std::exp(noise(random_));
    load.objective_p99 =
        Milliseconds(std::llround(world_.services[s].base_ms * 1.5 * 1.2));
    load.requests_per_second = 100 * world_.Level(services_[i], now);
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

inline bool FakeWorker::Deliver(double now, WorkerState& state) {
  bool arrived = false;
  while (!reports_.empty() && reports_.front().arrives_at <= now) {
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
