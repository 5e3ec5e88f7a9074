#include "scheduler/policy/placement/eviction.hpp"

#include <algorithm>

namespace mangospread::scheduler::policy {
namespace {

/// Maximum number of workers examined for one plan. Present deployments are
/// smaller, so all of their workers are examined.
constexpr std::size_t kSampleSize = 256;
/// Cost of each earlier eviction, in core-seconds.
constexpr double kEarlierEvictionCost = 600;
/// Fixed cost of any eviction in core-seconds.
constexpr double kFixedEvictionCost = 30;
/// Longest run time that an eviction is assumed to lose; earlier work has been
/// checkpointed.
constexpr double kCheckpointSeconds = 600;

struct Victim {
  const ResidentTask* resident;
  double cost;
};

bool IsCovered(const Resources& missing) {
  return missing.cpu.value() <= 0 && missing.memory.value() <= 0 &&
         missing.accelerators.value() <= 0;
}

/// True if evicting the task frees some of the missing resources.
bool FreesMissing(const Resources& missing, const Resources& freed) {
  return (missing.cpu.value() > 0 && freed.cpu.value() > 0) ||
         (missing.memory.value() > 0 && freed.memory.value() > 0) ||
         (missing.accelerators.value() > 0 && freed.accelerators.value() > 0);
}

EvictionPlan PlanOnWorker(std::size_t worker, const WorkerRegistry& registry,
                          const ClassTable& classes, const Resources& required,
                          const Tuning& tuning, MonotonicTime now) {
  const WorkerEntry& entry = registry.entries()[worker];
  const FreeCapacity& available = registry.free_capacity()[worker];
  Resources missing;
  missing.cpu = required.cpu - Millicores(available.cpu);
  missing.memory = required.memory - Mebibytes(available.memory);
  missing.accelerators =
      required.accelerators - Accelerators(available.accelerators);
  std::vector<Victim> victims;
  for (const ResidentTask& resident : entry.residents) {
    if (resident.demand.urgent || resident.evicting) continue;
    victims.push_back(
        {&resident, EvictionCost(resident, classes, tuning, now)});
  }
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
  EvictionPlan plan;
  for (const Victim& victim : victims) {
    if (IsCovered(missing)) break;
    const Resources freed = registry.FreedBy(entry, *victim.resident);
    if (!FreesMissing(missing, freed)) continue;
    missing.cpu -= freed.cpu;
    missing.memory -= freed.memory;
    missing.accelerators -= freed.accelerators;
    plan.victims.push_back(victim.resident->demand.id);
    plan.cost += victim.cost;
  }
  if (IsCovered(missing)) plan.worker = worker;
  return plan;
}

}  // namespace

double EvictionCost(const ResidentTask& resident, const ClassTable& classes,
                    const Tuning& tuning, MonotonicTime now) {
  const double seconds = std::clamp(
      std::chrono::duration<double>(now - resident.placed_at).count(), 0.0,
      kCheckpointSeconds);
  const Millicores cpu =
      classes.ExpectedCpu(resident.task_class, resident.demand.cpu);
  const double cores = static_cast<double>(cpu.value()) / 1000.0;
  return tuning.throughput_cost * seconds * cores +
         tuning.eviction_cost *
             (kFixedEvictionCost +
              kEarlierEvictionCost * resident.demand.evictions);
}

EvictionPlan PlanEviction(const WorkerRegistry& registry,
                          const ClassTable& classes, const Resources& required,
                          const Tuning& tuning, MonotonicTime now,
                          std::mt19937_64& random) {
  EvictionPlan best;
  const std::size_t count = registry.entries().size();
  if (count == 0) return best;
  std::size_t index = random() % count;
  std::size_t examined = 0;
  for (std::size_t i = 0; i < count && examined < kSampleSize; ++i) {
    index = index + 1 == count ? 0 : index + 1;
    // A worker with recent failures is limited to one start and is skipped.
    if (registry.free_capacity()[index].starts <= 1) continue;
    const WorkerEntry& entry = registry.entries()[index];
    if (required.accelerators > entry.capacity.accelerators) continue;
    ++examined;
    EvictionPlan plan =
        PlanOnWorker(index, registry, classes, required, tuning, now);
    if (plan.worker == WorkerRegistry::kNone) continue;
    if (best.worker == WorkerRegistry::kNone || plan.cost < best.cost) {
      best = std::move(plan);
    }
  }
  return best;
}

}  // namespace mangospread::scheduler::policy
