#include "dispatch/policy/rejections.hpp"

#include <algorithm>
#include <map>

#include "dispatch/policy/placement.hpp"

namespace mangospread::dispatch {
namespace {

/// Share of its request that a latency-critical task uses on average.
constexpr double kLatencyCriticalUse = 0.5;

}  // namespace

std::string_view RejectionName(Rejection rejection) noexcept {
  switch (rejection) {
    case Rejection::kNone:
      return "free";
    case Rejection::kLeaving:
      return "leaving";
    case Rejection::kEvacuated:
      return "evacuated";
    case Rejection::kDetached:
      return "detached";
    case Rejection::kSilent:
      return "silent";
    case Rejection::kUnknownUse:
      return "unknown_use";
    case Rejection::kRefused:
      return "refused";
    case Rejection::kOnTrial:
      return "on_trial";
    case Rejection::kLabel:
      return "label";
    case Rejection::kUnregistered:
      return "unregistered";
    case Rejection::kSuspected:
      return "suspected";
    case Rejection::kProcessors:
      return "processors";
    case Rejection::kMemory:
      return "memory";
    case Rejection::kAccelerators:
      return "accelerators";
    case Rejection::kSpread:
      return "spread";
    case Rejection::kHeadroom:
      return "headroom";
  }
  return "unknown";
}

Rejection StartRejection(const WorkerState& worker,
                         MonotonicTime now) noexcept {
  if (worker.CanStart(now)) return Rejection::kNone;
  if (worker.slot_free || worker.info.leaving()) return Rejection::kLeaving;
  if (worker.evacuated) return Rejection::kEvacuated;
  if (!worker.attached) return Rejection::kDetached;
  if (worker.silent_since.count() > 0) return Rejection::kSilent;
  if (!worker.stray_runs.empty()) return Rejection::kUnknownUse;
  if (!worker.guards_capacity && !worker.IsRegistered()) {
    return Rejection::kUnregistered;
  }
  return now < worker.trial_until ? Rejection::kOnTrial : Rejection::kRefused;
}

Rejection LabelRejection(const WorkerState& worker, const StepSpec& spec) {
  if (spec.required_label.empty()) return Rejection::kNone;
  if (!worker.IsRegistered()) return Rejection::kUnregistered;
  const auto& labels = worker.info.labels;
  const bool has_label = std::find(labels.begin(), labels.end(),
                                   spec.required_label) != labels.end();
  return has_label ? Rejection::kNone : Rejection::kLabel;
}

double UnusedMillicores(const WorkerState& worker) noexcept {
  const auto value = [](Millicores cpu) {
    return static_cast<double>(cpu.value());
  };
  const double reserved =
      value(worker.cpu_used) - value(worker.latency_critical_cpu);
  return value(worker.info.capacity.cpu) - reserved -
         kLatencyCriticalUse * value(worker.latency_critical_cpu) -
         value(worker.best_effort_cpu);
}

Rejection FitRejection(const WorkerState& worker,
                       const StepSpec& spec) noexcept {
  const WorkerCapacity& capacity = worker.info.capacity;
  if (worker.memory_used + spec.memory > capacity.memory) {
    return Rejection::kMemory;
  }
  if (worker.accelerators_used + spec.accelerators > capacity.accelerators) {
    return Rejection::kAccelerators;
  }
  const bool has_processors =
      spec.best_effort
          ? UnusedMillicores(worker) >= static_cast<double>(spec.cpu.value())
          : worker.cpu_used + spec.cpu <= capacity.cpu;
  return has_processors ? Rejection::kNone : Rejection::kProcessors;
}

int FitCount(const WorkerState& worker, const StepSpec& spec,
             int most) noexcept {
  const auto bound = [&most](double free, double needed) {
    if (needed <= 0) return;
    most = std::min(most, static_cast<int>(std::max(0.0, free) / needed));
  };
  const WorkerCapacity& capacity = worker.info.capacity;
  const auto difference = [](auto total, auto used) {
    return static_cast<double>(total.value()) -
           static_cast<double>(used.value());
  };
  if (spec.max_per_worker > 0) most = std::min(most, spec.max_per_worker);
  bound(spec.best_effort ? UnusedMillicores(worker)
                         : difference(capacity.cpu, worker.cpu_used),
        static_cast<double>(spec.cpu.value()));
  bound(difference(capacity.memory, worker.memory_used),
        static_cast<double>(spec.memory.value()));
  bound(difference(capacity.accelerators, worker.accelerators_used),
        static_cast<double>(spec.accelerators.value()));
  return std::max(0, most);
}

Rejections CountRejections(const WorkerRegistry& registry,
                           const ServiceName& service, StepPlacer& placer) {
  Rejections rejections;
  std::map<ImageName, int> without_headroom;
  for (const WorkerSlot slot : registry.SlotsOf(service)) {
    const Rejection rejection = placer.RejectionBy(slot);
    ++rejections.workers[static_cast<std::size_t>(rejection)];
    if (rejection == Rejection::kHeadroom) {
      ++without_headroom[placer.ScarcestImage(slot)];
    }
  }
  const auto most = std::max_element(
      without_headroom.begin(), without_headroom.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (most != without_headroom.end()) rejections.image = most->first;
  return rejections;
}

}  // namespace mangospread::dispatch
