/// @file
/// Keeps work away from workers that fail what they start.
#pragma once

#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

/// Takes a worker out by its failure rate and tries it again later with one
/// task at a time. A worker that failed lately but is not out gets one task at
/// a time as well, because a worker that fails at once always looks free.
class Quarantine {
 public:
  static constexpr std::int32_t kUnlimited =
      std::numeric_limits<std::int32_t>::max();
  /// Share of workers that may be out at once. A fault common to all workers
  /// must not take all of them out.
  static constexpr double kMostOut = 0.1;

  void OnPlaced(const VmName& vm);
  /// An attempt ended otherwise than by failure or success.
  void OnEnded(const VmName& vm);
  void OnSuccess(const VmName& vm);
  /// @param blame 0..1, lower when the task's class fails elsewhere as well.
  /// @param workers Number of live workers.
  /// @return true if the worker is taken out.
  bool OnFailure(const VmName& vm, double blame, std::size_t workers,
                 MonotonicTime now);
  void OnWorkerGone(const VmName& vm);

  /// Number of tasks that may be started on the worker now.
  [[nodiscard]] std::int32_t StartsAllowed(const VmName& vm,
                                           MonotonicTime now) const;
  /// Recent failure rate, 0 for a worker without recent failures.
  [[nodiscard]] double FailureRate(const VmName& vm) const;
  [[nodiscard]] bool IsOut(const VmName& vm, MonotonicTime now) const;
  /// Workers whose allowance is limited.
  [[nodiscard]] std::vector<VmName> Limited() const;
  [[nodiscard]] std::size_t CountOut(MonotonicTime now) const;

 private:
  struct Record {
    double attempts = 0;
    double failures = 0;
    int outstanding = 0;
    int times_out = 0;
    MonotonicTime out_until{0};
    MonotonicTime not_before{0};
  };

  std::unordered_map<VmName, Record> records_;
};

}  // namespace mangospread::scheduler::policy
