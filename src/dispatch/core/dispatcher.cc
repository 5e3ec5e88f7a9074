#include "dispatch/core/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace mangospread::dispatch {
namespace {

/// A batch task that is expected to end within this time stays on a draining
/// worker.
constexpr MonotonicTime kDrainMargin = std::chrono::milliseconds(1'500);

}  // namespace

Dispatcher::Dispatcher(DispatcherHooks hooks, std::uint32_t first_run,
                       MonotonicTime unix_epoch)
    : hooks_(std::move(hooks)),
      first_run_(first_run),
      unix_epoch_(unix_epoch) {}

Dispatcher::Entry* Dispatcher::FindEntry(const SubmissionId& id) {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

std::optional<Dispatcher::TaskRef> Dispatcher::FindTask(TaskName name) {
  Entry* entry = FindEntry(name.submission);
  if (entry == nullptr) return std::nullopt;
  const auto index = entry->job->IndexOf(name);
  if (!index) return std::nullopt;
  return TaskRef{entry, *index, std::move(name), entry->job->Find(*index)};
}

std::optional<Dispatcher::TaskRef> Dispatcher::FindTask(
    const std::string& text) {
  auto name = ParseTaskName(text);
  return name.ok() ? FindTask(std::move(name.value())) : std::nullopt;
}

std::optional<Dispatcher::TaskRef> Dispatcher::FindRun(WorkerSlot slot,
                                                       const std::string& text,
                                                       Attempt run) {
  auto ref = FindTask(text);
  if (!ref || !ref->task->placed() || ref->task->worker != slot ||
      ref->task->run != run.value()) {
    return std::nullopt;
  }
  return ref;
}

void Dispatcher::SetWorkBytes(Entry& entry, std::size_t bytes) {
  work_bytes_ += bytes - std::exchange(entry.work_bytes, bytes);
}

// Submissions.

void Dispatcher::Add(Submission submission, QueuePolicy policy,
                     MonotonicTime now) {
  const SubmissionId id = submission.id;
  const auto [it, added] = entries_.try_emplace(id);
  if (!added) return;
  it->second.job = std::make_unique<Job>(std::move(submission),
                                         std::move(policy), now, unix_epoch_);
  SetWorkBytes(it->second, MemoryOfJob(it->second.job->submission()));
  active_.push_back(&it->second);
}

void Dispatcher::Restore(Submission submission, QueuePolicy policy,
                         const JobProgress& progress,
                         MonotonicTime accepted_at) {
  const SubmissionId id = submission.id;
  const auto [it, added] = entries_.try_emplace(id);
  if (!added) return;
  Entry& entry = it->second;
  entry.job = std::make_unique<Job>(std::move(submission), std::move(policy),
                                    accepted_at, unix_epoch_);
  SetWorkBytes(entry, IsFinal(progress.state)
                          ? MemoryOfEndedJob(entry.job->submission())
                          : MemoryOfJob(entry.job->submission()));
  entry.job->Restore(progress);
  entry.visible_state = progress.state;
  entry.restored = true;
  if (IsFinal(progress.state)) return;
  active_.push_back(&entry);
  resumed_ = false;
}

bool Dispatcher::Cancel(const SubmissionId& id, MonotonicTime /*now*/) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr) return false;
  if (IsFinal(entry->job->state())) return true;
  entry->job->SetState(SubmissionState::kCancelled);
  MarkChanged(*entry);
  return true;
}

void Dispatcher::Fail(const SubmissionId& id, std::string_view reason) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr || IsFinal(entry->job->state())) return;
  entry->job->SetState(SubmissionState::kFailed);
  hooks_.log(entry->job->NameOf({}), VmName(), "submission_failed", reason);
  MarkChanged(*entry);
}

std::optional<SubmissionState> Dispatcher::State(const SubmissionId& id) const {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return std::nullopt;
  const Entry& entry = it->second;
  const SubmissionState state = entry.job->state();
  if (!IsFinal(state) || IsFinal(entry.visible_state)) return state;
  return SubmissionState::kRunning;
}

int Dispatcher::Pending(const QueueName& queue) const {
  return static_cast<int>(
      std::count_if(active_.begin(), active_.end(), [&](const Entry* entry) {
        return entry->job->policy().queue == queue &&
               entry->job->submission().occurrences == 0 &&
               !entry->job->begun() && !IsFinal(entry->job->state());
      }));
}

JobProgress Dispatcher::Progress(const SubmissionId& id) const {
  return entries_.at(id).job->Progress();
}

std::uint64_t Dispatcher::Generation(const SubmissionId& id) const {
  return entries_.at(id).generation;
}

void Dispatcher::MarkChanged(Entry& entry) {
  ++entry.generation;
  hooks_.save(entry.job->submission().id);
}

void Dispatcher::OnSaved(const SubmissionId& id, std::uint64_t generation,
                         MonotonicTime now) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr) return;
  entry->saved_generation = std::max(entry->saved_generation, generation);
  for (const VmName& vm : ledger_.OnStored(id, generation)) {
    Acknowledge(vm, ledger_.IncarnationOf(vm));
  }
  const SubmissionState state = entry->job->state();
  if (generation < entry->generation || !IsFinal(state) ||
      IsFinal(entry->visible_state)) {
    return;
  }
  entry->visible_state = state;
  SetWorkBytes(*entry, MemoryOfEndedJob(entry->job->submission()));
  StopAll(*entry, now);
  std::erase(active_, entry);
}

void Dispatcher::Discard(const SubmissionId& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || !IsFinal(it->second.visible_state)) return;
  // Runs that are still being stopped refer to this entry from the registry.
  const auto& steps = it->second.job->steps();
  for (const Step& step : steps) {
    for (const Task& task : step.tasks) {
      if (task.placed()) return;
    }
  }
  health_.Discard(id);
  SetWorkBytes(it->second, 0);
  entries_.erase(it);
}

// Runs.

void Dispatcher::ReserveCapacity(const TaskRef& ref, WorkerSlot slot,
                                 const PlacedRun& placed) {
  ref.task->run = placed.run;
  ref.task->worker = slot;
  WorkerState& worker = registry_.at(slot);
  worker.Add(ref.spec());
  PlacedRun& entry = worker.runs[ref.name];
  entry = placed;
  entry.spec = &ref.spec();
}

void Dispatcher::Confirm(const TaskRef& ref, MonotonicTime now) {
  WorkerState& worker = registry_.at(ref.task->worker);
  PlacedRun& placed = worker.runs.at(ref.name);
  if (std::exchange(placed.start_confirmed, true)) return;
  ref.job().SetBegun();
  if (IsSuspected(ref.task->losses)) worker.trial_until = now + kStartTrial;
}

void Dispatcher::ReleaseCapacity(const TaskRef& ref) {
  WorkerState& worker = registry_.at(ref.task->worker);
  if (worker.runs.erase(ref.name) > 0) worker.Remove(ref.spec());
  ref.task->worker = kNoWorker;
}

void Dispatcher::Requeue(const TaskRef& ref, std::string_view reason,
                         MonotonicTime now) {
  ++counters_.requeued;
  const WorkerState& worker = registry_.at(ref.task->worker);
  const MonotonicTime silent_since = worker.silent_since;
  hooks_.log(ref.name, worker.info.vm, "requeued", reason);
  ReleaseCapacity(ref);
  ref.job().SetPhase(ref.index, TaskPhase::kPending, now);
  if (silent_since.count() > 0) {
    MonotonicTime& without_run_since = ref.task->without_run_since;
    without_run_since = std::min(without_run_since, silent_since);
  }
  if (ref.spec().long_running && !IsFinal(ref.job().state())) {
    // A new leader would take it for a task that never ran.
    MarkChanged(*ref.entry);
  }
  if (ref.spec().gang) StopGang(*ref.entry, ref.index.step, now);
}

void Dispatcher::StopTask(const TaskRef& ref, MonotonicTime now) {
  hooks_.send(StopRun{registry_.at(ref.task->worker).info.vm,
                      ToString(ref.name), Attempt(ref.task->run)});
  ref.job().SetPhase(ref.index, TaskPhase::kStopping, now);
}

void Dispatcher::StopAll(Entry& entry, MonotonicTime now) {
  for (std::size_t s = 0; s < entry.job->steps().size(); ++s) {
    auto& tasks = entry.job->steps()[s].tasks;
    for (std::size_t t = 0; t < tasks.size(); ++t) {
      const TaskIndex index{static_cast<int>(s), static_cast<int>(t)};
      if (!tasks[t].placed()) continue;
      StopTask({&entry, index, entry.job->NameOf(index), &tasks[t]}, now);
    }
  }
}

void Dispatcher::StopGang(Entry& entry, int step, MonotonicTime now) {
  auto& tasks = entry.job->steps()[static_cast<std::size_t>(step)].tasks;
  for (std::size_t t = 0; t < tasks.size(); ++t) {
    const TaskIndex index{step, static_cast<int>(t)};
    if (!tasks[t].placed() || tasks[t].phase == TaskPhase::kStopping) continue;
    StopTask({&entry, index, entry.job->NameOf(index), &tasks[t]}, now);
  }
}

bool Dispatcher::MayInterrupt(const TaskRef& ref, MonotonicTime now) const {
  return ref.spec().max_unavailable == 0 ||
         (AllAtWork(ref, now) && FitsElsewhere(ref, now));
}

void Dispatcher::DrainWorkers(MonotonicTime now) {
  for (const WorkerState& worker : registry_.workers()) {
    const bool leaves = worker.info.draining || worker.info.gone;
    if (worker.slot_free || !worker.attached || !leaves) continue;
    const std::map<TaskName, PlacedRun> runs = worker.runs;
    for (const auto& [name, placed] : runs) {
      const auto ref = FindTask(name);
      if (ref->task->phase != TaskPhase::kRunning) continue;
      if (!worker.info.draining && !MayInterrupt(*ref, now)) continue;
      const bool ends_soon =
          !placed.spec->long_running &&
          now - ref->task->since + kDrainMargin >= placed.spec->estimate;
      if (ends_soon ||
          (!placed.spec->long_running && !placed.spec->checkpoints)) {
        continue;
      }
      hooks_.log(name, worker.info.vm, "moved", "worker_draining");
      StopTask(*ref, now);
    }
  }
}

std::uint64_t Dispatcher::StartsIssued(const VmName& vm) const {
  const WorkerSlot slot = registry_.Find(vm);
  if (slot == kNoWorker) return 0;
  return registry_.workers()[static_cast<std::size_t>(slot)].starts_issued;
}

std::vector<RunId> Dispatcher::Runs(const VmName& vm) const {
  // A run whose end is not stored is included, since a new leader does not know
  // of that end.
  std::vector<RunId> runs = ledger_.Unsettled(vm);
  const WorkerSlot slot = registry_.Find(vm);
  if (slot == kNoWorker) return runs;
  const WorkerState& worker =
      registry_.workers()[static_cast<std::size_t>(slot)];
  for (const auto& [name, placed] : worker.runs) {
    const bool just_started =
        worker.silent_since.count() > 0 &&
        JustStarted(worker.silent_since - placed.started_at);
    runs.push_back({ToString(name), Attempt(placed.run), just_started,
                    placed.percent, placed.start_confirmed});
  }
  return runs;
}

}  // namespace mangospread::dispatch
