#include "dispatch/policy/sharing_model.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace mangospread::dispatch {
namespace {

constexpr double kPriorLevel = 0.45;
constexpr double kPriorLevelVariance = 0.02;
/// Assumed utilisation per core added by an image without measurements.
constexpr double kPriorEffect = 0.01;
constexpr double kPriorEffectVariance = 0.0009;
/// Variance of the difference between two measurements at the same load.
constexpr double kNoiseVariance = 0.0045;
/// Standard deviation of the change of the base utilisation in one second.
constexpr double kDriftPerSecond = 0.06;
/// Smaller changes of the cores in use beside a task are not significant.
constexpr double kMinCoreChange = 0.3;
/// The difference of measurements further apart reflects the load rather than
/// the best-effort tasks.
constexpr MonotonicTime kMaxGap = std::chrono::milliseconds(2'600);
/// Upper bound of an idle task's tail latency as a share of its target. Without
/// it, the first tails of a task that was never seen idle would count as idle
/// ones.
constexpr double kMaxIdleTailShare = 0.3;
/// Bounds of an effect per core. Beyond the target the tail grows faster than
/// the model predicts.
constexpr double kMinEffect = -0.02;
constexpr double kMaxEffect = 0.08;
constexpr double kForgettingFactor = 0.999;
constexpr double kMaxVariance = 0.01;
constexpr double kLevelLearningRate = 0.005;
/// Standard deviations by which a level is rarely exceeded.
constexpr double kHighLevelDeviations = 1.4;
/// Share of the target up to which tasks may be placed.
constexpr double kUsableTargetShare = 0.85;
/// Maximum number of best-effort images kept per latency-critical image.
constexpr std::size_t kMaxBestEffortImages = 48;
constexpr std::size_t kNoIndex = static_cast<std::size_t>(-1);

double Dot(const std::vector<double>& a, const std::vector<double>& b) {
  return std::inner_product(a.begin(), a.end(), b.begin(), 0.0);
}

}  // namespace

double UtilisationOf(double tail_ms, double idle_tail_ms) {
  return tail_ms <= idle_tail_ms ? 0.0 : 1.0 - idle_tail_ms / tail_ms;
}

void InterferenceModel::Grow(ImageModel& model,
                             const ImageName& best_effort_image, double effect,
                             double variance) {
  const std::size_t before = model.weights.size();
  const std::size_t size = before + 1;
  std::vector<double> covariance(size * size, 0.0);
  for (std::size_t r = 0; r < before; ++r) {
    for (std::size_t c = 0; c < before; ++c) {
      covariance[r * size + c] = model.covariance[r * before + c];
    }
  }
  covariance.back() = variance;
  model.covariance = std::move(covariance);
  model.weights.push_back(effect);
  model.index.emplace(best_effort_image, before);
}

std::size_t InterferenceModel::IndexOf(ImageModel& model,
                                       const ImageName& best_effort_image) {
  const auto it = model.index.find(best_effort_image);
  if (it != model.index.end()) return it->second;
  if (model.index.size() >= kMaxBestEffortImages) return kNoIndex;
  Grow(model, best_effort_image, kPriorEffect, kPriorEffectVariance);
  return model.weights.size() - 1;
}

void InterferenceModel::Learn(const ImageName& image,
                              const InterferenceSample& before,
                              const InterferenceSample& after) {
  if (before.tail_ms <= 0 || after.tail_ms <= 0) return;
  const auto [it, added] = models_.try_emplace(image);
  ImageModel& model = it->second;
  if (added) {
    model.idle_tail_ms =
        kMaxIdleTailShare * static_cast<double>(after.target.count());
    model.level = kPriorLevel;
    model.level_variance = kPriorLevelVariance;
  }
  model.idle_tail_ms =
      std::min({model.idle_tail_ms, before.tail_ms, after.tail_ms});
  for (const auto* sample : {&before, &after}) {
    for (const BestEffortUse& use : sample->uses) IndexOf(model, use.image);
  }
  const auto cores_of = [&model](const InterferenceSample& sample) {
    std::vector<double> cores(model.weights.size(), 0.0);
    for (const BestEffortUse& use : sample.uses) {
      const std::size_t index = IndexOf(model, use.image);
      if (index != kNoIndex) cores[index] += use.cores;
    }
    return cores;
  };
  const std::vector<double> cores = cores_of(after);
  std::vector<double> change = cores_of(before);
  std::transform(cores.begin(), cores.end(), change.begin(), change.begin(),
                 std::minus<>());
  const double utilisation = UtilisationOf(after.tail_ms, model.idle_tail_ms);
  LearnLevel(model, utilisation, cores);
  const MonotonicTime elapsed = after.time - before.time;
  const bool changed = std::any_of(change.begin(), change.end(), [](double x) {
    return std::abs(x) >= kMinCoreChange;
  });
  if (!changed || elapsed > kMaxGap) return;
  const double difference =
      utilisation - UtilisationOf(before.tail_ms, model.idle_tail_ms);
  LearnEffects(model, change, difference, elapsed);
}

void InterferenceModel::LearnEffects(ImageModel& model,
                                     const std::vector<double>& change,
                                     double difference, MonotonicTime elapsed) {
  const std::size_t size = model.weights.size();
  const double drift =
      kDriftPerSecond * std::chrono::duration<double>(elapsed).count();
  std::vector<double> gain(size, 0.0);
  for (std::size_t r = 0; r < size; ++r) {
    for (std::size_t c = 0; c < size; ++c) {
      gain[r] += model.covariance[r * size + c] * change[c];
    }
  }
  const double scale = kNoiseVariance + drift * drift + Dot(change, gain);
  const double error = difference - Dot(change, model.weights);
  for (std::size_t r = 0; r < size; ++r) {
    model.weights[r] = std::clamp(model.weights[r] + gain[r] * error / scale,
                                  kMinEffect, kMaxEffect);
  }
  for (std::size_t r = 0; r < size; ++r) {
    for (std::size_t c = 0; c < size; ++c) {
      double& cell = model.covariance[r * size + c];
      cell = std::clamp((cell - gain[r] * gain[c] / scale) / kForgettingFactor,
                        -kMaxVariance, kMaxVariance);
    }
  }
}

void InterferenceModel::LearnLevel(ImageModel& model, double utilisation,
                                   const std::vector<double>& cores) {
  const double error = utilisation - Dot(cores, model.weights) - model.level;
  model.level += kLevelLearningRate * error;
  model.level_variance +=
      kLevelLearningRate * (error * error - model.level_variance);
}

double InterferenceModel::Effect(const ImageName& best_effort_image,
                                 const ImageName& image) const {
  const auto model = models_.find(image);
  if (model == models_.end()) return kPriorEffect;
  const auto it = model->second.index.find(best_effort_image);
  if (it == model->second.index.end()) return kPriorEffect;
  return std::max(0.0, model->second.weights[it->second]);
}

double InterferenceModel::HighBaseUtilisation(const ImageName& image) const {
  const auto model = models_.find(image);
  if (model == models_.end()) {
    return kPriorLevel + kHighLevelDeviations * std::sqrt(kPriorLevelVariance);
  }
  return model->second.level +
         kHighLevelDeviations * std::sqrt(model->second.level_variance);
}

double InterferenceModel::UtilisationLimit(const ImageName& image,
                                           Milliseconds target) const {
  const auto model = models_.find(image);
  if (model == models_.end()) return 1.0;
  return UtilisationOf(kUsableTargetShare * static_cast<double>(target.count()),
                       model->second.idle_tail_ms);
}

double InterferenceModel::BaseUtilisation(
    const ImageName& image, const InterferenceSample& sample) const {
  double level = Utilisation(image, sample.tail_ms);
  for (const BestEffortUse& use : sample.uses) {
    level -= Effect(use.image, image) * use.cores;
  }
  return level;
}

double InterferenceModel::Utilisation(const ImageName& image,
                                      double tail_ms) const {
  const auto model = models_.find(image);
  if (model == models_.end()) return 0;
  return UtilisationOf(tail_ms, model->second.idle_tail_ms);
}

std::vector<LearnedInterference> InterferenceModel::Export() const {
  std::vector<LearnedInterference> learned;
  for (const auto& [image, model] : models_) {
    LearnedInterference entry{
        image, model.idle_tail_ms, model.level, model.level_variance, {}};
    const std::size_t size = model.weights.size();
    for (const auto& [best_effort_image, i] : model.index) {
      entry.effects.push_back({best_effort_image, model.weights[i],
                               model.covariance[i * size + i]});
    }
    learned.push_back(std::move(entry));
  }
  return learned;
}

void InterferenceModel::Import(
    const std::vector<LearnedInterference>& learned) {
  for (const LearnedInterference& entry : learned) {
    ImageModel model;
    model.idle_tail_ms = entry.idle_tail_ms;
    model.level = entry.level;
    model.level_variance = entry.level_variance;
    for (const LearnedInterference::ImageEffect& learned_effect :
         entry.effects) {
      Grow(model, learned_effect.image, learned_effect.effect,
           learned_effect.variance);
    }
    models_[entry.image] = std::move(model);
  }
}

}  // namespace mangospread::dispatch
