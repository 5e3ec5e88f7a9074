#include "scheduler/policy/placement/worker_book.hpp"

#include <algorithm>
#include <cmath>

namespace mangospread::scheduler::policy {
namespace {

/// A task that no listing has named is dropped after this; the worker itself
/// ends a task whose lease was not renewed for as long.
constexpr MonotonicTime kUnlistedLimit = std::chrono::seconds(60);
/// Reports older than this no longer matter for learning.
constexpr MonotonicTime kDepartedKept = std::chrono::seconds(30);
/// A task younger than this may still grow to its class's usual memory.
constexpr MonotonicTime kGrowthTime = std::chrono::seconds(60);
/// Declared sizes are off by up to this factor.
constexpr std::int64_t kDeclarationError = 10;
/// Reserved at most for a task of an unknown class that declares less; more
/// would keep small tasks off every worker that does real work.
constexpr Mebibytes kUnknownMemoryLimit{30'000};
/// The same for processors.
constexpr Millicores kUnknownCpuLimit{8'000};
constexpr double kCpuSmoothing = 0.1;
/// Standard deviations of a worker's processor use kept free.
constexpr double kCpuDeviations = 1.0;
/// Slow decay, so that the level follows a service whose traffic shrank.
constexpr double kRateDecay = 0.99999;

}  // namespace

std::size_t WorkerBook::Find(const VmName& vm) const {
  const auto found = by_name_.find(vm);
  return found == by_name_.end() ? kNone : found->second;
}

Resident* WorkerBook::FindResident(std::size_t worker, const TaskId& task) {
  for (Resident& resident : entries_[worker].residents) {
    if (resident.demand.id == task) return &resident;
  }
  return nullptr;
}

std::size_t WorkerBook::Register(const VmName& vm) {
  std::size_t index = entries_.size();
  if (unused_.empty()) {
    entries_.emplace_back();
    rooms_.emplace_back();
  } else {
    index = unused_.back();
    unused_.pop_back();
  }
  by_name_[vm] = index;
  entries_[index] = WorkerEntry{};
  entries_[index].vm = vm;
  entries_[index].known = true;
  entries_[index].capacity.cpu = Millicores(0);
  ++arrivals_;
  return index;
}

std::size_t WorkerBook::Update(const WorkerState& state) {
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
  // A late report must not undo a newer one.
  if (state.report_at >= entry.report_at) TakeMeasurements(entry, state);
  return index;
}

void WorkerBook::TakeMeasurements(WorkerEntry& entry,
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

void WorkerBook::MergeServices(WorkerEntry& entry, const WorkerState& state) {
  entry.services.clear();
  for (const ServiceLoad& load : state.services) {
    ServiceSlot slot;
    slot.load = load;
    slot.service_class = classes_.ForService(load);
    double& highest = highest_rate_[load.service];
    highest = std::max(highest * kRateDecay, load.requests_per_second);
    slot.level = highest > 0 ? load.requests_per_second / highest : 0;
    entry.services.push_back(std::move(slot));
  }
}

void WorkerBook::MergeTasks(WorkerEntry& entry, const WorkerState& state) {
  std::unordered_map<TaskId, const PlacedTask*> listed;
  for (const PlacedTask& task : state.tasks) listed[task.demand.id] = &task;
  std::erase_if(entry.residents, [&](Resident& resident) {
    const auto found = listed.find(resident.demand.id);
    if (found == listed.end()) {
      // Once listed, an omission means that the caller knows it ended. Before
      // that, the listing may have been written before the placement.
      if (!resident.listed &&
          entry.report_at <= resident.placed_at + kUnlistedLimit) {
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
    Resident resident;
    resident.demand = task.demand;
    resident.task_class = classes_.ForTask(task.demand);
    resident.placed_at = task.placed_at;
    resident.cpu_used = task.cpu_used;
    resident.memory_used = task.memory_used;
    resident.reported_throttle = task.throttle_percent;
    resident.ordered_throttle = task.throttle_percent;
    resident.listed = true;
    resident.measured =
        task.placed_at <= entry.report_at &&
        (task.cpu_used.value() > 0 || task.memory_used.value() > 0);
    on_added_(resident, entry);
    entry.residents.push_back(std::move(resident));
  }
  std::erase_if(entry.departed, [&](const Departed& departed) {
    return departed.ended_at + kDepartedKept < entry.report_at;
  });
}

void WorkerBook::Remove(const VmName& vm) {
  const std::size_t index = Find(vm);
  if (index == kNone) return;
  for (Resident& resident : entries_[index].residents) {
    on_removed_(resident, entries_[index]);
  }
  total_cpu_ -= entries_[index].capacity.cpu;
  total_accelerators_ -= entries_[index].capacity.accelerators;
  entries_[index] = WorkerEntry{};
  rooms_[index] = Room{};
  by_name_.erase(vm);
  unused_.push_back(index);
}

void WorkerBook::Place(std::size_t worker, Resident resident) {
  on_added_(resident, entries_[worker]);
  entries_[worker].residents.push_back(std::move(resident));
}

void WorkerBook::Depart(std::size_t worker, const TaskId& task, bool ran,
                        MonotonicTime now) {
  WorkerEntry& entry = entries_[worker];
  const auto found =
      std::find_if(entry.residents.begin(), entry.residents.end(),
                   [&](const Resident& r) { return r.demand.id == task; });
  if (found == entry.residents.end()) return;
  on_removed_(*found, entry);
  if (ran) {
    Departed departed;
    departed.task_class = found->task_class;
    departed.placed_at = found->placed_at;
    departed.ended_at = now;
    departed.throttle = found->reported_throttle;
    if (found->measured) {
      departed.cpu_used = found->cpu_used;
      departed.memory_used = found->memory_used;
    }
    entry.departed.push_back(departed);
  }
  *found = std::move(entry.residents.back());
  entry.residents.pop_back();
}

void WorkerBook::Hold(std::size_t worker, const Need& need, int sign) {
  WorkerEntry& entry = entries_[worker];
  if (sign > 0) {
    entry.held_cpu += need.cpu;
    entry.held_memory += need.memory;
    entry.held_accelerators += need.accelerators;
  } else {
    entry.held_cpu -= need.cpu;
    entry.held_memory -= need.memory;
    entry.held_accelerators -= need.accelerators;
  }
}

Need WorkerBook::UnknownNeed(const TaskDemand& demand) {
  Need need;
  need.unknown_class = true;
  need.cpu = std::max(
      demand.cpu, Millicores(std::min(kDeclarationError * demand.cpu.value(),
                                      kUnknownCpuLimit.value())));
  need.memory =
      std::max(demand.memory,
               Mebibytes(std::min(kDeclarationError * demand.memory.value(),
                                  kUnknownMemoryLimit.value())));
  need.accelerators = demand.accelerators;
  return need;
}

Need WorkerBook::NeedOf(const TaskDemand& demand, ClassIndex task_class,
                        bool cautious) const {
  const bool known = classes_.Known(task_class);
  if (!known && cautious) return UnknownNeed(demand);
  Need need;
  need.unknown_class = !known;
  need.cpu = classes_.ExpectedCpu(task_class, demand.cpu);
  // A declaration can also be ten times too large, which no worker may fit.
  if (!known) need.cpu = std::min(need.cpu, kUnknownCpuLimit);
  need.memory =
      std::max(demand.memory, classes_.SafeMemory(task_class, demand.memory));
  need.accelerators = demand.accelerators;
  return need;
}

Need WorkerBook::ExtraOf(const WorkerEntry& worker,
                         const Resident& resident) const {
  Need extra;
  const ClassUse& use = classes_.use(resident.task_class);
  const bool known = classes_.Known(resident.task_class);
  const Mebibytes safe =
      classes_.SafeMemory(resident.task_class, resident.demand.memory);
  extra.accelerators = resident.demand.accelerators;
  if (!resident.measured) {
    // Reports lag, so what they do not include counts in full.
    if (!known) return UnknownNeed(resident.demand);
    extra.cpu = std::max(
        resident.demand.cpu,
        classes_.ExpectedCpu(resident.task_class, resident.demand.cpu));
    extra.memory = std::max(resident.demand.memory, safe);
    return extra;
  }
  const bool young = worker.report_at - resident.placed_at < kGrowthTime;
  const Mebibytes expected =
      young || !known ? safe : Mebibytes(std::llround(use.memory));
  extra.memory = std::max(Mebibytes(0), expected - resident.memory_used);
  // A throttled task uses more once it is released.
  if (resident.reported_throttle > 0 && resident.reported_throttle < 100) {
    extra.cpu =
        Millicores(resident.cpu_used.value() * resident.reported_throttle /
                   (100 - resident.reported_throttle));
  }
  return extra;
}

Need WorkerBook::FreedBy(const WorkerEntry& worker,
                         const Resident& resident) const {
  Need freed = ExtraOf(worker, resident);
  if (resident.measured) {
    freed.cpu += resident.cpu_used;
    freed.memory += resident.memory_used;
  }
  return freed;
}

Need WorkerBook::RoomWithoutTasks(std::size_t worker) const {
  const WorkerEntry& entry = entries_[worker];
  const Room& room = rooms_[worker];
  Need free{Millicores(room.cpu), Mebibytes(room.memory),
            Accelerators(room.accelerators)};
  for (const Resident& resident : entry.residents) {
    const Need freed = FreedBy(entry, resident);
    free.cpu += freed.cpu;
    free.memory += freed.memory;
    free.accelerators += freed.accelerators;
  }
  return free;
}

bool WorkerBook::FitsBesideServices(const Need& need) const {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (!entries_[i].known || !entries_[i].accepts_work) continue;
    const Need free = RoomWithoutTasks(i);
    if (need.cpu <= free.cpu && need.memory <= free.memory &&
        need.accelerators <= free.accelerators) {
      return true;
    }
  }
  return false;
}

Room WorkerBook::ComputeRoom(const WorkerEntry& entry) const {
  const double kept = kCpuDeviations * std::sqrt(entry.cpu_var);
  Room room;
  room.cpu = std::llround(
      cpu_bound_ * static_cast<double>(entry.capacity.cpu.value()) - kept);
  room.cpu -= entry.cpu_used.value() + entry.held_cpu.value();
  room.memory =
      std::llround((1.0 - kMemoryHeadroom) *
                   static_cast<double>(entry.capacity.memory.value()));
  room.memory -= entry.memory_used.value() + entry.held_memory.value();
  std::int64_t accelerators =
      entry.capacity.accelerators.value() - entry.held_accelerators.value();
  for (const Resident& resident : entry.residents) {
    const Need extra = ExtraOf(entry, resident);
    room.cpu -= extra.cpu.value();
    room.memory -= extra.memory.value();
    accelerators -= extra.accelerators.value();
  }
  for (const Departed& departed : entry.departed) {
    if (departed.ended_at <= entry.report_at) continue;
    room.cpu += departed.cpu_used.value();
    room.memory += departed.memory_used.value();
  }
  room.accelerators = static_cast<std::int32_t>(accelerators);
  return room;
}

void WorkerBook::Refresh(std::size_t worker, std::int32_t starts) {
  const WorkerEntry& entry = entries_[worker];
  rooms_[worker] = ComputeRoom(entry);
  rooms_[worker].starts = entry.known && entry.accepts_work ? starts : 0;
}

bool WorkerBook::CouldEverFit(const TaskDemand& demand) const {
  return std::any_of(
      entries_.begin(), entries_.end(), [&](const WorkerEntry& entry) {
        return entry.known && demand.cpu <= entry.capacity.cpu &&
               static_cast<double>(demand.memory.value()) <=
                   (1.0 - kMemoryHeadroom) *
                       static_cast<double>(entry.capacity.memory.value()) &&
               demand.accelerators <= entry.capacity.accelerators;
      });
}

}  // namespace mangospread::scheduler::policy
