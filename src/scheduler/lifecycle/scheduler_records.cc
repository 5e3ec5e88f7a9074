// Synchronization of jobs with the configuration, and task state transitions.
#include <utility>

#include "base/loop/clock.hpp"
#include "scheduler/lifecycle/scheduler.hpp"

namespace mangospread::scheduler {

void Scheduler::SyncPolicies() {
  Weights weights;
  for (const Resource& resource : deps_.store.List(ResourceKind::kPolicy)) {
    const auto spec = ParsePolicySpec(resource.spec);
    if (!spec.ok()) continue;
    weights = {spec.value().latency_weight, spec.value().throughput_weight,
               spec.value().eviction_weight};
  }
  engine_->SetWeights(weights);
  std::vector<TeamQuota> quotas;
  for (const Resource& resource : deps_.store.List(ResourceKind::kTeam)) {
    const auto spec = ParseTeamSpec(resource.spec);
    if (!spec.ok()) continue;
    quotas.push_back({TeamName(resource.key.name), spec.value().cpu_quota,
                      spec.value().accelerator_quota, spec.value().weight});
  }
  engine_->SetQuotas(quotas);
}

void Scheduler::OnJobDeleted(const JobName& name) {
  Job* job = registry_->FindJob(name);
  if (job != nullptr) {
    if (std::exchange(job->deleted, true)) return;
    CancelJob(*job);
    FinishIfDone(name);
  } else if (registry_->FindSummary(name) != nullptr) {
    registry_->DeleteSummary(name);
  }
}

void Scheduler::SyncJob(const JobName& name) {
  const Resource* resource = deps_.store.Find({ResourceKind::kJob, name.str()});
  if (resource == nullptr) return OnJobDeleted(name);
  const auto spec = ParseJobSpec(resource->spec);
  if (!spec.ok()) return;
  Job* existing = registry_->FindJob(name);
  const bool has_summary = registry_->FindSummary(name) != nullptr;
  if (has_summary) {
    // The former scheduler wrote the summary but did not delete all task rows.
    if (existing != nullptr && !existing->finishing) {
      existing->summary_written = true;
      registry_->Finish(*existing, "");
    }
    return;
  }
  // A job with the name of a deleted one is not added until the rows of the
  // deleted job are removed.
  if (existing != nullptr && (existing->deleted || existing->finishing)) return;
  Job& job = registry_->AddJob(name);
  job.spec = spec.value();
  registry_->AddTasks(job);
  if (job.spec.cancelled) CancelJob(job);
  for (Task* task : job.tasks) {
    if (IsTerminal(task->record.state)) {
      if (!task->dirty && !task->writing) CountEnded(*task);
    } else if (!job.cancelled && IsPending(task->record.state) &&
               !task->enqueued && !task->dirty && !task->writing &&
               !task->lost) {
      Enqueue(*task);
    }
  }
  FinishIfDone(name);
}

void Scheduler::CancelJob(Job& job) {
  job.cancelled = true;
  for (Task* task : job.tasks) CancelTask(*task);
}

void Scheduler::CancelTask(Task& task) {
  if (IsTerminal(task.record.state)) {
    if (!task.dirty && !task.writing) CountEnded(task);
    return;
  }
  if (IsLive(task.record.state)) {
    task.stop = StopReason::kCancel;
    // An assignment that is being written is undone in OnSaved or
    // OnNotAssigned, when the outcome of the write is known.
    if (task.record.state == TaskState::kAssigned && task.writing) return;
    return Push(task, TaskVerb::kStop);
  }
  if (std::exchange(task.enqueued, false)) engine_->Dequeue(task.id);
  task.lost = false;
  task.record.state = TaskState::kCancelled;
  // A task without a row needs none: its state follows from the cancelled job.
  if (task.version == RowVersion() && !task.writing) return CountEnded(task);
  registry_->Save(task);
}

void Scheduler::CountEnded(Task& task) {
  if (std::exchange(task.counted, true)) return;
  Job* job = registry_->FindJob(JobOf(task.id));
  if (job != nullptr) --job->open_tasks;
}

void Scheduler::FinishIfDone(const JobName& name) {
  Job* job = registry_->FindJob(name);
  if (job == nullptr || job->open_tasks > 0 || job->finishing) return;
  std::string reason;
  for (const Task* task : job->tasks) {
    if (!task->record.reason.empty() &&
        task->record.state != TaskState::kDone) {
      reason = task->record.reason;
      break;
    }
  }
  log_.Record({base::Event::kJobFinished, name.str(), VmName(), reason, 0, {}});
  registry_->Finish(*job, std::move(reason));
}

void Scheduler::LogState(const Task& task) {
  log_.Record({base::Event::kTaskStateChanged,
               task.id.str(),
               task.record.vm,
               std::string(TaskStateName(task.record.state)) + " attempt " +
                   std::to_string(task.record.attempt.value()) +
                   (task.record.reason.empty() ? "" : ": ") +
                   task.record.reason,
               0,
               {}});
}

void Scheduler::OnSaved(Task& task) {
  LogState(task);
  const Job* job = registry_->FindJob(JobOf(task.id));
  switch (task.record.state) {
    case TaskState::kAssigned:
      if (assigning_ > 0) --assigning_;
      // The start command has not been sent yet.
      if (task.stop != StopReason::kNone) {
        return Requeue(task, std::nullopt, "stopped before its start");
      }
      return Push(task, TaskVerb::kStart);
    case TaskState::kRunning:
      if (task.stop != StopReason::kNone) Push(task, TaskVerb::kStop);
      return;
    case TaskState::kQueued:
    case TaskState::kEvicted:
      if (job != nullptr && job->cancelled) return CancelTask(task);
      if (task.lost) {
        lost_tasks_.push_back(task.id);
      } else if (!task.enqueued) {
        Enqueue(task);
      }
      return;
    default:
      CountEnded(task);
      FinishIfDone(JobOf(task.id));
  }
}

void Scheduler::OnNotAssigned(Task& task) {
  if (assigning_ > 0) --assigning_;
  live_tasks_[task.record.vm].erase(task.id);
  engine_->OnNotStarted(task.id, task.record.vm);
  task.record = task.saved;
  if (std::exchange(task.stop, StopReason::kNone) != StopReason::kNone) {
    return CancelTask(task);
  }
  Enqueue(task);
}

void Scheduler::OnConflict(const std::vector<std::string>& failed_keys) {
  if (phase_ == Phase::kInactive) return;
  // Losing the role deactivates this scheduler. Any other conflict means that
  // the cached version of a row is wrong, so all rows are read again.
  if (!deps_.role.OnConflict(failed_keys)) Activate();
}

void Scheduler::EndAttempt(Task& task, TaskState state,
                           std::optional<AttemptEnd> end, std::string reason) {
  live_tasks_[task.record.vm].erase(task.id);
  if (end) {
    engine_->OnEnded(task.id, task.record.vm, *end, base::MonotonicNow());
  } else {
    engine_->OnNotStarted(task.id, task.record.vm);
  }
  task.record.state = state;
  task.record.reason = std::move(reason);
  task.stop = StopReason::kNone;
  task.maybe_started = task.checkpointed = false;
  task.loss.reset();
  registry_->Save(task);
}

void Scheduler::Requeue(Task& task, std::optional<AttemptEnd> end,
                        std::string reason) {
  const Job* job = registry_->FindJob(JobOf(task.id));
  if (job == nullptr || job->cancelled) {
    if (end) end = AttemptEnd::kCancelled;
    return EndAttempt(task, TaskState::kCancelled, end, std::move(reason));
  }
  if (CountLoss(task)) {
    return EndAttempt(task, TaskState::kFailed, end, "crashes its workers");
  }
  EndAttempt(
      task,
      task.record.checkpoint.empty() ? TaskState::kQueued : TaskState::kEvicted,
      end, std::move(reason));
}

void Scheduler::RequeueLost(Task& task, std::string reason) {
  log_.Record(
      {base::Event::kTaskLost, task.id.str(), task.record.vm, reason, 0, {}});
  task.lost = true;
  Requeue(task, AttemptEnd::kLost, std::move(reason));
  if (!IsPending(task.record.state)) task.lost = false;
}

}  // namespace mangospread::scheduler
