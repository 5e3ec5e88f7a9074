/// @file
/// Decides which of the runs that ended with a worker's process may have
/// crashed it. The result depends on the arguments alone.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "dispatch/core/job.hpp"

namespace mangospread::dispatch {

/// How likely a run has crashed its worker; a later value is more likely.
enum class Suspicion : unsigned char {
  kNone,
  kPresent,  ///< It was there, and no run had just started.
  kShared,   ///< It had just started, as others had.
  kSole,     ///< It is the only run that had just started.
};

/// Name for logs.
[[nodiscard]] std::string_view SuspicionName(Suspicion suspicion) noexcept;

/// A run on a worker whose process ended without reporting the run's end.
struct LostRun {
  TaskName task;
  std::uint32_t run = 0;
  /// The worker accepted the start or listed the run.
  bool start_confirmed = false;
  /// Time from the start until the worker stopped responding; negative if the
  /// start was issued later.
  MonotonicTime exposure{0};
  /// Earlier losses of the task that count.
  int earlier_losses = 0;
  /// Those of the earlier losses in which the task had just started.
  int earlier_suspicions = 0;
  Suspicion suspicion = Suspicion::kNone;
};

/// Sets the suspicion of each run that a worker has lost.
///
/// Load pattern: a task that crashes every worker which starts it, among tasks
/// that only share a worker with it. A run that had just started explains a
/// crash better than one that had worked for a while.
///
/// @param process_ended false if the worker may only have been unreachable.
void AssignSuspicion(std::vector<LostRun>& lost, bool process_ended);

/// True if the task must not be started again: it crashed a worker that had
/// started nothing else, after it had been suspected before, or too many
/// workers were lost under it.
[[nodiscard]] bool CrashesWorkers(const LostRun& lost) noexcept;

/// True if the run had worked for so long that a start of its task does not
/// crash a worker.
[[nodiscard]] bool ClearsSuspicion(const LostRun& lost) noexcept;

}  // namespace mangospread::dispatch
