#include "dispatch/policy/sharing_model.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace mangospread::dispatch {
namespace {

constexpr double kPriorLevel = 0.45;
constexpr double kPriorLevelVariance = 0.02;
/// Utilisation per core that an image without measurements is taken to add.
constexpr double kPriorEffect = 0.01;
constexpr double kPriorEffectVariance = 0.0009;
/// Variance of the difference of two measurements at the same load.
constexpr double kNoiseVariance = 0.0045;
/// Standard deviation of a level's own change in a second.
constexpr double kDriftPerSecond = 0.06;
/// Changes of the cores beside a task below this say nothing.
constexpr double kSmallestChange = 0.3;
/// Measurements further apart say more of the load than of the fills.
constexpr MonotonicTime kLongestGap = std::chrono::milliseconds(2'600);
/// An idle task's tail is at most this share of its target. Until a task was
/// seen idle, its first tails would pass for idle ones.
constexpr double kLargestIdleShare = 0.3;
/// Bounds of an effect per core. Beyond the target the tail grows faster than
/// the model says.
constexpr double kSmallestEffect = -0.02;
constexpr double kLargestEffect = 0.08;
constexpr double kForgetting = 0.999;
constexpr double kMaxVariance = 0.01;
constexpr double kLevelRate = 0.005;
constexpr double kHighLevelDeviations = 1.4;
/// Share of the target that placements may use up.
constexpr double kTargetShare = 0.85;
/// Fill images kept for a serving image.
constexpr std::size_t kMaxFills = 48;
constexpr std::size_t kNoIndex = static_cast<std::size_t>(-1);

double Dot(const std::vector<double>& a, const std::vector<double>& b) {
  return std::inner_product(a.begin(), a.end(), b.begin(), 0.0);
}

}  // namespace

double UtilisationOf(double tail_ms, double idle_tail_ms) {
  return tail_ms <= idle_tail_ms ? 0.0 : 1.0 - idle_tail_ms / tail_ms;
}

void SharingModel::Grow(Serving& serving, const ImageName& fill, double effect,
                        double variance) {
  const std::size_t before = serving.weights.size();
  const std::size_t size = before + 1;
  std::vector<double> covariance(size * size, 0.0);
  for (std::size_t r = 0; r < before; ++r) {
    for (std::size_t c = 0; c < before; ++c) {
      covariance[r * size + c] = serving.covariance[r * before + c];
    }
  }
  covariance.back() = variance;
  serving.covariance = std::move(covariance);
  serving.weights.push_back(effect);
  serving.index.emplace(fill, before);
}

std::size_t SharingModel::IndexOf(Serving& serving, const ImageName& fill) {
  const auto it = serving.index.find(fill);
  if (it != serving.index.end()) return it->second;
  if (serving.index.size() >= kMaxFills) return kNoIndex;
  Grow(serving, fill, kPriorEffect, kPriorEffectVariance);
  return serving.weights.size() - 1;
}

void SharingModel::Learn(const ImageName& image, const SharingSample& before,
                         const SharingSample& after) {
  if (before.tail_ms <= 0 || after.tail_ms <= 0) return;
  const auto [it, added] = serving_.try_emplace(image);
  Serving& serving = it->second;
  if (added) {
    serving.idle_tail_ms =
        kLargestIdleShare * static_cast<double>(after.target.count());
    serving.level = kPriorLevel;
    serving.level_variance = kPriorLevelVariance;
  }
  serving.idle_tail_ms =
      std::min({serving.idle_tail_ms, before.tail_ms, after.tail_ms});
  for (const auto* sample : {&before, &after}) {
    for (const FillUse& fill : sample->fills) IndexOf(serving, fill.image);
  }
  const auto cores_of = [&serving](const SharingSample& sample) {
    std::vector<double> cores(serving.weights.size(), 0.0);
    for (const FillUse& fill : sample.fills) {
      const std::size_t index = IndexOf(serving, fill.image);
      if (index != kNoIndex) cores[index] += fill.cores;
    }
    return cores;
  };
  const std::vector<double> cores = cores_of(after);
  std::vector<double> change = cores_of(before);
  std::transform(cores.begin(), cores.end(), change.begin(), change.begin(),
                 std::minus<>());
  const double utilisation = UtilisationOf(after.tail_ms, serving.idle_tail_ms);
  LearnLevel(serving, utilisation, cores);
  const MonotonicTime elapsed = after.at - before.at;
  const bool changed = std::any_of(change.begin(), change.end(), [](double x) {
    return std::abs(x) >= kSmallestChange;
  });
  if (!changed || elapsed > kLongestGap) return;
  const double difference =
      utilisation - UtilisationOf(before.tail_ms, serving.idle_tail_ms);
  LearnEffects(serving, change, difference, elapsed);
}

void SharingModel::LearnEffects(Serving& serving,
                                const std::vector<double>& change,
                                double difference, MonotonicTime elapsed) {
  const std::size_t size = serving.weights.size();
  const double drift =
      kDriftPerSecond * std::chrono::duration<double>(elapsed).count();
  std::vector<double> gain(size, 0.0);
  for (std::size_t r = 0; r < size; ++r) {
    for (std::size_t c = 0; c < size; ++c) {
      gain[r] += serving.covariance[r * size + c] * change[c];
    }
  }
  const double scale = kNoiseVariance + drift * drift + Dot(change, gain);
  const double error = difference - Dot(change, serving.weights);
  for (std::size_t r = 0; r < size; ++r) {
    serving.weights[r] =
        std::clamp(serving.weights[r] + gain[r] * error / scale,
                   kSmallestEffect, kLargestEffect);
  }
  for (std::size_t r = 0; r < size; ++r) {
    for (std::size_t c = 0; c < size; ++c) {
      double& cell = serving.covariance[r * size + c];
      cell = std::clamp((cell - gain[r] * gain[c] / scale) / kForgetting,
                        -kMaxVariance, kMaxVariance);
    }
  }
}

void SharingModel::LearnLevel(Serving& serving, double utilisation,
                              const std::vector<double>& cores) {
  const double error =
      utilisation - Dot(cores, serving.weights) - serving.level;
  serving.level += kLevelRate * error;
  serving.level_variance +=
      kLevelRate * (error * error - serving.level_variance);
}

double SharingModel::Effect(const ImageName& fill,
                            const ImageName& image) const {
  const auto serving = serving_.find(image);
  if (serving == serving_.end()) return kPriorEffect;
  const auto it = serving->second.index.find(fill);
  if (it == serving->second.index.end()) return kPriorEffect;
  return std::max(0.0, serving->second.weights[it->second]);
}

double SharingModel::HighLevel(const ImageName& image) const {
  const auto serving = serving_.find(image);
  if (serving == serving_.end()) {
    return kPriorLevel + kHighLevelDeviations * std::sqrt(kPriorLevelVariance);
  }
  return serving->second.level +
         kHighLevelDeviations * std::sqrt(serving->second.level_variance);
}

double SharingModel::Limit(const ImageName& image, Milliseconds target) const {
  const auto serving = serving_.find(image);
  if (serving == serving_.end()) return 1.0;
  return UtilisationOf(kTargetShare * static_cast<double>(target.count()),
                       serving->second.idle_tail_ms);
}

double SharingModel::OwnLevel(const ImageName& image,
                              const SharingSample& sample) const {
  double level = Utilisation(image, sample.tail_ms);
  for (const FillUse& fill : sample.fills) {
    level -= Effect(fill.image, image) * fill.cores;
  }
  return level;
}

double SharingModel::Utilisation(const ImageName& image, double tail_ms) const {
  const auto serving = serving_.find(image);
  if (serving == serving_.end()) return 0;
  return UtilisationOf(tail_ms, serving->second.idle_tail_ms);
}

std::vector<LearnedSharing> SharingModel::Export() const {
  std::vector<LearnedSharing> learned;
  for (const auto& [image, serving] : serving_) {
    LearnedSharing entry{
        image, serving.idle_tail_ms, serving.level, serving.level_variance, {}};
    const std::size_t size = serving.weights.size();
    for (const auto& [fill, i] : serving.index) {
      entry.fills.push_back(
          {fill, serving.weights[i], serving.covariance[i * size + i]});
    }
    learned.push_back(std::move(entry));
  }
  return learned;
}

void SharingModel::Import(const std::vector<LearnedSharing>& learned) {
  for (const LearnedSharing& entry : learned) {
    Serving serving;
    serving.idle_tail_ms = entry.idle_tail_ms;
    serving.level = entry.level;
    serving.level_variance = entry.level_variance;
    for (const LearnedSharing::Fill& fill : entry.fills) {
      Grow(serving, fill.image, fill.effect, fill.variance);
    }
    serving_[entry.image] = std::move(serving);
  }
}

}  // namespace mangospread::dispatch
