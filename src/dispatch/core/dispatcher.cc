#include "dispatch/core/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace mangospread::dispatch {
namespace {

/// A batch task that should end within this time stays on a draining worker.
constexpr MonotonicTime kDrainMargin = std::chrono::milliseconds(1'500);
/// Below this free share of the processors short work competes for room.
constexpr double kScarceShare = 0.15;
/// A long-running task takes scarce room that was unused for so long. Beside
/// room it has to start within three seconds.
constexpr MonotonicTime kSettleTime = std::chrono::milliseconds(1'500);
/// Short work may take all room for a moment without its being scarce.
constexpr MonotonicTime kRoomGap = std::chrono::milliseconds(400);

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

std::optional<Dispatcher::Located> Dispatcher::Locate(const TaskName& name) {
  Entry* entry = FindEntry(name.submission);
  if (entry == nullptr) return std::nullopt;
  const auto index = entry->job->IndexOf(name);
  if (!index) return std::nullopt;
  return Located{entry, *index, name, entry->job->Find(*index)};
}

std::optional<Dispatcher::Located> Dispatcher::Locate(const std::string& text) {
  const auto name = ParseTaskName(text);
  return name.ok() ? Locate(name.value()) : std::nullopt;
}

std::optional<Dispatcher::Located> Dispatcher::LocateRun(
    WorkerSlot slot, const std::string& text, Attempt run) {
  auto at = Locate(text);
  if (!at || !at->task->placed() || at->task->worker != slot ||
      at->task->run != run.value()) {
    return std::nullopt;
  }
  return at;
}

// Submissions.

void Dispatcher::Add(Submission submission, QueuePolicy policy,
                     MonotonicTime now) {
  const SubmissionId id = submission.id;
  const auto [it, added] = entries_.try_emplace(id);
  if (!added) return;
  it->second.job = std::make_unique<Job>(std::move(submission),
                                         std::move(policy), now, unix_epoch_);
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
               entry->job->submission().occurrences == 0 &&
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

void Dispatcher::Forget(const SubmissionId& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || !IsFinal(it->second.shown)) return;
  // Runs that are still being stopped are on their workers' books.
  const auto& steps = it->second.job->steps();
  for (const Step& step : steps) {
    for (const Task& task : step.tasks) {
      if (task.placed()) return;
    }
  }
  entries_.erase(it);
}

// Runs.

void Dispatcher::Occupy(const Located& at, WorkerSlot slot,
                        const PlacedRun& placed) {
  at.task->run = placed.run;
  at.task->worker = slot;
  WorkerRoom& room = book_.at(slot);
  room.Add(at.spec());
  PlacedRun& entry = room.runs[at.name];
  entry = placed;
  entry.spec = &at.spec();
}

void Dispatcher::Vacate(const Located& at) {
  WorkerRoom& room = book_.at(at.task->worker);
  if (room.runs.erase(at.name) > 0) room.Remove(at.spec());
  at.task->worker = kNoWorker;
}

void Dispatcher::Requeue(const Located& at, std::string_view why,
                         MonotonicTime now) {
  ++counters_.requeued;
  hooks_.log(at.name, book_.at(at.task->worker).info.vm, "requeued", why);
  Vacate(at);
  at.job().SetPhase(at.index, TaskPhase::kWaiting, now);
  if (at.spec().gang) StopGang(*at.entry, at.index.step, now);
}

void Dispatcher::StopTask(const Located& at, MonotonicTime now) {
  hooks_.send(StopRun{book_.at(at.task->worker).info.vm, ToString(at.name),
                      Attempt(at.task->run)});
  at.job().SetPhase(at.index, TaskPhase::kStopping, now);
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

void Dispatcher::Evacuate(MonotonicTime now) {
  for (const WorkerRoom& room : book_.rooms()) {
    if (room.gone || !room.attached || !room.info.draining) continue;
    const std::map<TaskName, PlacedRun> runs = room.runs;
    for (const auto& [name, placed] : runs) {
      const auto at = Locate(name);
      if (at->task->phase != TaskPhase::kRunning) continue;
      const bool ends_soon =
          !placed.spec->long_running &&
          now - at->task->since + kDrainMargin >= placed.spec->estimate;
      if (ends_soon ||
          (!placed.spec->long_running && !placed.spec->checkpoints)) {
        continue;
      }
      hooks_.log(name, room.info.vm, "moved", "worker_draining");
      StopTask(*at, now);
    }
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

// Decisions.

struct Dispatcher::Candidate {
  Urgency urgency;
  Entry* entry = nullptr;
  int step = 0;
};

std::vector<Dispatcher::Candidate> Dispatcher::Candidates(MonotonicTime now) {
  std::vector<Candidate> candidates;
  bool crowded = false;
  for (Entry* entry : active_) {
    const Job& job = *entry->job;
    if (IsFinal(job.state()) || (entry->restored && !resumed_)) continue;
    for (std::size_t s = 0; s < job.steps().size(); ++s) {
      const Step& step = job.steps()[s];
      if (!step.ready || step.waiting == 0 || now < step.due) continue;
      candidates.push_back({{}, entry, static_cast<int>(s)});
      crowded =
          crowded || (!step.spec.long_running && now > job.ObjectiveOf(step));
    }
  }
  for (Candidate& candidate : candidates) {
    const Job& job = *candidate.entry->job;
    candidate.urgency =
        UrgencyOf(job, job.steps()[static_cast<std::size_t>(candidate.step)],
                  now, crowded);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.urgency < b.urgency;
                   });
  return candidates;
}

void Dispatcher::Decide(MonotonicTime now) {
  Evacuate(now);
  // Steps that found no room in this round; larger ones of the same kind need
  // no look.
  struct Refused {
    const StepSpec* spec;
    const ServiceName* service;
  };
  std::vector<Refused> refused;
  for (const Candidate& candidate : Candidates(now)) {
    const Job& job = *candidate.entry->job;
    const StepSpec& spec =
        job.steps()[static_cast<std::size_t>(candidate.step)].spec;
    const ServiceName& service = job.policy().service;
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
    if (spec.long_running && !MayTakeRoom(candidate, now)) continue;
    const bool placed =
        spec.gang ? PlaceGang(candidate, now) : PlaceStep(candidate, now);
    // A gang needs room for all its members at once.
    if (!placed && !spec.gang) refused.push_back({&spec, &service});
  }
}

Placement Dispatcher::Choose(const Entry& entry, int step,
                             MonotonicTime now) const {
  const auto tasks_of_step = [&](WorkerSlot slot) {
    return TasksOfStep(entry, step, slot);
  };
  const StepSpec& spec =
      entry.job->steps()[static_cast<std::size_t>(step)].spec;
  return ChooseWorker(book_, sharing_, entry.job->policy().service, spec,
                      tasks_of_step, now);
}

void Dispatcher::LogWait(const Candidate& candidate, NoPlace why) {
  const Job& job = *candidate.entry->job;
  Step& step = candidate.entry->job->StepAt({candidate.step, 0});
  if (std::exchange(step.wait_logged, true)) return;
  const auto waiting = std::find_if(
      step.tasks.begin(), step.tasks.end(),
      [](const Task& task) { return task.phase == TaskPhase::kWaiting; });
  const auto index = static_cast<int>(waiting - step.tasks.begin());
  hooks_.log(job.NameOf({candidate.step, index}), VmName(), "waits",
             why == NoPlace::kNoRoom ? "no_room" : "no_usable_worker");
}

double Dispatcher::FreeShare(const ServiceName& service,
                             MonotonicTime now) const {
  Millicores capacity;
  Millicores used;
  for (const WorkerRoom& room : book_.rooms()) {
    if (!room.Accepts(now) || room.info.service != service) continue;
    capacity += room.info.capacity.cpu;
    used += room.cpu_used;
  }
  if (capacity.value() == 0) return 0;
  return 1 - static_cast<double>(used.value()) /
                 static_cast<double>(capacity.value());
}

bool Dispatcher::MayTakeRoom(const Candidate& candidate, MonotonicTime now) {
  Entry& entry = *candidate.entry;
  Step& step = entry.job->steps()[static_cast<std::size_t>(candidate.step)];
  if (Choose(entry, candidate.step, now).worker == kNoWorker) {
    if (now - step.room_seen > kRoomGap) step.room_since = MonotonicTime(0);
    return true;  // Placing it finds the same and counts as refused.
  }
  step.room_seen = now;
  if (step.room_since.count() == 0) step.room_since = now;
  return now - step.room_since >= kSettleTime ||
         FreeShare(entry.job->policy().service, now) > kScarceShare;
}

bool Dispatcher::PlaceStep(const Candidate& candidate, MonotonicTime now) {
  Entry& entry = *candidate.entry;
  const auto& tasks =
      entry.job->steps()[static_cast<std::size_t>(candidate.step)].tasks;
  for (std::size_t t = 0; t < tasks.size(); ++t) {
    if (tasks[t].phase != TaskPhase::kWaiting) continue;
    const Placement place = Choose(entry, candidate.step, now);
    if (place.worker == kNoWorker) {
      LogWait(candidate, place.why);
      return false;
    }
    Place(entry, {candidate.step, static_cast<int>(t)}, place.worker,
          NextRun(tasks[t]), now);
  }
  return true;
}

bool Dispatcher::PlaceGang(const Candidate& candidate, MonotonicTime now) {
  Entry& entry = *candidate.entry;
  Step& step = entry.job->steps()[static_cast<std::size_t>(candidate.step)];
  if (step.waiting < static_cast<int>(step.tasks.size())) {
    // The rest of an earlier run; it starts again when all of it has ended.
    StopGang(entry, candidate.step, now);
    return true;
  }
  std::vector<WorkerSlot> slots;
  std::uint32_t run = 0;
  for (Task& task : step.tasks) {
    const Placement place = Choose(entry, candidate.step, now);
    const WorkerSlot slot = place.worker;
    if (slot == kNoWorker) {
      LogWait(candidate, place.why);
      break;
    }
    // Counted at once, so that the next member sees what is left.
    book_.at(slot).Add(step.spec);
    task.worker = slot;
    task.phase = TaskPhase::kStarting;
    slots.push_back(slot);
    run = std::max(run, NextRun(task));
  }
  for (std::size_t t = 0; t < slots.size(); ++t) {
    book_.at(slots[t]).Remove(step.spec);
    step.tasks[t].worker = kNoWorker;
    step.tasks[t].phase = TaskPhase::kWaiting;
  }
  if (slots.size() < step.tasks.size()) return false;
  for (std::size_t t = 0; t < slots.size(); ++t) {
    Place(entry, {candidate.step, static_cast<int>(t)}, slots[t], run, now);
  }
  return true;
}

std::uint32_t Dispatcher::NextRun(const Task& task) const {
  return std::max(task.run + 1, first_run_);
}

void Dispatcher::Place(Entry& entry, const TaskIndex& index, WorkerSlot slot,
                       std::uint32_t run, MonotonicTime now) {
  Job& job = *entry.job;
  const Located at{&entry, index, job.NameOf(index), job.Find(index)};
  WorkerRoom& room = book_.at(slot);
  PlacedRun placed;
  placed.run = run;
  placed.start_number = ++room.starts_ordered;
  Occupy(at, slot, placed);
  if (job.state() == SubmissionState::kQueued) {
    hooks_.first_start(now - job.accepted_at());
  }
  job.SetPhase(index, TaskPhase::kStarting, now);
  ++counters_.started;
  at.step().wait_logged = false;
  hooks_.log(at.name, room.info.vm, "placed", "");
  hooks_.send(StartRun{room.info.vm, placed.start_number, ToString(at.name),
                       Attempt(run), job.submission().spec, at.task->checkpoint,
                       TraitsOf(at.spec())});
}

int Dispatcher::TasksOfStep(const Entry& entry, int step, WorkerSlot slot) {
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
