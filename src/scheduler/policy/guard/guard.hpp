/// @file
/// Throttles, evicts and releases tasks beside services that miss their p99
/// objective.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/policy/interference/interference.hpp"
#include "scheduler/policy/placement/worker_book.hpp"
#include "scheduler/policy/weights.hpp"

namespace mangospread::scheduler::policy {

/// Control loop for each service on each worker. An action is judged only by
/// reports that were measured after it had time to take effect; acting on
/// older ones would make the loop oscillate with the reports' lag.
class Guard {
 public:
  Guard(WorkerBook& book, InterferenceModel& model)
      : book_(book), model_(model) {}

  /// Takes in a worker's newest report.
  void Observe(std::size_t worker);
  void Forget(std::size_t worker) { states_.erase(worker); }

  /// Appends what to do on workers that reported since they were last looked
  /// at, the first 1,000 of them.
  void Act(const Tuning& tuning, MonotonicTime now,
           std::vector<Decision>& decisions);

 private:
  /// A throttle whose result is still awaited, to learn from it.
  struct Trial {
    ClassIndex task_class = kOtherClass;
    double amount_change = 0;
    double ln_before = 0;
    MonotonicTime at{0};
    bool pending = false;
  };
  struct ServiceState {
    double smoothed = 0;  ///< p99 in milliseconds.
    int reports = 0;      ///< Since the last action took effect.
    int breaches = 0;     ///< Consecutive reports above the objective.
    MonotonicTime acted_at{0};
    /// Start of the present episode of throttling; 0 without one.
    MonotonicTime throttling_since{0};
    MonotonicTime calm_since{0};
    MonotonicTime released_at{0};
    int release_backoff = 0;
    Trial trial;
  };
  struct WorkerGuard {
    std::unordered_map<ServiceName, ServiceState> services;
    bool fresh = false;
  };

  void ObserveService(const WorkerEntry& entry, const ServiceSlot& slot,
                      ServiceState& state);
  void FinishTrial(const ServiceSlot& slot, ServiceState& state,
                   MonotonicTime at);
  void Breach(WorkerEntry& entry, const ServiceSlot& slot, ServiceState& state,
              const Tuning& tuning, MonotonicTime now,
              std::vector<Decision>& decisions);
  void Throttle(WorkerEntry& entry, const ServiceSlot& slot,
                ServiceState& state, Resident& culprit, MonotonicTime now,
                std::vector<Decision>& decisions);
  void EvictWorst(WorkerEntry& entry, const ServiceSlot& slot,
                  ServiceState& state, MonotonicTime now,
                  std::vector<Decision>& decisions);
  void Release(WorkerEntry& entry, WorkerGuard& guard, MonotonicTime now,
               std::vector<Decision>& decisions);
  [[nodiscard]] double Suspicion(const WorkerEntry& entry,
                                 const Resident& resident,
                                 const ServiceSlot& slot) const;
  [[nodiscard]] bool ReleaseIsSafe(const WorkerEntry& entry,
                                   const WorkerGuard& guard,
                                   const Resident& resident,
                                   int throttle) const;

  WorkerBook& book_;
  InterferenceModel& model_;
  std::unordered_map<std::size_t, WorkerGuard> states_;
  std::vector<std::size_t> fresh_;
};

}  // namespace mangospread::scheduler::policy
