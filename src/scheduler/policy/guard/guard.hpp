/// @file
/// Throttles and evicts tasks beside services that miss their p99 objective,
/// and ends the throttling later.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/policy/interference/interference.hpp"
#include "scheduler/policy/placement/worker_registry.hpp"
#include "scheduler/policy/weights.hpp"

namespace mangospread::scheduler::policy {

/// Control loop for each service on each worker. An action is evaluated only by
/// reports that were measured after it had time to take effect; reacting to
/// older reports would make the loop oscillate with their lag.
class Guard {
 public:
  Guard(WorkerRegistry& registry, InterferenceModel& model)
      : registry_(registry), model_(model) {}

  /// Processes the newest report of a worker.
  void Observe(std::size_t worker);
  void Erase(std::size_t worker) { states_.erase(worker); }

  /// Appends decisions for workers that have reported since they were last
  /// evaluated, for at most 1,000 of them.
  void Act(const Tuning& tuning, MonotonicTime now,
           std::vector<Decision>& decisions);

 private:
  /// A throttling step whose effect is still to be measured, for learning.
  struct Trial {
    ClassIndex task_class = kOtherClass;
    double amount_change = 0;  ///< Change of the task's speed, -1..1.
    double ln_before = 0;      ///< ln(p99) before the step.
    MonotonicTime started_at{0};
    bool pending = false;
  };
  struct ServiceState {
    double smoothed = 0;  ///< p99 in milliseconds.
    int reports = 0;      ///< Since the last action took effect.
    int breaches = 0;     ///< Consecutive reports above the objective.
    MonotonicTime last_action_at{0};
    /// Time at which the present throttling began; 0 without one.
    MonotonicTime throttling_since{0};
    MonotonicTime last_above_threshold_at{0};
    /// Time at which throttling was reduced last; 0 once a breach has been
    /// attributed to it.
    MonotonicTime released_at{0};
    int release_backoff = 0;  ///< Doublings of the release delay.
    Trial trial;
  };
  struct WorkerGuard {
    std::unordered_map<ServiceName, ServiceState> services;
    bool has_new_report = false;
  };

  void ObserveService(const WorkerEntry& entry, const ServiceSlot& slot,
                      ServiceState& state);
  void FinishTrial(const ServiceSlot& slot, ServiceState& state,
                   MonotonicTime measured_at);
  void HandleBreach(WorkerEntry& entry, const ServiceSlot& slot,
                    ServiceState& state, const Tuning& tuning,
                    MonotonicTime now, std::vector<Decision>& decisions);
  void Throttle(WorkerEntry& entry, const ServiceSlot& slot,
                ServiceState& state, ResidentTask& target, MonotonicTime now,
                std::vector<Decision>& decisions);
  void EvictWorst(WorkerEntry& entry, const ServiceSlot& slot,
                  ServiceState& state, MonotonicTime now,
                  std::vector<Decision>& decisions);
  void Release(WorkerEntry& entry, WorkerGuard& guard, MonotonicTime now,
               std::vector<Decision>& decisions);
  [[nodiscard]] double AttributionScore(const WorkerEntry& entry,
                                        const ResidentTask& resident,
                                        const ServiceSlot& slot) const;
  [[nodiscard]] bool ReleaseIsSafe(const WorkerEntry& entry,
                                   const WorkerGuard& guard,
                                   const ResidentTask& resident,
                                   int throttle) const;

  WorkerRegistry& registry_;
  InterferenceModel& model_;
  std::unordered_map<std::size_t, WorkerGuard> states_;
  std::vector<std::size_t> new_reports_;
};

}  // namespace mangospread::scheduler::policy
