/// @file
/// Runs that ended together with the process of their worker.
#pragma once

#include <cstdint>

#include "dispatch/core/job.hpp"

namespace mangospread::dispatch {

/// A run on a worker whose process ended without reporting the run's end.
struct LostRun {
  TaskName task;
  std::uint32_t run = 0;
  /// The worker accepted the start or listed the run.
  bool start_confirmed = false;
  /// Time from the confirmation of the start until the last event from the
  /// worker; 0 without a confirmation.
  MonotonicTime survived{0};
  /// Number of earlier runs of the task that were lost with their worker.
  int earlier_losses = 0;
};

}  // namespace mangospread::dispatch
