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
#include "scheduler/policy/interference/harm_price.hpp"
#include "scheduler/policy/interference/interference.hpp"
#include "scheduler/policy/placement/worker_book.hpp"
#include "scheduler/policy/queue/queue.hpp"
#include "scheduler/policy/weights.hpp"
#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

struct Choice {
  Refusal refusal = Refusal::kNoRoom;
  std::size_t worker = WorkerBook::kNone;
  double cost = 0;
  std::vector<Alternative> runners_up;
  std::string why;
};

struct PlacementRequest {
  const TaskDemand* demand = nullptr;
  ClassIndex task_class = kOtherClass;
  Need need;
  /// Takes any interference if there is no better worker.
  bool any_interference = false;
};

/// Scans the free rooms from a random start, so that it ends early when there
/// is room and no worker is preferred by its position, and computes the cost
/// of the first workers that fit.
class Placement {
 public:
  /// Workers whose cost is computed for one decision.
  static constexpr std::size_t kCandidates = 64;

  Placement(const WorkerBook& book, const InterferenceModel& model,
            const Quarantine& quarantine, const HarmPrice& prices,
            std::mt19937_64& random)
      : book_(book),
        model_(model),
        quarantine_(quarantine),
        prices_(prices),
        random_(random) {}

  [[nodiscard]] Choice Choose(const PlacementRequest& request,
                              const Tuning& tuning);
  /// True if the worker has the room.
  [[nodiscard]] bool Fits(std::size_t worker, const Need& need) const;

  /// True if a task was refused for the price of harm since the last call.
  [[nodiscard]] bool TakePriceRefusal() {
    return std::exchange(price_refusal_, false);
  }

  /// Counts a job's tasks by rack, to spread them.
  void OnPlaced(const JobName& job, std::uint32_t rack);
  void OnDeparted(const JobName& job, std::uint32_t rack);

 private:
  struct Scored {
    std::size_t worker = WorkerBook::kNone;
    double cost = 0;
    double predicted = 0;    ///< Worst ln(p99 / alone) after the placement.
    double uncertainty = 0;  ///< Variance of the newcomer's effect.
    double cpu_share = 0;
    bool acceptable = true;
  };
  struct JobSpread {
    std::unordered_map<std::uint32_t, int> by_rack;
    int total = 0;
  };

  void Collect(const PlacementRequest& request);
  [[nodiscard]] Scored Score(std::size_t worker,
                             const PlacementRequest& request,
                             const Tuning& tuning);
  [[nodiscard]] double ServiceCost(const WorkerEntry& entry,
                                   const PlacementRequest& request,
                                   const Tuning& tuning, Scored& scored);
  [[nodiscard]] double TaskCost(const WorkerEntry& entry,
                                const PlacementRequest& request);
  /// Effect of the present newcomer's class, looked up once a decision.
  [[nodiscard]] const PairEffect& CachedEffect(ClassIndex aggressor,
                                               ClassIndex victim);
  [[nodiscard]] double RackShare(const JobName& job, std::uint32_t rack) const;
  [[nodiscard]] bool TakeExploration(const Scored& scored);
  [[nodiscard]] Choice Finish(const PlacementRequest& request,
                              std::size_t chosen, const char* note) const;

  const WorkerBook& book_;
  const InterferenceModel& model_;
  const Quarantine& quarantine_;
  const HarmPrice& prices_;
  std::mt19937_64& random_;
  std::unordered_map<JobName, JobSpread> spread_;
  std::vector<std::size_t> candidates_;
  std::vector<Scored> scored_;
  struct CachedPair {
    std::uint64_t decision = 0;
    PairEffect effect;
  };
  std::vector<CachedPair> effects_;
  std::uint64_t decision_ = 0;
  double exploration_tokens_ = 3;
  bool price_refusal_ = false;
};

}  // namespace mangospread::scheduler::policy
