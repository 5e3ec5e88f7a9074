#include "scheduler/policy/interference/interference.hpp"

#include <algorithm>
#include <cmath>

namespace mangospread::scheduler::policy {
namespace {

/// Prior effect of a pair whose classes have not been measured: 1% on p99 for
/// each task.
constexpr double kPriorMean = 0.01;
constexpr double kPriorVariance = 0.06 * 0.06;
/// Growth of a coefficient's variance per second; an estimate becomes uncertain
/// again within some hours.
constexpr double kVarianceGrowth = 2e-7;
/// Variance of a victim's baseline before the first measurement.
constexpr double kBaselineVariance = 0.1;
constexpr double kBaselineVarianceGrowth = 2e-7;
constexpr double kPressurePrior = 0.3;
constexpr double kPressureVariance = 0.04;
/// Standard deviations to which the deviation of a measurement from its
/// prediction is clamped.
constexpr double kMaxDeviations = 3.0;
constexpr double kMinNoise = 0.002;
constexpr double kInitialNoise = 0.02;
constexpr double kNoiseRate = 0.02;
/// Estimates may fall slightly below zero, because noise that is cut off at
/// zero would bias them.
constexpr double kMinEffect = -0.03;
constexpr double kMaxEffect = 3.0;
constexpr double kPressureThreshold = 0.7;
/// Samples from which an aggressor's own mean outweighs the general prior.
constexpr double kAggressorSamples = 200;

std::uint32_t Key(ClassIndex aggressor, ClassIndex victim) {
  return (static_cast<std::uint32_t>(aggressor) << 16) | victim;
}

double SecondsBetween(MonotonicTime from, MonotonicTime to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double GrowVariance(double variance, double growth, double seconds,
                    double limit) {
  return std::max(variance, std::min(limit, variance + growth * seconds));
}

/// Position of a load level between two knots.
struct KnotSpan {
  std::size_t below;
  double share_above;
};

KnotSpan Locate(double load_level, std::size_t knots) {
  const double position =
      std::clamp(load_level, 0.0, 1.0) * static_cast<double>(knots - 1);
  const std::size_t below =
      std::min(static_cast<std::size_t>(position), knots - 2);
  return {below, position - static_cast<double>(below)};
}

}  // namespace

double CpuPressure(double used_share) {
  return std::max(
      0.0, (used_share - kPressureThreshold) / (1.0 - kPressureThreshold));
}

std::uint32_t InterferenceModel::Generations(ClassIndex aggressor,
                                             ClassIndex victim) const {
  return (classes_.generation(aggressor) << 16) ^ classes_.generation(victim);
}

InterferenceModel::Coefficient InterferenceModel::Prior(
    ClassIndex aggressor) const {
  const auto found = aggressors_.find(aggressor);
  if (found == aggressors_.end() ||
      found->second.generation != classes_.generation(aggressor)) {
    return {kPriorMean, kPriorVariance};
  }
  const double share =
      found->second.samples / (found->second.samples + kAggressorSamples);
  return {(1 - share) * kPriorMean + share * found->second.mean,
          kPriorVariance};
}

Effect PairEffect::AtLoad(double load_level) const {
  const double share = std::clamp(load_level, 0.0, 1.0);
  const double rest = 1 - share;
  return {std::max(0.0, rest * low.mean + share * high.mean),
          rest * rest * low.variance + share * share * high.variance};
}

PairEffect InterferenceModel::Find(ClassIndex aggressor,
                                   ClassIndex victim) const {
  const auto found = pairs_.find(Key(aggressor, victim));
  if (found == pairs_.end() ||
      found->second.generations != Generations(aggressor, victim)) {
    const Coefficient prior = Prior(aggressor);
    return {prior, prior};
  }
  return {found->second.low, found->second.high};
}

double InterferenceModel::PredictAlone(ClassIndex victim,
                                       double load_level) const {
  const auto found = victims_.find(victim);
  if (found == victims_.end()) return 0;
  const KnotSpan span = Locate(load_level, kKnots);
  const auto& knots = found->second.knots;
  return (1 - span.share_above) * knots[span.below].mean +
         span.share_above * knots[span.below + 1].mean;
}

double InterferenceModel::PressureSlope(ClassIndex victim) const {
  const auto found = victims_.find(victim);
  return found == victims_.end() ? kPressurePrior : found->second.pressure.mean;
}

InterferenceModel::Pair& InterferenceModel::FindPair(
    ClassIndex aggressor, ClassIndex victim, MonotonicTime measured_at) {
  const std::uint32_t generations = Generations(aggressor, victim);
  auto found = pairs_.find(Key(aggressor, victim));
  if (found == pairs_.end() || found->second.generations != generations) {
    if (found == pairs_.end()) {
      found = pairs_.emplace(Key(aggressor, victim), Pair{}).first;
    }
    const Coefficient prior = Prior(aggressor);
    found->second = Pair{prior, prior, measured_at, generations};
  }
  Pair& pair = found->second;
  const double seconds = SecondsBetween(pair.updated_at, measured_at);
  for (Coefficient* coefficient : {&pair.low, &pair.high}) {
    coefficient->variance = GrowVariance(coefficient->variance, kVarianceGrowth,
                                         seconds, kPriorVariance);
  }
  pair.updated_at = std::max(pair.updated_at, measured_at);
  return pair;
}

void InterferenceModel::DropOldPairs() {
  std::vector<MonotonicTime> times;
  times.reserve(pairs_.size());
  for (const auto& [key, pair] : pairs_) times.push_back(pair.updated_at);
  const auto cut =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 10);
  std::nth_element(times.begin(), cut, times.end());
  const MonotonicTime limit = *cut;
  std::size_t remaining = times.size() / 10 + 1;
  std::erase_if(pairs_, [limit, &remaining](const auto& entry) {
    if (remaining == 0 || entry.second.updated_at > limit) return false;
    --remaining;
    return true;
  });
}

InterferenceModel::Victim& InterferenceModel::FindVictim(
    const Observation& observation, double ln_value) {
  const std::uint32_t generation = classes_.generation(observation.victim);
  auto [found, added] = victims_.try_emplace(observation.victim);
  Victim& victim = found->second;
  if (added || victim.generation != generation) {
    victim = Victim{};
    victim.generation = generation;
    victim.updated_at = observation.measured_at;
    victim.noise = kInitialNoise;
    victim.pressure = {kPressurePrior, kPressureVariance};
    for (Coefficient& knot : victim.knots) knot = {ln_value, kBaselineVariance};
  }
  const double seconds =
      SecondsBetween(victim.updated_at, observation.measured_at);
  for (Coefficient& knot : victim.knots) {
    knot.variance = GrowVariance(knot.variance, kBaselineVarianceGrowth,
                                 seconds, kBaselineVariance);
  }
  victim.updated_at = std::max(victim.updated_at, observation.measured_at);
  return victim;
}

double InterferenceModel::ApplyMeasurement(std::vector<Term>& terms,
                                           double measured, double noise) {
  double predicted = 0;
  double variance = noise;
  for (const Term& term : terms) {
    predicted += term.amount * term.coefficient->mean;
    variance += term.amount * term.amount * term.coefficient->variance;
  }
  const double innovation = measured - predicted;
  const double limit = kMaxDeviations * std::sqrt(variance);
  const double used = std::clamp(innovation, -limit, limit);
  for (const Term& term : terms) {
    Coefficient& coefficient = *term.coefficient;
    const double gain = coefficient.variance * term.amount / variance;
    coefficient.mean += gain * used;
    coefficient.variance *= 1 - gain * term.amount;
  }
  return innovation;
}

void InterferenceModel::UpdateAggressor(ClassIndex aggressor, const Pair& pair,
                                        double load_level) {
  Aggressor& entry = aggressors_[aggressor];
  if (entry.generation != classes_.generation(aggressor)) {
    entry = Aggressor{};
    entry.generation = classes_.generation(aggressor);
  }
  const double effect =
      (1 - load_level) * pair.low.mean + load_level * pair.high.mean;
  entry.samples = std::min(entry.samples + 1, 10 * kAggressorSamples);
  entry.mean += (std::max(0.0, effect) - entry.mean) / entry.samples;
}

void InterferenceModel::Learn(const Observation& observation) {
  if (!(observation.value > 0) || observation.victim == kOtherClass) return;
  while (pairs_.size() + observation.exposures.size() > kMaxPairs) {
    DropOldPairs();
  }
  const double ln_value = std::log(observation.value);
  Victim& victim = FindVictim(observation, ln_value);
  const double load_level = std::clamp(observation.load_level, 0.0, 1.0);
  const KnotSpan span = Locate(load_level, kKnots);
  terms_.clear();
  terms_.push_back({&victim.knots[span.below], 1 - span.share_above});
  terms_.push_back({&victim.knots[span.below + 1], span.share_above});
  if (observation.pressure > 0) {
    terms_.push_back({&victim.pressure, observation.pressure});
  }
  for (const Exposure& exposure : observation.exposures) {
    if (exposure.aggressor == kOtherClass || exposure.amount <= 0) continue;
    // Pointers to elements of the map stay valid: capacity for new pairs was
    // made above, so that none is dropped here.
    Pair& pair = FindPair(exposure.aggressor, observation.victim,
                          observation.measured_at);
    terms_.push_back({&pair.low, exposure.amount * (1 - load_level)});
    terms_.push_back({&pair.high, exposure.amount * load_level});
  }
  const double innovation = ApplyMeasurement(terms_, ln_value, victim.noise);
  const double limited = std::min(innovation * innovation, 9 * victim.noise);
  victim.noise =
      std::max(kMinNoise, victim.noise + kNoiseRate * (limited - victim.noise));
  victim.pressure.mean = std::clamp(victim.pressure.mean, 0.0, 3.0);
  victim.pressure.variance =
      std::max(victim.pressure.variance, kPressureVariance / 50);
  for (const Exposure& exposure : observation.exposures) {
    if (exposure.aggressor == kOtherClass || exposure.amount <= 0) continue;
    const auto found = pairs_.find(Key(exposure.aggressor, observation.victim));
    if (found == pairs_.end()) continue;
    Pair& pair = found->second;
    pair.low.mean = std::clamp(pair.low.mean, kMinEffect, kMaxEffect);
    pair.high.mean = std::clamp(pair.high.mean, kMinEffect, kMaxEffect);
    UpdateAggressor(exposure.aggressor, pair, load_level);
  }
}

void InterferenceModel::LearnChange(ClassIndex aggressor, ClassIndex victim,
                                    double load_level, double amount_change,
                                    double ln_change,
                                    MonotonicTime measured_at) {
  if (aggressor == kOtherClass || victim == kOtherClass) return;
  const auto known = victims_.find(victim);
  if (known == victims_.end()) return;
  if (pairs_.size() >= kMaxPairs) DropOldPairs();
  Pair& pair = FindPair(aggressor, victim, measured_at);
  const double high = std::clamp(load_level, 0.0, 1.0);
  terms_.clear();
  terms_.push_back({&pair.low, amount_change * (1 - high)});
  terms_.push_back({&pair.high, amount_change * high});
  // A difference of two measurements carries the noise of both.
  ApplyMeasurement(terms_, ln_change, 2 * known->second.noise);
  pair.low.mean = std::clamp(pair.low.mean, kMinEffect, kMaxEffect);
  pair.high.mean = std::clamp(pair.high.mean, kMinEffect, kMaxEffect);
}

}  // namespace mangospread::scheduler::policy
