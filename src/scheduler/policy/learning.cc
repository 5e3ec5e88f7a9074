// What the engine learns from reports and from tasks that end.
#include <algorithm>
#include <cmath>

#include "scheduler/policy/engine_impl.hpp"

namespace mangospread::scheduler::policy {
namespace {

/// Younger tasks are still starting and use less than later.
constexpr MonotonicTime kMeasureFrom = std::chrono::seconds(5);
/// A longer gap between reports is not one measuring interval.
constexpr MonotonicTime kLongestWindow = std::chrono::seconds(30);

double Running(int throttle) {
  return 1.0 - std::clamp(throttle, 0, 100) / 100.0;
}

/// Part of the window that [from, to] covers.
double Overlap(MonotonicTime window_from, MonotonicTime window_to,
               MonotonicTime from, MonotonicTime to) {
  const MonotonicTime start = std::max(window_from, from);
  const MonotonicTime end = std::min(window_to, to);
  if (end <= start) return 0;
  return static_cast<double>((end - start).count()) /
         static_cast<double>((window_to - window_from).count());
}

void AddExposure(std::vector<Exposure>& exposures, ClassIndex aggressor,
                 double amount) {
  if (amount <= 0) return;
  for (Exposure& exposure : exposures) {
    if (exposure.aggressor != aggressor) continue;
    exposure.amount += amount;
    return;
  }
  exposures.push_back({aggressor, amount});
}

double UsedShare(const WorkerEntry& entry) {
  const auto capacity = static_cast<double>(entry.capacity.cpu.value());
  if (capacity <= 0) return 0;
  return static_cast<double>(entry.cpu_used.value()) / capacity;
}

}  // namespace

std::vector<Exposure> Engine::ExposuresAt(const WorkerEntry& entry) const {
  const MonotonicTime to = entry.report_at;
  const MonotonicTime from =
      std::max(entry.previous_report_at, to - kLongestWindow);
  std::vector<Exposure> exposures;
  if (to <= from) return exposures;
  for (const Resident& resident : entry.residents) {
    AddExposure(exposures, resident.task_class,
                Running(resident.reported_throttle) *
                    Overlap(from, to, resident.placed_at, to));
  }
  for (const Departed& departed : entry.departed) {
    AddExposure(exposures, departed.task_class,
                Running(departed.throttle) *
                    Overlap(from, to, departed.placed_at, departed.ended_at));
  }
  return exposures;
}

void Engine::LearnFromReport(std::size_t worker) {
  const WorkerEntry& entry = book_.entries()[worker];
  for (const Resident& resident : entry.residents) {
    if (!resident.measured ||
        entry.report_at - resident.placed_at < kMeasureFrom) {
      continue;
    }
    classes_.Measure(resident.task_class, resident.cpu_used,
                     resident.memory_used, resident.reported_throttle);
  }
  Observation observation;
  observation.exposures = ExposuresAt(entry);
  observation.pressure = CpuPressure(UsedShare(entry));
  observation.at = entry.report_at;
  for (const ServiceSlot& slot : entry.services) {
    observation.victim = slot.service_class;
    observation.level = slot.level;
    observation.value = slot.load.p99_ms;
    model_.Learn(observation);
  }
}

void Engine::LearnRunTime(std::size_t worker, const Resident& resident,
                          MonotonicTime now) {
  const double seconds =
      std::chrono::duration<double>(now - resident.placed_at).count();
  if (!(seconds > 0)) return;
  const WorkerEntry& entry = book_.entries()[worker];
  Observation observation;
  for (const Resident& other : entry.residents) {
    if (other.demand.id == resident.demand.id) continue;
    AddExposure(observation.exposures, other.task_class,
                Running(other.reported_throttle));
  }
  observation.victim = resident.task_class;
  observation.pressure = CpuPressure(UsedShare(entry));
  observation.value = seconds;
  observation.at = now;
  model_.Learn(observation);
}

}  // namespace mangospread::scheduler::policy
