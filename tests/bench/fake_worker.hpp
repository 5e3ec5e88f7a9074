/// @file
/// A worker for benchmarks of scheduling decisions. It has a hidden table of
/// interference that shifts with load, and reports late and with noise. Time
/// advances only when Step is called.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "scheduler/types.hpp"

namespace mangospread::bench {

using scheduler::PlacedTask;
using scheduler::ServiceLoad;
using scheduler::TaskDemand;
using scheduler::WorkerState;

inline constexpr int kServiceClasses = 6;
inline constexpr int kTaskClasses = 14;
inline constexpr double kStepSeconds = 0.5;

inline MonotonicTime FromSeconds(double seconds) {
  return MonotonicTime(static_cast<std::int64_t>(seconds * 1e9));
}

struct ServiceTraits {
  double base_ms = 10;
  double cpu = 3;  ///< Cores at full load.
  double memory = 6'000;
  double phase = 0;
};

/// What tasks of a class really do, and what they declare.
struct TaskTraits {
  double cpu = 2;
  double memory = 4'000;
  double seconds = 120;
  double declared_cpu = 1;     ///< Factor of the declaration.
  double declared_memory = 1;  ///< Factor of the declaration.
  /// Effect of one task on ln(p99) of each service class without load and at
  /// full load, and slowdown of other tasks.
  std::array<double, kServiceClasses> low{};
  std::array<double, kServiceClasses> high{};
  double slows_tasks = 0;
};

/// The hidden truth of one seed.
struct World {
  explicit World(std::uint64_t seed);
  /// Load of a service class, 0..1. Load shifts over minutes, with jumps.
  [[nodiscard]] double Level(int service, double seconds) const;

  std::array<ServiceTraits, kServiceClasses> services;
  std::array<TaskTraits, kTaskClasses> tasks;
  std::vector<double> jumps;
};

inline World::World(std::uint64_t seed) {
  std::mt19937_64 random(seed * 7919 + 1);
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto between = [&](double a, double b) {
    return a + (b - a) * uniform(random);
  };
  for (ServiceTraits& service : services) {
    service = {between(8, 40), between(2, 4.5), between(4'000, 9'000),
               between(0, 6.28)};
  }
  for (int i = 0; i < kTaskClasses; ++i) {
    TaskTraits& task = tasks[static_cast<std::size_t>(i)];
    task.cpu = between(0.5, 4);
    task.memory = between(1'000, 9'000);
    task.seconds = between(60, 360);
    task.slows_tasks = between(0, 0.01);
    // A quarter of the classes declares up to ten times too little, and a
    // quarter up to ten times too much.
    const double error = std::exp(between(std::log(2.0), std::log(10.0)));
    const double small = std::exp(between(-0.2, 0.2));
    const double factor = i % 4 == 0 ? 1 / error : i % 4 == 1 ? error : small;
    task.declared_cpu = std::min(factor, 20 / task.cpu);
    task.declared_memory = std::min(factor, 60'000 / task.memory);
    for (std::size_t s = 0; s < kServiceClasses; ++s) {
      const double kind = uniform(random);
      double effect = between(0.0, 0.008);
      if (kind > 0.88) {
        effect = between(0.1, 0.3);
      } else if (kind > 0.65) {
        effect = between(0.02, 0.06);
      }
      // Some pairs interfere only under load, others only without.
      const double shift = between(0.1, 1.9);
      task.low[s] = effect * (2 - shift);
      task.high[s] = effect * shift;
    }
  }
  for (int i = 0; i < 400; ++i) jumps.push_back(between(-0.2, 0.2));
}

inline double World::Level(int service, double seconds) const {
  const auto s = static_cast<std::size_t>(service);
  const double wave =
      0.5 + 0.25 * std::sin(services[s].phase + seconds / 400.0);
  const std::size_t slot =
      (static_cast<std::size_t>(seconds / 90) * kServiceClasses + s) %
      jumps.size();
  return std::clamp(wave + jumps[slot], 0.05, 1.0);
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
  bool Remove(const scheduler::TaskId& id, RunningTask& removed);

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
