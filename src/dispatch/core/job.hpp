/// @file
/// A submission with the state of its tasks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/model/submission.hpp"
#include "dispatch/policy/lost_run.hpp"

namespace mangospread::dispatch {

/// Position of a worker in the WorkerRegistry.
using WorkerSlot = std::int32_t;
inline constexpr WorkerSlot kNoWorker = -1;

enum class TaskPhase : unsigned char {
  kPending,
  kStarting,
  kRunning,
  kStopping,
  kDone,
};

struct Task {
  TaskPhase phase = TaskPhase::kPending;
  WorkerSlot worker = kNoWorker;
  /// Number of the latest run; 0 before the first.
  std::uint32_t run = 0;
  /// Runs that count as failed attempts.
  std::vector<std::uint32_t> failed_runs;
  std::vector<TaskLoss> losses;
  /// Generation of the submission's progress that holds all losses.
  std::uint64_t loss_generation = 0;
  MonotonicTime since{0};  ///< Start of the phase.
  /// While pending or starting: end of the last run or, if the task lost its
  /// worker, the time since which that worker had been silent. Before the first
  /// run, time of the first start; 0 for a restored task, which has waited for
  /// the takeover.
  MonotonicTime without_run_since{0};
  std::string checkpoint;

  /// True if a worker may be running the task.
  [[nodiscard]] bool placed() const noexcept {
    return phase == TaskPhase::kStarting || phase == TaskPhase::kRunning ||
           phase == TaskPhase::kStopping;
  }
};

/// Why pending tasks of a step are not placed.
enum class PendingReason : unsigned char {
  kNone,
  kNoCapacity,
  kNoUsableWorker,
  /// There is capacity, but it is left to short tasks for a while.
  kScarceCapacity,
};

struct Step {
  StepSpec spec;
  std::vector<Task> tasks;
  int unfinished = 0;
  int pending = 0;
  bool ready = false;  ///< All steps that it depends on are done.
  /// Time at which its tasks could first start; 0 before that.
  MonotonicTime available_since{0};
  /// Earliest start; 0 if the step may start at once.
  MonotonicTime due{0};
  /// Time since which there has been capacity for one of its pending tasks,
  /// apart from short interruptions; 0 if there is none.
  MonotonicTime free_since{0};
  MonotonicTime free_seen{0};  ///< Last time with capacity.
  /// Last reason that was logged; kNone after a placement.
  PendingReason logged_reason = PendingReason::kNone;
  /// Critical path from the start of this step to the end, by the estimates.
  Milliseconds critical_path{0};
};

/// Stored progress of a task that is not in its initial state.
struct TaskProgress {
  TaskIndex task;
  bool done = false;
  std::uint32_t run = 0;
  std::vector<std::uint32_t> failed_runs;
  std::string checkpoint;
  std::vector<TaskLoss> losses;
  /// Position among all tasks, in the order of the steps; not stored.
  int position = 0;
};

/// Consecutive tasks that are done. Nothing else is stored of them: they never
/// run again.
struct DoneTasks {
  /// Position of the first one among all tasks, in the order of the steps.
  int position = 0;
  int count = 0;
  /// The first one, if all are of one step; not stored.
  TaskIndex first;
};

/// Stored state of a submission, in addition to the submission itself.
struct JobProgress {
  SubmissionState state = SubmissionState::kQueued;
  /// Tasks with more than their completion. Rows of former versions list the
  /// tasks that are done here, too.
  std::vector<TaskProgress> tasks;
  std::vector<DoneTasks> done;
};

/// Most memory that a Job of the submission and its runs take, in bytes, from
/// the sizes of its parts. Includes the stored request, which a leader reads
/// when it takes over.
[[nodiscard]] std::size_t MemoryOfJob(const Submission& submission);
/// The same once the submission has ended: nothing of it runs any more, and the
/// request is not stored any more.
[[nodiscard]] std::size_t MemoryOfEndedJob(const Submission& submission);

/// A submission with the state of its tasks; independent of workers and clocks.
/// The steps of an occurrence follow those of the previous occurrence. Of the
/// occurrences that are not due it holds the next one only, unless a task of a
/// later one has been asked for.
class Job {
 public:
  /// @param unix_epoch the Unix epoch as a monotonic time, for due times.
  Job(Submission submission, QueuePolicy policy, MonotonicTime accepted_at,
      MonotonicTime unix_epoch);

  [[nodiscard]] const Submission& submission() const noexcept {
    return submission_;
  }
  [[nodiscard]] const QueuePolicy& policy() const noexcept { return policy_; }
  [[nodiscard]] MonotonicTime accepted_at() const noexcept {
    return accepted_at_;
  }
  [[nodiscard]] SubmissionState state() const noexcept { return state_; }
  /// The steps of the occurrences that it holds. References to them stay valid.
  [[nodiscard]] std::deque<Step>& steps() noexcept { return steps_; }
  [[nodiscard]] const std::deque<Step>& steps() const noexcept {
    return steps_;
  }
  /// Adds the occurrences that have become due, and the next one.
  void AddDueOccurrences(MonotonicTime now);
  /// Time by which the whole submission should be complete, by the estimates.
  [[nodiscard]] MonotonicTime objective() const noexcept { return objective_; }
  /// Time after which a completion has no value for the caller.
  [[nodiscard]] MonotonicTime last_useful() const noexcept {
    return last_useful_;
  }
  [[nodiscard]] bool has_pending() const noexcept;
  /// True once a worker has begun one of its tasks. A start that was refused
  /// is none.
  [[nodiscard]] bool begun() const noexcept { return begun_; }
  void SetBegun() noexcept { begun_ = true; }
  /// True once a start of one of its tasks was issued.
  [[nodiscard]] bool started() const noexcept {
    return state_ != SubmissionState::kQueued;
  }
  [[nodiscard]] bool long_running() const noexcept;

  /// Time by which the step's occurrence should be complete.
  [[nodiscard]] MonotonicTime ObjectiveOf(const Step& step) const noexcept;

  /// Returns null if the submission has no such task.
  [[nodiscard]] Task* Find(const TaskIndex& index);
  /// Position of a task, whose occurrence is added; nullopt if the submission
  /// has no such task.
  [[nodiscard]] std::optional<TaskIndex> IndexOf(const TaskName& name);
  [[nodiscard]] TaskName NameOf(const TaskIndex& index) const;
  [[nodiscard]] Step& StepAt(const TaskIndex& index) {
    return steps_[static_cast<std::size_t>(index.step)];
  }

  /// Moves a task to another phase and updates the step's counts.
  void SetPhase(const TaskIndex& index, TaskPhase phase, MonotonicTime now);
  /// Marks a task done. Returns true if all tasks of the submission are done.
  bool Finish(const TaskIndex& index, MonotonicTime now);
  void SetState(SubmissionState state) noexcept { state_ = state; }

  [[nodiscard]] JobProgress Progress() const;
  void Restore(const JobProgress& progress);

 private:
  /// Marks the tasks at the positions done. Positions past the last task have
  /// no effect.
  void RestoreDone(const std::vector<DoneTasks>& done);
  /// Number of occurrences, at least 1.
  [[nodiscard]] int OccurrenceCount() const noexcept;
  /// Adds all occurrences up to this one.
  void AddOccurrencesTo(int occurrence);
  void AddNextOccurrence();
  /// Adds all occurrences up to the last one with progress.
  void AddOccurrencesOf(const JobProgress& progress);
  [[nodiscard]] MonotonicTime DueTime(int occurrence) const;
  [[nodiscard]] bool IsReady(const Step& step) const;
  void UpdateReady();

  Submission submission_;
  QueuePolicy policy_;
  std::vector<Milliseconds> critical_paths_;  ///< By step.
  MonotonicTime accepted_at_;
  MonotonicTime unix_epoch_;
  MonotonicTime objective_;
  MonotonicTime last_useful_;
  SubmissionState state_ = SubmissionState::kQueued;
  bool begun_ = false;
  int occurrences_ = 0;  ///< Number of occurrences in `steps_`.
  std::deque<Step> steps_;
};

}  // namespace mangospread::dispatch
