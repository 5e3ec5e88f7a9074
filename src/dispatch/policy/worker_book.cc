#include "dispatch/policy/worker_book.hpp"

#include <algorithm>

namespace mangospread::dispatch {
namespace {

/// Typical run time of a best-effort task.
constexpr MonotonicTime kBestEffortRunTime = std::chrono::seconds(2);
/// Utilisation by which a load may exceed its trend.
constexpr double kTrendMargin = 0.05;

double Cores(const StepSpec& spec) {
  constexpr double kMillicoresPerCore = 1'000;
  return static_cast<double>(spec.cpu.value()) / kMillicoresPerCore;
}

}  // namespace

void WorkerState::UpdateGroups(const InterferenceModel& model) const {
  groups_.clear();
  std::vector<BestEffortUse> best_effort_use;
  for (const auto& [name, placed] : runs) {
    const StepSpec& spec = *placed.spec;
    if (spec.best_effort) {
      // A run that started slowly uses headroom only as far as others leave it,
      // so it keeps none for its full speed.
      const int percent = placed.started_slowly ? placed.percent : 100;
      best_effort_use.push_back({spec.image, Cores(spec) * percent / 100});
      continue;
    }
    if (!spec.long_running) continue;
    const double expected =
        placed.load.known()
            ? placed.load.level() + placed.load.RiseWithin(kBestEffortRunTime) +
                  kTrendMargin
            : model.HighBaseUtilisation(spec.image);
    const auto it = std::find_if(groups_.begin(), groups_.end(),
                                 [&](const LatencyCriticalGroup& group) {
                                   return group.image == spec.image;
                                 });
    if (it == groups_.end()) {
      groups_.push_back({spec.image, 1, spec.latency_target, expected, 0});
    } else {
      ++it->tasks;
      it->base_utilisation = std::max(it->base_utilisation, expected);
      it->target = std::min(it->target, spec.latency_target);
    }
  }
  for (LatencyCriticalGroup& group : groups_) {
    group.headroom = group.target.count() == 0
                         ? 1.0
                         : model.UtilisationLimit(group.image, group.target) -
                               group.base_utilisation;
    for (const BestEffortUse& use : best_effort_use) {
      group.headroom -= model.Effect(use.image, group.image) * use.cores;
    }
  }
  groups_valid_ = true;
}

void WorkerState::Add(const StepSpec& spec) {
  if (spec.best_effort) {
    best_effort_cpu += spec.cpu;
  } else {
    cpu_used += spec.cpu;
    if (spec.long_running) latency_critical_cpu += spec.cpu;
  }
  groups_valid_ = false;
  memory_used += spec.memory;
  accelerators_used += spec.accelerators;
}

void WorkerState::Remove(const StepSpec& spec) {
  if (spec.best_effort) {
    best_effort_cpu -= spec.cpu;
  } else {
    cpu_used -= spec.cpu;
    if (spec.long_running) latency_critical_cpu -= spec.cpu;
  }
  groups_valid_ = false;
  memory_used -= spec.memory;
  accelerators_used -= spec.accelerators;
}

WorkerSlot WorkerRegistry::Upsert(const WorkerInfo& info) {
  const auto it = by_name_.find(info.vm);
  if (it != by_name_.end()) {
    const WorkerSlot slot = it->second;
    const bool moves = at(slot).info.service != info.service;
    if (moves) RemoveFromService(slot);
    at(slot).info = info;
    if (moves) AddToService(slot);
    return slot;
  }
  WorkerSlot slot = 0;
  while (static_cast<std::size_t>(slot) < slots_.size() &&
         !at(slot).slot_free) {
    ++slot;
  }
  if (static_cast<std::size_t>(slot) == slots_.size()) slots_.emplace_back();
  at(slot) = WorkerState();
  at(slot).info = info;
  by_name_.emplace(info.vm, slot);
  AddToService(slot);
  return slot;
}

void WorkerRegistry::Erase(WorkerSlot slot) {
  by_name_.erase(at(slot).info.vm);
  RemoveFromService(slot);
  at(slot) = WorkerState();
  at(slot).slot_free = true;
}

WorkerSlot WorkerRegistry::Find(const VmName& vm) const {
  const auto it = by_name_.find(vm);
  return it == by_name_.end() ? kNoWorker : it->second;
}

void WorkerRegistry::AddToService(WorkerSlot slot) {
  auto& slots = by_service_[at(slot).info.service];
  slots.insert(std::lower_bound(slots.begin(), slots.end(), slot), slot);
}

void WorkerRegistry::RemoveFromService(WorkerSlot slot) {
  const auto it = by_service_.find(at(slot).info.service);
  if (it == by_service_.end()) return;
  std::erase(it->second, slot);
  if (it->second.empty()) by_service_.erase(it);
}

const std::vector<WorkerSlot>& WorkerRegistry::SlotsOf(
    const ServiceName& service) const {
  static const std::vector<WorkerSlot> kNone;
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? kNone : it->second;
}

std::size_t WorkerRegistry::CountOf(const ServiceName& service) const {
  const auto& slots = SlotsOf(service);
  return static_cast<std::size_t>(
      std::count_if(slots.begin(), slots.end(), [this](WorkerSlot slot) {
        const WorkerState& worker = slots_[static_cast<std::size_t>(slot)];
        return worker.attached && worker.Stays();
      }));
}

}  // namespace mangospread::dispatch
