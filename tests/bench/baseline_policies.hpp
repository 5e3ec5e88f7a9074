/// @file
/// Baseline policies that the scheduler's policy is compared with.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "scheduler/types.hpp"

namespace mangospread::bench {

using scheduler::AttemptEnd;
using scheduler::Decision;
using scheduler::DecisionEngine;
using scheduler::EvictDecision;
using scheduler::PlaceDecision;
using scheduler::TaskDemand;
using scheduler::TaskId;
using scheduler::WorkerState;

/// First fit by declared sizes, urgent tasks first, without a guard. With a
/// threshold, it starts no task on a worker whose processor use is above it,
/// and evicts the newest tasks of such a worker until the use is below it.
class FirstFit final : public DecisionEngine {
 public:
  /// Declared sizes of the services of a worker.
  static constexpr std::int64_t kServiceMillicores = 8'000;
  static constexpr std::int64_t kServiceMebibytes = 22'000;

  explicit FirstFit(double cpu_threshold = 0) : threshold_(cpu_threshold) {}

  void SetWeights(const scheduler::Weights&) override {}
  void SetQuotas(const std::vector<scheduler::TeamQuota>&) override {}
  void UpdateWorker(const WorkerState& state) override;
  void RemoveWorker(const VmName& vm) override { workers_.erase(vm); }
  void Enqueue(const TaskDemand& task, MonotonicTime) override {
    (task.urgent ? urgent_ : batch_).push_back(task);
  }
  void Dequeue(const TaskId& task) override;
  [[nodiscard]] std::size_t queued() const override {
    return urgent_.size() + batch_.size();
  }
  [[nodiscard]] std::vector<Decision> Decide(MonotonicTime now,
                                             std::size_t limit) override;
  void OnNotStarted(const TaskId& task, const VmName& vm) override {
    RemoveTask(task, vm);
  }
  void OnEnded(const TaskId& task, const VmName& vm, AttemptEnd,
               MonotonicTime) override {
    RemoveTask(task, vm);
  }

 private:
  struct HostedTask {
    TaskDemand demand;
    std::uint64_t sequence = 0;
    double cpu_used = 0;
    bool evicting = false;
  };
  struct Host {
    WorkerState state;
    std::map<TaskId, HostedTask> tasks;
    /// Declared sizes of the services and tasks, in millicores and MiB.
    std::int64_t cpu = kServiceMillicores;
    std::int64_t memory = kServiceMebibytes;
    bool has_new_report = false;
  };

  [[nodiscard]] bool Fits(const Host& host, const TaskDemand& task) const;
  void RemoveTask(const TaskId& task, const VmName& vm) {
    Host& host = workers_[vm];
    const auto found = host.tasks.find(task);
    if (found == host.tasks.end()) return;
    host.cpu -= found->second.demand.cpu.value();
    host.memory -= found->second.demand.memory.value();
    host.tasks.erase(found);
  }
  void EvictExcess(Host& host, std::vector<Decision>& decisions) const;
  void PlaceFrom(std::deque<TaskDemand>& queue, std::size_t limit,
                 std::vector<Decision>& decisions);

  double threshold_;
  std::map<VmName, Host> workers_;
  std::deque<TaskDemand> urgent_;
  std::deque<TaskDemand> batch_;
  std::uint64_t sequence_ = 0;
};

inline void FirstFit::UpdateWorker(const WorkerState& state) {
  Host& host = workers_[state.vm];
  host.state = state;
  host.has_new_report = true;
  for (const scheduler::PlacedTask& task : state.tasks) {
    const auto found = host.tasks.find(task.demand.id);
    if (found == host.tasks.end()) continue;
    found->second.cpu_used = static_cast<double>(task.cpu_used.value());
  }
}

inline void FirstFit::Dequeue(const TaskId& task) {
  const auto matches = [&](const TaskDemand& demand) {
    return demand.id == task;
  };
  std::erase_if(urgent_, matches);
  std::erase_if(batch_, matches);
}

inline bool FirstFit::Fits(const Host& host, const TaskDemand& task) const {
  const WorkerCapacity& capacity = host.state.capacity;
  const std::int64_t cpu = host.cpu + task.cpu.value();
  const std::int64_t memory = host.memory + task.memory.value();
  if (threshold_ > 0 &&
      static_cast<double>(host.state.cpu_used.value()) >
          threshold_ * static_cast<double>(capacity.cpu.value())) {
    return false;
  }
  return cpu <= capacity.cpu.value() && memory <= capacity.memory.value();
}

inline void FirstFit::EvictExcess(Host& host,
                                  std::vector<Decision>& decisions) const {
  double excess =
      static_cast<double>(host.state.cpu_used.value()) -
      threshold_ * static_cast<double>(host.state.capacity.cpu.value());
  for (const auto& [id, task] : host.tasks) {
    if (task.evicting) excess -= task.cpu_used;
  }
  while (excess > 0) {
    HostedTask* newest = nullptr;
    for (auto& [id, task] : host.tasks) {
      if (task.evicting || task.demand.urgent || task.cpu_used <= 0) continue;
      if (newest == nullptr || task.sequence > newest->sequence) newest = &task;
    }
    if (newest == nullptr) return;
    newest->evicting = true;
    excess -= newest->cpu_used;
    decisions.emplace_back(EvictDecision{newest->demand.id, host.state.vm,
                                         "processor above threshold"});
  }
}

inline void FirstFit::PlaceFrom(std::deque<TaskDemand>& queue,
                                std::size_t limit,
                                std::vector<Decision>& decisions) {
  // Sizes that fit no worker are not tried again in this call.
  std::set<std::pair<std::int64_t, std::int64_t>> too_large;
  std::deque<TaskDemand> remaining;
  for (TaskDemand& task : queue) {
    const std::pair size{task.cpu.value(), task.memory.value()};
    Host* chosen = nullptr;
    if (decisions.size() < limit && !too_large.contains(size)) {
      for (auto& [vm, host] : workers_) {
        if (!Fits(host, task)) continue;
        chosen = &host;
        break;
      }
      if (chosen == nullptr) too_large.insert(size);
    }
    if (chosen == nullptr) {
      remaining.push_back(std::move(task));
      continue;
    }
    chosen->cpu += task.cpu.value();
    chosen->memory += task.memory.value();
    decisions.emplace_back(
        PlaceDecision{task.id, chosen->state.vm, 0, {}, "first fit"});
    chosen->tasks[task.id] = HostedTask{task, ++sequence_};
  }
  queue = std::move(remaining);
}

inline std::vector<Decision> FirstFit::Decide(MonotonicTime,
                                              std::size_t limit) {
  std::vector<Decision> decisions;
  for (auto& [vm, host] : workers_) {
    if (threshold_ > 0 && host.has_new_report) EvictExcess(host, decisions);
    host.has_new_report = false;
  }
  PlaceFrom(urgent_, limit, decisions);
  PlaceFrom(batch_, limit, decisions);
  return decisions;
}

}  // namespace mangospread::bench
