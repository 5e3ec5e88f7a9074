/// @file
/// Presets of the policy weights and the limits derived from them.
#pragma once

#include <algorithm>
#include <optional>
#include <string_view>

#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

/// Weights of a preset: "latency-first" or "throughput-first".
/// @return nothing for an unknown name.
[[nodiscard]] constexpr std::optional<Weights> PresetWeights(
    std::string_view name) noexcept {
  if (name == "latency-first") return Weights{4.0, 1.0, 1.0};
  if (name == "throughput-first") return Weights{1.0, 2.0, 4.0};
  return std::nullopt;
}

/// Limits derived from the weights.
struct Tuning {
  /// Highest predicted ln(p99 / p99 alone) that a placement may reach.
  double interference_limit = 0.06;
  /// Standard deviations added to a predicted effect.
  double uncertainty_margin = 0.5;
  /// Highest planned share of a worker's processors.
  double max_cpu_share = 0.85;
  /// Time that throttling may take to bring a service below its objective
  /// before a task is evicted.
  MonotonicTime eviction_delay = std::chrono::seconds(20);
  /// Mean predicted ln(p99 / p99 alone) at which the interference prices hold
  /// each service class.
  double interference_target = 0.1;
  /// Factor by which a task may exceed the interference price.
  double price_factor = 1.0;
  /// Factors of the cost terms of placements and evictions.
  double latency_cost = 1.0;
  double throughput_cost = 1.0;
  double eviction_cost = 1.0;
};

/// Derives the limits from the ratios of the weights, and the cost factors from
/// the weights themselves. Weights below 0.01 count as 0.01.
[[nodiscard]] constexpr Tuning DeriveTuning(const Weights& weights) noexcept {
  const double latency = std::max(weights.latency, 0.01);
  const double throughput = std::max(weights.throughput, 0.01);
  const double evictions = std::max(weights.evictions, 0.01);
  const double ratio = std::clamp(latency / throughput, 0.25, 4.0);
  // Preference for latency over throughput, within 0..1: 0 at the ratio 0.25,
  // 0.39 when the weights are equal, 0.76 at the ratio 4.
  const double latency_preference = (ratio - 0.25) / (ratio + 0.9375);
  Tuning tuning;
  // The limit bounds every single service; the target controls the mean.
  tuning.interference_limit = 0.15;
  tuning.interference_target = 0.1 - 0.008 * latency_preference;
  tuning.uncertainty_margin = 0.25 + 0.75 * latency_preference;
  tuning.max_cpu_share = 0.92 - 0.05 * latency_preference;
  const double delay_factor = std::clamp(evictions / latency, 0.25, 4.0);
  tuning.eviction_delay = std::chrono::milliseconds(
      static_cast<std::int64_t>(20'000 * delay_factor));
  tuning.latency_cost = latency;
  tuning.throughput_cost = throughput;
  tuning.eviction_cost = evictions;
  return tuning;
}

}  // namespace mangospread::scheduler::policy
