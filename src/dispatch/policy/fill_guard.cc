#include "dispatch/policy/fill_guard.hpp"

#include <algorithm>

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

/// Utilisation that a latency-critical task may still gain; negative if it
/// exceeds its limit or is about to.
double Headroom(const InterferenceModel& model, const LatencySample& sample) {
  return model.UtilisationLimit(sample.image, sample.target) -
         model.Utilisation(sample.image, sample.tail_ms) - sample.expected_rise;
}

double TargetRatio(const LatencySample& sample) {
  return sample.tail_ms / static_cast<double>(sample.target.count());
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
  for (std::size_t i = 0; i < tasks.size() && !escalated; ++i) {
    if (percents[i] >= 100 || percents[i] < tasks[i].percent) continue;
    int percent = 100;
    for (const LatencySample& sample : latency_critical) {
      const double effect =
          model.Effect(tasks[i].image, sample.image) * tasks[i].requested_cores;
      if (effect <= kNegligibleEffect * tasks[i].requested_cores) continue;
      const double headroom = Headroom(model, sample);
      const int gain =
          headroom <= 0 ? 0 : static_cast<int>(100 * headroom / effect / 2);
      percent = std::min(percent, percents[i] + gain);
    }
    percents[i] = std::max(percents[i], percent);
  }

  std::vector<SpeedLimit> changes;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const int change = std::abs(percents[i] - tasks[i].percent);
    if (change >= kMinChangePercent || (change > 0 && percents[i] % 100 == 0)) {
      changes.push_back({tasks[i].task, percents[i]});
    }
  }
  return changes;
}

}  // namespace mangospread::dispatch
