// Submissions of which nothing runs.
#include <algorithm>
#include <map>
#include <utility>

#include "dispatch/core/dispatcher.hpp"

namespace mangospread::dispatch {
namespace {

/// A submission that has been idle for this long may use a half-empty service
/// whatever the model has learned. The platform allows it three seconds, of
/// which starts and changes of speed take a part.
constexpr MonotonicTime kMaxIdle = std::chrono::seconds(2);
/// Bounds the processor time of a leader with many submissions.
constexpr MonotonicTime kIdleCheckPeriod = std::chrono::milliseconds(100);
/// The platform counts a service as half empty below 0.5. Starts on their way
/// are counted here but not there.
constexpr double kHalfEmptyShare = 0.55;
/// Speed at which a paused task resumes, in per cent.
constexpr int kResumePercent = 10;

}  // namespace

Dispatcher::Activity Dispatcher::ActivityOf(const Entry& entry) const {
  const Job& job = *entry.job;
  Activity activity = Activity::kNone;
  for (std::size_t s = 0; s < job.steps().size(); ++s) {
    const Step& step = job.steps()[s];
    if (step.pending == step.unfinished) continue;
    for (std::size_t t = 0; t < step.tasks.size(); ++t) {
      const Task& task = step.tasks[t];
      if (task.phase != TaskPhase::kStarting &&
          task.phase != TaskPhase::kRunning) {
        continue;
      }
      const WorkerState& worker =
          registry_.workers()[static_cast<std::size_t>(task.worker)];
      if (worker.silent_since.count() > 0) continue;
      if (step.spec.best_effort) {
        const auto placed = worker.runs.find(
            job.NameOf({static_cast<int>(s), static_cast<int>(t)}));
        if (placed == worker.runs.end() || placed->second.percent == 0) {
          continue;
        }
      }
      if (task.phase == TaskPhase::kRunning) return Activity::kRunning;
      activity = Activity::kStarting;
    }
  }
  return activity;
}

bool Dispatcher::IsHalfEmpty(const ServiceName& service) const {
  double capacity = 0;
  double reserved = 0;
  for (const WorkerSlot slot : registry_.SlotsOf(service)) {
    const WorkerState& worker =
        registry_.workers()[static_cast<std::size_t>(slot)];
    if (!worker.Stays() || !worker.attached ||
        worker.silent_since.count() > 0) {
      continue;
    }
    capacity += static_cast<double>(worker.info.capacity.cpu.value());
    reserved += static_cast<double>(worker.cpu_used.value() +
                                    worker.best_effort_cpu.value());
  }
  return reserved < kHalfEmptyShare * capacity;
}

void Dispatcher::UpdateIdle(MonotonicTime now) {
  if (now - idle_checked_at_ < kIdleCheckPeriod) return;
  idle_checked_at_ = now;
  std::map<ServiceName, bool> half_empty;
  for (Entry* entry : active_) {
    entry->starved = false;
    const auto& steps = entry->job->steps();
    const bool turn_has_come =
        (!entry->restored || resumed_) &&
        std::any_of(steps.begin(), steps.end(), [now](const Step& step) {
          return step.ready && step.unfinished > 0 && now >= step.due;
        });
    const Activity activity =
        turn_has_come ? ActivityOf(*entry) : Activity::kNone;
    if (!turn_has_come || activity == Activity::kRunning) {
      entry->idle_since = MonotonicTime(0);
      continue;
    }
    if (entry->idle_since.count() == 0) entry->idle_since = now;
    if (activity == Activity::kStarting || now - entry->idle_since < kMaxIdle) {
      continue;
    }
    const ServiceName& service = entry->job->policy().service;
    const auto [known, added] = half_empty.try_emplace(service, false);
    if (added) known->second = IsHalfEmpty(service);
    entry->starved = known->second;
  }
}

std::vector<TaskIndex> Dispatcher::PausedTasks(const Entry& entry) const {
  const Job& job = *entry.job;
  std::vector<TaskIndex> chosen;
  double best = 0;
  for (std::size_t s = 0; s < job.steps().size(); ++s) {
    const Step& step = job.steps()[s];
    if (!step.spec.best_effort || step.pending == step.unfinished) continue;
    if (step.spec.gang && !chosen.empty()) break;
    for (std::size_t t = 0; t < step.tasks.size(); ++t) {
      if (step.tasks[t].phase != TaskPhase::kRunning) continue;
      const WorkerState& worker =
          registry_.workers()[static_cast<std::size_t>(step.tasks[t].worker)];
      if (worker.silent_since.count() > 0) continue;
      const TaskIndex index{static_cast<int>(s), static_cast<int>(t)};
      if (step.spec.gang) {
        chosen.push_back(index);
        continue;
      }
      const double cores = static_cast<double>(step.spec.cpu.value()) / 1'000;
      const double share = SpeedShare(
          worker.LatencyCriticalGroups(interference_),
          [&](const ImageName& image) {
            return interference_.Effect(step.spec.image, image) * cores;
          });
      if (!chosen.empty() && share <= best) continue;
      chosen = {index};
      best = share;
    }
    if (step.spec.gang && !chosen.empty()) break;
  }
  return chosen;
}

void Dispatcher::ResumePaused(MonotonicTime now) {
  for (Entry* entry : active_) {
    if (!entry->starved || IsFinal(entry->job->state())) continue;
    for (const TaskIndex& index : PausedTasks(*entry)) {
      const TaskRef ref{entry, index, entry->job->NameOf(index),
                        entry->job->Find(index)};
      WorkerState& worker = registry_.at(ref.task->worker);
      PlacedRun& placed = worker.runs.at(ref.name);
      if (placed.percent > 0) continue;
      entry->starved = false;
      placed.percent = kResumePercent;
      worker.Invalidate();
      if (placed.throttled_since.count() == 0) placed.throttled_since = now;
      hooks_.log(ref.name, worker.info.vm, "paced",
                 std::to_string(kResumePercent));
      hooks_.send(ThrottleRun{worker.info.vm, ToString(ref.name),
                              Attempt(placed.run), kResumePercent});
    }
  }
}

}  // namespace mangospread::dispatch
