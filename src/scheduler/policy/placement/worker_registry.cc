#include "scheduler/policy/placement/worker_registry.hpp"

#include <algorithm>
#include <cmath>

namespace mangospread::scheduler::policy {
namespace {

/// Time after which a task is removed that no WorkerState has listed; the
/// worker itself ends a task whose lease was not renewed for as long.
constexpr MonotonicTime kUnlistedTimeout = std::chrono::seconds(60);
/// Time for which an ended task is kept; reports older than this are no longer
/// used for learning.
constexpr MonotonicTime kEndedTaskRetention = std::chrono::seconds(30);
/// Age up to which a task may still grow to the usual memory use of its class.
constexpr MonotonicTime kMemoryGrowthTime = std::chrono::seconds(60);
/// Factor by which declared sizes can be wrong.
constexpr std::int64_t kMaxDeclarationError = 10;
/// Maximum reserved for a task of an unknown class that declares less. A higher
/// value would exclude small tasks from every worker that is in use.
constexpr Mebibytes kUnknownMemoryLimit{30'000};
/// The same for processors.
constexpr Millicores kUnknownCpuLimit{8'000};
constexpr double kCpuSmoothing = 0.1;
/// Standard deviations of a worker's processor use that are left free.
constexpr double kCpuReserveDeviations = 1.0;
/// Slow decay of the highest request rate, so that the load level adapts to a
/// service whose traffic has shrunk.
constexpr double kRateDecay = 0.99999;

}  // namespace

std::size_t WorkerRegistry::Find(const VmName& vm) const {
  const auto found = by_name_.find(vm);
  return found == by_name_.end() ? kNone : found->second;
}

ResidentTask* WorkerRegistry::FindResident(std::size_t worker,
                                           const TaskId& task) {
  for (ResidentTask& resident : entries_[worker].residents) {
    if (resident.demand.id == task) return &resident;
  }
  return nullptr;
}

std::size_t WorkerRegistry::Register(const VmName& vm) {
  std::size_t index = entries_.size();
  if (free_indexes_.empty()) {
    entries_.emplace_back();
    free_capacity_.emplace_back();
  } else {
    index = free_indexes_.back();
    free_indexes_.pop_back();
  }
  by_name_[vm] = index;
  entries_[index] = WorkerEntry{};
  entries_[index].vm = vm;
  entries_[index].registered = true;
  entries_[index].capacity.cpu = Millicores(0);
  ++registrations_;
  return index;
}

std::size_t WorkerRegistry::Update(const WorkerState& state) {
  std::size_t index = Find(state.vm);
  if (index == kNone) index = Register(state.vm);
  WorkerEntry& entry = entries_[index];
  total_cpu_ += state.capacity.cpu - entry.capacity.cpu;
  total_accelerators_ +=
      state.capacity.accelerators - entry.capacity.accelerators;
  entry.rack = state.rack;
  const std::string rack_key = state.data_center.str() + "/" + state.rack.str();
  entry.rack_index =
      rack_ids_.emplace(rack_key, static_cast<std::uint32_t>(rack_ids_.size()))
          .first->second;
  entry.capacity = state.capacity;
  entry.accepts_work = state.accepts_work;
  // A delayed report must not overwrite a newer one.
  if (state.report_at >= entry.report_at) ApplyMeasurements(entry, state);
  return index;
}

void WorkerRegistry::ApplyMeasurements(WorkerEntry& entry,
                                       const WorkerState& state) {
  if (state.report_at > entry.report_at) {
    entry.previous_report_at = entry.report_at;
    const auto cpu = static_cast<double>(state.cpu_used.value());
    if (entry.cpu_mean == 0) entry.cpu_mean = cpu;
    const double deviation = cpu - entry.cpu_mean;
    entry.cpu_mean += kCpuSmoothing * deviation;
    entry.cpu_var += kCpuSmoothing * (deviation * deviation - entry.cpu_var);
  }
  entry.report_at = state.report_at;
  entry.cpu_used = state.cpu_used;
  entry.memory_used = state.memory_used;
  MergeServices(entry, state);
  MergeTasks(entry, state);
}

void WorkerRegistry::MergeServices(WorkerEntry& entry,
                                   const WorkerState& state) {
  entry.services.clear();
  for (const ServiceLoad& load : state.services) {
    ServiceSlot slot;
    slot.load = load;
    slot.service_class = classes_.ForService(load);
    double& highest = highest_rate_[load.service];
    highest = std::max(highest * kRateDecay, load.requests_per_second);
    slot.load_level = highest > 0 ? load.requests_per_second / highest : 0;
    entry.services.push_back(std::move(slot));
  }
}

void WorkerRegistry::MergeTasks(WorkerEntry& entry, const WorkerState& state) {
  std::unordered_map<TaskId, const PlacedTask*> listed;
  for (const PlacedTask& task : state.tasks) listed[task.demand.id] = &task;
  std::erase_if(entry.residents, [&](ResidentTask& resident) {
    const auto found = listed.find(resident.demand.id);
    if (found == listed.end()) {
      // If the caller listed the task before, its omission means that it has
      // ended. Otherwise the list may have been written before the placement.
      if (!resident.listed &&
          entry.report_at <= resident.placed_at + kUnlistedTimeout) {
        return false;
      }
      on_removed_(resident, entry);
      return true;
    }
    const PlacedTask& task = *found->second;
    resident.listed = true;
    resident.cpu_used = task.cpu_used;
    resident.memory_used = task.memory_used;
    resident.reported_throttle = task.throttle_percent;
    resident.measured =
        resident.placed_at <= entry.report_at &&
        (task.cpu_used.value() > 0 || task.memory_used.value() > 0);
    listed.erase(found);
    return false;
  });
  for (const PlacedTask& task : state.tasks) {
    if (listed.erase(task.demand.id) == 0) continue;
    ResidentTask resident;
    resident.demand = task.demand;
    resident.task_class = classes_.ForTask(task.demand);
    resident.placed_at = task.placed_at;
    resident.cpu_used = task.cpu_used;
    resident.memory_used = task.memory_used;
    resident.reported_throttle = task.throttle_percent;
    resident.commanded_throttle = task.throttle_percent;
    resident.listed = true;
    resident.measured =
        task.placed_at <= entry.report_at &&
        (task.cpu_used.value() > 0 || task.memory_used.value() > 0);
    on_added_(resident, entry);
    entry.residents.push_back(std::move(resident));
  }
  std::erase_if(entry.ended_tasks, [&](const EndedTask& ended) {
    return ended.ended_at + kEndedTaskRetention < entry.report_at;
  });
}

void WorkerRegistry::Remove(const VmName& vm) {
  const std::size_t index = Find(vm);
  if (index == kNone) return;
  for (ResidentTask& resident : entries_[index].residents) {
    on_removed_(resident, entries_[index]);
  }
  total_cpu_ -= entries_[index].capacity.cpu;
  total_accelerators_ -= entries_[index].capacity.accelerators;
  entries_[index] = WorkerEntry{};
  free_capacity_[index] = FreeCapacity{};
  by_name_.erase(vm);
  free_indexes_.push_back(index);
}

void WorkerRegistry::Place(std::size_t worker, ResidentTask resident) {
  on_added_(resident, entries_[worker]);
  entries_[worker].residents.push_back(std::move(resident));
}

void WorkerRegistry::RemoveTask(std::size_t worker, const TaskId& task,
                                bool ran, MonotonicTime now) {
  WorkerEntry& entry = entries_[worker];
  const auto found =
      std::find_if(entry.residents.begin(), entry.residents.end(),
                   [&](const ResidentTask& r) { return r.demand.id == task; });
  if (found == entry.residents.end()) return;
  on_removed_(*found, entry);
  if (ran) {
    EndedTask ended;
    ended.task_class = found->task_class;
    ended.placed_at = found->placed_at;
    ended.ended_at = now;
    ended.throttle = found->reported_throttle;
    if (found->measured) {
      ended.cpu_used = found->cpu_used;
      ended.memory_used = found->memory_used;
    }
    entry.ended_tasks.push_back(ended);
  }
  *found = std::move(entry.residents.back());
  entry.residents.pop_back();
}

void WorkerRegistry::AdjustReservation(std::size_t worker,
                                       const Resources& required, int sign) {
  WorkerEntry& entry = entries_[worker];
  if (sign > 0) {
    entry.reserved_cpu += required.cpu;
    entry.reserved_memory += required.memory;
    entry.reserved_accelerators += required.accelerators;
  } else {
    entry.reserved_cpu -= required.cpu;
    entry.reserved_memory -= required.memory;
    entry.reserved_accelerators -= required.accelerators;
  }
}

Resources WorkerRegistry::RequiredForUnknownClass(const TaskDemand& demand) {
  Resources required;
  required.unknown_class = true;
  required.cpu = std::max(
      demand.cpu, Millicores(std::min(kMaxDeclarationError * demand.cpu.value(),
                                      kUnknownCpuLimit.value())));
  required.memory =
      std::max(demand.memory,
               Mebibytes(std::min(kMaxDeclarationError * demand.memory.value(),
                                  kUnknownMemoryLimit.value())));
  required.accelerators = demand.accelerators;
  return required;
}

Resources WorkerRegistry::RequiredFor(const TaskDemand& demand,
                                      ClassIndex task_class,
                                      bool cautious) const {
  const bool known = classes_.Known(task_class);
  if (!known && cautious) return RequiredForUnknownClass(demand);
  Resources required;
  required.unknown_class = !known;
  required.cpu = classes_.ExpectedCpu(task_class, demand.cpu);
  // A declaration can also be ten times too large, which no worker may fit.
  if (!known) required.cpu = std::min(required.cpu, kUnknownCpuLimit);
  required.memory =
      std::max(demand.memory, classes_.SafeMemory(task_class, demand.memory));
  required.accelerators = demand.accelerators;
  return required;
}

Resources WorkerRegistry::UnmeasuredUse(const WorkerEntry& worker,
                                        const ResidentTask& resident) const {
  Resources extra;
  const ClassUse& use = classes_.use(resident.task_class);
  const bool known = classes_.Known(resident.task_class);
  const Mebibytes safe_memory =
      classes_.SafeMemory(resident.task_class, resident.demand.memory);
  extra.accelerators = resident.demand.accelerators;
  if (!resident.measured) {
    // Reports lag, so a task that they do not include reserves its full size.
    if (!known) return RequiredForUnknownClass(resident.demand);
    extra.cpu = std::max(
        resident.demand.cpu,
        classes_.ExpectedCpu(resident.task_class, resident.demand.cpu));
    extra.memory = std::max(resident.demand.memory, safe_memory);
    return extra;
  }
  const bool young = worker.report_at - resident.placed_at < kMemoryGrowthTime;
  const Mebibytes expected =
      young || !known ? safe_memory : Mebibytes(std::llround(use.memory));
  extra.memory = std::max(Mebibytes(0), expected - resident.memory_used);
  // A throttled task uses more once its throttling ends.
  if (resident.reported_throttle > 0 && resident.reported_throttle < 100) {
    extra.cpu =
        Millicores(resident.cpu_used.value() * resident.reported_throttle /
                   (100 - resident.reported_throttle));
  }
  return extra;
}

Resources WorkerRegistry::FreedBy(const WorkerEntry& worker,
                                  const ResidentTask& resident) const {
  Resources freed = UnmeasuredUse(worker, resident);
  if (resident.measured) {
    freed.cpu += resident.cpu_used;
    freed.memory += resident.memory_used;
  }
  return freed;
}

Resources WorkerRegistry::CapacityWithoutTasks(std::size_t worker) const {
  const WorkerEntry& entry = entries_[worker];
  const FreeCapacity& available = free_capacity_[worker];
  Resources free{Millicores(available.cpu), Mebibytes(available.memory),
                 Accelerators(available.accelerators)};
  for (const ResidentTask& resident : entry.residents) {
    const Resources freed = FreedBy(entry, resident);
    free.cpu += freed.cpu;
    free.memory += freed.memory;
    free.accelerators += freed.accelerators;
  }
  return free;
}

bool WorkerRegistry::FitsBesideServices(const Resources& required) const {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (!entries_[i].registered || !entries_[i].accepts_work) continue;
    const Resources free = CapacityWithoutTasks(i);
    if (required.cpu <= free.cpu && required.memory <= free.memory &&
        required.accelerators <= free.accelerators) {
      return true;
    }
  }
  return false;
}

FreeCapacity WorkerRegistry::ComputeFreeCapacity(
    const WorkerEntry& entry) const {
  const double cpu_margin = kCpuReserveDeviations * std::sqrt(entry.cpu_var);
  FreeCapacity available;
  available.cpu = std::llround(
      max_cpu_share_ * static_cast<double>(entry.capacity.cpu.value()) -
      cpu_margin);
  available.cpu -= entry.cpu_used.value() + entry.reserved_cpu.value();
  available.memory =
      std::llround((1.0 - kMemoryHeadroom) *
                   static_cast<double>(entry.capacity.memory.value()));
  available.memory -= entry.memory_used.value() + entry.reserved_memory.value();
  std::int64_t accelerators =
      entry.capacity.accelerators.value() - entry.reserved_accelerators.value();
  for (const ResidentTask& resident : entry.residents) {
    const Resources extra = UnmeasuredUse(entry, resident);
    available.cpu -= extra.cpu.value();
    available.memory -= extra.memory.value();
    accelerators -= extra.accelerators.value();
  }
  for (const EndedTask& ended : entry.ended_tasks) {
    if (ended.ended_at <= entry.report_at) continue;
    available.cpu += ended.cpu_used.value();
    available.memory += ended.memory_used.value();
  }
  available.accelerators = static_cast<std::int32_t>(accelerators);
  return available;
}

void WorkerRegistry::Refresh(std::size_t worker, std::int32_t starts) {
  const WorkerEntry& entry = entries_[worker];
  free_capacity_[worker] = ComputeFreeCapacity(entry);
  free_capacity_[worker].starts =
      entry.registered && entry.accepts_work ? starts : 0;
}

bool WorkerRegistry::FitsEmptyWorker(const TaskDemand& demand) const {
  return std::any_of(
      entries_.begin(), entries_.end(), [&](const WorkerEntry& entry) {
        return entry.registered && demand.cpu <= entry.capacity.cpu &&
               static_cast<double>(demand.memory.value()) <=
                   (1.0 - kMemoryHeadroom) *
                       static_cast<double>(entry.capacity.memory.value()) &&
               demand.accelerators <= entry.capacity.accelerators;
      });
}

}  // namespace mangospread::scheduler::policy
