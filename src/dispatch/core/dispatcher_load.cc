// Speeds of best-effort tasks by the load that workers report.
#include <string>
#include <utility>
#include <vector>

#include "dispatch/core/dispatcher.hpp"

namespace mangospread::dispatch {
namespace {

constexpr double kMillicoresPerCore = 1'000;
/// A best-effort task that stays at this speed or below for longer than
/// kMaxHeavyThrottle is moved to another worker.
constexpr int kHeavyThrottlePercent = 30;
constexpr MonotonicTime kMaxHeavyThrottle = std::chrono::milliseconds(1'200);
/// Time from a measurement until the next one that shows the effect of a
/// resulting change of speed.
constexpr MonotonicTime kThrottleDelay = std::chrono::milliseconds(900);

}  // namespace

void Dispatcher::OnLoad(WorkerSlot slot, const WorkerLoad& load,
                        MonotonicTime now) {
  WorkerState& worker = registry_.at(slot);
  std::vector<LatencySample> latency_samples;
  std::vector<BestEffortSample> best_effort_samples;
  std::vector<BestEffortUse> best_effort_use;
  std::vector<PlacedRun*> latency_runs;
  for (const RunSample& run : load.runs) {
    const auto name = ParseTaskName(run.task);
    if (!name.ok()) continue;
    const auto it = worker.runs.find(name.value());
    if (it == worker.runs.end() || it->second.run != run.run.value()) continue;
    const StepSpec& spec = *it->second.spec;
    if (!spec.best_effort) {
      // The tail latency of a task that is not ready yet is meaningless.
      if (run.percent < 100) continue;
      const double target_share =
          run.measured / static_cast<double>(spec.latency_target.count());
      latency_samples.push_back({spec.image, run.measured, spec.latency_target,
                                 it->second.excess.Observe(now, target_share),
                                 0});
      latency_runs.push_back(&it->second);
      continue;
    }
    const double used_cores = run.measured / kMillicoresPerCore;
    best_effort_samples.push_back(
        {run.task, spec.image,
         static_cast<double>(spec.cpu.value()) / kMillicoresPerCore, used_cores,
         it->second.percent});
    best_effort_use.push_back({spec.image, used_cores});
  }
  for (std::size_t i = 0; i < latency_samples.size(); ++i) {
    const InterferenceSample sample{now, latency_samples[i].tail_ms,
                                    latency_samples[i].target, best_effort_use};
    PlacedRun& run = *latency_runs[i];
    interference_.Learn(latency_samples[i].image, run.last_sample, sample);
    run.load.Observe(
        now, interference_.BaseUtilisation(latency_samples[i].image, sample));
    run.last_sample = sample;
    latency_samples[i].expected_rise = run.load.RiseWithin(kThrottleDelay);
  }
  worker.Invalidate();
  for (const SpeedLimit& speed :
       AdjustSpeeds(interference_, latency_samples, best_effort_samples)) {
    const auto name = ParseTaskName(speed.task);
    PlacedRun& placed = worker.runs.at(name.value());
    if (placed.percent > kHeavyThrottlePercent ||
        placed.throttled_since.count() == 0) {
      placed.throttled_since = now;
    }
    placed.percent = speed.percent;
    hooks_.log(name.value(), worker.info.vm, "paced",
               std::to_string(speed.percent));
    hooks_.send(ThrottleRun{worker.info.vm, speed.task, Attempt(placed.run),
                            speed.percent});
  }
  MoveThrottled(slot, now);
}

void Dispatcher::MoveThrottled(WorkerSlot slot, MonotonicTime now) {
  WorkerState& worker = registry_.at(slot);
  for (auto& [name, placed] : worker.runs) {
    if (placed.percent > kHeavyThrottlePercent || !placed.spec->checkpoints ||
        now - std::max(placed.throttled_since, placed.move_considered) <=
            kMaxHeavyThrottle) {
      continue;
    }
    const auto ref = FindTask(name);
    if (ref->task->phase != TaskPhase::kRunning) continue;
    if (!FitsElsewhere(*ref, now)) {
      // Bounds how often all workers are looked at.
      placed.move_considered = now;
      continue;
    }
    hooks_.log(name, worker.info.vm, "moved", "paused_too_long");
    StopTask(*ref, now);
  }
}

bool Dispatcher::FitsElsewhere(const TaskRef& ref, MonotonicTime now) const {
  StepPlacer placer = MakePlacer(*ref.entry, ref.index.step, now);
  const WorkerSlot best = placer.Next().worker;
  return best != kNoWorker && best != ref.task->worker;
}

}  // namespace mangospread::dispatch
