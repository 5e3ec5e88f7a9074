#include "scheduler/policy/guard/quarantine.hpp"

#include <algorithm>
#include <cmath>

namespace mangospread::scheduler::policy {
namespace {

/// Weight that older attempts keep with each new one; about ten count.
constexpr double kMemory = 0.9;
/// Failures, weighted by blame, before a worker can be taken out.
constexpr double kFailuresForOut = 2.0;
constexpr double kRateForOut = 0.5;
constexpr MonotonicTime kFirstOut = std::chrono::seconds(60);
constexpr MonotonicTime kLongestOut = std::chrono::minutes(32);
/// Pause after a failure on a worker that is not out.
constexpr MonotonicTime kPause = std::chrono::seconds(5);
/// Below this failure rate a worker is healthy again.
constexpr double kHealthyRate = 0.1;

}  // namespace

void Quarantine::OnPlaced(const VmName& vm) {
  const auto found = records_.find(vm);
  if (found != records_.end()) ++found->second.outstanding;
}

void Quarantine::OnEnded(const VmName& vm) {
  const auto found = records_.find(vm);
  if (found == records_.end()) return;
  found->second.outstanding = std::max(0, found->second.outstanding - 1);
}

void Quarantine::OnSuccess(const VmName& vm) {
  OnEnded(vm);
  const auto found = records_.find(vm);
  if (found == records_.end()) return;
  Record& record = found->second;
  record.attempts = kMemory * record.attempts + 1;
  record.failures *= kMemory * 0.5;
  if (record.failures / record.attempts < kHealthyRate) records_.erase(found);
}

bool Quarantine::OnFailure(const VmName& vm, double blame, std::size_t workers,
                           MonotonicTime now) {
  OnEnded(vm);
  Record& record = records_[vm];
  record.attempts = kMemory * record.attempts + 1;
  record.failures = kMemory * record.failures + blame;
  record.not_before = now + std::chrono::nanoseconds(std::llround(
                                static_cast<double>(kPause.count()) * blame));
  if (record.out_until > now) return false;
  const bool probing = record.times_out > 0;
  const bool failing = record.failures >= kFailuresForOut &&
                       record.failures / record.attempts >= kRateForOut;
  if (!failing && !(probing && blame > kRateForOut)) return false;
  const auto limit = std::max<std::size_t>(
      1, static_cast<std::size_t>(kMostOut * static_cast<double>(workers)));
  if (CountOut(now) >= limit) return false;
  const MonotonicTime duration =
      std::min(kLongestOut, kFirstOut * (1 << std::min(record.times_out, 6)));
  record.out_until = now + duration;
  ++record.times_out;
  return true;
}

void Quarantine::OnWorkerGone(const VmName& vm) {
  const auto found = records_.find(vm);
  if (found != records_.end()) found->second.outstanding = 0;
}

std::int32_t Quarantine::StartsAllowed(const VmName& vm,
                                       MonotonicTime now) const {
  const auto found = records_.find(vm);
  if (found == records_.end()) return kUnlimited;
  const Record& record = found->second;
  if (now < record.out_until || now < record.not_before) return 0;
  return record.outstanding == 0 ? 1 : 0;
}

double Quarantine::FailureRate(const VmName& vm) const {
  const auto found = records_.find(vm);
  if (found == records_.end() || found->second.attempts == 0) return 0;
  return found->second.failures / found->second.attempts;
}

bool Quarantine::IsOut(const VmName& vm, MonotonicTime now) const {
  const auto found = records_.find(vm);
  return found != records_.end() && now < found->second.out_until;
}

std::vector<VmName> Quarantine::Limited() const {
  std::vector<VmName> names;
  for (const auto& [vm, record] : records_) names.push_back(vm);
  return names;
}

std::size_t Quarantine::CountOut(MonotonicTime now) const {
  return static_cast<std::size_t>(std::count_if(
      records_.begin(), records_.end(),
      [now](const auto& entry) { return now < entry.second.out_until; }));
}

}  // namespace mangospread::scheduler::policy
