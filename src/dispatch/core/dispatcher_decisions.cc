// Choice of the tasks that start and of their workers.
#include <algorithm>
#include <utility>

#include "dispatch/core/dispatcher.hpp"

namespace mangospread::dispatch {
namespace {

/// Below this free share of the processors, capacity is scarce: short tasks
/// compete for it.
constexpr double kScarceCapacityShare = 0.15;
/// A long-running task may take scarce capacity once it has been unused for
/// this long. While there is free capacity, the task has to start within three
/// seconds.
constexpr MonotonicTime kMinUnusedTime = std::chrono::milliseconds(1'500);
/// Short tasks may use all capacity for up to this long without resetting the
/// time for which it counts as unused.
constexpr MonotonicTime kMaxFreeGap = std::chrono::milliseconds(400);

/// A suspected task waits this long for a worker that has started nothing for a
/// while; then it takes the one whose last start was the longest ago.
constexpr MonotonicTime kMaxTrialWait = std::chrono::seconds(1);

/// A best-effort submission of this age may start tasks at a reduced speed.
/// Before that, headroom for full speed may still let it meet its objective.
constexpr MonotonicTime kSlowStartAge = std::chrono::seconds(10);
/// Time for which headroom for a task's full speed may become free; about a
/// typical run time.
constexpr MonotonicTime kMaxHeadroomWait = std::chrono::seconds(2);
/// Lowest speed, in per cent, at which a task of a starved submission starts.
constexpr int kMinStarvedPercent = 10;

/// Bounds the processor time for capacity holds in a round: no further step
/// gets any once this many workers have been considered for the steps before
/// it.
constexpr std::size_t kMaxWorkersConsidered = 2'000;

PendingReason ReasonOf(const Placement& place) noexcept {
  return place.reason == PlacementFailure::kNoCapacity
             ? PendingReason::kNoCapacity
             : PendingReason::kNoUsableWorker;
}

}  // namespace

struct Dispatcher::Candidate {
  Urgency urgency;
  Entry* entry = nullptr;
  int step = 0;
  /// Stands only for the tasks for which RestartIsDue.
  bool restarts = false;
};

const StepSpec& Dispatcher::SpecOf(const Candidate& candidate) {
  return candidate.entry->job->StepAt({candidate.step, 0}).spec;
}

std::vector<Dispatcher::Candidate> Dispatcher::Candidates(MonotonicTime now) {
  std::vector<Candidate> candidates;
  bool backlogged = false;
  for (Entry* entry : active_) {
    const Job& job = *entry->job;
    if (IsFinal(job.state()) || (entry->restored && !resumed_)) continue;
    for (std::size_t s = 0; s < job.steps().size(); ++s) {
      Step& step = entry->job->StepAt({static_cast<int>(s), 0});
      if (!step.ready || step.pending == 0 || now < step.due) continue;
      if (step.available_since.count() == 0) step.available_since = now;
      candidates.push_back({{}, entry, static_cast<int>(s)});
      const bool restarts = std::any_of(
          step.tasks.begin(), step.tasks.end(), [&](const Task& task) {
            return RestartIsDue(step.spec, task, MayHaveRun(*entry), now);
          });
      if (restarts) {
        candidates.push_back({{}, entry, static_cast<int>(s), true});
      }
      backlogged = backlogged ||
                   (!step.spec.long_running && now > job.ObjectiveOf(step));
    }
  }
  for (Candidate& candidate : candidates) {
    const Job& job = *candidate.entry->job;
    candidate.urgency =
        UrgencyOf(job, job.steps()[static_cast<std::size_t>(candidate.step)],
                  now, backlogged);
    candidate.urgency.can_wait = !candidate.restarts;
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.urgency < b.urgency;
                   });
  return candidates;
}

void Dispatcher::Decide(MonotonicTime now) {
  for (Entry* entry : active_) entry->job->AddDueOccurrences(now);
  DrainWorkers(now);
  MoveEvacuated(now);
  UpdateIdle(now);
  ResumePaused(now);
  // Steps that could not be placed in this round. Larger steps of the same kind
  // cannot be placed either and are skipped. A best-effort step may only lack
  // headroom, which depends on its image.
  struct Unplaced {
    const StepSpec* spec;
    const ServiceName* service;
    /// True if it could not be placed at any speed; otherwise there may be
    /// headroom for other images, or a larger task may start slowly.
    bool at_any_speed;
  };
  std::vector<Unplaced> unplaced;
  const std::vector<Candidate> candidates = Candidates(now);
  // Before other starts, so that the workers which they get start nothing else.
  for (const Candidate& candidate : candidates) {
    if (!SpecOf(candidate).gang) PlaceSuspected(candidate, now);
  }
  // Candidates that restart lost tasks come first; these do not fit anywhere.
  std::vector<const Candidate*> waiting_restarts;
  CapacityHolds holds;
  bool held = false;
  for (const Candidate& candidate : candidates) {
    // After all restarts, so that capacity held for one lost task does not keep
    // out another one that fits there now.
    if (!candidate.restarts && !std::exchange(held, true)) {
      for (const Candidate* waiting : waiting_restarts) {
        HoldForRestarts(*waiting, now, holds);
      }
    }
    const Job& job = *candidate.entry->job;
    const Step& step = job.steps()[static_cast<std::size_t>(candidate.step)];
    const StepSpec& spec = step.spec;
    const ServiceName& service = job.policy().service;
    const bool cannot_fit = std::any_of(
        unplaced.begin(), unplaced.end(), [&](const Unplaced& smaller) {
          return *smaller.service == service &&
                 smaller.spec->best_effort == spec.best_effort &&
                 (smaller.at_any_speed ||
                  (smaller.spec->image == spec.image &&
                   !FindSlowStart(*candidate.entry, step, now))) &&
                 smaller.spec->cpu <= spec.cpu &&
                 smaller.spec->memory <= spec.memory &&
                 smaller.spec->accelerators <= spec.accelerators &&
                 smaller.spec->required_label.empty() &&
                 smaller.spec->max_per_worker == 0;
        });
    if (cannot_fit) {
      if (candidate.restarts) waiting_restarts.push_back(&candidate);
      continue;
    }
    if (spec.long_running && !candidate.restarts &&
        !MayTakeCapacity(candidate, now)) {
      continue;
    }
    const std::uint64_t started_before = counters_.started;
    const bool placed =
        spec.gang ? PlaceGang(candidate, now) : PlaceStep(candidate, now);
    if (counters_.started > started_before) candidate.entry->starved = false;
    // A gang needs capacity for all its members at once.
    if (!placed && !spec.gang) {
      unplaced.push_back(
          {&spec, &service,
           !spec.best_effort || FindSlowStart(*candidate.entry, step, now)});
    }
    if (!placed && candidate.restarts) waiting_restarts.push_back(&candidate);
  }
  for (const auto& [slot, spec] : holds.tasks) registry_.at(slot).Remove(*spec);
}

void Dispatcher::HoldForRestarts(const Candidate& candidate, MonotonicTime now,
                                 CapacityHolds& holds) {
  const StepSpec& spec = SpecOf(candidate);
  if (spec.gang || spec.best_effort) return;
  if (holds.workers_considered >= kMaxWorkersConsidered) return;
  const Entry& entry = *candidate.entry;
  const auto& tasks = entry.job->StepAt({candidate.step, 0}).tasks;
  // Where runs are unknown, most tasks without a run have never had one.
  const auto count =
      std::count_if(tasks.begin(), tasks.end(), [&](const Task& task) {
        return task.run > 0 && !IsSuspected(task.losses) &&
               RestartIsDue(spec, task, false, now);
      });
  if (count == 0) return;
  StepPlacer placer = MakePlacer(entry, candidate.step, now);
  holds.workers_considered += placer.sound_workers();
  for (auto held = count; held > 0; --held) {
    const WorkerSlot slot = placer.FreeSoonest();
    if (slot == kNoWorker) return;
    registry_.at(slot).Add(spec);
    holds.tasks.emplace_back(slot, &spec);
  }
}

bool Dispatcher::MayStartSlowly(const Entry& entry, const Step& step,
                                const Task& task, MonotonicTime now) {
  if (!step.spec.best_effort || task.phase != TaskPhase::kPending) return false;
  if (entry.starved) return true;
  const bool none_placed = step.pending == step.unfinished;
  return none_placed && now - entry.job->accepted_at() >= kSlowStartAge &&
         now - std::max(task.since, step.available_since) >= kMaxHeadroomWait;
}

std::optional<std::size_t> Dispatcher::FindSlowStart(const Entry& entry,
                                                     const Step& step,
                                                     MonotonicTime now) {
  const auto task = std::find_if(
      step.tasks.begin(), step.tasks.end(), [&](const Task& candidate) {
        return (step.spec.gang || !IsSuspected(candidate.losses)) &&
               MayStartSlowly(entry, step, candidate, now);
      });
  if (task == step.tasks.end()) return std::nullopt;
  return static_cast<std::size_t>(task - step.tasks.begin());
}

StepPlacer Dispatcher::MakePlacer(const Entry& entry, int step,
                                  MonotonicTime now, PlacementGoal goal) const {
  const StepSpec& spec =
      entry.job->steps()[static_cast<std::size_t>(step)].spec;
  return {registry_,
          interference_,
          entry.job->policy().service,
          spec,
          [&entry, step](WorkerSlot slot) {
            return TasksOfStep(entry, step, slot);
          },
          now,
          goal};
}

void Dispatcher::LogPending(const Candidate& candidate, PendingReason reason) {
  const Job& job = *candidate.entry->job;
  Step& step = candidate.entry->job->StepAt({candidate.step, 0});
  if (std::exchange(step.logged_reason, reason) == reason) return;
  const auto pending = std::find_if(
      step.tasks.begin(), step.tasks.end(),
      [](const Task& task) { return task.phase == TaskPhase::kPending; });
  const auto index = static_cast<int>(pending - step.tasks.begin());
  hooks_.log(job.NameOf({candidate.step, index}), VmName(), "waits",
             WaitReasonName(WaitReasonOf(reason)));
}

double Dispatcher::FreeShare(const ServiceName& service,
                             MonotonicTime now) const {
  Millicores capacity;
  Millicores used;
  for (const WorkerSlot slot : registry_.SlotsOf(service)) {
    const WorkerState& worker =
        registry_.workers()[static_cast<std::size_t>(slot)];
    if (!worker.Accepts(now)) continue;
    capacity += worker.info.capacity.cpu;
    used += worker.cpu_used;
  }
  if (capacity.value() == 0) return 0;
  return 1 - static_cast<double>(used.value()) /
                 static_cast<double>(capacity.value());
}

bool Dispatcher::MayTakeCapacity(const Candidate& candidate,
                                 MonotonicTime now) {
  Entry& entry = *candidate.entry;
  Step& step = entry.job->steps()[static_cast<std::size_t>(candidate.step)];
  if (MakePlacer(entry, candidate.step, now).Next().worker == kNoWorker) {
    if (now - step.free_seen > kMaxFreeGap) step.free_since = MonotonicTime(0);
    return true;  // PlaceStep or PlaceGang then fails too and logs the reason.
  }
  step.free_seen = now;
  if (step.free_since.count() == 0) step.free_since = now;
  if (now - step.free_since >= kMinUnusedTime ||
      FreeShare(entry.job->policy().service, now) > kScarceCapacityShare) {
    return true;
  }
  LogPending(candidate, PendingReason::kScarceCapacity);
  return false;
}

void Dispatcher::PlaceSuspected(const Candidate& candidate, MonotonicTime now) {
  Entry& entry = *candidate.entry;
  const auto& tasks =
      entry.job->steps()[static_cast<std::size_t>(candidate.step)].tasks;
  for (std::size_t t = 0; t < tasks.size(); ++t) {
    const Task& task = tasks[t];
    // A new leader must know of the loss before the task starts again.
    if (task.phase != TaskPhase::kPending || !IsSuspected(task.losses) ||
        entry.saved_generation < task.loss_generation) {
      continue;
    }
    // A worker on trial accepts no start, so the placer cannot be reused.
    const PlacementGoal goal =
        MayStartSlowly(entry, entry.job->StepAt({candidate.step, 0}), task, now)
            ? PlacementGoal::kHighestSpeed
            : PlacementGoal::kLongestQuiet;
    const Placement place = MakePlacer(entry, candidate.step, now, goal).Next();
    if (place.worker == kNoWorker) {
      return LogPending(candidate, ReasonOf(place));
    }
    const MonotonicTime quiet = now - registry_.at(place.worker).last_start;
    if (quiet < kStartTrial && now - task.since < kMaxTrialWait) return;
    Place(entry, {candidate.step, static_cast<int>(t)}, place, NextRun(task),
          now);
  }
}

bool Dispatcher::PlaceStep(const Candidate& candidate, MonotonicTime now) {
  Entry& entry = *candidate.entry;
  const Step& step =
      entry.job->steps()[static_cast<std::size_t>(candidate.step)];
  const auto& tasks = step.tasks;
  StepPlacer placer = MakePlacer(entry, candidate.step, now);
  for (std::size_t t = 0; t < tasks.size(); ++t) {
    if (tasks[t].phase != TaskPhase::kPending || IsSuspected(tasks[t].losses)) {
      continue;
    }
    if (candidate.restarts &&
        !RestartIsDue(SpecOf(candidate), tasks[t], MayHaveRun(entry), now)) {
      continue;
    }
    const Placement place = placer.Next();
    if (place.worker == kNoWorker) {
      LogPending(candidate, ReasonOf(place));
      StartSlowly(candidate, now);
      return false;
    }
    Place(entry, {candidate.step, static_cast<int>(t)}, place,
          NextRun(tasks[t]), now);
  }
  return true;
}

void Dispatcher::StartSlowly(const Candidate& candidate, MonotonicTime now) {
  Entry& entry = *candidate.entry;
  const Step& step =
      entry.job->steps()[static_cast<std::size_t>(candidate.step)];
  const auto task = FindSlowStart(entry, step, now);
  if (!task) return;
  const Placement place =
      MakePlacer(entry, candidate.step, now, PlacementGoal::kHighestSpeed)
          .Next();
  if (place.worker == kNoWorker) return;
  Place(entry, {candidate.step, static_cast<int>(*task)}, place,
        NextRun(step.tasks[*task]), now);
}

bool Dispatcher::PlaceGang(const Candidate& candidate, MonotonicTime now) {
  Entry& entry = *candidate.entry;
  Step& step = entry.job->steps()[static_cast<std::size_t>(candidate.step)];
  if (step.pending < static_cast<int>(step.tasks.size())) {
    // Members of an earlier run remain; the gang restarts when all have ended.
    StopGang(entry, candidate.step, now);
    return true;
  }
  std::vector<Placement> places;
  std::uint32_t run = 0;
  const bool suspected =
      std::any_of(step.tasks.begin(), step.tasks.end(),
                  [](const Task& task) { return IsSuspected(task.losses); });
  PlacementGoal goal =
      suspected ? PlacementGoal::kLongestQuiet : PlacementGoal::kLowestCost;
  if (MayStartSlowly(entry, step, step.tasks.front(), now)) {
    goal = PlacementGoal::kHighestSpeed;
  }
  StepPlacer placer = MakePlacer(entry, candidate.step, now, goal);
  for (Task& task : step.tasks) {
    const Placement place = placer.Next();
    const WorkerSlot slot = place.worker;
    if (slot == kNoWorker) {
      LogPending(candidate, ReasonOf(place));
      break;
    }
    // Reserved at once, so that the next member sees the remaining capacity.
    registry_.at(slot).Add(step.spec);
    task.worker = slot;
    task.phase = TaskPhase::kStarting;
    places.push_back(place);
    run = std::max(run, NextRun(task));
  }
  for (std::size_t t = 0; t < places.size(); ++t) {
    registry_.at(places[t].worker).Remove(step.spec);
    step.tasks[t].worker = kNoWorker;
    step.tasks[t].phase = TaskPhase::kPending;
  }
  if (places.size() < step.tasks.size()) return false;
  for (std::size_t t = 0; t < places.size(); ++t) {
    Place(entry, {candidate.step, static_cast<int>(t)}, places[t], run, now);
  }
  return true;
}

std::uint32_t Dispatcher::NextRun(const Task& task) const {
  return std::max(task.run + 1, first_run_);
}

void Dispatcher::Place(Entry& entry, const TaskIndex& index,
                       const Placement& place, std::uint32_t run,
                       MonotonicTime now) {
  Job& job = *entry.job;
  const TaskRef ref{&entry, index, job.NameOf(index), job.Find(index)};
  WorkerState& worker = registry_.at(place.worker);
  PlacedRun placed;
  placed.run = run;
  placed.percent = entry.starved ? std::max(place.percent, kMinStarvedPercent)
                                 : place.percent;
  placed.started_slowly = placed.percent < 100;
  if (placed.started_slowly) placed.throttled_since = now;
  placed.start_number = ++worker.starts_issued;
  placed.started_at = now;
  worker.last_start = now;
  if (ref.task->run == 0 && !MayHaveRun(entry)) {
    ref.task->without_run_since = now;
  }
  if (IsSuspected(ref.task->losses)) worker.trial_until = now + kStartTrial;
  ReserveCapacity(ref, place.worker, placed);
  if (job.state() == SubmissionState::kQueued) {
    hooks_.first_start(now - job.accepted_at());
  }
  job.SetPhase(index, TaskPhase::kStarting, now);
  ++counters_.started;
  ref.step().logged_reason = PendingReason::kNone;
  hooks_.log(ref.name, worker.info.vm, "placed", "");
  hooks_.send(StartRun{worker.info.vm, placed.start_number, ToString(ref.name),
                       Attempt(run), job.submission().spec,
                       ref.task->checkpoint, TraitsOf(ref.spec()),
                       AttachmentNumber(), worker.incarnation});
  if (placed.percent == 100) return;
  hooks_.log(ref.name, worker.info.vm, "paced", std::to_string(placed.percent));
  hooks_.send(ThrottleRun{worker.info.vm, ToString(ref.name), Attempt(run),
                          placed.percent});
}

int Dispatcher::TasksOfStep(const Entry& entry, int step, WorkerSlot slot) {
  const auto& tasks = entry.job->steps()[static_cast<std::size_t>(step)].tasks;
  return static_cast<int>(
      std::count_if(tasks.begin(), tasks.end(), [slot](const Task& task) {
        return task.placed() && task.worker == slot;
      }));
}

RunTraits Dispatcher::TraitsOf(const StepSpec& spec) {
  return {spec.long_running, spec.best_effort, spec.cpu, spec.latency_target,
          spec.image};
}

}  // namespace mangospread::dispatch
