#include "dispatch/policy/placement.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace mangospread::dispatch {
namespace {

/// Share of its request that a latency-critical task uses on average.
constexpr double kLatencyCriticalUse = 0.5;
constexpr double kSameImageCost = -0.3;
/// A best-effort task that adds less utilisation than this needs no headroom.
constexpr double kNegligibleEffect = 0.02;
/// Cost of running on another rack than the data, in shares of a worker's
/// processors.
constexpr double kRemoteDataCost = 2.0;

bool Satisfies(const WorkerState& worker, const StepSpec& spec) {
  if (spec.required_label.empty()) return true;
  const auto& labels = worker.info.labels;
  return std::find(labels.begin(), labels.end(), spec.required_label) !=
         labels.end();
}

/// Processor time available to further best-effort tasks, in millicores.
double Unused(const WorkerState& worker) {
  const auto value = [](Millicores cpu) {
    return static_cast<double>(cpu.value());
  };
  const double reserved =
      value(worker.cpu_used) - value(worker.latency_critical_cpu);
  return value(worker.info.capacity.cpu) - reserved -
         kLatencyCriticalUse * value(worker.latency_critical_cpu) -
         value(worker.best_effort_cpu);
}

/// Effects of one best-effort image on latency-critical images, cached for one
/// decision.
class Effects {
 public:
  Effects(const InterferenceModel& model, const StepSpec& spec)
      : model_(model),
        spec_(spec),
        cores_(static_cast<double>(spec.cpu.value()) / kMillicoresPerCore) {}

  /// Utilisation that a task of the step adds.
  double EffectOn(const ImageName& latency_critical_image) {
    for (const auto& [image, effect] : cache_) {
      if (image == latency_critical_image) return effect;
    }
    const double effect =
        model_.Effect(spec_.image, latency_critical_image) * cores_;
    cache_.emplace_back(latency_critical_image, effect);
    return effect;
  }

 private:
  static constexpr double kMillicoresPerCore = 1'000;
  const InterferenceModel& model_;
  const StepSpec& spec_;
  double cores_;
  std::vector<std::pair<ImageName, double>> cache_;
};

/// True if the best-effort task leaves every latency-critical task on the
/// worker within its limit.
bool LeavesHeadroom(const WorkerState& worker, const InterferenceModel& model,
                    Effects& effects) {
  const auto& groups = worker.LatencyCriticalGroups(model);
  return std::all_of(
      groups.begin(), groups.end(), [&](const LatencyCriticalGroup& group) {
        const double effect = effects.EffectOn(group.image);
        return effect < kNegligibleEffect || effect <= group.headroom;
      });
}

bool Fits(const WorkerState& worker, const StepSpec& spec) {
  const WorkerCapacity& capacity = worker.info.capacity;
  if (worker.memory_used + spec.memory > capacity.memory) return false;
  if (worker.accelerators_used + spec.accelerators > capacity.accelerators) {
    return false;
  }
  if (!spec.best_effort) return worker.cpu_used + spec.cpu <= capacity.cpu;
  return Unused(worker) >= static_cast<double>(spec.cpu.value());
}

/// Number of latency-critical tasks of other images on the worker, minus a
/// share for each of the same image. A best-effort image slows down few
/// latency-critical images, so workers with a single latency-critical image can
/// run most best-effort tasks.
double ImageMismatch(const WorkerState& worker, const InterferenceModel& model,
                     const StepSpec& spec) {
  double mismatch = 0;
  for (const LatencyCriticalGroup& group :
       worker.LatencyCriticalGroups(model)) {
    const double cost = group.image == spec.image ? kSameImageCost : 1.0;
    mismatch += cost * group.tasks;
  }
  return mismatch;
}

/// Lower is better.
double Cost(const WorkerState& worker, const InterferenceModel& model,
            const StepSpec& spec) {
  const auto capacity = static_cast<double>(
      std::max<std::int64_t>(worker.info.capacity.cpu.value(), 1));
  const auto used = static_cast<double>(worker.cpu_used.value()) / capacity;
  // Best-effort tasks prefer the most unused processor time, other tasks the
  // smallest reserved share.
  double cost = spec.best_effort ? -Unused(worker) / capacity : used;
  if (spec.long_running) cost += ImageMismatch(worker, model, spec);
  if (!spec.data_rack.empty() && worker.info.rack != spec.data_rack) {
    cost += kRemoteDataCost;
  }
  return cost;
}

}  // namespace

Placement ChooseWorker(const WorkerRegistry& registry,
                       const InterferenceModel& model,
                       const ServiceName& service, const StepSpec& spec,
                       const std::function<int(WorkerSlot)>& tasks_of_step,
                       MonotonicTime now) {
  Placement best{kNoWorker, PlacementFailure::kNoWorker};
  double best_cost = 0;
  Effects effects(model, spec);
  const auto& workers = registry.workers();
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const WorkerState& worker = workers[i];
    if (!worker.Accepts(now) || worker.info.service != service ||
        !Satisfies(worker, spec)) {
      continue;
    }
    const auto slot = static_cast<WorkerSlot>(i);
    if (!Fits(worker, spec) || (spec.max_per_worker > 0 &&
                                tasks_of_step(slot) >= spec.max_per_worker)) {
      if (best.worker == kNoWorker) best.reason = PlacementFailure::kNoCapacity;
      continue;
    }
    if (spec.best_effort && !LeavesHeadroom(worker, model, effects)) {
      if (best.worker == kNoWorker) best.reason = PlacementFailure::kNoCapacity;
      continue;
    }
    const double cost = Cost(worker, model, spec);
    if (best.worker == kNoWorker || cost < best_cost) {
      best = {slot, PlacementFailure::kNone};
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace mangospread::dispatch
