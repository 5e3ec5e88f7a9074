/// @file
/// Chooses workers for tasks. The result depends on the arguments alone.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "dispatch/policy/rejections.hpp"
#include "dispatch/policy/sharing_model.hpp"
#include "dispatch/policy/worker_book.hpp"

namespace mangospread::dispatch {

/// Reason why a step's next task cannot be placed.
enum class PlacementFailure : unsigned char {
  kNone,
  kNoWorker,  ///< No usable worker satisfies the step's constraints.
  kNoCapacity,
};

struct Placement {
  WorkerSlot worker = kNoWorker;
  PlacementFailure reason = PlacementFailure::kNone;
  int percent = 100;  ///< Speed at which the task should start; 0 is paused.
};

/// Which of the workers with free capacity a step's tasks get.
enum class PlacementGoal : unsigned char {
  kLowestCost,
  /// The one whose last start was the longest ago.
  kLongestQuiet,
  /// The one whose headroom allows a best-effort task the highest speed. None
  /// is rejected for lack of headroom.
  kHighestSpeed,
};

/// Share of a best-effort task's full speed that fits into the headroom of each
/// latency-critical group with a target. 1 and more is full speed; not positive
/// if a group has no headroom, and then larger where less is missing.
///
/// @param effect_on utilisation that the task adds to an image at full speed.
[[nodiscard]] double SpeedShare(
    const std::vector<LatencyCriticalGroup>& groups,
    const std::function<double(const ImageName&)>& effect_on);

/// Chooses a worker for each task of a step in turn: the one with the lowest
/// cost, and of several the first. An excluded worker is chosen, those with the
/// fewest failures first, if no other one can run the step's tasks, even if it
/// ran nothing else.
///
/// Load pattern: steps of dozens of tasks on a fleet of a thousand workers. All
/// workers are looked at once for the step instead of once for each task, so
/// between two calls of Next only the worker of the first may change.
class StepPlacer {
 public:
  /// @param tasks_of_step number of the step's tasks on a worker; called only
  ///   for a step with a limit per worker.
  StepPlacer(const WorkerRegistry& registry, const InterferenceModel& model,
             const ServiceName& service, const StepSpec& spec,
             std::function<int(WorkerSlot)> tasks_of_step, MonotonicTime now,
             PlacementGoal goal = PlacementGoal::kLowestCost);

  /// The worker for the next task, after the previous one was placed on the
  /// worker that was returned for it.
  [[nodiscard]] Placement Next();

  /// The worker that is expected to have enough free capacity for one more task
  /// of the step soonest, if nothing else starts there; kNoWorker if that takes
  /// the end of a long-running task. Workers whose capacity unknown work uses
  /// are left out; they start nothing meanwhile. Not for best-effort steps.
  /// Between two calls, only the worker of the first may change.
  [[nodiscard]] WorkerSlot FreeSoonest();

  /// Number of workers that the first call of FreeSoonest looks at.
  [[nodiscard]] std::size_t sound_workers() { return Sound().size(); }

  /// Why one more task of the step cannot start on the worker.
  [[nodiscard]] Rejection RejectionBy(WorkerSlot slot);
  /// Latency-critical image on the worker that one more task of the step would
  /// leave the least headroom.
  [[nodiscard]] ImageName ScarcestImage(WorkerSlot slot);

 private:
  struct Candidate {
    int suspicion = 0;  ///< 0 unless the worker is excluded.
    double cost = 0;
    WorkerSlot slot = kNoWorker;
    int percent = 100;  ///< As in Placement.
  };
  /// A worker that is expected to have enough free capacity later.
  struct FreeLater {
    MonotonicTime until_free{0};
    WorkerSlot slot = kNoWorker;
  };
  /// Effect of the step's image on a latency-critical image.
  struct CachedEffect {
    ImageName latency_critical_image;
    double utilisation = 0;  ///< That one of the step's tasks adds.
  };

  /// True if `a` is chosen after `b`.
  static bool ChosenAfter(const Candidate& a, const Candidate& b) noexcept {
    if (a.suspicion != b.suspicion) return a.suspicion > b.suspicion;
    return a.cost != b.cost ? a.cost > b.cost : a.slot > b.slot;
  }
  /// True if `a` has enough free capacity after `b`.
  static bool FreeAfter(const FreeLater& a, const FreeLater& b) noexcept {
    return a.until_free != b.until_free ? a.until_free > b.until_free
                                        : a.slot > b.slot;
  }
  /// True if the worker can start tasks with the step's constraints, now or
  /// later.
  [[nodiscard]] bool IsSuitable(const WorkerState& worker) const;
  /// True if the worker could run one more task of the step, now or later, if
  /// it ran nothing else.
  [[nodiscard]] bool CouldRun(WorkerSlot slot) const;
  /// Suitable workers that are not excluded, also those that can start nothing
  /// at present. Listed at the first call, since few steps need them.
  [[nodiscard]] const std::vector<WorkerSlot>& Sound();
  /// Makes the excluded workers candidates if no other worker could run the
  /// next task.
  void AddExcluded();
  [[nodiscard]] const WorkerState& At(WorkerSlot slot) const {
    return registry_.workers()[static_cast<std::size_t>(slot)];
  }
  /// Whether one more task of the step fits on the worker.
  [[nodiscard]] Rejection CapacityRejection(const WorkerState& worker,
                                            WorkerSlot slot);
  [[nodiscard]] bool LeavesHeadroom(const WorkerState& worker);
  [[nodiscard]] double SpeedShareOn(const WorkerState& worker);
  [[nodiscard]] double EffectOn(const ImageName& latency_critical_image);
  void AddIfFree(WorkerSlot slot);
  void AddIfFreeLater(WorkerSlot slot);

  const WorkerRegistry& registry_;
  const InterferenceModel& model_;
  const ServiceName& service_;
  const StepSpec& spec_;
  std::function<int(WorkerSlot)> tasks_of_step_;
  MonotonicTime now_;
  PlacementGoal goal_;
  std::vector<CachedEffect> effects_;
  std::vector<Candidate> heap_;  ///< The next worker is at the front.
  PlacementFailure reason_ = PlacementFailure::kNoWorker;
  WorkerSlot last_ = kNoWorker;
  std::optional<std::vector<FreeLater>> free_later_;  ///< Heap, as heap_.
  WorkerSlot last_free_later_ = kNoWorker;
  std::optional<std::vector<WorkerSlot>> sound_;
  /// Workers that could start tasks but are excluded and not yet candidates.
  std::vector<WorkerSlot> excluded_;
};

}  // namespace mangospread::dispatch
