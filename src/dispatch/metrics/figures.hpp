/// @file
/// Figures about workers and learned effects, computed for each scrape.
#pragma once

#include <array>
#include <cstddef>

#include "dispatch/policy/sharing_model.hpp"
#include "dispatch/policy/worker_book.hpp"

namespace mangospread::dispatch {

/// Processor time, in millicores, that tasks could use on the workers that can
/// start one now.
struct FreeProcessors {
  double reservable = 0;   ///< For tasks that are not best effort.
  double best_effort = 0;  ///< Without regard to headroom.
};
[[nodiscard]] FreeProcessors CountFreeProcessors(const WorkerRegistry& registry,
                                                 MonotonicTime now);

/// Upper bounds of the buckets of learned effects, in utilisation per core,
/// except the last one. A best-effort task of a few cores with an effect below
/// the first bound needs no headroom.
inline constexpr std::array<double, 3> kEffectBounds = {0.005, 0.02, 0.05};
inline constexpr std::size_t kEffectBuckets = kEffectBounds.size() + 1;

/// Number of pairs of a best-effort and a latency-critical image by the size of
/// the learned effect.
[[nodiscard]] std::array<int, kEffectBuckets> CountEffects(
    const InterferenceModel& model);

}  // namespace mangospread::dispatch
