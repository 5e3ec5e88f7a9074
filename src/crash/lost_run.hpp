/// @file
/// Decides which of the runs that ended with a worker's process may have
/// crashed it. The result depends on the arguments alone.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "mangospread/units.hpp"

namespace mangospread::crash {

/// A task that crashes each worker which starts it does so within this time.
inline constexpr MonotonicTime kStartTrial = std::chrono::milliseconds(300);

/// True if a run may have crashed its worker by being started.
/// @param exposure time from the start until the worker stopped responding;
///   negative if the start was issued later.
[[nodiscard]] constexpr bool JustStarted(MonotonicTime exposure) noexcept {
  return exposure.count() >= 0 && exposure < kStartTrial;
}

/// How likely a run has crashed its worker; a later value is more likely.
enum class Suspicion : unsigned char {
  kNone,
  kPresent,  ///< It may have been there, and nothing points to another one.
  kShared,   ///< It had just started, as others had.
  kSole,     ///< It is the only run that had just started.
};

/// Name for logs.
[[nodiscard]] std::string_view SuspicionName(Suspicion suspicion) noexcept;

/// A loss that counts against a task, as stored with its progress.
struct TaskLoss {
  std::uint32_t run = 0;
  Suspicion suspicion = Suspicion::kNone;
  bool certain = false;  ///< The run was certainly there.

  friend bool operator==(const TaskLoss&, const TaskLoss&) = default;
};

/// A run on a worker whose process ended without reporting the run's end.
struct LostRun {
  std::uint32_t run = 0;
  /// The worker accepted the start or listed the run.
  bool start_confirmed = false;
  /// Time from the start until the worker stopped responding; negative if the
  /// start was issued later.
  MonotonicTime exposure{0};
  std::vector<TaskLoss> earlier;  ///< Earlier losses of the task that count.
  Suspicion suspicion = Suspicion::kNone;
  /// The run was certainly there when the process ended.
  bool certain = false;
};

namespace detail {

/// @param just_started number of runs on the worker that had just started.
void AssignSuspicion(LostRun& run, int just_started, bool process_ended);

}  // namespace detail

/// Sets the suspicion of each run that a worker has lost, and whether that run
/// was certainly there.
///
/// Load pattern: a task that crashes every worker which starts it, among tasks
/// that only share a worker with it. A run that had just started explains a
/// crash better than one that had worked for a while.
///
/// @tparam Run a LostRun, or derived from it to name its task.
/// @param process_ended false if the worker may only have been unreachable.
template <typename Run>
void AssignSuspicion(std::vector<Run>& lost, bool process_ended) {
  const auto just_started = std::count_if(
      lost.begin(), lost.end(),
      [](const LostRun& run) { return JustStarted(run.exposure); });
  for (Run& run : lost) {
    detail::AssignSuspicion(run, static_cast<int>(just_started), process_ended);
  }
}

/// True if the task may be one that crashes its workers, so that it is started
/// on a worker that starts nothing else for a while.
[[nodiscard]] bool IsSuspected(const std::vector<TaskLoss>& losses) noexcept;

/// True if the loss of the run counts already.
[[nodiscard]] bool IsCounted(const std::vector<TaskLoss>& losses,
                             std::uint32_t run) noexcept;

/// True if the task must not be started again.
///
/// A worker may also be cut off and crash by itself, so a start without a reply
/// may never have arrived. The task is given up if two processes have certainly
/// ended under it and it was the only run that had just started, or if it was
/// so three times, or after many losses.
[[nodiscard]] bool CrashesWorkers(const LostRun& lost) noexcept;

/// True if the run had worked for so long that a start of its task does not
/// crash a worker.
[[nodiscard]] bool ClearsSuspicion(const LostRun& lost) noexcept;

}  // namespace mangospread::crash
