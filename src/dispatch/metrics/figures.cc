#include "dispatch/metrics/figures.hpp"

#include <algorithm>

#include "dispatch/policy/rejections.hpp"

namespace mangospread::dispatch {

FreeProcessors CountFreeProcessors(const WorkerRegistry& registry,
                                   MonotonicTime now) {
  FreeProcessors free;
  for (const WorkerState& worker : registry.workers()) {
    if (!worker.Accepts(now)) continue;
    const Millicores capacity = worker.info.capacity.cpu;
    if (worker.cpu_used < capacity) {
      free.reservable +=
          static_cast<double>((capacity - worker.cpu_used).value());
    }
    free.best_effort += std::max(0.0, UnusedMillicores(worker));
  }
  return free;
}

std::array<int, kEffectBuckets> CountEffects(const InterferenceModel& model) {
  std::array<int, kEffectBuckets> counts{};
  for (const LearnedInterference& learned : model.Export()) {
    for (const auto& pair : learned.effects) {
      const auto* const bound = std::upper_bound(
          kEffectBounds.begin(), kEffectBounds.end(), pair.effect);
      ++counts[static_cast<std::size_t>(bound - kEffectBounds.begin())];
    }
  }
  return counts;
}

}  // namespace mangospread::dispatch
