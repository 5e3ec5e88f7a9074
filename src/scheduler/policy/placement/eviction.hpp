/// @file
/// Finds the cheapest tasks to evict for an urgent one.
#pragma once

#include <random>
#include <vector>

#include "scheduler/policy/interference/class_table.hpp"
#include "scheduler/policy/placement/worker_book.hpp"
#include "scheduler/policy/weights.hpp"

namespace mangospread::scheduler::policy {

struct EvictionPlan {
  std::size_t worker = WorkerBook::kNone;
  std::vector<TaskId> victims;
  double cost = 0;
};

/// Cost of evicting a task: core-seconds since it was placed, and more for
/// each earlier eviction, so that no task is evicted again and again.
[[nodiscard]] double EvictionCost(const Resident& resident,
                                  const ClassTable& classes,
                                  const Tuning& tuning, MonotonicTime now);

/// Looks at a sample of workers and plans the cheapest set of evictions on one
/// of them that makes room. Urgent tasks are never evicted.
/// @return a plan without a worker if no worker in the sample can make room.
[[nodiscard]] EvictionPlan PlanEviction(const WorkerBook& book,
                                        const ClassTable& classes,
                                        const Need& need, const Tuning& tuning,
                                        MonotonicTime now,
                                        std::mt19937_64& random);

}  // namespace mangospread::scheduler::policy
