/// @file
/// A submission in progress.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/model/submission.hpp"

namespace mangospread::dispatch {

/// Position of a worker in the WorkerBook.
using WorkerSlot = std::int32_t;
inline constexpr WorkerSlot kNoWorker = -1;

enum class TaskPhase : unsigned char {
  kWaiting,
  kStarting,
  kRunning,
  kStopping,
  kDone,
};

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  WorkerSlot worker = kNoWorker;
  std::uint32_t run = 0;  ///< Number of the newest start; 0 before the first.
  /// Runs that count as failed attempts.
  std::vector<std::uint32_t> failed_runs;
  MonotonicTime since{0};  ///< Begin of the phase.
  std::string checkpoint;

  /// True if a worker may be running the task.
  [[nodiscard]] bool placed() const noexcept {
    return phase == TaskPhase::kStarting || phase == TaskPhase::kRunning ||
           phase == TaskPhase::kStopping;
  }
};

struct Step {
  StepSpec spec;
  std::vector<Task> tasks;
  int undone = 0;
  int waiting = 0;
  bool ready = false;  ///< All earlier steps that it needs are done.
  /// Not started before; 0 for at once.
  MonotonicTime due{0};
  /// Since when there has been room for one of its waiting tasks, but for
  /// moments; 0 for none.
  MonotonicTime room_since{0};
  MonotonicTime room_seen{0};  ///< When there was room last.
  bool wait_logged = false;    ///< Since a task of it was placed last.
  /// Longest chain of work from this step to the end, by estimates.
  Milliseconds chain_to_end{0};
};

/// Durable progress of a task that differs from a fresh one.
struct TaskProgress {
  TaskIndex task;
  bool done = false;
  std::uint32_t run = 0;
  std::vector<std::uint32_t> failed_runs;
  std::string checkpoint;
};

/// What the store keeps of a submission beside the submission itself.
struct JobProgress {
  SubmissionState state = SubmissionState::kQueued;
  std::vector<TaskProgress> tasks;
};

/// A submission with the state of its tasks. Knows no workers and no clock.
/// The steps of each occurrence follow those of the one before.
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
  [[nodiscard]] std::vector<Step>& steps() noexcept { return steps_; }
  [[nodiscard]] const std::vector<Step>& steps() const noexcept {
    return steps_;
  }
  /// Time until which the whole submission should be complete, by estimates.
  [[nodiscard]] MonotonicTime objective() const noexcept { return objective_; }
  /// After it a completion is worth nothing to the caller.
  [[nodiscard]] MonotonicTime last_useful() const noexcept {
    return last_useful_;
  }
  [[nodiscard]] bool has_waiting() const noexcept;
  /// True once a task was ordered to start.
  [[nodiscard]] bool begun() const noexcept {
    return state_ != SubmissionState::kQueued;
  }
  [[nodiscard]] bool long_running() const noexcept;

  /// Time until which a step's occurrence should be complete.
  [[nodiscard]] MonotonicTime ObjectiveOf(const Step& step) const noexcept;

  /// Null when the submission has no such task.
  [[nodiscard]] Task* Find(const TaskIndex& index);
  /// Position of a task; none when the submission has no such task.
  [[nodiscard]] std::optional<TaskIndex> IndexOf(const TaskName& name) const;
  [[nodiscard]] TaskName NameOf(const TaskIndex& index) const;
  [[nodiscard]] Step& StepAt(const TaskIndex& index) {
    return steps_[static_cast<std::size_t>(index.step)];
  }

  /// Moves a task between phases and keeps the counts.
  void SetPhase(const TaskIndex& index, TaskPhase phase, MonotonicTime now);
  /// Marks a task done. Returns true if that completed the submission.
  bool Finish(const TaskIndex& index, MonotonicTime now);
  /// Ends the submission.
  void SetState(SubmissionState state) noexcept { state_ = state; }

  [[nodiscard]] JobProgress Progress() const;
  void Restore(const JobProgress& progress);

 private:
  void AddOccurrence(int occurrence, MonotonicTime unix_epoch);
  void UpdateReady();

  Submission submission_;
  QueuePolicy policy_;
  std::vector<Milliseconds> chains_to_end_;  ///< By step.
  MonotonicTime accepted_at_;
  MonotonicTime objective_;
  MonotonicTime last_useful_;
  SubmissionState state_ = SubmissionState::kQueued;
  std::vector<Step> steps_;
};

}  // namespace mangospread::dispatch
