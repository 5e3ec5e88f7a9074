// What workers report and what follows from it.
#include <algorithm>
#include <utility>

#include "base/overloaded.hpp"
#include "dispatch/core/dispatcher.hpp"

namespace mangospread::dispatch {
namespace {

constexpr double kMillicoresPerCore = 1'000;
/// At this speed or less a filling task is better off elsewhere.
constexpr int kPausedPercent = 30;
constexpr MonotonicTime kMaxPause = std::chrono::milliseconds(1'200);
/// From a measurement until a speed that it caused shows in the next one.
constexpr MonotonicTime kGuardDelay = std::chrono::milliseconds(900);
/// Something that is not on the books takes the room; it is not tried again
/// at once.
constexpr MonotonicTime kNoRoomPause = std::chrono::milliseconds(300);

}  // namespace

void Dispatcher::OnWorker(const WorkerInfo& info) { book_.Upsert(info); }

void Dispatcher::OnEvent(const AgentEvent& event, MonotonicTime now) {
  const WorkerSlot slot = book_.Find(event.vm);
  if (slot == kNoWorker) return;
  std::visit(
      base::Overloaded{
          [&](const Attached& attached) { OnAttached(slot, attached, now); },
          [&](const RunEnded& ended) {
            OnEnded(slot, ended.born, ended.end, now);
          },
          [&](const RunNotStarted& refused) {
            OnNotStarted(slot, refused, now);
          },
          [&](const RunStarted& started) { OnStarted(slot, started, now); },
          [&](const RunStalled& stalled) { OnStalled(slot, stalled, now); },
          [&](const WorkerUnreachable& /*lost*/) {
            book_.at(slot).attached = false;
          },
          [&](const WorkerSuperseded& /*superseded*/) {
            book_.at(slot).attached = false;
          },
          [&](const WorkerEnded& /*ended*/) {
            OnWorkerOver(event.vm, "worker_ended", now);
          },
          [&](const WorkerLoad& load) { OnLoad(slot, load, now); }},
      event.what);
}

void Dispatcher::OnAttached(WorkerSlot slot, const Attached& attached,
                            MonotonicTime now) {
  WorkerRoom& room = book_.at(slot);
  room.attached = true;
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
    // A gang's other members may have changed the books meanwhile.
    if (room.runs.contains(name)) Requeue(*Locate(name), "not_listed", now);
  }
}

void Dispatcher::Adopt(WorkerSlot slot, const RunningRun& running,
                       MonotonicTime now) {
  const VmName vm = book_.at(slot).info.vm;
  const StopRun stop{vm, running.task, running.run};
  const auto at = Locate(running.task);
  if (!at) return hooks_.send(stop);
  Task& task = *at->task;
  if (task.placed() && task.worker != slot) {
    const auto& runs = book_.at(task.worker).runs;
    const auto placed = runs.find(at->name);
    // A worker's own list goes before an agent's memory of another.
    if (placed != runs.end() && placed->second.remembered) {
      Vacate(*at);
      at->job().SetPhase(at->index, TaskPhase::kWaiting, now);
    }
  }
  const bool ours =
      task.placed() && task.worker == slot && task.run == running.run.value();
  const bool wanted =
      task.phase == TaskPhase::kWaiting && !IsFinal(at->entry->shown);
  if (!ours && !wanted) return hooks_.send(stop);
  if (!ours) {
    PlacedRun placed;
    placed.run = static_cast<std::uint32_t>(running.run.value());
    Occupy(*at, slot, placed);
    at->job().SetPhase(at->index, TaskPhase::kStarting, now);
  }
  hooks_.send(DescribeRun{vm, running.task, running.run, TraitsOf(at->spec())});
  if (task.phase == TaskPhase::kStopping) return hooks_.send(stop);
  at->job().SetPhase(at->index, TaskPhase::kRunning, now);
}

void Dispatcher::Assume(const VmName& vm,
                        const std::vector<RememberedRun>& runs,
                        MonotonicTime now) {
  const WorkerSlot slot = book_.Find(vm);
  if (slot == kNoWorker) return;
  for (const RememberedRun& remembered : runs) {
    const auto at = Locate(remembered.task);
    if (!at || at->task->phase != TaskPhase::kWaiting ||
        IsFinal(at->job().state())) {
      continue;
    }
    PlacedRun placed;
    placed.run = static_cast<std::uint32_t>(remembered.run.value());
    placed.remembered = true;
    Occupy(*at, slot, placed);
    at->job().SetPhase(at->index, TaskPhase::kStarting, now);
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
  const auto at = Locate(end.task);
  if (at) ApplyEnd(*at, end, vm, now);
  // Also when the end itself changed nothing: whoever takes over knows only
  // what is stored, so it must find the state that made the end irrelevant.
  if (at && at->entry->generation > at->entry->saved_generation) {
    ledger_.SettleWith(at->name.submission, at->entry->generation, vm, born,
                       end.number);
    return;
  }
  ledger_.Settle(vm, born, end.number);
  Acknowledge(vm, born);
}

void Dispatcher::ApplyEnd(const Located& at, const EndedRun& end,
                          const VmName& vm, MonotonicTime now) {
  Job& job = at.job();
  Task& task = *at.task;
  const bool current = task.placed() && task.run == end.run.value() &&
                       book_.at(task.worker).info.vm == vm;
  if (current) {
    Vacate(at);
    job.SetPhase(at.index, TaskPhase::kWaiting, now);
  }
  if (!end.checkpoint.empty()) {
    task.checkpoint = end.checkpoint;
    if (at.spec().gang) {
      // Any member's checkpoint is valid for all, which must carry the same.
      for (Task& member : at.step().tasks) member.checkpoint = end.checkpoint;
    }
  }
  if (end.how == RunEnd::kDone) health_.OnSuccess(vm, now);
  if (end.how == RunEnd::kFailed) Blame(vm, at.name.submission, now);
  if (IsFinal(job.state()) || task.phase == TaskPhase::kDone) return;
  hooks_.log(at.name, vm, "ended", RunEndName(end.how));
  if (end.how == RunEnd::kDone && !at.spec().long_running) {
    return ApplyDone(at, current, now);
  }
  ++counters_.requeued;
  if (at.spec().gang && current) StopGang(*at.entry, at.index.step, now);
  if (at.spec().long_running) return;
  if (end.how == RunEnd::kFailed) {
    ApplyFailure(at, end);
  } else if (!end.checkpoint.empty()) {
    MarkChanged(*at.entry);
  }
}

void Dispatcher::ApplyDone(const Located& at, bool current, MonotonicTime now) {
  Job& job = at.job();
  ++counters_.done;
  bool complete = false;
  const std::size_t count = at.spec().gang ? at.step().tasks.size() : 1;
  for (std::size_t t = 0; t < count; ++t) {
    TaskIndex index = at.index;
    // The members of a gang end together.
    if (at.spec().gang) index.index = static_cast<int>(t);
    const Located member{at.entry, index, job.NameOf(index), job.Find(index)};
    if (member.task->phase == TaskPhase::kDone) continue;
    if (member.task->placed()) {
      // Another run may have started after this worker was given up.
      const bool superseded = index == at.index && !current;
      if (superseded) StopTask(member, now);
      Vacate(member);
    }
    complete = job.Finish(index, now);
  }
  if (complete) job.SetState(SubmissionState::kComplete);
  MarkChanged(*at.entry);
}

void Dispatcher::ApplyFailure(const Located& at, const EndedRun& end) {
  ++counters_.failed;
  Task& task = *at.task;
  task.run = std::max(task.run, static_cast<std::uint32_t>(end.run.value()));
  // A gang fails as one.
  Task& counted = at.spec().gang ? at.step().tasks.front() : task;
  auto& failed = counted.failed_runs;
  const auto run = static_cast<std::uint32_t>(end.run.value());
  // A worker lists an end again until it is acknowledged, also to the next
  // leader, and each member of a gang that fails lists one.
  if (std::find(failed.begin(), failed.end(), run) != failed.end()) return;
  failed.push_back(run);
  if (static_cast<int>(failed.size()) >= at.job().policy().attempts) {
    at.job().SetState(SubmissionState::kFailed);
  }
  MarkChanged(*at.entry);
}

void Dispatcher::OnNotStarted(WorkerSlot slot, const RunNotStarted& event,
                              MonotonicTime now) {
  const auto at = LocateRun(slot, event.task, event.run);
  if (!at) return;
  ++counters_.refused;
  WorkerRoom& room = book_.at(slot);
  if (event.why == OrderOutcome::kUnhealthy) {
    Blame(room.info.vm, at->name.submission, now);
  }
  if (event.why == OrderOutcome::kNoRoom) {
    room.excluded_until = std::max(room.excluded_until, now + kNoRoomPause);
  }
  Requeue(*at, OutcomeName(event.why), now);
}

void Dispatcher::OnStarted(WorkerSlot slot, const RunStarted& event,
                           MonotonicTime now) {
  const auto at = LocateRun(slot, event.task, event.run);
  if (!at || at->task->phase != TaskPhase::kStarting) return;
  at->job().SetPhase(at->index, TaskPhase::kRunning, now);
}

void Dispatcher::OnStalled(WorkerSlot slot, const RunStalled& event,
                           MonotonicTime now) {
  const auto at = LocateRun(slot, event.task, event.run);
  if (!at || at->task->phase != TaskPhase::kRunning) return;
  ++counters_.stalled;
  const VmName vm = book_.at(slot).info.vm;
  hooks_.log(at->name, vm, "stalled", "no_progress");
  Blame(vm, at->name.submission, now);
  StopTask(*at, now);
}

void Dispatcher::OnLoad(WorkerSlot slot, const WorkerLoad& load,
                        MonotonicTime now) {
  WorkerRoom& room = book_.at(slot);
  std::vector<ServingSample> serving;
  std::vector<FillSample> fills;
  std::vector<FillUse> uses;
  std::vector<PlacedRun*> serving_runs;
  for (const RunSample& sample : load.runs) {
    const auto name = ParseTaskName(sample.task);
    if (!name.ok()) continue;
    const auto it = room.runs.find(name.value());
    if (it == room.runs.end() || it->second.run != sample.run.value()) continue;
    const StepSpec& spec = *it->second.spec;
    if (!spec.fills) {
      // A task that is not at work yet has no tail of its own.
      if (sample.percent < 100) continue;
      const bool over =
          sample.measured > static_cast<double>(spec.latency_target.count());
      MonotonicTime& since = it->second.over_since;
      if (!over) since = MonotonicTime(0);
      if (over && since.count() == 0) since = now;
      serving.push_back({spec.image, sample.measured, spec.latency_target,
                         over ? now - since : MonotonicTime(0), 0});
      serving_runs.push_back(&it->second);
      continue;
    }
    const double used = sample.measured / kMillicoresPerCore;
    fills.push_back({sample.task, spec.image,
                     static_cast<double>(spec.cpu.value()) / kMillicoresPerCore,
                     used, it->second.percent});
    uses.push_back({spec.image, used});
  }
  for (std::size_t i = 0; i < serving.size(); ++i) {
    const SharingSample sample{now, serving[i].tail_ms, serving[i].target,
                               uses};
    PlacedRun& run = *serving_runs[i];
    sharing_.Learn(serving[i].image, run.last_sample, sample);
    run.load.Observe(now, sharing_.OwnLevel(serving[i].image, sample));
    run.last_sample = sample;
    serving[i].rise = run.load.RiseWithin(kGuardDelay);
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
  const WorkerRoom& room = book_.at(slot);
  for (const auto& [name, placed] : room.runs) {
    if (placed.percent > kPausedPercent || !placed.spec->checkpoints ||
        now - placed.slowed_since <= kMaxPause) {
      continue;
    }
    const auto at = Locate(name);
    if (at->task->phase != TaskPhase::kRunning) continue;
    hooks_.log(name, room.info.vm, "moved", "paused_too_long");
    StopTask(*at, now);
  }
}

void Dispatcher::OnWorkerOver(const VmName& vm, std::string_view why,
                              MonotonicTime now) {
  const WorkerSlot slot = book_.Find(vm);
  if (slot == kNoWorker) return;
  while (!book_.at(slot).runs.empty()) {
    Requeue(*Locate(TaskName(book_.at(slot).runs.begin()->first)), why, now);
  }
  health_.Forget(vm);
  ledger_.Forget(vm);
  book_.Erase(slot);
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

void Dispatcher::Acknowledge(const VmName& vm, WorkerBirth born) {
  hooks_.send(AcknowledgeEnds{vm, born, ledger_.Settled(vm)});
}

}  // namespace mangospread::dispatch
