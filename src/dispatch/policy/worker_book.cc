#include "dispatch/policy/worker_book.hpp"

#include <algorithm>

namespace mangospread::dispatch {
namespace {

/// For about this long a filling task runs.
constexpr MonotonicTime kFillTime = std::chrono::seconds(2);
/// Utilisation by which a load may exceed its trend.
constexpr double kOwnMargin = 0.05;

double Cores(const StepSpec& spec) {
  constexpr double kMillicoresPerCore = 1'000;
  return static_cast<double>(spec.cpu.value()) / kMillicoresPerCore;
}

}  // namespace

const std::vector<ServingGroup>& WorkerRoom::Serving(
    const SharingModel& model) const {
  if (serving_valid_) return serving_;
  serving_.clear();
  std::vector<FillUse> fills;
  for (const auto& [name, placed] : runs) {
    const StepSpec& spec = *placed.spec;
    if (spec.fills) {
      fills.push_back({spec.image, Cores(spec)});
      continue;
    }
    if (!spec.long_running) continue;
    const double own = placed.load.known()
                           ? placed.load.level() +
                                 placed.load.RiseWithin(kFillTime) + kOwnMargin
                           : model.HighLevel(spec.image);
    const auto it = std::find_if(
        serving_.begin(), serving_.end(),
        [&](const ServingGroup& group) { return group.image == spec.image; });
    if (it == serving_.end()) {
      serving_.push_back({spec.image, 1, spec.latency_target, own, 0});
    } else {
      ++it->tasks;
      it->own_level = std::max(it->own_level, own);
      it->target = std::min(it->target, spec.latency_target);
    }
  }
  for (ServingGroup& group : serving_) {
    group.room = group.target.count() == 0
                     ? 1.0
                     : model.Limit(group.image, group.target) - group.own_level;
    for (const FillUse& fill : fills) {
      group.room -= model.Effect(fill.image, group.image) * fill.cores;
    }
  }
  serving_valid_ = true;
  return serving_;
}

void WorkerRoom::Add(const StepSpec& spec) {
  if (spec.fills) {
    fill_cpu += spec.cpu;
  } else {
    cpu_used += spec.cpu;
    if (spec.long_running) serving_cpu += spec.cpu;
  }
  serving_valid_ = false;
  memory_used += spec.memory;
  accelerators_used += spec.accelerators;
}

void WorkerRoom::Remove(const StepSpec& spec) {
  if (spec.fills) {
    fill_cpu -= spec.cpu;
  } else {
    cpu_used -= spec.cpu;
    if (spec.long_running) serving_cpu -= spec.cpu;
  }
  serving_valid_ = false;
  memory_used -= spec.memory;
  accelerators_used -= spec.accelerators;
}

WorkerSlot WorkerBook::Upsert(const WorkerInfo& info) {
  const auto it = by_name_.find(info.vm);
  if (it != by_name_.end()) {
    at(it->second).info = info;
    return it->second;
  }
  WorkerSlot slot = 0;
  while (static_cast<std::size_t>(slot) < rooms_.size() && !at(slot).gone) {
    ++slot;
  }
  if (static_cast<std::size_t>(slot) == rooms_.size()) rooms_.emplace_back();
  at(slot) = WorkerRoom();
  at(slot).info = info;
  by_name_.emplace(info.vm, slot);
  return slot;
}

void WorkerBook::Erase(WorkerSlot slot) {
  by_name_.erase(at(slot).info.vm);
  at(slot) = WorkerRoom();
  at(slot).gone = true;
}

WorkerSlot WorkerBook::Find(const VmName& vm) const {
  const auto it = by_name_.find(vm);
  return it == by_name_.end() ? kNoWorker : it->second;
}

}  // namespace mangospread::dispatch
