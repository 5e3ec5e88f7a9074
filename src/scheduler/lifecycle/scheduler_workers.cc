// Processing of worker reports, and commands to workers.
#include <algorithm>
#include <utility>

#include "base/loop/clock.hpp"
#include "scheduler/lifecycle/scheduler.hpp"

namespace mangospread::scheduler {
namespace {

/// A task may be missing from a report that was requested less than this time
/// after its start was confirmed, because the report was already in flight.
constexpr MonotonicTime kReportTransit = std::chrono::seconds(2);

/// Owners renew the worker's lease every 500 ms, and each report covers the
/// time since the previous one.
constexpr double kReportsPerSecond = 2;

/// True if the error implies that the command did not reach the worker.
bool NotDelivered(Errc code) {
  return code == Errc::kConnectFailed || code == Errc::kNotOwner ||
         code == Errc::kStaleEpoch || code == Errc::kLeaseHeld ||
         code == Errc::kShuttingDown || code == Errc::kUnavailable;
}

void StoreCheckpoint(const TaskReport& report, TaskRecord& record) {
  if (report.checkpoint.empty()) return;
  if (report.checkpoint.size() > kMaxCheckpointBytes) return;
  record.checkpoint = report.checkpoint;
}

}  // namespace

rpc::NodeReportReply Scheduler::OnReport(const rpc::NodeReport& report) {
  const Epoch epoch = deps_.role.held() ? deps_.role.row().epoch : Epoch();
  rpc::NodeReportReply reply{epoch, false};
  // A report that was sent to another scheduler does not prevent its sender
  // from executing commands of that scheduler, so it cannot be relied on.
  if (phase_ == Phase::kInactive || report.scheduler_epoch != epoch) {
    return reply;
  }
  reply.accepted = true;
  const MonotonicTime now = base::MonotonicNow();
  for (const rpc::WorkerDigest& digest : report.workers) {
    WorkerView& view = worker_views_[digest.vm];
    if (digest.epoch < view.digest.epoch) continue;
    if (digest.full) {
      if (phase_ == Phase::kDeciding && IsNextProcess(view, digest)) {
        JudgeLosses(view, digest, now);
      }
      if (view.digest.address != digest.address) view.address_changed_at = now;
      view.digest = digest;
      view.owner = report.node;
    } else if (view.owner != report.node || view.digest.epoch != digest.epoch) {
      reply.accepted = false;
      continue;
    }
    view.digest.age = digest.age;
    view.last_response_at =
        std::max<MonotonicTime>(view.last_response_at, now - digest.age);
    if (phase_ == Phase::kDeciding) Reconcile(digest.vm);
  }
  return reply;
}

bool Scheduler::IsCurrent(const Task* task, const VmName& vm,
                          Attempt attempt) const {
  return task != nullptr && IsLive(task->record.state) &&
         task->record.vm == vm && task->record.attempt == attempt;
}

void Scheduler::Reconcile(const VmName& vm) {
  WorkerView& view = worker_views_[vm];
  std::set<TaskId> reported;
  for (const TaskReport& report : view.digest.tasks) {
    const TaskId id(report.task);
    if (IsCurrent(registry_->Find(id), vm, report.attempt)) reported.insert(id);
    OnReported(vm, report);
  }
  const std::set<TaskId> live = live_tasks_[vm];
  for (const TaskId& id : live) {
    Task* task = registry_->Find(id);
    if (task != nullptr && !reported.contains(id)) OnUnreported(*task, view);
  }
  UpdateEngine(vm, view);
}

void Scheduler::OnReported(const VmName& vm, const TaskReport& report) {
  Task* task = registry_->Find(TaskId(report.task));
  if (IsCurrent(task, vm, report.attempt)) return ApplyReport(*task, report);
  QueuedCommand command{TaskId(report.task), report.attempt, TaskVerb::kForget};
  if (report.phase == TaskPhase::kRunning) {
    // The job has been removed, or the attempt was abandoned after a stop that
    // the worker acknowledged before this report.
    command.verb = TaskVerb::kStop;
  } else if (task != nullptr && (task->dirty || task->writing)) {
    // The worker keeps its record until the end is stored in the table.
    return;
  }
  commands_->Push(vm, command);
}

void Scheduler::OnUnreported(Task& task, const WorkerView& view) {
  // The VM's name now belongs to another machine; only the expiry of the task
  // lease ends the attempt.
  if (task.record.address != view.digest.address) return;
  if (task.record.state == TaskState::kAssigned) {
    if (task.writing || task.dirty) return;
    // The worker's process ended after the start. The attempt is not started
    // again there, since it may have caused the end.
    if (task.loss && task.maybe_started && task.stop == StopReason::kNone) {
      task.stop = StopReason::kAbandon;
    }
    if (task.stop != StopReason::kNone) return Push(task, TaskVerb::kStop);
    // Only a later report shows whether the same process goes on.
    if (task.maybe_started && view.last_response_at < task.started_at) return;
    return Push(task, TaskVerb::kStart);
  }
  if (view.last_response_at < task.confirmed_at + kReportTransit) return;
  // Queries the worker with a checkpoint command, since only its reply, not the
  // report, is conclusive.
  Push(task, TaskVerb::kCheckpoint);
}

void Scheduler::ApplyReport(Task& task, const TaskReport& report) {
  StoreCheckpoint(report, task.record);
  // The worker's present process has the attempt. It also confirms the stop of
  // an attempt that it does not know.
  if (report.phase != TaskPhase::kStopped) task.loss.reset();
  switch (report.phase) {
    case TaskPhase::kRunning:
      task.cpu_used = report.cpu_used;
      task.memory_used = report.memory_used;
      task.throttle_percent = report.throttle_percent;
      if (task.record.state == TaskState::kAssigned) {
        task.record.state = TaskState::kRunning;
        task.confirmed_at = base::MonotonicNow();
        task.maybe_started = false;
        return registry_->Save(task);
      }
      if (task.stop == StopReason::kEvict && !task.checkpointed) {
        return Push(task, TaskVerb::kCheckpoint);
      }
      if (task.stop != StopReason::kNone) return Push(task, TaskVerb::kStop);
      if (task.throttle_percent != task.target_throttle_percent) {
        Push(task, TaskVerb::kThrottle);
      }
      return;
    case TaskPhase::kDone:
      return EndAttempt(task, TaskState::kDone, AttemptEnd::kDone, "");
    case TaskPhase::kFailed: {
      const Job* job = registry_->FindJob(JobOf(task.id));
      ++task.record.failures;
      const std::string reason =
          "failed " + std::to_string(task.record.failures) + " times";
      if (job != nullptr && task.record.failures >= job->spec.max_attempts) {
        return EndAttempt(task, TaskState::kFailed, AttemptEnd::kFailed,
                          reason);
      }
      return Requeue(task, AttemptEnd::kFailed, reason);
    }
    case TaskPhase::kStopped: {
      const StopReason stop = task.stop;
      if (stop != StopReason::kAbandon) ++task.record.evictions;
      // If this scheduler did not stop the task, the former scheduler evicted
      // it or the worker's task lease expired.
      return Requeue(task,
                     stop == StopReason::kAbandon
                         ? std::nullopt
                         : std::optional(AttemptEnd::kEvicted),
                     "stopped by its worker");
    }
  }
}

void Scheduler::UpdateEngine(const VmName& vm, WorkerView& view) {
  const auto info = vms_.find(vm);
  if (info == vms_.end()) return;
  const MonotonicTime now = base::MonotonicNow();
  WorkerState state;
  state.vm = vm;
  state.data_center = info->second.data_center;
  state.rack = info->second.rack;
  state.capacity = info->second.capacity;
  state.accepts_work = view.digest.accepts_work &&
                       info->second.state == VmState::kLive &&
                       now - view.last_response_at < options_.max_report_age &&
                       view.digest.address == ToString(info->second.address);
  state.report_at = view.last_response_at;
  for (const TaskReport& report : view.digest.tasks) {
    state.cpu_used += report.cpu_used;
    state.memory_used += report.memory_used;
  }
  for (const ServiceReport& report : view.digest.services) {
    ServiceLoad load;
    load.service = report.service;
    load.p99_ms = report.p99_ms;
    load.requests_per_second =
        static_cast<double>(report.requests) * kReportsPerSecond;
    if (const auto* spec = deps_.store.FindService(report.service)) {
      load.task_class = TaskClass(spec->task_class);
      load.objective_p99 = spec->objective_p99;
      load.guard = spec->guard;
    }
    state.services.push_back(std::move(load));
  }
  for (const TaskId& id : live_tasks_[vm]) {
    const Task* task = registry_->Find(id);
    if (task == nullptr) continue;
    state.tasks.push_back({DemandOf(*task), task->placed_at, task->cpu_used,
                           task->memory_used, task->throttle_percent});
  }
  view.in_engine = true;
  engine_->UpdateWorker(state);
}

void Scheduler::RefreshVms() {
  std::map<VmName, VmInfo> vms;
  for (VmInfo& vm : deps_.vms()) vms[vm.name] = std::move(vm);
  for (const auto& [name, vm] : vms_) {
    if (vms.contains(name)) continue;
    engine_->RemoveWorker(name);
    if (const auto it = worker_views_.find(name); it != worker_views_.end()) {
      it->second.in_engine = false;
    }
  }
  vms_ = std::move(vms);
  const MonotonicTime now = base::MonotonicNow();
  for (auto& [name, view] : worker_views_) {
    const bool stale = now - view.last_response_at >= options_.max_report_age;
    if (stale && view.in_engine) UpdateEngine(name, view);
  }
}

void Scheduler::RequeueExpired(MonotonicTime now) {
  const MonotonicTime limit = options_.task_lease + options_.lease_margin;
  std::vector<Task*> expired;
  for (const auto& [vm, ids] : live_tasks_) {
    const auto view = worker_views_.find(vm);
    const bool listed = vms_.contains(vm);
    for (const TaskId& id : ids) {
      Task* task = registry_->Find(id);
      if (task == nullptr || task->writing || task->dirty) continue;
      MonotonicTime last_renewed_at = activated_at_;
      if (view != worker_views_.end()) {
        const bool same_address =
            task->record.address == view->second.digest.address;
        if (listed && same_address) continue;
        last_renewed_at = std::max(
            last_renewed_at, same_address ? view->second.last_response_at
                                          : view->second.address_changed_at);
      } else if (listed) {
        continue;
      }
      if (now - std::max(last_renewed_at, task->placed_at) > limit) {
        expired.push_back(task);
      }
    }
  }
  for (Task* task : expired) RequeueLost(*task, "its VM is gone");
}

void Scheduler::Push(const Task& task, TaskVerb verb) {
  commands_->Push(task.record.vm, {task.id, task.record.attempt, verb});
}

std::optional<TaskCommand> Scheduler::Prepare(const VmName& vm,
                                              const QueuedCommand& queued) {
  TaskCommand command;
  command.verb = queued.verb;
  command.task = queued.task.str();
  command.attempt = queued.attempt;
  Task* task = registry_->Find(queued.task);
  if (!IsCurrent(task, vm, queued.attempt)) {
    const bool cleanup =
        queued.verb == TaskVerb::kForget || queued.verb == TaskVerb::kStop;
    return cleanup ? std::optional(command) : std::nullopt;
  }
  if (queued.verb == TaskVerb::kForget) return std::nullopt;
  if (queued.verb == TaskVerb::kThrottle) {
    command.throttle_percent = task->target_throttle_percent;
  }
  if (queued.verb != TaskVerb::kStart) return command;
  // A start requires that the assignment is stored in the table and that the
  // role was confirmed recently.
  if (task->record.state != TaskState::kAssigned || task->writing ||
      task->dirty || task->stop != StopReason::kNone ||
      !deps_.role.IsConfirmed()) {
    return std::nullopt;
  }
  const MonotonicTime now = base::MonotonicNow();
  const bool suspected = crash::IsSuspected(task->record.losses);
  if (!worker_views_[vm].starts.Admit(suspected, now)) return std::nullopt;
  task->started_at = now;
  const TaskDemand demand = DemandOf(*task);
  command.checkpoint = task->record.checkpoint;
  command.task_class = demand.task_class.str();
  command.cpu = demand.cpu;
  command.memory = demand.memory;
  command.accelerators = demand.accelerators;
  command.run_time = demand.run_time;
  return command;
}

void Scheduler::Send(const VmName& vm, TaskCommand command,
                     CommandQueue::Callback done) {
  const auto view = worker_views_.find(vm);
  const auto info = vms_.find(vm);
  // A VM that reappears at another address is another machine.
  if (view == worker_views_.end() || view->second.owner.empty() ||
      (info != vms_.end() &&
       view->second.digest.address != ToString(info->second.address))) {
    return deps_.loop.Post([done = std::move(done)] {
      done(Error{Errc::kNotOwner, "unknown"});
    });
  }
  deps_.send(view->second.owner,
             {deps_.role.row().epoch, vm, std::move(command)}, std::move(done));
}

void Scheduler::OnCommandDone(const VmName& vm, const QueuedCommand& command,
                              const Result<TaskReport>& result) {
  Task* task = registry_->Find(command.task);
  if (!IsCurrent(task, vm, command.attempt)) return;
  if (!result.ok()) return OnCommandFailed(*task, command, result.error());
  const TaskReport& report = result.value();
  if (report.attempt != command.attempt) return;
  const bool running = report.phase == TaskPhase::kRunning;
  if (command.verb == TaskVerb::kCheckpoint && running) {
    StoreCheckpoint(report, task->record);
    if (task->record.state == TaskState::kAssigned) ApplyReport(*task, report);
    if (task->stop == StopReason::kEvict) {
      task->checkpointed = true;
      Push(*task, TaskVerb::kStop);
    }
    return;
  }
  ApplyReport(*task, report);
}

void Scheduler::OnCommandFailed(Task& task, const QueuedCommand& command,
                                const Error& error) {
  const bool is_start = command.verb == TaskVerb::kStart;
  const bool refused = NotDelivered(error.code) ||
                       error.code == Errc::kNoCapacity ||
                       error.code == Errc::kLeaving;
  if (is_start && refused && !task.maybe_started) {
    task.started_at = MonotonicTime(0);
    task.loss.reset();
  }
  if (NotDelivered(error.code)) return;  // The next report causes a retry.
  switch (error.code) {
    case Errc::kNotFound:
      if (is_start || command.verb == TaskVerb::kStop) {
        return Requeue(task, std::nullopt, "refused by its worker");
      }
      // The worker had confirmed the attempt, so it has restarted since.
      if (task.record.state == TaskState::kRunning) {
        return RequeueLost(task, "its worker restarted");
      }
      if (task.record.state == TaskState::kAssigned && task.maybe_started) {
        // Makes the worker refuse a start that is still in flight.
        task.stop = StopReason::kAbandon;
        Push(task, TaskVerb::kStop);
      }
      return;
    case Errc::kNoCapacity:
    case Errc::kLeaving:
      if (!is_start) return;
      if (!task.maybe_started) {
        return Requeue(task, std::nullopt, "refused by its worker");
      }
      // The reply to a previous start was lost, so the attempt may be running
      // on this worker. A stop would discard its work, so its state is queried
      // with a checkpoint command first.
      return Push(task, TaskVerb::kCheckpoint);
    default:
      // The next report shows whether the attempt runs; if not, the same
      // attempt is started again.
      if (is_start) task.maybe_started = true;
      return;
  }
}

}  // namespace mangospread::scheduler
