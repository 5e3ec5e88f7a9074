// Jobs, and the states of their tasks.
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
  Job* job = book_->FindJob(name);
  if (job != nullptr) {
    if (std::exchange(job->deleted, true)) return;
    CancelJob(*job);
    FinishIfDone(name);
  } else if (book_->FindSummary(name) != nullptr) {
    book_->DeleteSummary(name);
  }
}

void Scheduler::SyncJob(const JobName& name) {
  const Resource* resource = deps_.store.Find({ResourceKind::kJob, name.str()});
  if (resource == nullptr) return OnJobDeleted(name);
  const auto spec = ParseJobSpec(resource->spec);
  if (!spec.ok()) return;
  Job* known = book_->FindJob(name);
  const bool summarised = book_->FindSummary(name) != nullptr;
  if (summarised) {
    // The predecessor wrote the summary and left rows behind.
    if (known != nullptr && !known->finishing) {
      known->summarised = true;
      book_->Finish(*known, "");
    }
    return;
  }
  // A job of the same name as a deleted one waits until that one is gone.
  if (known != nullptr && (known->deleted || known->finishing)) return;
  Job& job = book_->AddJob(name);
  job.spec = spec.value();
  book_->AddTasks(job);
  if (job.spec.cancelled) CancelJob(job);
  for (Task* task : job.tasks) {
    if (IsTerminal(task->record.state)) {
      if (!task->dirty && !task->writing) CountEnd(*task);
    } else if (!job.cancelled && IsWaiting(task->record.state) &&
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
    if (!task.dirty && !task.writing) CountEnd(task);
    return;
  }
  if (IsLive(task.record.state)) {
    task.stop = StopReason::kCancel;
    // An assignment that is being written is undone once it is known.
    if (task.record.state == TaskState::kAssigned && task.writing) return;
    return Push(task, TaskVerb::kStop);
  }
  if (std::exchange(task.enqueued, false)) engine_->Dequeue(task.id);
  task.lost = false;
  task.record.state = TaskState::kCancelled;
  // The cancelled job says the same of a task that has no row.
  if (task.version == RowVersion() && !task.writing) return CountEnd(task);
  book_->Save(task);
}

void Scheduler::CountEnd(Task& task) {
  if (std::exchange(task.counted, true)) return;
  Job* job = book_->FindJob(JobOf(task.id));
  if (job != nullptr) --job->open;
}

void Scheduler::FinishIfDone(const JobName& name) {
  Job* job = book_->FindJob(name);
  if (job == nullptr || job->open > 0 || job->finishing) return;
  std::string reason;
  for (const Task* task : job->tasks) {
    if (!task->record.reason.empty() &&
        task->record.state != TaskState::kDone) {
      reason = task->record.reason;
      break;
    }
  }
  log_.Record({base::Event::kJobFinished, name.str(), VmName(), reason, 0, {}});
  book_->Finish(*job, std::move(reason));
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
  const Job* job = book_->FindJob(JobOf(task.id));
  switch (task.record.state) {
    case TaskState::kAssigned:
      if (assigning_ > 0) --assigning_;
      // Nothing was sent yet.
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
        lost_.push_back(task.id);
      } else if (!task.enqueued) {
        Enqueue(task);
      }
      return;
    default:
      CountEnd(task);
      FinishIfDone(JobOf(task.id));
  }
}

void Scheduler::OnNotAssigned(Task& task) {
  if (assigning_ > 0) --assigning_;
  live_[task.record.vm].erase(task.id);
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
  // a row is not as known; everything is read again.
  if (!deps_.role.OnConflict(failed_keys)) Activate();
}

void Scheduler::EndAttempt(Task& task, TaskState state,
                           std::optional<AttemptEnd> end, std::string reason) {
  live_[task.record.vm].erase(task.id);
  if (end) {
    engine_->OnEnded(task.id, task.record.vm, *end, base::MonotonicNow());
  } else {
    engine_->OnNotStarted(task.id, task.record.vm);
  }
  task.record.state = state;
  task.record.reason = std::move(reason);
  task.stop = StopReason::kNone;
  task.maybe_started = task.checkpointed = false;
  book_->Save(task);
}

void Scheduler::Requeue(Task& task, std::optional<AttemptEnd> end,
                        std::string reason) {
  const Job* job = book_->FindJob(JobOf(task.id));
  if (job == nullptr || job->cancelled) {
    if (end) end = AttemptEnd::kCancelled;
    return EndAttempt(task, TaskState::kCancelled, end, std::move(reason));
  }
  EndAttempt(
      task,
      task.record.checkpoint.empty() ? TaskState::kQueued : TaskState::kEvicted,
      end, std::move(reason));
}

void Scheduler::Lose(Task& task, std::string reason) {
  log_.Record(
      {base::Event::kTaskLost, task.id.str(), task.record.vm, reason, 0, {}});
  task.lost = true;
  Requeue(task, AttemptEnd::kLost, std::move(reason));
  if (!IsWaiting(task.record.state)) task.lost = false;
}

}  // namespace mangospread::scheduler
