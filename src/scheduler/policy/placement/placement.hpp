/// @file
/// Chooses a worker for a task.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scheduler/policy/guard/quarantine.hpp"
#include "scheduler/policy/interference/class_table.hpp"
#include "scheduler/policy/interference/interference.hpp"
#include "scheduler/policy/interference/interference_price.hpp"
#include "scheduler/policy/placement/worker_registry.hpp"
#include "scheduler/policy/queue/queue.hpp"
#include "scheduler/policy/weights.hpp"
#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

struct Choice {
  Refusal refusal = Refusal::kNoCapacity;
  std::size_t worker = WorkerRegistry::kNone;
  double cost = 0;
  std::vector<Alternative> runners_up;
  std::string reason;
};

struct PlacementRequest {
  const TaskDemand* demand = nullptr;
  ClassIndex task_class = kOtherClass;
  Resources required;
  /// Places the task despite any interference if there is no better worker.
  bool ignore_interference = false;
};

/// Scans the free capacity of the workers from a random start and computes the
/// cost of the first workers that fit. The scan ends early when enough workers
/// fit; because of the random start no worker is preferred for its position.
class Placement {
 public:
  /// Maximum number of workers whose cost is computed for one decision.
  static constexpr std::size_t kMaxCandidates = 64;

  Placement(const WorkerRegistry& registry, const InterferenceModel& model,
            const Quarantine& quarantine, const InterferencePrice& prices,
            std::mt19937_64& random)
      : registry_(registry),
        model_(model),
        quarantine_(quarantine),
        prices_(prices),
        random_(random) {}

  [[nodiscard]] Choice Choose(const PlacementRequest& request,
                              const Tuning& tuning);
  /// True if the worker has the required free capacity.
  [[nodiscard]] bool Fits(std::size_t worker, const Resources& required) const;

  /// Returns whether a task was refused because of the interference price since
  /// the last call, and resets the flag.
  [[nodiscard]] bool TakePriceRefusal() {
    return std::exchange(price_refusal_, false);
  }

  /// Count the tasks of a job by rack, to spread them.
  void OnPlaced(const JobName& job, std::uint32_t rack);
  void OnRemoved(const JobName& job, std::uint32_t rack);

 private:
  struct ScoredWorker {
    std::size_t worker = WorkerRegistry::kNone;
    double cost = 0;
    double predicted = 0;    ///< Worst ln(p99 / alone) after the placement.
    double uncertainty = 0;  ///< Variance of the new task's effect.
    double cpu_share = 0;
    bool acceptable = true;
  };
  struct JobSpread {
    std::unordered_map<std::uint32_t, int> by_rack;
    int total = 0;
  };

  void CollectCandidates(const PlacementRequest& request);
  [[nodiscard]] ScoredWorker Score(std::size_t worker,
                                   const PlacementRequest& request,
                                   const Tuning& tuning);
  [[nodiscard]] double ServiceCost(const WorkerEntry& entry,
                                   const PlacementRequest& request,
                                   const Tuning& tuning, ScoredWorker& scored);
  [[nodiscard]] double TaskCost(const WorkerEntry& entry,
                                const PlacementRequest& request);
  /// Effect of the class of the task being placed, looked up once for each
  /// decision.
  [[nodiscard]] const PairEffect& CachedEffect(ClassIndex aggressor,
                                               ClassIndex victim);
  [[nodiscard]] double RackShare(const JobName& job, std::uint32_t rack) const;
  [[nodiscard]] bool UseExplorationToken(const ScoredWorker& best);
  [[nodiscard]] Choice MakeChoice(const PlacementRequest& request,
                                  std::size_t chosen, const char* label) const;

  const WorkerRegistry& registry_;
  const InterferenceModel& model_;
  const Quarantine& quarantine_;
  const InterferencePrice& prices_;
  std::mt19937_64& random_;
  std::unordered_map<JobName, JobSpread> spread_;
  std::vector<std::size_t> candidates_;
  std::vector<ScoredWorker> scored_workers_;
  struct CachedPair {
    std::uint64_t decision = 0;
    PairEffect effect;
  };
  /// Cache of CachedEffect by victim; entries of earlier decisions are invalid.
  std::vector<CachedPair> effects_;
  std::uint64_t decision_ = 0;  ///< Number of the present decision.
  double exploration_tokens_ = 3;
  bool price_refusal_ = false;
};

}  // namespace mangospread::scheduler::policy
