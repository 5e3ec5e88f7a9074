// Runs that are lost with their worker.
#include <algorithm>
#include <utility>

#include "dispatch/core/dispatcher.hpp"

namespace mangospread::dispatch {

std::string_view RemovalName(WorkerRemoval removal) noexcept {
  switch (removal) {
    case WorkerRemoval::kProcessEnded:
      return "worker_ended";
    case WorkerRemoval::kLeaseExpired:
      return "lease_over";
    case WorkerRemoval::kLeft:
      return "left_idle";
  }
  return "unknown";
}

void Dispatcher::OnWorkerRemoved(const VmName& vm, WorkerRemoval removal,
                                 MonotonicTime now) {
  const WorkerSlot slot = registry_.Find(vm);
  if (slot == kNoWorker) return;
  if (removal != WorkerRemoval::kLeft) {
    OnRunsLost(slot, removal == WorkerRemoval::kProcessEnded, now);
  }
  while (!registry_.at(slot).runs.empty()) {
    const TaskRef ref =
        *FindTask(TaskName(registry_.at(slot).runs.begin()->first));
    Requeue(ref, RemovalName(removal), now);
  }
  health_.Discard(vm);
  ledger_.Discard(vm);
  registry_.Erase(slot);
}

std::vector<LostRun> Dispatcher::LostRuns(WorkerSlot slot) const {
  const WorkerState& worker =
      registry_.workers()[static_cast<std::size_t>(slot)];
  std::vector<LostRun> lost;
  for (const auto& [name, placed] : worker.runs) {
    Job& job = *entries_.at(name.submission).job;
    LostRun run;
    run.task = name;
    run.run = placed.run;
    run.start_confirmed = placed.start_confirmed;
    run.exposure = worker.silent_since - placed.started_at;
    run.earlier = job.Find(*job.IndexOf(name))->losses;
    lost.push_back(std::move(run));
  }
  return lost;
}

void Dispatcher::OnRunsLost(WorkerSlot slot, bool process_ended,
                            MonotonicTime now) {
  OnResponding(slot, false, now);
  const WorkerInfo& info = registry_.at(slot).info;
  // A worker that drains ends its process as planned.
  if (info.draining) return;
  std::vector<LostRun> all = LostRuns(slot);
  AssignSuspicion(all, process_ended);
  for (const LostRun& lost : all) ApplyLoss(lost, info.vm);
}

void Dispatcher::ApplyLoss(const LostRun& lost, const VmName& vm) {
  ++counters_.lost;
  hooks_.log_lost(lost, vm);
  const TaskRef ref = *FindTask(lost.task);
  if (ClearsSuspicion(lost)) ref.task->losses.clear();
  if (lost.suspicion == Suspicion::kNone || IsFinal(ref.job().state())) return;
  ref.task->losses.push_back({lost.run, lost.suspicion, lost.certain});
  const bool given_up = CrashesWorkers(lost);
  if (given_up) {
    ++counters_.given_up;
    hooks_.log(lost.task, vm, "given_up", "crashes_workers");
    ref.job().SetState(SubmissionState::kFailed);
  }
  if (!given_up && lost.suspicion == Suspicion::kPresent) return;
  MarkChanged(*ref.entry);
  ref.task->loss_generation = ref.entry->generation;
}

}  // namespace mangospread::dispatch
