/// @file
/// The active scheduler of a cell.
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
#include "scheduler/lifecycle/role.hpp"
#include "scheduler/lifecycle/tasks/command_queue.hpp"
#include "scheduler/lifecycle/tasks/decision_log.hpp"
#include "scheduler/lifecycle/tasks/task_book.hpp"
#include "scheduler/types.hpp"

namespace mangospread::scheduler {

struct SchedulerOptions {
  Milliseconds tick{100};
  /// A new scheduler decides nothing before the owners had this time to
  /// report.
  Milliseconds report_wait{2'500};
  /// A worker without a report for this long gets no work.
  Milliseconds report_fresh{3'500};
  /// Time after which a worker that no owner renews has stopped its tasks.
  Milliseconds task_lease{60'000};
  Milliseconds lease_margin{5'000};
  /// 64 every 100 ms is above the peak of 470 starts a second.
  std::size_t places_per_tick = 64;
  std::size_t max_assigning = 512;
  std::size_t max_commands = 256;
  /// Tasks lost with their workers that become queued again per second, so
  /// that the loss of a rack does not start its tasks all at once.
  double restarts_per_second = 100;
};

struct SchedulerDependencies {
  base::EventLoop& loop;
  Table& table;
  table::Writer& writer;
  Role& role;
  const config::Store& store;
  std::function<std::vector<VmInfo>()> vms;
  /// Sends a command to the node that owns the worker.
  std::function<void(const NodeId& owner, rpc::TaskCall,
                     CommandQueue::Callback)>
      send;
  std::function<std::unique_ptr<DecisionEngine>()> make_engine;
};

/// Turns jobs into tasks, carries out the engine's decisions and follows every
/// attempt to its end.
///
/// An attempt is given up, so that the task may start elsewhere, only when
/// - its worker reports it as ended, or refuses it as unknown after it had
///   confirmed it (it restarted), or refuses its start for good. Before a start
///   that may still be under way is given up, the worker acknowledges a stop,
///   after which it refuses that start; or
/// - its VM is gone from the VM list, or is another machine now, and no owner
///   heard the old one for the task lease and a margin.
/// A paused scheduler breaks none of this: its writes require the role row, and
/// owners that reported to its successor refuse its commands. A paused owner is
/// fenced off by the worker's epoch; while it is paused the worker's own clock
/// ends the tasks after the task lease. While the table is down nothing is
/// given up for good, since a task starts again only after its record changed.
class Scheduler {
 public:
  Scheduler(SchedulerDependencies dependencies, SchedulerOptions options);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  void Start();
  void Stop();

  [[nodiscard]] rpc::NodeReportReply OnReport(const rpc::NodeReport& report);
  /// Answers "/v1/jobs/<name>" and "/v1/explain/<subject>".
  [[nodiscard]] rpc::QueryReply Query(const std::string& path);
  [[nodiscard]] bool deciding() const { return phase_ == Phase::kDeciding; }

 private:
  enum class Phase : unsigned char {
    kInactive,
    kLoading,
    kCatchingUp,
    kDeciding
  };
  struct WorkerView {
    NodeId owner;
    rpc::WorkerDigest digest;
    MonotonicTime heard_at{0};       ///< The worker answered its owner.
    MonotonicTime address_since{0};  ///< It has its present address.
    bool in_engine = false;
  };

  // Role.
  void Activate();
  void Deactivate();
  void BeginDeciding();
  void Tick();
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
  void CarryOut(const PlaceDecision& decision, MonotonicTime now);
  void CarryOut(const EvictDecision& decision);
  void CarryOut(const ThrottleDecision& decision);
  void CarryOut(const CannotRunDecision& decision);
  void CarryOut(const QuarantineDecision& decision);
  void Enqueue(Task& task);
  void DrainLost(MonotonicTime now);

  // Records.
  void OnSaved(Task& task);
  void OnNotAssigned(Task& task);
  void OnConflict(const std::vector<std::string>& failed_keys);
  void CountEnd(Task& task);
  /// Ends the task's attempt and records the state; without `end` the attempt
  /// definitely never started.
  void EndAttempt(Task& task, TaskState state, std::optional<AttemptEnd> end,
                  std::string reason);
  /// The attempt is over without a result: the task waits again.
  void Requeue(Task& task, std::optional<AttemptEnd> end, std::string reason);
  void Lose(Task& task, std::string reason);
  void LogState(const Task& task);

  // Workers.
  void Reconcile(const VmName& vm);
  void OnListed(const VmName& vm, const TaskReport& report);
  void OnMissing(Task& task, const WorkerView& view);
  void ApplyReport(Task& task, const TaskReport& report);
  void UpdateEngine(const VmName& vm, WorkerView& view);
  void RefreshVms();
  void LoseExpired(MonotonicTime now);
  [[nodiscard]] bool IsCurrent(const Task* task, const VmName& vm,
                               Attempt attempt) const;

  // Commands.
  void Push(const Task& task, TaskVerb verb);
  [[nodiscard]] std::optional<TaskCommand> Prepare(const VmName& vm,
                                                   const QueuedCommand& queued);
  void Send(const VmName& vm, TaskCommand command, CommandQueue::Callback done);
  void OnCommandDone(const VmName& vm, const QueuedCommand& command,
                     const Result<TaskReport>& result);
  void OnRefused(Task& task, const QueuedCommand& command, const Error& error);

  [[nodiscard]] TaskDemand DemandOf(const Task& task);
  [[nodiscard]] rpc::QueryReply DescribeJob(const JobName& name);
  [[nodiscard]] rpc::QueryReply Explain(const std::string& subject);

  SchedulerDependencies deps_;
  SchedulerOptions options_;
  Phase phase_ = Phase::kInactive;
  MonotonicTime activated_at_{0};
  Revision needed_revision_;
  std::unique_ptr<TaskBook> book_;
  std::unique_ptr<DecisionEngine> engine_;
  std::unique_ptr<CommandQueue> commands_;
  std::map<VmName, VmInfo> vms_;
  std::map<VmName, WorkerView> views_;
  std::map<VmName, std::set<TaskId>> live_;
  std::set<JobName> changed_jobs_;
  bool resync_ = false;
  std::deque<TaskId> lost_;
  double restart_budget_ = 0;
  MonotonicTime restart_time_{0};
  std::size_t assigning_ = 0;
  DecisionLog log_;
  base::Timer tick_timer_;
  base::Timer slow_timer_;
  base::Timer reload_timer_;
  std::vector<sigc::connection> connections_;
};

}  // namespace mangospread::scheduler
