/// @file
/// Chooses a worker for a task. Pure: depends on its arguments alone.
#pragma once

#include <functional>

#include "dispatch/policy/sharing_model.hpp"
#include "dispatch/policy/worker_book.hpp"

namespace mangospread::dispatch {

/// Why a step's next task has no worker.
enum class NoPlace : unsigned char {
  kNone,
  kNoWorker,  ///< No usable worker satisfies the step's constraints.
  kNoRoom,
};

struct Placement {
  WorkerSlot worker = kNoWorker;
  NoPlace why = NoPlace::kNone;
};

/// @param tasks_of_step number of the step's tasks on a worker; asked only for
///   a step with a limit per worker.
[[nodiscard]] Placement ChooseWorker(
    const WorkerBook& book, const SharingModel& model,
    const ServiceName& service, const StepSpec& spec,
    const std::function<int(WorkerSlot)>& tasks_of_step, MonotonicTime now);

}  // namespace mangospread::dispatch
