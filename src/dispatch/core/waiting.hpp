/// @file
/// Tasks that wait for something, and why.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "dispatch/core/job.hpp"
#include "dispatch/policy/rejections.hpp"
#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// What a task without a running process waits for.
enum class WaitReason : unsigned char {
  // Not placed.
  kTakeover,      ///< The runs that former leaders have left are not known yet.
  kEarlierStep,   ///< Its step depends on one that is not done.
  kDueLater,      ///< Its occurrence is not due.
  kUnstoredLoss,  ///< The loss of its last run has to be stored first.
  kGang,          ///< Other members of its gang have not ended.
  kNoRoom,
  kNoUsableWorker,
  kScarceRoom,  ///< There is room, but it is left to short tasks for a while.
  kNotTried,    ///< No placement has failed since one of its step was placed.
  // Placed.
  kStartUnconfirmed,  ///< The worker has not confirmed the start.
  /// An agent of a former leader reported the run; its worker has not.
  kRunUnconfirmed,
  kWorkerSilent,  ///< The worker does not respond.
  kStopping,      ///< The worker has not reported the end of the stopped run.
  kPaused,        ///< A best-effort task at speed 0.
};
inline constexpr std::size_t kWaitReasonCount =
    static_cast<std::size_t>(WaitReason::kPaused) + 1;

/// Name for logs and metrics.
[[nodiscard]] std::string_view WaitReasonName(WaitReason reason) noexcept;
[[nodiscard]] WaitReason WaitReasonOf(PendingReason reason) noexcept;

/// True if the task waits for a worker on which it can start.
[[nodiscard]] constexpr bool WaitsForWorker(WaitReason reason) noexcept {
  return reason >= WaitReason::kNoRoom && reason <= WaitReason::kNotTried;
}

/// True if the task waits as its submission demands: its step is not ready.
[[nodiscard]] constexpr bool WaitsAsPlanned(WaitReason reason) noexcept {
  return reason == WaitReason::kEarlierStep || reason == WaitReason::kDueLater;
}

/// True if a process may be running the task although the leader does not know
/// of one that does.
[[nodiscard]] constexpr bool MayHaveProcess(WaitReason reason) noexcept {
  return reason == WaitReason::kRunUnconfirmed ||
         reason == WaitReason::kWorkerSilent || reason == WaitReason::kStopping;
}

/// One task that waits.
struct Wait {
  WaitReason reason = WaitReason::kNotTried;
  /// Since the task could have run, or since the takeover if that is later: a
  /// leader does not know when a former one started it.
  MonotonicTime waited{0};
};

/// The lease of a worker that does not respond.
struct LeaseWait {
  Milliseconds left{0};       ///< Until it has expired at the latest.
  std::string_view evidence;  ///< What shows that it may last until then.
};

/// What a submission has running while tasks of it wait.
struct SubmissionRuns {
  int running = 0;  ///< Tasks that run, without the paused ones.
  int paused = 0;   ///< Best-effort tasks at speed 0.
  /// If none runs though a step is ready, for how long; counted from the
  /// takeover if that is later.
  std::optional<MonotonicTime> idle;
};

/// Free capacity of a service for the tasks of a step.
struct FreeCapacity {
  /// Share, 0 to 1, of the processors of the service's workers that accept
  /// starts which tasks that are not best effort have reserved; 1 if no worker
  /// accepts any.
  double reserved = 0;
  /// Number of tasks like those of the step, or of whole gangs, for which the
  /// workers have processors, memory and accelerators. Headroom and earlier
  /// failures on a worker do not count.
  int fits = 0;
};

/// The tasks of a step that wait for the same reason.
struct WaitingTasks {
  TaskName task;  ///< The one that has waited longest.
  TaskIndex index;
  bool long_running = false;
  int tasks = 0;
  Wait wait;                  ///< Of `task`.
  MonotonicTime shortest{0};  ///< Shortest wait of the tasks.
  SubmissionRuns runs;        ///< Of the submission.
  /// Only where it was asked for.
  std::optional<FreeCapacity> capacity;
  /// Where `task` is placed; empty if it is not.
  VmName vm;
  std::uint32_t run = 0;  ///< Of `task`; 0 before the first.
  /// Only for tasks that wait for a worker, and only where it was asked for.
  std::optional<Rejections> rejections;
  /// Of `vm`, if it does not respond. The leader fills it in where it knows the
  /// end of the lease.
  std::optional<LeaseWait> lease;
};

/// Upper bounds of the age buckets of waiting tasks, except the last one.
inline constexpr std::array<MonotonicTime, 3> kWaitAgeBounds = {
    std::chrono::seconds(1), std::chrono::seconds(5), std::chrono::seconds(15)};
inline constexpr std::size_t kWaitAgeCount = kWaitAgeBounds.size() + 1;

/// Number of waiting tasks by reason and age.
using WaitCounts = std::array<std::array<int, kWaitAgeCount>, kWaitReasonCount>;

/// Position of the bucket of a waiting time.
[[nodiscard]] std::size_t WaitAge(MonotonicTime waited) noexcept;

}  // namespace mangospread::dispatch
