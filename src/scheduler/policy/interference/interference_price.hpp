/// @file
/// Price of slowing down the services of a class.
#pragma once

#include <cstddef>
#include <vector>

#include "scheduler/policy/interference/class_table.hpp"
#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

/// Keeps the mean predicted ln(p99 / alone) of each service class near a
/// target. The price rises while a class is above the target, so that only
/// tasks that do much work for the interference that they cause are placed
/// beside it. It falls while tasks are refused because of the price and the
/// class is below the target.
class InterferencePrice {
 public:
  /// Predicted effect on one service of a worker.
  struct Share {
    ClassIndex service_class = kOtherClass;
    double weight = 0;  ///< Load of the service.
    double effect = 0;  ///< Predicted ln(p99 / alone).
  };

  /// Replaces the shares of a worker.
  void Set(std::size_t worker, const std::vector<Share>& shares);
  /// @param refused True if a task was refused because of the price since the
  /// last call.
  void Update(MonotonicTime now, bool refused, double target);
  /// Cores that a task must use for each unit of ln(p99) that it adds to a
  /// service of the class at full load.
  [[nodiscard]] double PriceOf(ClassIndex service_class) const;

 private:
  struct Class {
    double weight = 0;  ///< Sum of the loads of its services.
    double sum = 0;     ///< Sum of weight times effect.
    int services = 0;
    double price = 0;  ///< In the unit of PriceOf.
  };

  void Accumulate(const Share& share, int sign);

  std::vector<std::vector<Share>> shares_by_worker_;
  std::vector<Class> classes_;
  MonotonicTime updated_at_{0};
  double target_ = 1;
};

}  // namespace mangospread::scheduler::policy
