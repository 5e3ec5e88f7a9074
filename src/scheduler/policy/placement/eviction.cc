#include "scheduler/policy/placement/eviction.hpp"

#include <algorithm>

namespace mangospread::scheduler::policy {
namespace {

/// Workers considered for one plan; all of them in a deployment of today.
constexpr std::size_t kSample = 256;
/// Core-seconds that one earlier eviction weighs.
constexpr double kEarlierEviction = 600;
/// Fixed cost of any eviction in core-seconds.
constexpr double kFixedCost = 30;
/// Work older than this has been checkpointed.
constexpr double kCheckpointSeconds = 600;

struct Victim {
  const Resident* resident;
  double cost;
};

bool Covered(const Need& missing) {
  return missing.cpu.value() <= 0 && missing.memory.value() <= 0 &&
         missing.accelerators.value() <= 0;
}

/// True if evicting the task frees some of what is missing.
bool Helps(const Need& missing, const Need& freed) {
  return (missing.cpu.value() > 0 && freed.cpu.value() > 0) ||
         (missing.memory.value() > 0 && freed.memory.value() > 0) ||
         (missing.accelerators.value() > 0 && freed.accelerators.value() > 0);
}

EvictionPlan PlanOn(std::size_t worker, const WorkerBook& book,
                    const ClassTable& classes, const Need& need,
                    const Tuning& tuning, MonotonicTime now) {
  const WorkerEntry& entry = book.entries()[worker];
  const Room& room = book.rooms()[worker];
  Need missing;
  missing.cpu = need.cpu - Millicores(room.cpu);
  missing.memory = need.memory - Mebibytes(room.memory);
  missing.accelerators = need.accelerators - Accelerators(room.accelerators);
  std::vector<Victim> victims;
  for (const Resident& resident : entry.residents) {
    if (resident.demand.urgent || resident.evicting) continue;
    victims.push_back(
        {&resident, EvictionCost(resident, classes, tuning, now)});
  }
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
  EvictionPlan plan;
  for (const Victim& victim : victims) {
    if (Covered(missing)) break;
    const Need freed = book.FreedBy(entry, *victim.resident);
    if (!Helps(missing, freed)) continue;
    missing.cpu -= freed.cpu;
    missing.memory -= freed.memory;
    missing.accelerators -= freed.accelerators;
    plan.victims.push_back(victim.resident->demand.id);
    plan.cost += victim.cost;
  }
  if (Covered(missing)) plan.worker = worker;
  return plan;
}

}  // namespace

double EvictionCost(const Resident& resident, const ClassTable& classes,
                    const Tuning& tuning, MonotonicTime now) {
  const double seconds = std::clamp(
      std::chrono::duration<double>(now - resident.placed_at).count(), 0.0,
      kCheckpointSeconds);
  const Millicores cpu =
      classes.ExpectedCpu(resident.task_class, resident.demand.cpu);
  const double cores = static_cast<double>(cpu.value()) / 1000.0;
  return tuning.throughput_cost * seconds * cores +
         tuning.eviction_cost *
             (kFixedCost + kEarlierEviction * resident.demand.evictions);
}

EvictionPlan PlanEviction(const WorkerBook& book, const ClassTable& classes,
                          const Need& need, const Tuning& tuning,
                          MonotonicTime now, std::mt19937_64& random) {
  EvictionPlan best;
  const std::size_t count = book.entries().size();
  if (count == 0) return best;
  std::size_t index = random() % count;
  std::size_t seen = 0;
  for (std::size_t i = 0; i < count && seen < kSample; ++i) {
    index = index + 1 == count ? 0 : index + 1;
    // One start is the allowance of a worker that failed others.
    if (book.rooms()[index].starts <= 1) continue;
    const WorkerEntry& entry = book.entries()[index];
    if (need.accelerators > entry.capacity.accelerators) continue;
    ++seen;
    EvictionPlan plan = PlanOn(index, book, classes, need, tuning, now);
    if (plan.worker == WorkerBook::kNone) continue;
    if (best.worker == WorkerBook::kNone || plan.cost < best.cost) {
      best = std::move(plan);
    }
  }
  return best;
}

}  // namespace mangospread::scheduler::policy
