/// @file
/// Decides which task runs on which worker. Uses no sockets and no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/core/end_ledger.hpp"
#include "dispatch/core/job.hpp"
#include "dispatch/core/waiting.hpp"
#include "dispatch/model/evacuation.hpp"
#include "dispatch/model/messages.hpp"
#include "dispatch/policy/fill_guard.hpp"
#include "dispatch/policy/lost_run.hpp"
#include "dispatch/policy/order.hpp"
#include "dispatch/policy/placement.hpp"
#include "dispatch/policy/worker_book.hpp"
#include "dispatch/policy/worker_health.hpp"

namespace mangospread::dispatch {

/// Callbacks through which the dispatcher acts.
struct DispatcherHooks {
  /// Sends a command to the agent of the worker that it names.
  std::function<void(AgentCommand)> send;
  /// Requests that the submission's progress is stored; OnSaved follows.
  std::function<void(const SubmissionId&)> save;
  /// Reports the time from acceptance of a submission to its first start.
  std::function<void(MonotonicTime)> first_start;
  /// Logs a decision about a task on a worker. `reason` may be empty.
  std::function<void(const TaskName&, const VmName&, std::string_view decision,
                     std::string_view reason)>
      log;
  /// Logs a run that ended with the process of its worker.
  std::function<void(const LostRun&, const VmName&)> log_lost;
};

/// Why nothing runs on a worker any more.
enum class WorkerRemoval : unsigned char {
  kProcessEnded,
  kLeaseExpired,
  kLeft,  ///< It left the list of workers and nothing runs on it.
};

/// Name for logs.
[[nodiscard]] std::string_view RemovalName(WorkerRemoval removal) noexcept;

/// Counts of starts, refused starts, ends by kind, requeues, stalls, worker
/// exclusions and their early ends, runs lost with their worker, tasks given up
/// for crashing workers and runs moved for an evacuation since this dispatcher
/// was created.
struct DispatcherCounters {
  std::uint64_t started = 0;
  std::uint64_t refused = 0;
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
  std::uint64_t requeued = 0;
  std::uint64_t stalled = 0;
  std::uint64_t excluded = 0;
  std::uint64_t readmitted = 0;
  std::uint64_t lost = 0;
  std::uint64_t given_up = 0;
  std::uint64_t evacuated = 0;
};

/// State of all submissions of a group and of the workers that run them.
///
/// A task is restarted only when its previous run certainly cannot run any
/// more: the worker listed its end, refused the start permanently or
/// terminated, or its lease expired. An end is acknowledged to the worker only
/// after the resulting progress was stored, and a final state becomes visible
/// only then.
class Dispatcher {
 public:
  /// @param first_run lowest run number to use, above those of any former
  ///   scheduler of the group.
  /// @param unix_epoch the Unix epoch as a monotonic time.
  Dispatcher(DispatcherHooks hooks, std::uint32_t first_run,
             MonotonicTime unix_epoch);

  // Submissions.

  /// Adds an accepted (stored) submission.
  void Add(Submission submission, QueuePolicy policy, MonotonicTime now);
  /// Adds a submission read from the store. Its tasks start only after Resume,
  /// since a worker may still list them as running before that.
  void Restore(Submission submission, QueuePolicy policy,
               const JobProgress& progress, MonotonicTime accepted_at);
  /// Allows restored tasks to start. Call when every worker that may run them
  /// is attached or has certainly terminated.
  void Resume() { resumed_ = true; }
  /// Reports that the runs of a former leader on a lost worker are not known.
  /// Any restored task may have been there.
  void OnRunsUnknown() noexcept { runs_unknown_ = true; }
  /// Cancels a submission at the caller's request; its runs are stopped once
  /// the cancellation is stored. Returns false if there is no such submission.
  bool Cancel(const SubmissionId& id, MonotonicTime now);
  /// Fails a submission whose progress cannot be stored. Has no effect on one
  /// that has ended.
  void Fail(const SubmissionId& id, std::string_view reason);
  /// The state to show to callers: a final state only once it is stored.
  [[nodiscard]] std::optional<SubmissionState> State(
      const SubmissionId& id) const;
  /// Number of submissions of the queue of which no worker has begun a task
  /// yet. Submissions with scheduled occurrences are not counted.
  [[nodiscard]] int Pending(const QueueName& queue) const;
  /// Progress to store, as of the current generation. The submission must
  /// exist, as for Queue and Generation.
  [[nodiscard]] JobProgress Progress(const SubmissionId& id) const;
  [[nodiscard]] const QueueName& Queue(const SubmissionId& id) const {
    return entries_.at(id).job->policy().queue;
  }
  /// Number of changes to its progress since it was added or restored.
  [[nodiscard]] std::uint64_t Generation(const SubmissionId& id) const;
  /// Reports that the progress of `generation` is stored.
  void OnSaved(const SubmissionId& id, std::uint64_t generation,
               MonotonicTime now);

  /// Removes a submission whose final state is stored; its state is unknown
  /// from then on. Has no effect while a worker may still run one of its tasks.
  void Discard(const SubmissionId& id);

  // Workers.

  /// Adds a worker or updates its registration. Work on a worker that left the
  /// list counts until its end is certain.
  void OnWorker(const WorkerInfo& info);
  /// Sets what an agent of a former leader knows of the runs on a worker that
  /// is about to list them, so that they keep their speeds.
  void SetKnownRuns(const VmName& vm, std::vector<RunId> runs);
  /// Counts runs as placed on a worker that cannot be queried at present, or
  /// whose process has ended.
  void AddUnconfirmedRuns(const VmName& vm, const std::vector<RunId>& runs,
                          MonotonicTime now);
  /// Replaces the services whose workers start whatever they are told to. A
  /// process of theirs gets no start before it has registered its capacity.
  void SetUnguardedServices(const std::set<ServiceName>& services);
  void OnEvent(const AgentEvent& event, MonotonicTime now);
  /// Reports that no agent is connected to the worker any more.
  void OnDetached(const VmName& vm, MonotonicTime now);
  /// Reports that nothing runs on the worker any more. Requeues its tasks.
  void OnWorkerRemoved(const VmName& vm, WorkerRemoval removal,
                       MonotonicTime now);

  // Evacuations (dispatcher_evacuation.cc).

  /// Replaces the evacuations. Workers there start nothing; what can go on
  /// elsewhere at little cost is moved while there is room.
  void SetEvacuations(const Evacuations& evacuations, MonotonicTime now);
  /// Number of runs that may be on the workers of a data centre.
  [[nodiscard]] int RunsUnderEvacuation(const DataCenter& data_center) const;

  /// Starts pending tasks for which there is free capacity.
  void Decide(MonotonicTime now);

  // Waiting tasks (dispatcher_waits.cc).

  /// The tasks that wait, by step and reason, without the counts of rejections.
  /// @param restored_at time from which on waits of restored tasks count.
  [[nodiscard]] std::vector<WaitingTasks> Waiting(
      MonotonicTime now, MonotonicTime restored_at) const;
  /// The same for one submission; empty if there is none.
  [[nodiscard]] std::vector<WaitingTasks> Waiting(
      const SubmissionId& id, MonotonicTime now,
      MonotonicTime restored_at) const;
  /// Number of waiting tasks.
  [[nodiscard]] WaitCounts CountWaiting(MonotonicTime now,
                                        MonotonicTime restored_at) const;
  /// Adds the counts of rejections to tasks that wait for a worker. Looks at
  /// all workers of the service.
  void AddRejections(WaitingTasks& waiting, MonotonicTime now) const;

  /// Adds the free capacity of the services. Looks at all workers of a service
  /// once for each size of task.
  void AddCapacity(std::vector<WaitingTasks>& waiting, MonotonicTime now) const;

  /// Number of start commands issued for a worker so far.
  [[nodiscard]] std::uint64_t StartsIssued(const VmName& vm) const;
  /// Runs that may be on a worker.
  [[nodiscard]] std::vector<RunId> Runs(const VmName& vm) const;
  [[nodiscard]] const WorkerRegistry& registry() const noexcept {
    return registry_;
  }
  [[nodiscard]] const InterferenceModel& interference() const noexcept {
    return interference_;
  }
  /// Imports the interference that a former leader has learned.
  void ImportInterference(const std::vector<LearnedInterference>& learned) {
    interference_.Import(learned);
  }
  [[nodiscard]] const DispatcherCounters& counters() const noexcept {
    return counters_;
  }
  [[nodiscard]] std::size_t active() const noexcept { return active_.size(); }
  /// Memory of all submissions, in bytes, as MemoryOfJob and MemoryOfEndedJob
  /// count it.
  [[nodiscard]] std::size_t work_bytes() const noexcept { return work_bytes_; }

 private:
  struct Entry {
    std::unique_ptr<Job> job;
    std::uint64_t generation = 0;
    std::uint64_t saved_generation = 0;
    SubmissionState visible_state = SubmissionState::kQueued;
    std::size_t work_bytes = 0;  ///< Its part of work_bytes().
    bool restored = false;  ///< Read from the store; its tasks wait for Resume.
    /// Time since which none of its tasks runs, paused ones not counted; 0
    /// while one does.
    MonotonicTime idle_since{0};
    /// It has been idle for too long beside a half-empty service, and nothing
    /// of it is being started.
    bool starved = false;
  };
  struct Candidate;
  /// A task together with its submission's entry.
  struct TaskRef {
    Entry* entry = nullptr;
    TaskIndex index;
    TaskName name;
    Task* task = nullptr;

    [[nodiscard]] Job& job() const { return *entry->job; }
    [[nodiscard]] Step& step() const { return job().StepAt(index); }
    [[nodiscard]] const StepSpec& spec() const { return step().spec; }
  };

  /// Returns nullopt if there is no such task.
  [[nodiscard]] std::optional<TaskRef> FindTask(TaskName name);
  [[nodiscard]] std::optional<TaskRef> FindTask(const std::string& text);
  /// Returns nullopt unless the run is the task's current one on that worker.
  [[nodiscard]] std::optional<TaskRef> FindRun(WorkerSlot slot,
                                               const std::string& text,
                                               Attempt run);
  // Workers (dispatcher_workers.cc, dispatcher_load.cc,
  // dispatcher_losses.cc).
  void OnAttached(WorkerSlot slot, const Attached& attached, MonotonicTime now);
  /// Requeues the runs that are in none of the worker's lists.
  void RequeueUnlisted(WorkerSlot slot, const Attached& attached,
                       MonotonicTime now);
  void ReconcileRun(WorkerSlot slot, const RunningRun& running,
                    MonotonicTime now);
  /// Makes room for a run that an agent reports, unless the task has a newer
  /// one already; returns whether it counts.
  bool ReplaceOlderRun(const TaskRef& ref, std::uint32_t run,
                       MonotonicTime now);
  /// Stops a run that is not placed on the worker.
  void StopStray(WorkerSlot slot, const std::string& task, Attempt run);
  void OnEnded(WorkerSlot slot, WorkerIncarnation incarnation,
               const EndedRun& end, MonotonicTime now);
  void ApplyEnd(const TaskRef& ref, const EndedRun& end, const VmName& vm,
                MonotonicTime now);
  void ApplyDone(const TaskRef& ref, bool current, MonotonicTime now);
  void ApplyFailure(const TaskRef& ref, const EndedRun& end);
  void OnNotStarted(WorkerSlot slot, const RunNotStarted& event,
                    MonotonicTime now);
  void OnStarted(WorkerSlot slot, const RunStarted& event, MonotonicTime now);
  void OnStalled(WorkerSlot slot, const RunStalled& event, MonotonicTime now);
  void OnLoad(WorkerSlot slot, const WorkerLoad& load, MonotonicTime now);
  /// Handles the loss of all runs on a worker: gives up tasks that crash their
  /// workers.
  /// @param process_ended false if the worker may only have been unreachable.
  void OnRunsLost(WorkerSlot slot, bool process_ended, MonotonicTime now);
  [[nodiscard]] std::vector<LostRun> LostRuns(WorkerSlot slot) const;
  void ApplyLoss(const LostRun& lost, const VmName& vm);
  void OnResponding(WorkerSlot slot, bool responding, MonotonicTime now);
  void AddFailure(const VmName& vm, const SubmissionId& id, MonotonicTime now);
  /// Ends the exclusion of a worker early, for the failure of a submission.
  void ReadmitWorker(const VmName& vm, const SubmissionId& id,
                     std::string_view reason);
  void Acknowledge(const VmName& vm, WorkerIncarnation incarnation);

  // Runs.
  Entry* FindEntry(const SubmissionId& id);
  /// Sets the part of a submission in work_bytes().
  void SetWorkBytes(Entry& entry, std::size_t bytes);
  void ReserveCapacity(const TaskRef& ref, WorkerSlot slot,
                       const PlacedRun& placed);
  /// Records that a placed run was accepted or listed by its worker.
  void Confirm(const TaskRef& ref, MonotonicTime now);
  /// Releases the capacity that a run reserves on its worker.
  void ReleaseCapacity(const TaskRef& ref);
  /// Handles the end of a run without a result: the task is pending again.
  void Requeue(const TaskRef& ref, std::string_view reason, MonotonicTime now);
  void StopTask(const TaskRef& ref, MonotonicTime now);
  void StopAll(Entry& entry, MonotonicTime now);
  /// Stops the remaining members of a gang, which only work together.
  void StopGang(Entry& entry, int step, MonotonicTime now);
  void MarkChanged(Entry& entry);
  /// Stops best-effort tasks that were throttled heavily for too long and write
  /// checkpoints, if another worker has headroom for them at full speed.
  void MoveThrottled(WorkerSlot slot, MonotonicTime now);
  [[nodiscard]] bool FitsElsewhere(const TaskRef& ref, MonotonicTime now) const;
  /// Stops runs that would be lost with a draining worker, so that they restart
  /// on another worker. Batch runs that end soon or write no checkpoints are
  /// left to finish.
  void DrainWorkers(MonotonicTime now);
  /// True if a task on a worker that responds may be interrupted to move it:
  /// the others of its step are at work, and it fits elsewhere.
  [[nodiscard]] bool MayInterrupt(const TaskRef& ref, MonotonicTime now) const;

  // Evacuations (dispatcher_evacuation.cc).
  /// Moves at most one task away from an evacuated data centre.
  void MoveEvacuated(MonotonicTime now);
  /// True if moving the task costs little: it goes on from a checkpoint, or all
  /// tasks of its step are at work and one of them may be interrupted.
  [[nodiscard]] bool MayLeaveEvacuated(const TaskRef& ref,
                                       const PlacedRun& placed,
                                       MonotonicTime now) const;
  /// True if each task of the step has been measured at work just now.
  [[nodiscard]] bool AllAtWork(const TaskRef& ref, MonotonicTime now) const;

  // Waiting tasks (dispatcher_waits.cc).
  using WaitVisitor = std::function<void(TaskIndex, const Wait&)>;
  /// Calls `visit` for each task of the submission that waits.
  void VisitWaits(const Entry& entry, MonotonicTime now,
                  MonotonicTime restored_at, const WaitVisitor& visit) const;
  [[nodiscard]] std::vector<WaitingTasks> Waiting(
      const Entry& entry, MonotonicTime now, MonotonicTime restored_at) const;
  [[nodiscard]] WaitReason ReasonOfPending(const Entry& entry, const Step& step,
                                           const Task& task,
                                           MonotonicTime now) const;
  /// Returns nullopt for a task that runs.
  [[nodiscard]] std::optional<WaitReason> ReasonOfPlaced(
      const Entry& entry, const TaskIndex& index) const;
  [[nodiscard]] MonotonicTime WaitsSince(const Entry& entry,
                                         const TaskIndex& index,
                                         WaitReason reason,
                                         MonotonicTime ready_since) const;
  /// Number of tasks of the step, or of whole gangs, that fit on the workers.
  [[nodiscard]] int FitsOf(const Entry& entry, const Step& step,
                           MonotonicTime now) const;
  /// What the submission has running.
  /// @param waiting all of its tasks that wait.
  [[nodiscard]] static SubmissionRuns RunsOf(
      const Entry& entry, const std::vector<WaitingTasks>& waiting,
      MonotonicTime now, MonotonicTime restored_at);
  /// Time since which the step's tasks could have been placed.
  [[nodiscard]] static MonotonicTime ReadySince(const Job& job,
                                                const Step& step);

  // Idle submissions (dispatcher_idle.cc).
  /// Finds the submissions that are starved.
  void UpdateIdle(MonotonicTime now);
  enum class Activity : unsigned char { kNone, kStarting, kRunning };
  /// The furthest that a task of the submission has got on a worker that
  /// responds; a paused task is not counted.
  [[nodiscard]] Activity ActivityOf(const Entry& entry) const;
  /// True if little of the service's processors is reserved.
  [[nodiscard]] bool IsHalfEmpty(const ServiceName& service) const;
  /// Resumes one paused task, or gang, of each starved submission at a low
  /// speed. The next load report that shows an excess pauses it again.
  void ResumePaused(MonotonicTime now);
  /// The paused tasks of a step, those of a gang or the one that takes the
  /// smallest share of the headroom beside it.
  [[nodiscard]] std::vector<TaskIndex> PausedTasks(const Entry& entry) const;

  // Decisions (dispatcher_decisions.cc).
  /// True if tasks without a known run may have lost one.
  [[nodiscard]] bool MayHaveRun(const Entry& entry) const noexcept {
    return entry.restored && runs_unknown_;
  }
  [[nodiscard]] std::vector<Candidate> Candidates(MonotonicTime now);
  [[nodiscard]] static const StepSpec& SpecOf(const Candidate& candidate);
  /// Capacity that is reserved for the rest of a round of decisions.
  struct CapacityHolds {
    std::vector<std::pair<WorkerSlot, const StepSpec*>> tasks;
    std::size_t workers_considered = 0;  ///< Once for each step.
  };
  /// Reserves capacity for the tasks for which RestartIsDue and that do not fit
  /// anywhere, each on the worker that is expected to have enough of it first.
  /// Otherwise smaller tasks would use each piece that becomes free there.
  ///
  /// @param candidate stands for tasks for which RestartIsDue.
  void HoldForRestarts(const Candidate& candidate, MonotonicTime now,
                       CapacityHolds& holds);
  /// Places pending tasks of a step. Returns false if one does not fit.
  bool PlaceStep(const Candidate& candidate, MonotonicTime now);
  /// True if a long-running step may take capacity now. Scarce capacity is
  /// available to it only when short tasks have left it unused for a while.
  bool MayTakeCapacity(const Candidate& candidate, MonotonicTime now);
  /// Share of a service's processors that no task has requested.
  [[nodiscard]] double FreeShare(const ServiceName& service,
                                 MonotonicTime now) const;
  /// Places all members of a gang or none.
  bool PlaceGang(const Candidate& candidate, MonotonicTime now);
  void Place(Entry& entry, const TaskIndex& index, const Placement& place,
             std::uint32_t run, MonotonicTime now);
  /// Places pending tasks that may crash their workers, each apart from other
  /// starts.
  void PlaceSuspected(const Candidate& candidate, MonotonicTime now);
  /// True if the task is best effort, of a starved or old submission, and no
  /// task of its step is placed. Then it starts at whatever speed the headroom
  /// allows, so that what the model has learned never keeps a submission from
  /// making progress.
  [[nodiscard]] static bool MayStartSlowly(const Entry& entry, const Step& step,
                                           const Task& task, MonotonicTime now);
  /// Index of a task of the step that MayStartSlowly and does not need a start
  /// apart from others.
  [[nodiscard]] static std::optional<std::size_t> FindSlowStart(
      const Entry& entry, const Step& step, MonotonicTime now);
  /// Starts one task of a step without headroom slowly, if it may.
  void StartSlowly(const Candidate& candidate, MonotonicTime now);
  [[nodiscard]] StepPlacer MakePlacer(
      const Entry& entry, int step, MonotonicTime now,
      PlacementGoal goal = PlacementGoal::kLowestCost) const;
  /// Logs that a step is pending, once for each change of the reason.
  void LogPending(const Candidate& candidate, PendingReason reason);
  [[nodiscard]] std::uint32_t NextRun(const Task& task) const;
  [[nodiscard]] static int TasksOfStep(const Entry& entry, int step,
                                       WorkerSlot slot);
  [[nodiscard]] static RunTraits TraitsOf(const StepSpec& spec);

  DispatcherHooks hooks_;
  std::uint32_t first_run_;
  MonotonicTime unix_epoch_;
  MonotonicTime idle_checked_at_{0};  ///< Time of the last UpdateIdle.
  bool resumed_ = true;
  bool runs_unknown_ = false;
  std::unordered_map<SubmissionId, Entry> entries_;
  /// Submissions whose final state is not stored, in the order in which they
  /// were added.
  std::vector<Entry*> active_;
  WorkerRegistry registry_;
  WorkerHealth health_;
  InterferenceModel interference_;
  EndLedger ledger_;
  std::size_t work_bytes_ = 0;
  Evacuations evacuations_;
  std::set<ServiceName> unguarded_services_;
  MonotonicTime next_evacuation_move_{0};
  /// Worker and run at which the last search for a task to move ended.
  std::size_t evacuation_cursor_ = 0;
  TaskName last_move_considered_;
  DispatcherCounters counters_;
};

}  // namespace mangospread::dispatch
