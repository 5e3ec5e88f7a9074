#include "dispatch/policy/fill_guard.hpp"

#include <algorithm>
#include <cstdlib>
#include <numeric>

namespace mangospread::dispatch {
namespace {

/// Effects per core below this are considered noise.
constexpr double kNegligibleEffect = 0.004;
/// Ratio of tail latency to target above which the measured utilisation does
/// not show the size of the excess, so all interfering tasks are paused.
constexpr double kSevereRatio = 1.8;
/// If a latency-critical task misses its target for longer than this, all
/// best-effort tasks beside it are paused, regardless of the model.
constexpr MonotonicTime kEscalateAfter = std::chrono::milliseconds(1'600);
/// A task that would be throttled to a lower speed is paused instead.
constexpr int kMinPercent = 10;
/// Smaller changes of speed, in percentage points, are made only to 0 or 100
/// per cent.
constexpr int kMinChangePercent = 10;
/// With this headroom a paused task resumes at kMinPercent even if its learned
/// effect does not fit. What a task adds at that speed is below the rest of the
/// target above its usable share.
constexpr double kResumeHeadroom = 0.02;

/// Utilisation that a latency-critical task may still gain; negative if it
/// exceeds its limit or is about to.
double Headroom(const InterferenceModel& model, const LatencySample& sample) {
  return model.UtilisationLimit(sample.image, sample.target) -
         model.Utilisation(sample.image, sample.tail_ms) - sample.expected_rise;
}

double TargetRatio(const LatencySample& sample) {
  return sample.tail_ms / static_cast<double>(sample.target.count());
}

bool IsChange(int before, int after) {
  const int change = std::abs(after - before);
  return change >= kMinChangePercent || (change > 0 && after % 100 == 0);
}

/// Highest speed of the task that the headroom of each latency-critical task
/// allows, in per cent.
int RaisedPercent(const InterferenceModel& model,
                  const std::vector<LatencySample>& latency_critical,
                  const std::vector<double>& headroom,
                  const BestEffortSample& task) {
  int percent = 100;
  double lowest = kResumeHeadroom;
  for (std::size_t s = 0; s < latency_critical.size(); ++s) {
    const double effect = model.Effect(task.image, latency_critical[s].image);
    if (effect <= kNegligibleEffect) continue;
    const double gain =
        std::max(0.0, headroom[s]) / (effect * task.requested_cores) / 2;
    percent = std::min(
        percent, task.percent + static_cast<int>(100 * std::min(gain, 1.0)));
    lowest = std::min(lowest, headroom[s]);
  }
  // Whatever the learned effect is, the task makes progress.
  if (task.percent == 0 && lowest >= kResumeHeadroom) {
    percent = std::max(percent, kMinPercent);
  }
  return std::max(percent, task.percent);
}

/// Speeds up throttled tasks, the slowest first, so that none stays paused
/// while others take all headroom. `percents` holds the speeds so far.
void RaiseSpeeds(const InterferenceModel& model,
                 const std::vector<LatencySample>& latency_critical,
                 const std::vector<BestEffortSample>& tasks,
                 std::vector<int>& percents) {
  std::vector<double> headroom;
  headroom.reserve(latency_critical.size());
  for (const LatencySample& sample : latency_critical) {
    headroom.push_back(Headroom(model, sample));
  }
  std::vector<std::size_t> slowest_first(tasks.size());
  std::iota(slowest_first.begin(), slowest_first.end(), std::size_t{0});
  std::stable_sort(
      slowest_first.begin(), slowest_first.end(),
      [&](std::size_t a, std::size_t b) { return percents[a] < percents[b]; });
  for (const std::size_t i : slowest_first) {
    const BestEffortSample& task = tasks[i];
    if (percents[i] >= 100 || percents[i] < task.percent) continue;
    const int percent = RaisedPercent(model, latency_critical, headroom, task);
    if (!IsChange(task.percent, percent)) continue;
    for (std::size_t s = 0; s < latency_critical.size(); ++s) {
      headroom[s] -= model.Effect(task.image, latency_critical[s].image) *
                     task.requested_cores * (percent - percents[i]) / 100;
    }
    percents[i] = percent;
  }
}

}  // namespace

std::vector<SpeedLimit> AdjustSpeeds(
    const InterferenceModel& model,
    const std::vector<LatencySample>& latency_critical,
    const std::vector<BestEffortSample>& tasks) {
  std::vector<int> percents;
  percents.reserve(tasks.size());
  for (const BestEffortSample& task : tasks) percents.push_back(task.percent);

  for (const LatencySample& sample : latency_critical) {
    double excess = -Headroom(model, sample);
    if (excess <= 0) continue;
    const bool escalate = sample.above_target_for > kEscalateAfter;
    const bool severe = escalate || TargetRatio(sample) > kSevereRatio;
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
      const double effect = model.Effect(tasks[i].image, sample.image);
      if (percents[i] > 0 && (escalate || effect > kNegligibleEffect)) {
        candidates.push_back(i);
      }
    }
    const auto effect = [&](std::size_t i) {
      return model.Effect(tasks[i].image, sample.image) *
             tasks[i].requested_cores;
    };
    std::sort(
        candidates.begin(), candidates.end(),
        [&](std::size_t a, std::size_t b) { return effect(a) > effect(b); });
    for (const std::size_t i : candidates) {
      if (!severe && excess <= 0) break;
      const double current = effect(i) * percents[i] / 100;
      int percent = 0;
      if (!severe && current > excess) {
        percent = static_cast<int>(100 * (current - excess) / effect(i));
      }
      if (percent < kMinPercent) percent = 0;
      excess -= effect(i) * (percents[i] - percent) / 100;
      percents[i] = percent;
    }
  }

  const bool escalated =
      std::any_of(latency_critical.begin(), latency_critical.end(),
                  [](const LatencySample& sample) {
                    return sample.above_target_for > kEscalateAfter;
                  });
  if (!escalated) RaiseSpeeds(model, latency_critical, tasks, percents);

  std::vector<SpeedLimit> changes;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    if (IsChange(tasks[i].percent, percents[i])) {
      changes.push_back({tasks[i].task, percents[i]});
    }
  }
  return changes;
}

}  // namespace mangospread::dispatch
