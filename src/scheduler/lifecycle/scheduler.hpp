/// @file
/// Job and task lifecycle management of a cell's active scheduler.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "config/store.hpp"
#include "rpc/task_messages.hpp"
#include "scheduler/lifecycle/scheduler_role.hpp"
#include "scheduler/lifecycle/tasks/command_queue.hpp"
#include "scheduler/lifecycle/tasks/decision_log.hpp"
#include "scheduler/lifecycle/tasks/start_spacing.hpp"
#include "scheduler/lifecycle/tasks/task_registry.hpp"
#include "scheduler/types.hpp"

namespace mangospread::scheduler {

struct SchedulerOptions {
  Milliseconds tick{100};  ///< Between two rounds of decisions.
  /// A new scheduler makes no decision until the owners have had this time to
  /// report.
  Milliseconds report_wait{2'500};
  /// A worker whose last report is older than this is assigned no tasks.
  Milliseconds max_report_age{3'500};
  /// A worker whose lease no owner renews has stopped its tasks after this
  /// time.
  Milliseconds task_lease{60'000};
  /// Added to `task_lease` before a task is started on another worker.
  Milliseconds lease_margin{5'000};
  /// Maximum number of placements per tick; 64 every 100 ms exceed the peak of
  /// 470 starts per second.
  std::size_t max_placements_per_tick = 64;
  /// Maximum number of assignments that are being written to the table.
  std::size_t max_assigning = 512;
  std::size_t max_commands = 256;  ///< Maximum in flight.
  /// Number of tasks lost with their workers that are queued again per second,
  /// so that the loss of a rack does not restart all its tasks at once.
  double restarts_per_second = 100;
};

struct SchedulerDependencies {
  base::EventLoop& loop;
  Table& table;
  table::Writer& writer;
  SchedulerRole& role;
  const config::Store& store;
  std::function<std::vector<VmInfo>()> vms;  ///< Returns the VM list.
  /// Sends a command to the node that owns the worker.
  std::function<void(const NodeId& owner, rpc::TaskCall,
                     CommandQueue::Callback)>
      send;
  std::function<std::unique_ptr<DecisionEngine>()> make_engine;
};

/// Creates the tasks of jobs, executes the engine's decisions and tracks every
/// attempt to its end.
///
/// An attempt is abandoned, so that the task may start on another worker, only
/// if
/// - its worker reports it as ended, or rejects it as unknown although it had
///   confirmed it before (the worker restarted), or permanently refuses its
///   start. If a start may still be in flight, the worker first has to
///   acknowledge a stop, after which it refuses that start; or
/// - its VM is no longer in the VM list, or the VM's name now belongs to
///   another machine, and no owner has received a response from the former
///   machine for the task lease plus a margin.
/// A paused scheduler cannot violate these rules: its writes require the
/// version of the role row, and owners that have reported to its successor
/// refuse its commands. A paused owner is fenced by the epoch that its worker
/// stores; while the owner is paused, the worker ends the tasks by its own
/// clock after the task lease. While the table is unavailable, no attempt is
/// abandoned for good, since a task starts again only after its record has
/// changed in the table.
class Scheduler {
 public:
  Scheduler(SchedulerDependencies dependencies, SchedulerOptions options);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  void Start();
  void Stop();

  /// Handles an owner's report about its workers.
  /// @return the epoch of the role that this node holds, and whether the report
  ///   was accepted; if not, the next one has to be full.
  [[nodiscard]] rpc::NodeReportReply OnReport(const rpc::NodeReport& report);
  /// Serves "/v1/jobs/<name>" and "/v1/explain/<subject>".
  [[nodiscard]] rpc::QueryReply Query(const std::string& path);
  /// True once the rows are loaded, the configuration has at least the revision
  /// of the table and the owners have had time to report.
  [[nodiscard]] bool deciding() const { return phase_ == Phase::kDeciding; }

 private:
  enum class Phase : unsigned char {
    kInactive,    ///< The role is not held.
    kLoading,     ///< Reading the rows.
    kCatchingUp,  ///< Waiting for the configuration and the owners' reports.
    kDeciding     ///< Making decisions.
  };
  struct WorkerView {
    NodeId owner;
    rpc::WorkerDigest digest;
    /// Last response of the worker to its owner.
    MonotonicTime last_response_at{0};
    /// First report with the worker's current address.
    MonotonicTime address_changed_at{0};
    StartSpacing starts;
    bool in_engine = false;
  };

  // Activation.
  void Activate();
  void Deactivate();
  void BeginDeciding();
  /// Runs every `tick`: synchronizes changed jobs and makes decisions.
  void Tick();
  /// Runs once per second: updates the VMs and requeues tasks whose lease has
  /// expired.
  void SlowTick();

  // Jobs.
  void SyncPolicies();
  void SyncJob(const JobName& name);
  void OnJobDeleted(const JobName& name);
  void CancelJob(Job& job);
  void CancelTask(Task& task);
  void FinishIfDone(const JobName& name);

  // Decisions.
  void Decide(MonotonicTime now);
  void Execute(const PlaceDecision& decision, MonotonicTime now);
  void Execute(const EvictDecision& decision);
  void Execute(const ThrottleDecision& decision);
  void Execute(const CannotRunDecision& decision);
  void Execute(const QuarantineDecision& decision);
  void Enqueue(Task& task);
  /// Queues lost tasks within the limit of `restarts_per_second`.
  void EnqueueLost(MonotonicTime now);

  // Records.
  void OnSaved(Task& task);
  void OnNotAssigned(Task& task);
  void OnConflict(const std::vector<std::string>& failed_keys);
  /// Decrements the job's count of open tasks, once per task.
  void CountEnded(Task& task);
  /// Ends the task's attempt and records the new state.
  /// @param end the outcome; empty if the attempt definitely never started.
  void EndAttempt(Task& task, TaskState state, std::optional<AttemptEnd> end,
                  std::string reason);
  /// Ends the attempt without a result and queues the task again.
  void Requeue(Task& task, std::optional<AttemptEnd> end, std::string reason);
  /// Requeues a task that was lost with its worker, at the limited rate.
  void RequeueLost(Task& task, std::string reason);
  void LogState(const Task& task);

  // Runs lost with their worker's process.
  /// True if another process replies at the address of the former one.
  [[nodiscard]] static bool IsNextProcess(const WorkerView& former,
                                          const rpc::WorkerDigest& digest);
  /// Returns the tasks whose starts may have reached the former process.
  /// @param requested_at time of the request for `digest`, which the next
  ///   process has answered.
  [[nodiscard]] std::vector<Task*> RunsOfFormerProcess(
      const rpc::WorkerDigest& digest, MonotonicTime requested_at);
  /// Judges which of the runs on the former process may have crashed it. The
  /// results count once it is certain that the runs are over.
  void JudgeLosses(const WorkerView& former, const rpc::WorkerDigest& digest,
                   MonotonicTime now);
  /// Counts the loss of the task's run, if there is one.
  /// @return true if the task must not be started again.
  [[nodiscard]] bool CountLoss(Task& task);

  // Workers.
  /// Compares the tasks in the worker's last report with those assigned to it.
  void Reconcile(const VmName& vm);
  void OnReported(const VmName& vm, const TaskReport& report);
  void OnUnreported(Task& task, const WorkerView& view);
  void ApplyReport(Task& task, const TaskReport& report);
  void UpdateEngine(const VmName& vm, WorkerView& view);
  void RefreshVms();
  /// Requeues the tasks of removed or replaced VMs whose task lease has
  /// expired.
  void RequeueExpired(MonotonicTime now);
  /// True if `attempt` is the task's live attempt on `vm`.
  [[nodiscard]] bool IsCurrent(const Task* task, const VmName& vm,
                               Attempt attempt) const;

  // Commands.
  /// Queues a command for the task's current attempt.
  void Push(const Task& task, TaskVerb verb);
  /// Fills in a queued command when it is sent; empty if it is obsolete.
  [[nodiscard]] std::optional<TaskCommand> Prepare(const VmName& vm,
                                                   const QueuedCommand& queued);
  void Send(const VmName& vm, TaskCommand command, CommandQueue::Callback done);
  void OnCommandDone(const VmName& vm, const QueuedCommand& command,
                     const Result<TaskReport>& result);
  void OnCommandFailed(Task& task, const QueuedCommand& command,
                       const Error& error);

  [[nodiscard]] TaskDemand DemandOf(const Task& task);
  [[nodiscard]] rpc::QueryReply DescribeJob(const JobName& name);
  [[nodiscard]] rpc::QueryReply Explain(const std::string& subject);

  SchedulerDependencies deps_;
  SchedulerOptions options_;
  Phase phase_ = Phase::kInactive;
  MonotonicTime activated_at_{0};
  /// Configuration revision without which no decision is made.
  Revision required_revision_;
  std::unique_ptr<TaskRegistry> registry_;
  std::unique_ptr<DecisionEngine> engine_;
  std::unique_ptr<CommandQueue> commands_;
  std::map<VmName, VmInfo> vms_;
  std::map<VmName, WorkerView> worker_views_;
  /// Tasks with a live attempt, by VM.
  std::map<VmName, std::set<TaskId>> live_tasks_;
  std::set<JobName> changed_jobs_;
  bool resync_ = false;  ///< All jobs and policies have to be synchronized.
  std::deque<TaskId> lost_tasks_;  ///< To be queued at the limited rate.
  double restart_budget_ = 0;      ///< Tasks that may be queued now.
  MonotonicTime restart_budget_updated_at_{0};
  std::size_t assigning_ = 0;  ///< Assignments that are being written.
  DecisionLog log_;
  base::Timer tick_timer_;
  base::Timer slow_timer_;
  base::Timer reload_timer_;
  std::vector<sigc::connection> connections_;
};

}  // namespace mangospread::scheduler
