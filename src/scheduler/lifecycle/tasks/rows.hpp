/// @file
/// Table rows of the scheduler's role, of tasks and of finished jobs.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "crash/lost_run.hpp"
#include "mangospread/address.hpp"
#include "mangospread/platform/table.hpp"
#include "scheduler/types.hpp"

namespace mangospread::scheduler {

inline constexpr char kTaskPrefix[] = "task/";
inline constexpr char kJobPrefix[] = "job/";

enum class TaskState : unsigned char {
  kQueued,
  kAssigned,
  kRunning,
  kEvicted,  ///< Queued to resume from its checkpoint.
  kDone,
  kFailed,
  kCancelled,
  kCannotRun,
};
inline constexpr std::size_t kTaskStateCount = 8;

/// Longer checkpoints are not stored, since the row could not be read again.
inline constexpr std::size_t kMaxCheckpointBytes = 64 * 1024;

[[nodiscard]] std::string_view TaskStateName(TaskState state) noexcept;
/// Assigned or running: an attempt may exist on a worker.
[[nodiscard]] bool IsLive(TaskState state) noexcept;
/// Queued or evicted: may be placed.
[[nodiscard]] bool IsPending(TaskState state) noexcept;
/// Ended; the task does not run again.
[[nodiscard]] bool IsTerminal(TaskState state) noexcept;

/// Value of a task/<job>/<index> row. A task without a row is queued and was
/// never assigned.
struct TaskRecord {
  TaskState state = TaskState::kQueued;
  Attempt attempt;
  VmName vm;  ///< Of the last attempt.
  /// Of the VM at the time of the assignment; a VM of this name with another
  /// address is another machine.
  std::string address;
  /// Ownership epoch of the worker at the time of the assignment.
  Epoch worker_epoch;
  std::string checkpoint;
  std::string reason;
  int evictions = 0;
  int failures = 0;
  /// Losses with crashed workers that count against the task.
  std::vector<crash::TaskLoss> losses;
};

/// Value of a job/<name> row: a finished job, whose task rows are deleted.
struct JobSummary {
  std::array<int, kTaskStateCount> counts{};
  std::string reason;
  bool cancelled = false;
};

/// Value of the role/scheduler/<cell> row. The node is empty after the role was
/// released.
struct RoleRow {
  NodeId node;
  Incarnation incarnation;
  Epoch epoch;
};

[[nodiscard]] std::string RoleRowKey(const std::string& cell);
[[nodiscard]] std::string TaskRowKey(const TaskId& task);
[[nodiscard]] std::string JobRowKey(const JobName& job);
[[nodiscard]] TaskId MakeTaskId(const JobName& job, int index);
/// Returns the job of a task; empty if the id has no index.
[[nodiscard]] JobName JobOf(const TaskId& task);

[[nodiscard]] std::string Encode(const RoleRow& row);
[[nodiscard]] std::string Encode(const TaskRecord& record);
[[nodiscard]] std::string Encode(const JobSummary& summary);
/// Decoders of row values.
/// @errors kMalformed with the row's key as subject.
[[nodiscard]] Result<RoleRow> DecodeRole(const Row& row);
[[nodiscard]] Result<TaskRecord> DecodeTask(const Row& row);
[[nodiscard]] Result<JobSummary> DecodeJob(const Row& row);

}  // namespace mangospread::scheduler
