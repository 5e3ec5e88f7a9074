#include "dispatch/policy/worker_book.hpp"

namespace mangospread::dispatch {

void WorkerRoom::Add(const StepSpec& spec) {
  if (spec.fills) {
    fill_cpu += spec.cpu;
  } else {
    cpu_used += spec.cpu;
    if (spec.long_running) serving_cpu += spec.cpu;
  }
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
