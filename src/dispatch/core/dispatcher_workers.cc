// Handling of worker events.
#include <algorithm>
#include <utility>

#include "base/overloaded.hpp"
#include "dispatch/core/dispatcher.hpp"

namespace mangospread::dispatch {
namespace {

/// Delay before the next start on a worker that refused one for lack of
/// capacity, which means that work unknown to the registry uses the capacity.
constexpr MonotonicTime kNoCapacityBackoff = std::chrono::milliseconds(300);

/// Takes over the speed that a former leader has requested.
void SetFormerSpeed(PlacedRun& placed, int percent, MonotonicTime now) {
  placed.percent = percent;
  if (percent < 100) placed.throttled_since = now;
}

}  // namespace

void Dispatcher::OnWorker(const WorkerInfo& info) {
  const WorkerSlot slot = registry_.Upsert(info);
  WorkerState& worker = registry_.at(slot);
  worker.evacuated = evacuations_.contains(info.data_center);
  worker.guards_capacity = !unguarded_services_.contains(info.service);
}

void Dispatcher::SetUnguardedServices(const std::set<ServiceName>& services) {
  unguarded_services_ = services;
  const auto workers = static_cast<WorkerSlot>(registry_.workers().size());
  for (WorkerSlot slot = 0; slot < workers; ++slot) {
    WorkerState& worker = registry_.at(slot);
    worker.guards_capacity = !services.contains(worker.info.service);
  }
}

void Dispatcher::OnEvent(const AgentEvent& event, MonotonicTime now) {
  const WorkerSlot slot = registry_.Find(event.vm);
  if (slot == kNoWorker) return;
  std::visit(
      base::Overloaded{
          [&](const Attached& attached) { OnAttached(slot, attached, now); },
          [&](const RunEnded& ended) {
            OnEnded(slot, ended.incarnation, ended.end, now);
          },
          [&](const RunNotStarted& refused) {
            OnNotStarted(slot, refused, now);
          },
          [&](const RunStarted& started) { OnStarted(slot, started, now); },
          [&](const RunStalled& stalled) { OnStalled(slot, stalled, now); },
          [&](const WorkerUnreachable& /*unreachable*/) {
            OnResponding(slot, false, now);
            registry_.at(slot).attached = false;
          },
          [&](const WorkerSuperseded& /*superseded*/) {
            OnResponding(slot, false, now);
            registry_.at(slot).attached = false;
          },
          [&](const WorkerEnded& /*ended*/) {
            OnWorkerRemoved(event.vm, WorkerRemoval::kProcessEnded, now);
          },
          [&](const WorkerLoad& load) {
            OnResponding(slot, load.responding, now);
            if (load.responding) OnLoad(slot, load, now);
          }},
      event.details);
}

void Dispatcher::OnAttached(WorkerSlot slot, const Attached& attached,
                            MonotonicTime now) {
  WorkerState& worker = registry_.at(slot);
  const bool restarted = worker.incarnation != WorkerIncarnation() &&
                         worker.incarnation != attached.incarnation;
  if (restarted) OnRunsLost(slot, true, now);
  if (worker.incarnation != attached.incarnation) worker.last_start = now;
  worker.attached = attached.complete;
  worker.incarnation = attached.incarnation;
  worker.stray_runs.clear();
  for (const EndedRun& end : attached.ended) {
    OnEnded(slot, attached.incarnation, end, now);
  }
  for (const RunningRun& running : attached.running) {
    ReconcileRun(slot, running, now);
  }
  if (attached.complete) RequeueUnlisted(slot, attached, now);
  worker.known_runs.clear();
  // Until here, a run that is lost counts as lost since the worker was silent.
  OnResponding(slot, true, now);
}

void Dispatcher::RequeueUnlisted(WorkerSlot slot, const Attached& attached,
                                 MonotonicTime now) {
  std::set<std::string> listed(attached.unsent.begin(), attached.unsent.end());
  for (const RunningRun& running : attached.running) {
    listed.insert(running.task);
  }
  // No earlier command can take effect any more, so runs that are not listed
  // have ended.
  WorkerState& worker = registry_.at(slot);
  const std::map<TaskName, PlacedRun> placed_runs = worker.runs;
  for (const auto& [name, placed] : placed_runs) {
    if (placed.start_number > attached.starts_seen ||
        listed.contains(ToString(name))) {
      continue;
    }
    // Requeue changes the registry, so each run is looked up again.
    if (worker.runs.contains(name)) Requeue(*FindTask(name), "not_listed", now);
  }
}

void Dispatcher::ReconcileRun(WorkerSlot slot, const RunningRun& running,
                              MonotonicTime now) {
  const VmName vm = registry_.at(slot).info.vm;
  const auto ref = FindTask(running.task);
  if (!ref) return StopStray(slot, running.task, running.run);
  Task& task = *ref->task;
  if (task.placed() && task.worker != slot) {
    const auto& runs = registry_.at(task.worker).runs;
    const auto placed = runs.find(ref->name);
    // A worker's own list takes precedence over an agent's report about another
    // worker, unless that names a newer run.
    if (placed != runs.end() && placed->second.unconfirmed &&
        placed->second.run <= running.run.value()) {
      ReleaseCapacity(*ref);
      ref->job().SetPhase(ref->index, TaskPhase::kPending, now);
    }
  }
  const bool is_current =
      task.placed() && task.worker == slot && task.run == running.run.value();
  const bool can_adopt =
      task.phase == TaskPhase::kPending && !IsFinal(ref->entry->visible_state);
  if (!is_current && !can_adopt) {
    return StopStray(slot, running.task, running.run);
  }
  if (!is_current) {
    PlacedRun placed;
    placed.run = static_cast<std::uint32_t>(running.run.value());
    // It has survived its start, since the worker lists it.
    placed.started_at = now - kStartTrial;
    const auto& known = registry_.at(slot).known_runs;
    const auto found =
        std::find_if(known.begin(), known.end(), [&](const RunId& run) {
          return run.task == running.task && run.run == running.run;
        });
    if (found != known.end()) SetFormerSpeed(placed, found->percent, now);
    ReserveCapacity(*ref, slot, placed);
    ref->job().SetPhase(ref->index, TaskPhase::kStarting, now);
  }
  Confirm(*ref, now);
  const PlacedRun& placed = registry_.at(slot).runs.at(ref->name);
  hooks_.send(DescribeRun{vm, running.task, running.run, TraitsOf(ref->spec()),
                          placed.percent});
  if (task.phase == TaskPhase::kStopping) {
    return hooks_.send(StopRun{vm, running.task, running.run});
  }
  ref->job().SetPhase(ref->index, TaskPhase::kRunning, now);
}

void Dispatcher::StopStray(WorkerSlot slot, const std::string& task,
                           Attempt run) {
  WorkerState& worker = registry_.at(slot);
  worker.stray_runs.insert(task);
  hooks_.send(StopRun{worker.info.vm, task, run});
}

void Dispatcher::SetKnownRuns(const VmName& vm, std::vector<RunId> runs) {
  const WorkerSlot slot = registry_.Find(vm);
  if (slot != kNoWorker) registry_.at(slot).known_runs = std::move(runs);
}

void Dispatcher::AddUnconfirmedRuns(const VmName& vm,
                                    const std::vector<RunId>& runs,
                                    MonotonicTime now) {
  const WorkerSlot slot = registry_.Find(vm);
  if (slot == kNoWorker) return;
  OnResponding(slot, false, now);
  for (const RunId& run_id : runs) {
    const auto ref = FindTask(run_id.task);
    if (!ref || IsFinal(ref->job().state())) continue;
    PlacedRun placed;
    placed.run = static_cast<std::uint32_t>(run_id.run.value());
    // A former leader has stored the end of this run.
    if (IsCounted(ref->task->losses, placed.run)) continue;
    if (!ReplaceOlderRun(*ref, placed.run, now)) continue;
    placed.unconfirmed = true;
    placed.started_at = registry_.at(slot).silent_since;
    if (!run_id.just_started) placed.started_at -= kStartTrial;
    placed.start_confirmed = run_id.confirmed;
    if (placed.start_confirmed) ref->job().SetBegun();
    SetFormerSpeed(placed, run_id.percent, now);
    ReserveCapacity(*ref, slot, placed);
    ref->job().SetPhase(ref->index, TaskPhase::kStarting, now);
  }
}

bool Dispatcher::ReplaceOlderRun(const TaskRef& ref, std::uint32_t run,
                                 MonotonicTime now) {
  const Task& task = *ref.task;
  // The end of a newer run may be stored.
  if (task.phase == TaskPhase::kPending) return task.run <= run;
  if (!task.placed() || task.run >= run) return false;
  const auto& runs = registry_.at(task.worker).runs;
  const auto placed = runs.find(ref.name);
  if (placed == runs.end()) return false;
  if (!placed->second.unconfirmed) {
    StopStray(task.worker, ToString(ref.name), Attempt(task.run));
  }
  hooks_.log(ref.name, registry_.at(task.worker).info.vm, "requeued",
             "newer_run_reported");
  ReleaseCapacity(ref);
  ref.job().SetPhase(ref.index, TaskPhase::kPending, now);
  return true;
}

void Dispatcher::OnEnded(WorkerSlot slot, WorkerIncarnation incarnation,
                         const EndedRun& end, MonotonicTime now) {
  const VmName vm = registry_.at(slot).info.vm;
  registry_.at(slot).stray_runs.erase(end.task);
  if (!ledger_.Add(vm, incarnation, end)) {
    // The worker lists the end again, possibly through another agent that has
    // not received the acknowledgement yet.
    Acknowledge(vm, incarnation);
    return;
  }
  const auto ref = FindTask(end.task);
  if (ref) ApplyEnd(*ref, end, vm, now);
  // The acknowledgement waits for unsaved progress even if the end itself
  // changed nothing: a new leader reads only what is stored, so it must find
  // the state that made the end irrelevant.
  if (ref && ref->entry->generation > ref->entry->saved_generation) {
    ledger_.SettleOnStored(ref->name.submission, ref->entry->generation, vm,
                           incarnation, end.number);
    return;
  }
  ledger_.Settle(vm, incarnation, end.number);
  Acknowledge(vm, incarnation);
}

void Dispatcher::ApplyEnd(const TaskRef& ref, const EndedRun& end,
                          const VmName& vm, MonotonicTime now) {
  Job& job = ref.job();
  Task& task = *ref.task;
  const bool current = task.placed() && task.run == end.run.value() &&
                       registry_.at(task.worker).info.vm == vm;
  if (current) {
    ReleaseCapacity(ref);
    job.SetPhase(ref.index, TaskPhase::kPending, now);
    // The start may have been reported with the end only.
    task.without_run_since = now;
  }
  job.SetBegun();
  if (!end.checkpoint.empty()) {
    task.checkpoint = end.checkpoint;
    if (ref.spec().gang) {
      // Any member's checkpoint is valid for the whole gang, and all members
      // must use the same one.
      for (Task& member : ref.step().tasks) member.checkpoint = end.checkpoint;
    }
  }
  if (end.end_kind == RunEnd::kDone) {
    health_.OnSuccess(vm, ref.name.submission, now);
  }
  if (end.end_kind == RunEnd::kFailed) AddFailure(vm, ref.name.submission, now);
  if (IsFinal(job.state()) || task.phase == TaskPhase::kDone) return;
  hooks_.log(ref.name, vm, "ended", RunEndName(end.end_kind));
  if (end.end_kind == RunEnd::kDone && !ref.spec().long_running) {
    return ApplyDone(ref, current, now);
  }
  ++counters_.requeued;
  if (ref.spec().gang && current) StopGang(*ref.entry, ref.index.step, now);
  if (ref.spec().long_running) {
    if (task.phase != TaskPhase::kPending) return;
    task.run = std::max(task.run, static_cast<std::uint32_t>(end.run.value()));
    // A new leader would take it for a task that never ran.
    return MarkChanged(*ref.entry);
  }
  if (end.end_kind == RunEnd::kFailed) {
    ApplyFailure(ref, end);
  } else if (!end.checkpoint.empty()) {
    MarkChanged(*ref.entry);
  }
}

void Dispatcher::ApplyDone(const TaskRef& ref, bool current,
                           MonotonicTime now) {
  Job& job = ref.job();
  ++counters_.done;
  bool complete = false;
  const std::size_t count = ref.spec().gang ? ref.step().tasks.size() : 1;
  for (std::size_t t = 0; t < count; ++t) {
    TaskIndex index = ref.index;
    // The members of a gang end together.
    if (ref.spec().gang) index.index = static_cast<int>(t);
    const TaskRef member{ref.entry, index, job.NameOf(index), job.Find(index)};
    if (member.task->phase == TaskPhase::kDone) continue;
    if (member.task->placed()) {
      // Another run may have been started after this one was given up.
      const bool superseded = index == ref.index && !current;
      if (superseded) {
        StopStray(member.task->worker, ToString(member.name),
                  Attempt(member.task->run));
      }
      ReleaseCapacity(member);
    }
    complete = job.Finish(index, now);
  }
  if (complete) job.SetState(SubmissionState::kComplete);
  MarkChanged(*ref.entry);
}

void Dispatcher::ApplyFailure(const TaskRef& ref, const EndedRun& end) {
  ++counters_.failed;
  Task& task = *ref.task;
  task.run = std::max(task.run, static_cast<std::uint32_t>(end.run.value()));
  // A gang fails as a whole; its failures are counted on the first member.
  Task& counted = ref.spec().gang ? ref.step().tasks.front() : task;
  auto& failed = counted.failed_runs;
  const auto run = static_cast<std::uint32_t>(end.run.value());
  // A worker lists an end until it is acknowledged, also to the next leader,
  // and every failed member of a gang lists one.
  if (std::find(failed.begin(), failed.end(), run) != failed.end()) return;
  failed.push_back(run);
  if (static_cast<int>(failed.size()) >= ref.job().policy().attempts) {
    ref.job().SetState(SubmissionState::kFailed);
  }
  MarkChanged(*ref.entry);
}

void Dispatcher::OnNotStarted(WorkerSlot slot, const RunNotStarted& event,
                              MonotonicTime now) {
  registry_.at(slot).stray_runs.erase(event.task);
  const auto ref = FindRun(slot, event.task, event.run);
  if (!ref) return;
  ++counters_.refused;
  WorkerState& worker = registry_.at(slot);
  if (event.reason == CommandOutcome::kUnhealthy) {
    AddFailure(worker.info.vm, ref->name.submission, now);
  }
  if (event.reason == CommandOutcome::kNoCapacity) {
    worker.full_until = now + kNoCapacityBackoff;
  }
  Requeue(*ref, CommandOutcomeName(event.reason), now);
}

void Dispatcher::OnStarted(WorkerSlot slot, const RunStarted& event,
                           MonotonicTime now) {
  const auto ref = FindRun(slot, event.task, event.run);
  if (!ref) return;
  Confirm(*ref, now);
  if (ref->task->phase != TaskPhase::kStarting) return;
  ref->job().SetPhase(ref->index, TaskPhase::kRunning, now);
}

void Dispatcher::OnStalled(WorkerSlot slot, const RunStalled& event,
                           MonotonicTime now) {
  const auto ref = FindRun(slot, event.task, event.run);
  if (!ref || ref->task->phase != TaskPhase::kRunning) return;
  ++counters_.stalled;
  const VmName vm = registry_.at(slot).info.vm;
  hooks_.log(ref->name, vm, "stalled", "no_progress");
  AddFailure(vm, ref->name.submission, now);
  StopTask(*ref, now);
}

void Dispatcher::OnDetached(const VmName& vm, MonotonicTime now) {
  const WorkerSlot slot = registry_.Find(vm);
  if (slot != kNoWorker) OnResponding(slot, false, now);
}

void Dispatcher::OnResponding(WorkerSlot slot, bool responding,
                              MonotonicTime now) {
  MonotonicTime& silent_since = registry_.at(slot).silent_since;
  if (responding) {
    silent_since = MonotonicTime(0);
  } else if (silent_since.count() == 0) {
    silent_since = now;
  }
}

void Dispatcher::AddFailure(const VmName& vm, const SubmissionId& id,
                            MonotonicTime now) {
  const WorkerSlot slot = registry_.Find(vm);
  if (slot == kNoWorker) return;
  WorkerState& worker = registry_.at(slot);
  const HealthChange change = health_.OnFailure(
      {vm, id, worker.info.service, registry_.CountOf(worker.info.service)},
      now);
  for (const VmName& readmitted : change.readmitted) {
    ReadmitWorker(readmitted, id, "submission_at_fault");
  }
  if (change.replaced) ReadmitWorker(*change.replaced, id, "limit");
  if (change.exclusion.count() == 0) return;
  ++counters_.excluded;
  worker.excluded_until = now + change.exclusion;
  worker.suspicion = change.suspicion;
  hooks_.log({id, 0, {}}, vm, "worker_excluded", "failures");
}

void Dispatcher::ReadmitWorker(const VmName& vm, const SubmissionId& id,
                               std::string_view reason) {
  const WorkerSlot slot = registry_.Find(vm);
  if (slot == kNoWorker) return;
  ++counters_.readmitted;
  registry_.at(slot).excluded_until = MonotonicTime(0);
  hooks_.log({id, 0, {}}, vm, "worker_readmitted", reason);
}

void Dispatcher::Acknowledge(const VmName& vm, WorkerIncarnation incarnation) {
  hooks_.send(AcknowledgeEnds{vm, incarnation, ledger_.SettledUpTo(vm)});
}

}  // namespace mangospread::dispatch
