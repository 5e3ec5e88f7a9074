// Which tasks wait, and why.
#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "dispatch/core/dispatcher.hpp"

namespace mangospread::dispatch {
namespace {

/// Bounds the count of tasks of a step that fit on one worker.
constexpr int kMaxFits = 1'000;

/// What the number of tasks of a step that fit depends on, apart from the
/// service.
auto SizeOf(const StepSpec& spec) {
  return std::tuple(spec.cpu.value(), spec.memory.value(),
                    spec.accelerators.value(), spec.best_effort,
                    spec.max_per_worker, spec.required_label,
                    spec.gang ? spec.count : 1);
}

}  // namespace

MonotonicTime Dispatcher::ReadySince(const Job& job, const Step& step) {
  MonotonicTime since = std::max(job.accepted_at(), step.due);
  for (const int earlier : step.spec.after) {
    const Step& done = job.steps()[static_cast<std::size_t>(earlier)];
    for (const Task& task : done.tasks) since = std::max(since, task.since);
  }
  return since;
}

std::optional<WaitReason> Dispatcher::ReasonOfPlaced(
    const Entry& entry, const TaskIndex& index) const {
  const Step& step = entry.job->steps()[static_cast<std::size_t>(index.step)];
  const Task& task = step.tasks[static_cast<std::size_t>(index.index)];
  const WorkerState& worker =
      registry_.workers()[static_cast<std::size_t>(task.worker)];
  if (task.phase == TaskPhase::kStopping) return WaitReason::kStopping;
  if (task.phase == TaskPhase::kRunning) {
    if (worker.silent_since.count() > 0) return WaitReason::kWorkerSilent;
    if (!step.spec.best_effort) return std::nullopt;
  }
  const auto placed = worker.runs.find(entry.job->NameOf(index));
  if (placed == worker.runs.end()) return std::nullopt;
  if (task.phase == TaskPhase::kStarting) {
    return placed->second.unconfirmed ? WaitReason::kRunUnconfirmed
                                      : WaitReason::kStartUnconfirmed;
  }
  if (placed->second.percent > 0) return std::nullopt;
  return WaitReason::kPaused;
}

WaitReason Dispatcher::ReasonOfPending(const Entry& entry, const Step& step,
                                       const Task& task,
                                       MonotonicTime now) const {
  if (!step.ready) return WaitReason::kEarlierStep;
  if (now < step.due) return WaitReason::kDueLater;
  if (entry.restored && !resumed_) return WaitReason::kTakeover;
  if (step.spec.gang) {
    if (step.pending < static_cast<int>(step.tasks.size())) {
      return WaitReason::kGang;
    }
  } else if (IsSuspected(task.losses) &&
             entry.saved_generation < task.loss_generation) {
    return WaitReason::kUnstoredLoss;
  }
  return WaitReasonOf(step.logged_reason);
}

MonotonicTime Dispatcher::WaitsSince(const Entry& entry, const TaskIndex& index,
                                     WaitReason reason,
                                     MonotonicTime ready_since) const {
  const Job& job = *entry.job;
  const Step& step = job.steps()[static_cast<std::size_t>(index.step)];
  const Task& task = step.tasks[static_cast<std::size_t>(index.index)];
  switch (reason) {
    case WaitReason::kStopping:
      return task.since;
    case WaitReason::kWorkerSilent:
      return registry_.workers()[static_cast<std::size_t>(task.worker)]
          .silent_since;
    case WaitReason::kPaused:
      return registry_.workers()[static_cast<std::size_t>(task.worker)]
          .runs.at(job.NameOf(index))
          .throttled_since;
    case WaitReason::kEarlierStep:
    case WaitReason::kDueLater:
      return job.accepted_at();
    default:
      // Counts through starts that fail.
      return task.run > 0 ? task.without_run_since : ready_since;
  }
}

void Dispatcher::VisitWaits(const Entry& entry, MonotonicTime now,
                            MonotonicTime restored_at,
                            const WaitVisitor& visit) const {
  const Job& job = *entry.job;
  if (IsFinal(job.state())) return;
  for (std::size_t s = 0; s < job.steps().size(); ++s) {
    const Step& step = job.steps()[s];
    if (step.unfinished == 0) continue;
    const MonotonicTime ready_since =
        step.pending > 0 ? ReadySince(job, step) : job.accepted_at();
    for (std::size_t t = 0; t < step.tasks.size(); ++t) {
      const Task& task = step.tasks[t];
      if (task.phase == TaskPhase::kDone) continue;
      const TaskIndex index{static_cast<int>(s), static_cast<int>(t)};
      const auto reason = task.placed()
                              ? ReasonOfPlaced(entry, index)
                              : ReasonOfPending(entry, step, task, now);
      if (!reason) continue;
      MonotonicTime since = WaitsSince(entry, index, *reason, ready_since);
      if (entry.restored) since = std::max(since, restored_at);
      visit(index, {*reason, now - since});
    }
  }
}

std::vector<WaitingTasks> Dispatcher::Waiting(const Entry& entry,
                                              MonotonicTime now,
                                              MonotonicTime restored_at) const {
  const Job& job = *entry.job;
  std::vector<WaitingTasks> found;
  VisitWaits(entry, now, restored_at, [&](TaskIndex index, const Wait& wait) {
    // The later steps of a chain and of an occurrence say nothing new.
    const bool once = WaitsAsPlanned(wait.reason);
    auto same = std::find_if(found.begin(), found.end(),
                             [&](const WaitingTasks& other) {
                               return other.wait.reason == wait.reason &&
                                      (once || other.index.step == index.step);
                             });
    if (same == found.end()) same = found.insert(same, WaitingTasks());
    same->shortest =
        same->tasks == 0 ? wait.waited : std::min(same->shortest, wait.waited);
    ++same->tasks;
    if (same->tasks > 1 && wait.waited <= same->wait.waited) return;
    const Step& step = job.steps()[static_cast<std::size_t>(index.step)];
    const Task& task = step.tasks[static_cast<std::size_t>(index.index)];
    same->task = job.NameOf(index);
    same->index = index;
    same->long_running = step.spec.long_running;
    same->wait = wait;
    same->run = task.run;
    same->vm =
        task.placed()
            ? registry_.workers()[static_cast<std::size_t>(task.worker)].info.vm
            : VmName();
  });
  const SubmissionRuns runs = RunsOf(entry, found, now, restored_at);
  for (WaitingTasks& waiting : found) waiting.runs = runs;
  return found;
}

SubmissionRuns Dispatcher::RunsOf(const Entry& entry,
                                  const std::vector<WaitingTasks>& waiting,
                                  MonotonicTime now,
                                  MonotonicTime restored_at) {
  SubmissionRuns runs;
  const Job& job = *entry.job;
  for (const Step& step : job.steps()) runs.running += step.unfinished;
  MonotonicTime idle = MonotonicTime::max();
  for (const WaitingTasks& tasks : waiting) {
    runs.running -= tasks.tasks;
    if (tasks.wait.reason == WaitReason::kPaused) runs.paused += tasks.tasks;
    if (WaitsAsPlanned(tasks.wait.reason)) continue;
    // Tasks that ran until recently have waited for a shorter time than others.
    idle = std::min(idle, tasks.shortest);
  }
  if (runs.running > 0 || idle == MonotonicTime::max()) return runs;
  MonotonicTime last_end = entry.restored ? restored_at : job.accepted_at();
  for (const Step& step : job.steps()) {
    for (const Task& task : step.tasks) {
      if (task.phase != TaskPhase::kDone) continue;
      last_end = std::max(last_end, task.since);
    }
  }
  runs.idle = std::min(idle, now - last_end);
  return runs;
}

std::vector<WaitingTasks> Dispatcher::Waiting(MonotonicTime now,
                                              MonotonicTime restored_at) const {
  std::vector<WaitingTasks> all;
  for (const Entry* entry : active_) {
    auto found = Waiting(*entry, now, restored_at);
    std::move(found.begin(), found.end(), std::back_inserter(all));
  }
  return all;
}

std::vector<WaitingTasks> Dispatcher::Waiting(const SubmissionId& id,
                                              MonotonicTime now,
                                              MonotonicTime restored_at) const {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return {};
  return Waiting(it->second, now, restored_at);
}

WaitCounts Dispatcher::CountWaiting(MonotonicTime now,
                                    MonotonicTime restored_at) const {
  WaitCounts counts{};
  for (const Entry* entry : active_) {
    VisitWaits(*entry, now, restored_at, [&](TaskIndex, const Wait& wait) {
      ++counts[static_cast<std::size_t>(wait.reason)][WaitAge(wait.waited)];
    });
  }
  return counts;
}

void Dispatcher::AddRejections(WaitingTasks& waiting, MonotonicTime now) const {
  if (!WaitsForWorker(waiting.wait.reason)) return;
  const auto it = entries_.find(waiting.task.submission);
  if (it == entries_.end()) return;
  StepPlacer placer = MakePlacer(it->second, waiting.index.step, now);
  waiting.rejections =
      CountRejections(registry_, it->second.job->policy().service, placer);
}

int Dispatcher::FitsOf(const Entry& entry, const Step& step,
                       MonotonicTime now) const {
  int fits = 0;
  for (const WorkerSlot slot : registry_.SlotsOf(entry.job->policy().service)) {
    const WorkerState& worker =
        registry_.workers()[static_cast<std::size_t>(slot)];
    if (!worker.CanStart(now)) continue;
    if (LabelRejection(worker, step.spec) != Rejection::kNone) continue;
    fits += FitCount(worker, step.spec, kMaxFits);
  }
  return step.spec.gang ? fits / std::max(1, step.spec.count) : fits;
}

void Dispatcher::AddCapacity(std::vector<WaitingTasks>& waiting,
                             MonotonicTime now) const {
  using Size = decltype(SizeOf(StepSpec()));
  std::map<ServiceName, double> reserved;
  std::map<std::pair<ServiceName, Size>, int> fits;
  for (WaitingTasks& tasks : waiting) {
    const auto entry = entries_.find(tasks.task.submission);
    if (entry == entries_.end()) continue;
    const Job& job = *entry->second.job;
    const ServiceName& service = job.policy().service;
    const Step& step = job.steps()[static_cast<std::size_t>(tasks.index.step)];
    auto share = reserved.find(service);
    if (share == reserved.end()) {
      share = reserved.emplace(service, 1 - FreeShare(service, now)).first;
    }
    const std::pair size(service, SizeOf(step.spec));
    auto count = fits.find(size);
    if (count == fits.end()) {
      count = fits.emplace(size, FitsOf(entry->second, step, now)).first;
    }
    tasks.capacity = FreeCapacity{share->second, count->second};
  }
}

}  // namespace mangospread::dispatch
