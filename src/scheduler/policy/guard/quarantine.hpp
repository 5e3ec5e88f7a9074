/// @file
/// Quarantines workers on which attempts fail.
#pragma once

#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

/// Quarantines a worker by its failure rate and probes it later with one task
/// at a time. A worker that failed recently but is not quarantined gets one
/// task at a time as well, because a worker whose tasks fail at once always has
/// free capacity.
class Quarantine {
 public:
  static constexpr std::int32_t kUnlimited =
      std::numeric_limits<std::int32_t>::max();
  /// Share of the workers that may be quarantined at once, so that a fault
  /// common to all workers does not exclude all of them.
  static constexpr double kMaxQuarantinedShare = 0.1;

  void OnPlaced(const VmName& vm);
  /// An attempt ended with neither success nor failure.
  void OnEnded(const VmName& vm);
  void OnSuccess(const VmName& vm);
  /// @param fault_share Share of the fault attributed to the worker, 0..1;
  /// lower when the task's class fails on other workers as well.
  /// @param workers Number of registered workers.
  /// @return true if the worker is quarantined by this failure.
  bool OnFailure(const VmName& vm, double fault_share, std::size_t workers,
                 MonotonicTime now);
  /// Ends the attempts of a removed worker; its failure rate is kept.
  void OnWorkerRemoved(const VmName& vm);

  /// Number of tasks that may be started on the worker now.
  [[nodiscard]] std::int32_t StartsAllowed(const VmName& vm,
                                           MonotonicTime now) const;
  /// Recent failure rate, 0 for a worker without recent failures.
  [[nodiscard]] double FailureRate(const VmName& vm) const;
  [[nodiscard]] bool IsQuarantined(const VmName& vm, MonotonicTime now) const;
  /// Workers whose number of starts is limited.
  [[nodiscard]] std::vector<VmName> LimitedWorkers() const;
  [[nodiscard]] std::size_t CountQuarantined(MonotonicTime now) const;

 private:
  struct Record {
    double attempts = 0;  ///< Older attempts weigh less.
    double failures = 0;  ///< Weighted by age and by fault share.
    int outstanding = 0;  ///< Attempts that have not ended.
    int quarantines = 0;
    MonotonicTime quarantined_until{0};
    /// Time before which no task is started after a failure.
    MonotonicTime not_before{0};
  };

  std::unordered_map<VmName, Record> records_;
};

}  // namespace mangospread::scheduler::policy
