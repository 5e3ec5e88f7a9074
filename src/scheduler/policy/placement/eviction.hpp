/// @file
/// Plans the cheapest evictions that free capacity for an urgent task.
#pragma once

#include <random>
#include <vector>

#include "scheduler/policy/interference/class_table.hpp"
#include "scheduler/policy/placement/worker_registry.hpp"
#include "scheduler/policy/weights.hpp"

namespace mangospread::scheduler::policy {

struct EvictionPlan {
  std::size_t worker = WorkerRegistry::kNone;
  std::vector<TaskId> victims;
  double cost = 0;  ///< Sum of the EvictionCost of the victims.
};

/// Weighted cost of evicting a task, in core-seconds: its work since the last
/// assumed checkpoint, a fixed cost, and a cost for each earlier eviction, so
/// that the same task is not evicted repeatedly.
[[nodiscard]] double EvictionCost(const ResidentTask& resident,
                                  const ClassTable& classes,
                                  const Tuning& tuning, MonotonicTime now);

/// Examines a sample of the workers and plans the cheapest set of evictions on
/// one of them that frees enough capacity. Urgent tasks are never evicted.
/// @return a plan without a worker if evictions on no sampled worker suffice.
[[nodiscard]] EvictionPlan PlanEviction(const WorkerRegistry& registry,
                                        const ClassTable& classes,
                                        const Resources& required,
                                        const Tuning& tuning, MonotonicTime now,
                                        std::mt19937_64& random);

}  // namespace mangospread::scheduler::policy
