#include "scheduler/policy/interference/harm_price.hpp"

#include <algorithm>
#include <cmath>

namespace mangospread::scheduler::policy {
namespace {

/// A task may add 1.1% to p99 at full load for each core until more is known.
constexpr double kFirstPrice = 90;
constexpr double kLowest = 5;
/// A higher price would refuse tasks that are nearly harmless, because
/// estimates carry noise: 132 allows 0.76% on p99 for each core.
constexpr double kHighest = 132;
constexpr double kLowestNow = 1;
/// Time in which a class at twice the target raises its price e times; tasks
/// run for minutes, so that a faster loop would oscillate.
constexpr double kPeriodSeconds = 120;
/// Steepness by which the price follows placements at once; without it, all
/// tasks of a class would be placed in one round when the price falls.
constexpr double kSteepness = 6;
constexpr double kLongestStep = 5;

}  // namespace

double HarmPrice::At(ClassIndex service_class) const {
  if (service_class >= classes_.size()) return kFirstPrice;
  const Class& entry = classes_[service_class];
  if (entry.weight <= 0) return kFirstPrice;
  const double error =
      std::clamp(entry.sum / entry.weight / target_ - 1, -1.0, 1.0);
  return std::clamp(entry.price * std::exp(kSteepness * error), kLowestNow,
                    kHighest);
}

void HarmPrice::Count(const Share& share, int sign) {
  if (share.service_class >= classes_.size()) {
    classes_.resize(share.service_class + std::size_t{1});
  }
  Class& entry = classes_[share.service_class];
  if (entry.price <= 0) entry.price = kFirstPrice;
  entry.services += sign;
  entry.weight += sign * share.weight;
  entry.sum += sign * share.weight * share.effect;
  // Ends the rounding errors of many additions and subtractions.
  if (entry.services == 0) entry.weight = entry.sum = 0;
}

void HarmPrice::Set(std::size_t worker, const std::vector<Share>& shares) {
  if (worker >= by_worker_.size()) by_worker_.resize(worker + 1);
  std::vector<Share>& counted = by_worker_[worker];
  for (const Share& share : counted) Count(share, -1);
  counted.assign(shares.begin(), shares.end());
  for (const Share& share : counted) Count(share, 1);
}

void HarmPrice::Update(MonotonicTime now, bool refused, double target) {
  const double seconds =
      std::clamp(std::chrono::duration<double>(now - updated_at_).count(), 0.0,
                 kLongestStep);
  updated_at_ = now;
  target_ = target;
  for (Class& entry : classes_) {
    if (entry.weight <= 0) continue;
    const double error =
        std::clamp(entry.sum / entry.weight / target - 1, -1.0, 1.0);
    if (error < 0 && !refused) continue;
    entry.price =
        std::clamp(entry.price * std::exp(error * seconds / kPeriodSeconds),
                   kLowest, kHighest);
  }
}

}  // namespace mangospread::scheduler::policy
