#include "dispatch/core/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace mangospread::dispatch {
namespace {

/// At this speed or less a filling task is better off elsewhere.
constexpr int kPausedPercent = 30;
/// A batch task that should end within this time stays on a draining worker.
constexpr MonotonicTime kDrainMargin = std::chrono::milliseconds(1'500);
constexpr MonotonicTime kMaxPause = std::chrono::milliseconds(1'200);

}  // namespace

Dispatcher::Dispatcher(DispatcherHooks hooks, std::uint32_t first_run)
    : hooks_(std::move(hooks)), first_run_(first_run) {}

Dispatcher::Entry* Dispatcher::FindEntry(const SubmissionId& id) {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

void Dispatcher::Add(Submission submission, QueuePolicy policy,
                     MonotonicTime now) {
  const SubmissionId id = submission.id;
  const auto [it, added] = entries_.try_emplace(id);
  if (!added) return;
  it->second.job =
      std::make_unique<Job>(std::move(submission), std::move(policy), now);
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
                                    accepted_at);
  entry.job->Restore(progress);
  entry.shown = progress.state;
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

std::optional<SubmissionState> Dispatcher::State(const SubmissionId& id) const {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return std::nullopt;
  const Entry& entry = it->second;
  const SubmissionState state = entry.job->state();
  if (!IsFinal(state) || IsFinal(entry.shown)) return state;
  return SubmissionState::kRunning;
}

int Dispatcher::Pending(const QueueName& queue) const {
  return static_cast<int>(
      std::count_if(active_.begin(), active_.end(), [&](const Entry* entry) {
        return entry->job->policy().queue == queue &&
               entry->job->state() == SubmissionState::kQueued;
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
    Acknowledge(vm, ledger_.Born(vm));
  }
  const SubmissionState state = entry->job->state();
  if (generation < entry->generation || !IsFinal(state) ||
      IsFinal(entry->shown)) {
    return;
  }
  entry->shown = state;
  StopAll(*entry, now);
  std::erase(active_, entry);
}

void Dispatcher::Acknowledge(const VmName& vm, WorkerBirth born) {
  hooks_.send(AcknowledgeEnds{vm, born, ledger_.Settled(vm)});
}

void Dispatcher::OnWorker(const WorkerInfo& info) { book_.Upsert(info); }

void Dispatcher::OnEvent(const AgentEvent& event, MonotonicTime now) {
  const WorkerSlot slot = book_.Find(event.vm);
  if (slot == kNoWorker) return;
  if (const auto* attached = std::get_if<Attached>(&event.what)) {
    OnAttached(slot, *attached, now);
  } else if (const auto* ended = std::get_if<RunEnded>(&event.what)) {
    OnEnded(slot, ended->born, ended->end, now);
  } else if (const auto* refused = std::get_if<RunNotStarted>(&event.what)) {
    OnNotStarted(slot, *refused, now);
  } else if (const auto* started = std::get_if<RunStarted>(&event.what)) {
    OnStarted(*started, now);
  } else if (const auto* stalled = std::get_if<RunStalled>(&event.what)) {
    OnStalled(slot, *stalled, now);
  } else if (std::holds_alternative<WorkerUnreachable>(event.what)) {
    book_.at(slot).attached = false;
  } else if (std::holds_alternative<WorkerEnded>(event.what)) {
    OnWorkerOver(event.vm, "worker_ended", now);
  } else if (const auto* load = std::get_if<WorkerLoad>(&event.what)) {
    OnLoad(slot, *load, now);
  }
}

void Dispatcher::OnAttached(WorkerSlot slot, const Attached& attached,
                            MonotonicTime now) {
  WorkerRoom& room = book_.at(slot);
  room.attached = true;
  const VmName vm = room.info.vm;
  for (const EndedRun& end : attached.ended) {
    OnEnded(slot, attached.born, end, now);
  }
  std::set<std::string> listed(attached.unsent.begin(), attached.unsent.end());
  for (const RunningRun& running : attached.running) {
    listed.insert(running.task);
    Adopt(slot, running, now);
  }
  // No earlier order can take effect any more, so what is not listed is over.
  const std::map<TaskName, PlacedRun> known = room.runs;
  for (const auto& [name, placed] : known) {
    if (placed.start_number > attached.starts_seen ||
        listed.contains(ToString(name))) {
      continue;
    }
    Entry* entry = FindEntry(name.submission);
    Requeue(*entry, name, *entry->job->Find(name.task), "not_listed", now);
  }
}

void Dispatcher::Adopt(WorkerSlot slot, const RunningRun& running,
                       MonotonicTime now) {
  const VmName vm = book_.at(slot).info.vm;
  const auto parsed = ParseTaskName(running.task);
  Entry* entry = parsed.ok() ? FindEntry(parsed.value().submission) : nullptr;
  Task* task =
      entry == nullptr ? nullptr : entry->job->Find(parsed.value().task);
  if (task == nullptr) {
    hooks_.send(StopRun{vm, running.task, running.run});
    return;
  }
  const TaskName& name = parsed.value();
  const StepSpec& spec =
      entry->job->steps()[static_cast<std::size_t>(name.task.step)].spec;
  const auto run = static_cast<std::uint32_t>(running.run.value());
  if (task->placed()) {
    const WorkerRoom& room = book_.at(task->worker);
    const auto placed = room.runs.find(name);
    if (task->worker != slot && placed != room.runs.end() &&
        placed->second.remembered) {
      Vacate(name, *task);
      entry->job->SetPhase(name.task, TaskPhase::kWaiting, now);
    }
  }
  const bool ours = task->placed() && task->worker == slot && task->run == run;
  const bool wanted = task->phase == TaskPhase::kWaiting &&
                      entry->shown != SubmissionState::kCancelled &&
                      !IsFinal(entry->shown);
  if (!ours && !wanted) {
    hooks_.send(StopRun{vm, running.task, running.run});
    return;
  }
  if (!ours) {
    task->run = run;
    task->worker = slot;
    book_.at(slot).Add(spec);
    book_.at(slot).runs[name] = {run, &spec, 100, MonotonicTime(0), 0};
    entry->job->SetPhase(name.task, TaskPhase::kStarting, now);
  }
  hooks_.send(DescribeRun{vm, running.task, running.run, TraitsOf(spec)});
  if (task->phase == TaskPhase::kStopping) {
    hooks_.send(StopRun{vm, running.task, running.run});
    return;
  }
  entry->job->SetPhase(name.task, TaskPhase::kRunning, now);
}

void Dispatcher::Assume(const VmName& vm,
                        const std::vector<RememberedRun>& runs,
                        MonotonicTime now) {
  const WorkerSlot slot = book_.Find(vm);
  if (slot == kNoWorker) return;
  for (const RememberedRun& remembered : runs) {
    const auto name = ParseTaskName(remembered.task);
    Entry* entry = name.ok() ? FindEntry(name.value().submission) : nullptr;
    Task* task =
        entry == nullptr ? nullptr : entry->job->Find(name.value().task);
    if (task == nullptr || task->phase != TaskPhase::kWaiting ||
        IsFinal(entry->job->state())) {
      continue;
    }
    const StepSpec& spec =
        entry->job->steps()[static_cast<std::size_t>(name.value().task.step)]
            .spec;
    task->run = static_cast<std::uint32_t>(remembered.run.value());
    task->worker = slot;
    book_.at(slot).Add(spec);
    PlacedRun& placed = book_.at(slot).runs[name.value()];
    placed.run = task->run;
    placed.spec = &spec;
    placed.remembered = true;
    entry->job->SetPhase(name.value().task, TaskPhase::kStarting, now);
  }
}

std::uint64_t Dispatcher::StartsOrdered(const VmName& vm) const {
  const WorkerSlot slot = book_.Find(vm);
  if (slot == kNoWorker) return 0;
  return book_.rooms()[static_cast<std::size_t>(slot)].starts_ordered;
}

std::vector<RememberedRun> Dispatcher::Runs(const VmName& vm) const {
  // An end that is not stored is unknown to whoever takes over.
  std::vector<RememberedRun> runs = ledger_.Open(vm);
  const WorkerSlot slot = book_.Find(vm);
  if (slot == kNoWorker) return runs;
  for (const auto& [name, placed] :
       book_.rooms()[static_cast<std::size_t>(slot)].runs) {
    runs.push_back({ToString(name), Attempt(placed.run)});
  }
  return runs;
}

void Dispatcher::Evacuate(MonotonicTime now) {
  for (const WorkerRoom& room : book_.rooms()) {
    if (room.gone || !room.attached || !room.info.draining) continue;
    const std::map<TaskName, PlacedRun> runs = room.runs;
    for (const auto& [name, placed] : runs) {
      Task& task = *FindEntry(name.submission)->job->Find(name.task);
      if (task.phase != TaskPhase::kRunning) continue;
      const bool ends_soon =
          !placed.spec->long_running &&
          now - task.since + kDrainMargin >= placed.spec->estimate;
      if (ends_soon ||
          (!placed.spec->long_running && !placed.spec->checkpoints)) {
        continue;
      }
      hooks_.log(name, room.info.vm, "moved", "worker_draining");
      StopTask(name, task, now);
    }
  }
}

void Dispatcher::OnEnded(WorkerSlot slot, WorkerBirth born, const EndedRun& end,
                         MonotonicTime now) {
  const VmName vm = book_.at(slot).info.vm;
  if (!ledger_.Note(vm, born, end)) {
    // Listed again, perhaps by another agent that was not told yet.
    Acknowledge(vm, born);
    return;
  }
  const auto name = ParseTaskName(end.task);
  Entry* entry = name.ok() ? FindEntry(name.value().submission) : nullptr;
  Task* task = entry == nullptr ? nullptr : entry->job->Find(name.value().task);
  if (task != nullptr) {
    ApplyEnd(*entry, name.value(), *task, end, vm, now);
  }
  // Also when the end itself changed nothing: whoever takes over knows only
  // what is stored, so it must find the state that made the end irrelevant.
  if (entry != nullptr && entry->generation > entry->saved_generation) {
    ledger_.SettleWith(entry->job->submission().id, entry->generation, vm, born,
                       end.number);
    return;
  }
  ledger_.Settle(vm, born, end.number);
  Acknowledge(vm, born);
}

void Dispatcher::ApplyEnd(Entry& entry, const TaskName& name, Task& task,
                          const EndedRun& end, const VmName& vm,
                          MonotonicTime now) {
  Job& job = *entry.job;
  const StepSpec& spec =
      job.steps()[static_cast<std::size_t>(name.task.step)].spec;
  const bool current = task.placed() && task.run == end.run.value() &&
                       book_.at(task.worker).info.vm == vm;
  if (current) {
    Vacate(name, task);
    job.SetPhase(name.task, TaskPhase::kWaiting, now);
  }
  if (!end.checkpoint.empty()) task.checkpoint = end.checkpoint;
  if (end.how == RunEnd::kDone) health_.OnSuccess(vm, now);
  if (end.how == RunEnd::kFailed) Blame(vm, name.submission, now);
  if (IsFinal(job.state()) || task.phase == TaskPhase::kDone) return;
  if (end.how == RunEnd::kDone && !spec.long_running) {
    ++counters_.done;
    // Another run may have started after this worker was given up.
    if (!current && task.placed()) {
      hooks_.send(StopRun{book_.at(task.worker).info.vm, ToString(name),
                          Attempt(task.run)});
      Vacate(name, task);
    }
    if (job.Finish(name.task, now)) job.SetState(SubmissionState::kComplete);
    MarkChanged(entry);
    return;
  }
  hooks_.log(name, vm, "ended", RunEndName(end.how));
  ++counters_.requeued;
  if (spec.long_running) return;
  if (end.how == RunEnd::kFailed) {
    ++counters_.failed;
    ++task.failures;
    task.run = std::max(task.run, static_cast<std::uint32_t>(end.run.value()));
    if (task.failures >= job.policy().attempts) {
      job.SetState(SubmissionState::kFailed);
    }
    MarkChanged(entry);
  } else if (!end.checkpoint.empty()) {
    MarkChanged(entry);
  }
}

void Dispatcher::OnNotStarted(WorkerSlot slot, const RunNotStarted& event,
                              MonotonicTime now) {
  const auto name = ParseTaskName(event.task);
  Entry* entry = name.ok() ? FindEntry(name.value().submission) : nullptr;
  Task* task = entry == nullptr ? nullptr : entry->job->Find(name.value().task);
  if (task == nullptr || !task->placed() || task->worker != slot ||
      task->run != event.run.value()) {
    return;
  }
  ++counters_.refused;
  if (event.why == OrderOutcome::kUnhealthy) {
    Blame(book_.at(slot).info.vm, name.value().submission, now);
  }
  if (event.why == OrderOutcome::kNoRoom) {
    // Something runs there that is not on the books; do not insist at once.
    constexpr MonotonicTime kNoRoomPause = std::chrono::milliseconds(300);
    WorkerRoom& room = book_.at(slot);
    room.excluded_until = std::max(room.excluded_until, now + kNoRoomPause);
  }
  Requeue(*entry, name.value(), *task, OutcomeName(event.why), now);
}

void Dispatcher::OnStarted(const RunStarted& event, MonotonicTime now) {
  const auto name = ParseTaskName(event.task);
  Entry* entry = name.ok() ? FindEntry(name.value().submission) : nullptr;
  Task* task = entry == nullptr ? nullptr : entry->job->Find(name.value().task);
  if (task == nullptr || task->phase != TaskPhase::kStarting ||
      task->run != event.run.value()) {
    return;
  }
  entry->job->SetPhase(name.value().task, TaskPhase::kRunning, now);
}

void Dispatcher::OnStalled(WorkerSlot slot, const RunStalled& event,
                           MonotonicTime now) {
  const auto name = ParseTaskName(event.task);
  Entry* entry = name.ok() ? FindEntry(name.value().submission) : nullptr;
  Task* task = entry == nullptr ? nullptr : entry->job->Find(name.value().task);
  if (task == nullptr || task->phase != TaskPhase::kRunning ||
      task->worker != slot || task->run != event.run.value()) {
    return;
  }
  ++counters_.stalled;
  const VmName vm = book_.at(slot).info.vm;
  hooks_.log(name.value(), vm, "stalled", "no_progress");
  Blame(vm, name.value().submission, now);
  StopTask(name.value(), *task, now);
}

void Dispatcher::OnLoad(WorkerSlot slot, const WorkerLoad& load,
                        MonotonicTime now) {
  constexpr double kMillicoresPerCore = 1'000;
  WorkerRoom& room = book_.at(slot);
  std::vector<ServingSample> serving;
  std::vector<FillSample> fills;
  std::vector<FillUse> uses;
  for (const RunSample& sample : load.runs) {
    const auto name = ParseTaskName(sample.task);
    if (!name.ok()) continue;
    const auto it = room.runs.find(name.value());
    if (it == room.runs.end() || it->second.run != sample.run.value()) continue;
    const StepSpec& spec = *it->second.spec;
    if (!spec.fills) {
      // A task that is not at work yet has no tail of its own.
      if (sample.percent < 100) continue;
      serving.push_back({spec.image, sample.measured, spec.latency_target});
      continue;
    }
    const double used = sample.measured / kMillicoresPerCore;
    fills.push_back({sample.task, spec.image,
                     static_cast<double>(spec.cpu.value()) / kMillicoresPerCore,
                     used, it->second.percent});
    uses.push_back({spec.image, used});
  }
  for (const ServingSample& sample : serving) {
    sharing_.Learn(sample.image, sample.tail_ms, uses);
  }
  room.Invalidate();
  for (const FillSpeed& speed : AdjustFills(sharing_, serving, fills)) {
    const auto name = ParseTaskName(speed.task);
    PlacedRun& placed = room.runs.at(name.value());
    if (placed.percent > kPausedPercent || placed.slowed_since.count() == 0) {
      placed.slowed_since = now;
    }
    placed.percent = speed.percent;
    hooks_.log(name.value(), room.info.vm, "paced",
               std::to_string(speed.percent));
    hooks_.send(
        PaceRun{room.info.vm, speed.task, Attempt(placed.run), speed.percent});
  }
  MovePaused(slot, now);
}

void Dispatcher::MovePaused(WorkerSlot slot, MonotonicTime now) {
  std::vector<TaskName> paused;
  for (const auto& [name, placed] : book_.at(slot).runs) {
    if (placed.percent <= kPausedPercent && placed.spec->checkpoints &&
        now - placed.slowed_since > kMaxPause) {
      paused.push_back(name);
    }
  }
  for (const TaskName& name : paused) {
    Task& task = *FindEntry(name.submission)->job->Find(name.task);
    if (task.phase != TaskPhase::kRunning) continue;
    hooks_.log(name, book_.at(slot).info.vm, "moved", "paused_too_long");
    StopTask(name, task, now);
  }
}

void Dispatcher::OnWorkerOver(const VmName& vm, std::string_view why,
                              MonotonicTime now) {
  const WorkerSlot slot = book_.Find(vm);
  if (slot == kNoWorker) return;
  const std::map<TaskName, PlacedRun> runs = book_.at(slot).runs;
  for (const auto& [name, placed] : runs) {
    Entry* entry = FindEntry(name.submission);
    Requeue(*entry, name, *entry->job->Find(name.task), why, now);
  }
  health_.Forget(vm);
  ledger_.Forget(vm);
  book_.Erase(slot);
}

void Dispatcher::Vacate(const TaskName& name, Task& task) {
  const Entry* entry = FindEntry(name.submission);
  const StepSpec& spec =
      entry->job->steps()[static_cast<std::size_t>(name.task.step)].spec;
  WorkerRoom& room = book_.at(task.worker);
  if (room.runs.erase(name) > 0) room.Remove(spec);
  task.worker = kNoWorker;
}

void Dispatcher::Requeue(Entry& entry, const TaskName& name, Task& task,
                         std::string_view why, MonotonicTime now) {
  ++counters_.requeued;
  hooks_.log(name, book_.at(task.worker).info.vm, "requeued", why);
  Vacate(name, task);
  entry.job->SetPhase(name.task, TaskPhase::kWaiting, now);
}

void Dispatcher::StopTask(const TaskName& name, Task& task, MonotonicTime now) {
  hooks_.send(StopRun{book_.at(task.worker).info.vm, ToString(name),
                      Attempt(task.run)});
  FindEntry(name.submission)
      ->job->SetPhase(name.task, TaskPhase::kStopping, now);
}

void Dispatcher::StopAll(Entry& entry, MonotonicTime now) {
  const SubmissionId& id = entry.job->submission().id;
  for (std::size_t s = 0; s < entry.job->steps().size(); ++s) {
    auto& tasks = entry.job->steps()[s].tasks;
    for (std::size_t t = 0; t < tasks.size(); ++t) {
      const TaskName name{id, 0, {static_cast<int>(s), static_cast<int>(t)}};
      if (tasks[t].placed()) StopTask(name, tasks[t], now);
    }
  }
}

void Dispatcher::Blame(const VmName& vm, const SubmissionId& id,
                       MonotonicTime now) {
  const MonotonicTime pause = health_.OnFailure(vm, id, now);
  const WorkerSlot slot = book_.Find(vm);
  if (pause.count() == 0 || slot == kNoWorker) return;
  ++counters_.excluded;
  book_.at(slot).excluded_until = now + pause;
  hooks_.log({id, 0, {}}, vm, "worker_excluded", "failures");
}

struct Dispatcher::Candidate {
  Urgency urgency;
  Entry* entry = nullptr;
  int step = 0;
};

std::vector<Dispatcher::Candidate> Dispatcher::Candidates(MonotonicTime now) {
  std::vector<Candidate> candidates;
  for (Entry* entry : active_) {
    Job& job = *entry->job;
    if (IsFinal(job.state()) || (entry->restored && !resumed_)) continue;
    const Urgency urgency = UrgencyOf(job, now);
    for (std::size_t s = 0; s < job.steps().size(); ++s) {
      const Step& step = job.steps()[s];
      if (!step.ready || step.waiting == 0) continue;
      candidates.push_back({urgency, entry, static_cast<int>(s)});
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.urgency < b.urgency;
                   });
  return candidates;
}

void Dispatcher::Decide(MonotonicTime now) {
  Evacuate(now);
  // Smallest step of each kind that found no room in this round, for services
  // and constraints alike; larger ones need no look.
  struct Refused {
    const StepSpec* spec;
    const ServiceName* service;
  };
  std::vector<Refused> refused;
  for (Candidate& candidate : Candidates(now)) {
    const StepSpec& spec =
        candidate.entry->job->steps()[static_cast<std::size_t>(candidate.step)]
            .spec;
    const ServiceName& service = candidate.entry->job->policy().service;
    const bool hopeless = std::any_of(
        refused.begin(), refused.end(), [&](const Refused& smaller) {
          return *smaller.service == service &&
                 smaller.spec->fills == spec.fills &&
                 smaller.spec->cpu <= spec.cpu &&
                 smaller.spec->memory <= spec.memory &&
                 smaller.spec->accelerators <= spec.accelerators &&
                 smaller.spec->required_label.empty() &&
                 smaller.spec->max_per_worker == 0;
        });
    if (hopeless) continue;
    if (!PlaceStep(candidate, now)) refused.push_back({&spec, &service});
  }
}

bool Dispatcher::PlaceStep(Candidate& candidate, MonotonicTime now) {
  Entry& entry = *candidate.entry;
  const auto step_index = static_cast<std::size_t>(candidate.step);
  const StepSpec& spec = entry.job->steps()[step_index].spec;
  const auto tasks_of_step = [&](WorkerSlot slot) {
    return TasksOfStep(entry, candidate.step, slot);
  };
  const auto count =
      static_cast<int>(entry.job->steps()[step_index].tasks.size());
  for (int i = 0; i < count; ++i) {
    const TaskIndex index{candidate.step, i};
    if (entry.job->Find(index)->phase != TaskPhase::kWaiting) continue;
    const Placement placement = ChooseWorker(
        book_, sharing_, entry.job->policy().service, spec, tasks_of_step, now);
    if (placement.worker == kNoWorker) return false;
    Place(entry, index, placement.worker, now);
  }
  return true;
}

void Dispatcher::Place(Entry& entry, const TaskIndex& index, WorkerSlot slot,
                       MonotonicTime now) {
  Job& job = *entry.job;
  Task& task = *job.Find(index);
  const StepSpec& spec = job.steps()[static_cast<std::size_t>(index.step)].spec;
  WorkerRoom& room = book_.at(slot);
  task.run = std::max(task.run + 1, first_run_);
  task.worker = slot;
  const TaskName name{job.submission().id, 0, index};
  room.Add(spec);
  room.runs[name] = {task.run, &spec, 100, MonotonicTime(0),
                     ++room.starts_ordered};
  job.SetPhase(index, TaskPhase::kStarting, now);
  ++counters_.started;
  hooks_.log(name, room.info.vm, "placed", "");
  hooks_.send(StartRun{room.info.vm, room.starts_ordered, ToString(name),
                       Attempt(task.run), job.submission().spec,
                       task.checkpoint, TraitsOf(spec)});
}

int Dispatcher::TasksOfStep(const Entry& entry, int step,
                            WorkerSlot slot) const {
  const auto& tasks = entry.job->steps()[static_cast<std::size_t>(step)].tasks;
  return static_cast<int>(
      std::count_if(tasks.begin(), tasks.end(), [slot](const Task& task) {
        return task.placed() && task.worker == slot;
      }));
}

RunTraits Dispatcher::TraitsOf(const StepSpec& spec) {
  return {spec.long_running, spec.fills, spec.cpu, spec.latency_target,
          spec.image};
}

}  // namespace mangospread::dispatch
