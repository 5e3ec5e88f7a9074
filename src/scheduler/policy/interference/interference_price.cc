#include "scheduler/policy/interference/interference_price.hpp"

#include <algorithm>
#include <cmath>

namespace mangospread::scheduler::policy {
namespace {

/// Price until more is measured. It lets a task add 1.1% to p99 at full load
/// for each core.
constexpr double kInitialPrice = 90;
constexpr double kMinPrice = 5;
/// Highest price. A higher one would refuse tasks that cause almost no
/// interference, because estimates contain noise: 132 allows 0.76% on p99 for
/// each core.
constexpr double kMaxPrice = 132;
constexpr double kMinCurrentPrice = 1;
/// Time in which the price of a class at twice the target grows by the factor
/// e. Tasks run for minutes, so a faster loop would oscillate.
constexpr double kPeriodSeconds = 120;
/// Steepness with which the price follows placements immediately. Without it,
/// all tasks of a class would be placed in one round when the price falls.
constexpr double kSteepness = 6;
constexpr double kMaxStepSeconds = 5;

}  // namespace

double InterferencePrice::PriceOf(ClassIndex service_class) const {
  if (service_class >= classes_.size()) return kInitialPrice;
  const Class& entry = classes_[service_class];
  if (entry.weight <= 0) return kInitialPrice;
  const double error =
      std::clamp(entry.sum / entry.weight / target_ - 1, -1.0, 1.0);
  return std::clamp(entry.price * std::exp(kSteepness * error),
                    kMinCurrentPrice, kMaxPrice);
}

void InterferencePrice::Accumulate(const Share& share, int sign) {
  if (share.service_class >= classes_.size()) {
    classes_.resize(share.service_class + std::size_t{1});
  }
  Class& entry = classes_[share.service_class];
  if (entry.price <= 0) entry.price = kInitialPrice;
  entry.services += sign;
  entry.weight += sign * share.weight;
  entry.sum += sign * share.weight * share.effect;
  // Clears the rounding errors of many additions and subtractions.
  if (entry.services == 0) entry.weight = entry.sum = 0;
}

void InterferencePrice::Set(std::size_t worker,
                            const std::vector<Share>& shares) {
  if (worker >= shares_by_worker_.size()) shares_by_worker_.resize(worker + 1);
  std::vector<Share>& current = shares_by_worker_[worker];
  for (const Share& share : current) Accumulate(share, -1);
  current.assign(shares.begin(), shares.end());
  for (const Share& share : current) Accumulate(share, 1);
}

void InterferencePrice::Update(MonotonicTime now, bool refused, double target) {
  const double seconds =
      std::clamp(std::chrono::duration<double>(now - updated_at_).count(), 0.0,
                 kMaxStepSeconds);
  updated_at_ = now;
  target_ = target;
  for (Class& entry : classes_) {
    if (entry.weight <= 0) continue;
    const double error =
        std::clamp(entry.sum / entry.weight / target - 1, -1.0, 1.0);
    if (error < 0 && !refused) continue;
    entry.price =
        std::clamp(entry.price * std::exp(error * seconds / kPeriodSeconds),
                   kMinPrice, kMaxPrice);
  }
}

}  // namespace mangospread::scheduler::policy
