#include "dispatch/policy/sharing_model.hpp"

#include <algorithm>
#include <cmath>

namespace mangospread::dispatch {
namespace {

constexpr double kPriorLevel = 0.45;
constexpr double kPriorLevelVariance = 0.04;
/// Utilisation per core that an image without measurements is taken to add.
constexpr double kPriorEffect = 0.01;
constexpr double kPriorEffectVariance = 0.0004;
/// Successive measurements of one task are alike, which the noise makes up for.
constexpr double kNoiseVariance = 0.09;
constexpr double kForgetting = 0.9995;
constexpr double kMaxVariance = 1.0;
constexpr double kPriorDeviationVariance = 0.02;
constexpr double kVarianceRate = 0.005;
constexpr double kHighLevelDeviations = 1.4;
/// Share of the target that placements may use up.
constexpr double kTargetShare = 0.85;
/// Fill images kept for a serving image.
constexpr std::size_t kMaxFills = 48;

}  // namespace

double UtilisationOf(double tail_ms, double idle_tail_ms) {
  return tail_ms <= idle_tail_ms ? 0.0 : 1.0 - idle_tail_ms / tail_ms;
}

void SharingModel::Grow(Serving& serving, const ImageName& fill) {
  const std::size_t before = serving.weights.size();
  const std::size_t size = before + 1;
  std::vector<double> covariance(size * size, 0.0);
  for (std::size_t r = 0; r < before; ++r) {
    for (std::size_t c = 0; c < before; ++c) {
      covariance[r * size + c] = serving.covariance[r * before + c];
    }
  }
  covariance.back() = kPriorEffectVariance;
  serving.covariance = std::move(covariance);
  serving.weights.push_back(kPriorEffect);
  serving.index.emplace(fill, before);
}

void SharingModel::Learn(const ImageName& image, double tail_ms,
                         const std::vector<FillUse>& fills) {
  if (tail_ms <= 0) return;
  Serving& serving = serving_[image];
  if (serving.weights.empty()) {
    serving.idle_tail_ms = tail_ms;
    serving.weights = {kPriorLevel};
    serving.covariance = {kPriorLevelVariance};
    serving.variance = kPriorDeviationVariance;
  }
  serving.idle_tail_ms = std::min(serving.idle_tail_ms, tail_ms);
  for (const FillUse& fill : fills) {
    if (!serving.index.contains(fill.image) &&
        serving.index.size() < kMaxFills) {
      Grow(serving, fill.image);
    }
  }
  const std::size_t size = serving.weights.size();
  std::vector<double> x(size, 0.0);
  x[0] = 1;
  double cores = 0;
  for (const FillUse& fill : fills) {
    cores += fill.cores;
    const auto it = serving.index.find(fill.image);
    if (it != serving.index.end()) x[it->second] += fill.cores;
  }
  std::vector<double> gain(size, 0.0);
  double scale = kNoiseVariance;
  for (std::size_t r = 0; r < size; ++r) {
    for (std::size_t c = 0; c < size; ++c) {
      gain[r] += serving.covariance[r * size + c] * x[c];
    }
    scale += x[r] * gain[r];
  }
  double error = UtilisationOf(tail_ms, serving.idle_tail_ms);
  for (std::size_t i = 0; i < size; ++i) error -= x[i] * serving.weights[i];
  for (std::size_t r = 0; r < size; ++r) {
    serving.weights[r] += gain[r] * error / scale;
  }
  for (std::size_t r = 0; r < size; ++r) {
    for (std::size_t c = 0; c < size; ++c) {
      double& cell = serving.covariance[r * size + c];
      cell = std::clamp((cell - gain[r] * gain[c] / scale) / kForgetting,
                        -kMaxVariance, kMaxVariance);
    }
  }
  if (cores < 1) {
    serving.variance += kVarianceRate * (error * error - serving.variance);
  }
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
    return kPriorLevel +
           kHighLevelDeviations * std::sqrt(kPriorDeviationVariance);
  }
  return serving->second.weights[0] +
         kHighLevelDeviations * std::sqrt(serving->second.variance);
}

double SharingModel::Limit(const ImageName& image, Milliseconds target) const {
  const auto serving = serving_.find(image);
  if (serving == serving_.end()) return 1.0;
  return UtilisationOf(kTargetShare * static_cast<double>(target.count()),
                       serving->second.idle_tail_ms);
}

double SharingModel::Utilisation(const ImageName& image, double tail_ms) const {
  const auto serving = serving_.find(image);
  if (serving == serving_.end()) return 0;
  return UtilisationOf(tail_ms, serving->second.idle_tail_ms);
}

}  // namespace mangospread::dispatch
