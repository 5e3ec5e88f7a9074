#include "dispatch/policy/fill_guard.hpp"

#include <algorithm>

namespace mangospread::dispatch {
namespace {

/// Effects per core below this are taken for noise.
constexpr double kNegligibleEffect = 0.004;
/// Relative tail beyond which the measured utilisation says too little about
/// the excess, so that every culprit pauses.
constexpr double kFarBeyond = 1.8;
/// A serving task that is over its target for so long is helped by pausing
/// everything beside it, whatever the model says.
constexpr MonotonicTime kEscalateAfter = std::chrono::milliseconds(1'600);
constexpr int kLowestPercent = 10;
constexpr int kSmallestChange = 10;

/// Utilisation that a serving task may still gain; negative when it is beyond
/// its limit or about to be.
double RoomOf(const SharingModel& model, const ServingSample& sample) {
  return model.Limit(sample.image, sample.target) -
         model.Utilisation(sample.image, sample.tail_ms) - sample.rise;
}

double Ratio(const ServingSample& sample) {
  return sample.tail_ms / static_cast<double>(sample.target.count());
}

}  // namespace

std::vector<FillSpeed> AdjustFills(const SharingModel& model,
                                   const std::vector<ServingSample>& serving,
                                   const std::vector<FillSample>& fills) {
  std::vector<int> percents;
  percents.reserve(fills.size());
  for (const FillSample& fill : fills) percents.push_back(fill.percent);

  for (const ServingSample& sample : serving) {
    double excess = -RoomOf(model, sample);
    if (excess <= 0) continue;
    const bool escalate = sample.over_for > kEscalateAfter;
    const bool far_beyond = escalate || Ratio(sample) > kFarBeyond;
    std::vector<std::size_t> culprits;
    for (std::size_t i = 0; i < fills.size(); ++i) {
      const double effect = model.Effect(fills[i].image, sample.image);
      if (percents[i] > 0 && (escalate || effect > kNegligibleEffect)) {
        culprits.push_back(i);
      }
    }
    const auto effect = [&](std::size_t i) {
      return model.Effect(fills[i].image, sample.image) *
             fills[i].requested_cores;
    };
    std::sort(
        culprits.begin(), culprits.end(),
        [&](std::size_t a, std::size_t b) { return effect(a) > effect(b); });
    for (const std::size_t i : culprits) {
      if (!far_beyond && excess <= 0) break;
      const double present = effect(i) * percents[i] / 100;
      int percent = 0;
      if (!far_beyond && present > excess) {
        percent = static_cast<int>(100 * (present - excess) / effect(i));
      }
      if (percent < kLowestPercent) percent = 0;
      excess -= effect(i) * (percents[i] - percent) / 100;
      percents[i] = percent;
    }
  }

  const bool escalated = std::any_of(serving.begin(), serving.end(),
                                     [](const ServingSample& sample) {
                                       return sample.over_for > kEscalateAfter;
                                     });
  for (std::size_t i = 0; i < fills.size() && !escalated; ++i) {
    if (percents[i] >= 100 || percents[i] < fills[i].percent) continue;
    int percent = 100;
    for (const ServingSample& sample : serving) {
      const double effect =
          model.Effect(fills[i].image, sample.image) * fills[i].requested_cores;
      if (effect <= kNegligibleEffect * fills[i].requested_cores) continue;
      const double room = RoomOf(model, sample);
      const int gain =
          room <= 0 ? 0 : static_cast<int>(100 * room / effect / 2);
      percent = std::min(percent, percents[i] + gain);
    }
    percents[i] = std::max(percents[i], percent);
  }

  std::vector<FillSpeed> changes;
  for (std::size_t i = 0; i < fills.size(); ++i) {
    const int change = std::abs(percents[i] - fills[i].percent);
    if (change >= kSmallestChange || (change > 0 && percents[i] % 100 == 0)) {
      changes.push_back({fills[i].task, percents[i]});
    }
  }
  return changes;
}

}  // namespace mangospread::dispatch
