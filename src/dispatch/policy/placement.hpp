/// @file
/// Chooses a worker for a task. The result depends on the arguments alone.
#pragma once

#include <functional>

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
};

/// @param tasks_of_step number of the step's tasks on a worker; called only for
///   a step with a limit per worker.
[[nodiscard]] Placement ChooseWorker(
    const WorkerRegistry& registry, const InterferenceModel& model,
    const ServiceName& service, const StepSpec& spec,
    const std::function<int(WorkerSlot)>& tasks_of_step, MonotonicTime now);

}  // namespace mangospread::dispatch
