// Learns from worker reports and from tasks that end.
#include <algorithm>
#include <cmath>

#include "scheduler/policy/engine_impl.hpp"

namespace mangospread::scheduler::policy {
namespace {

/// Age from which a task is measured; younger tasks are still starting and use
/// less than later.
constexpr MonotonicTime kMinMeasuredAge = std::chrono::seconds(5);
/// Longest gap between two reports that is treated as one measuring interval.
constexpr MonotonicTime kMaxReportInterval = std::chrono::seconds(30);

double RunningShare(int throttle) {
  return 1.0 - std::clamp(throttle, 0, 100) / 100.0;
}

/// Share of the window that the interval from `from` to `to` covers.
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

double CpuShare(const WorkerEntry& entry) {
  const auto capacity = static_cast<double>(entry.capacity.cpu.value());
  if (capacity <= 0) return 0;
  return static_cast<double>(entry.cpu_used.value()) / capacity;
}

}  // namespace

std::vector<Exposure> Engine::ExposuresOf(const WorkerEntry& entry) const {
  const MonotonicTime to = entry.report_at;
  const MonotonicTime from =
      std::max(entry.previous_report_at, to - kMaxReportInterval);
  std::vector<Exposure> exposures;
  if (to <= from) return exposures;
  for (const ResidentTask& resident : entry.residents) {
    AddExposure(exposures, resident.task_class,
                RunningShare(resident.reported_throttle) *
                    Overlap(from, to, resident.placed_at, to));
  }
  for (const EndedTask& ended : entry.ended_tasks) {
    AddExposure(exposures, ended.task_class,
                RunningShare(ended.throttle) *
                    Overlap(from, to, ended.placed_at, ended.ended_at));
  }
  return exposures;
}

void Engine::LearnFromReport(std::size_t worker) {
  const WorkerEntry& entry = registry_.entries()[worker];
  for (const ResidentTask& resident : entry.residents) {
    if (!resident.measured ||
        entry.report_at - resident.placed_at < kMinMeasuredAge) {
      continue;
    }
    classes_.Measure(resident.task_class, resident.cpu_used,
                     resident.memory_used, resident.reported_throttle);
  }
  Observation observation;
  observation.exposures = ExposuresOf(entry);
  observation.pressure = CpuPressure(CpuShare(entry));
  observation.measured_at = entry.report_at;
  for (const ServiceSlot& slot : entry.services) {
    observation.victim = slot.service_class;
    observation.load_level = slot.load_level;
    observation.value = slot.load.p99_ms;
    model_.Learn(observation);
  }
}

void Engine::LearnRunTime(std::size_t worker, const ResidentTask& resident,
                          MonotonicTime now) {
  const double seconds =
      std::chrono::duration<double>(now - resident.placed_at).count();
  if (!(seconds > 0)) return;
  const WorkerEntry& entry = registry_.entries()[worker];
  Observation observation;
  for (const ResidentTask& other : entry.residents) {
    if (other.demand.id == resident.demand.id) continue;
    AddExposure(observation.exposures, other.task_class,
                RunningShare(other.reported_throttle));
  }
  observation.victim = resident.task_class;
  observation.pressure = CpuPressure(CpuShare(entry));
  observation.value = seconds;
  observation.measured_at = now;
  model_.Learn(observation);
}

}  // namespace mangospread::scheduler::policy
