#include "scheduler/policy/guard/quarantine.hpp"

#include <algorithm>
#include <cmath>

namespace mangospread::scheduler::policy {
namespace {

/// Factor applied to the weight of older attempts with each new one; the window
/// is about ten attempts.
constexpr double kDecay = 0.9;
/// Failures, weighted by the fault share, from which a worker can be
/// quarantined.
constexpr double kMinFailures = 2.0;
constexpr double kMinFailureRate = 0.5;
constexpr MonotonicTime kInitialDuration = std::chrono::seconds(60);
constexpr MonotonicTime kMaxDuration = std::chrono::minutes(32);
/// Pause after a failure on a worker that is not quarantined.
constexpr MonotonicTime kFailurePause = std::chrono::seconds(5);
/// Failure rate below which a worker counts as healthy again.
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
  record.attempts = kDecay * record.attempts + 1;
  record.failures *= kDecay * 0.5;
  if (record.failures / record.attempts < kHealthyRate) records_.erase(found);
}

bool Quarantine::OnFailure(const VmName& vm, double fault_share,
                           std::size_t workers, MonotonicTime now) {
  OnEnded(vm);
  Record& record = records_[vm];
  record.attempts = kDecay * record.attempts + 1;
  record.failures = kDecay * record.failures + fault_share;
  record.not_before =
      now + std::chrono::nanoseconds(std::llround(
                static_cast<double>(kFailurePause.count()) * fault_share));
  if (record.quarantined_until > now) return false;
  const bool probing = record.quarantines > 0;
  const bool failing = record.failures >= kMinFailures &&
                       record.failures / record.attempts >= kMinFailureRate;
  if (!failing && !(probing && fault_share > kMinFailureRate)) return false;
  const auto limit = std::max<std::size_t>(
      1, static_cast<std::size_t>(kMaxQuarantinedShare *
                                  static_cast<double>(workers)));
  if (CountQuarantined(now) >= limit) return false;
  const MonotonicTime duration = std::min(
      kMaxDuration, kInitialDuration * (1 << std::min(record.quarantines, 6)));
  record.quarantined_until = now + duration;
  ++record.quarantines;
  return true;
}

void Quarantine::OnWorkerRemoved(const VmName& vm) {
  const auto found = records_.find(vm);
  if (found != records_.end()) found->second.outstanding = 0;
}

std::int32_t Quarantine::StartsAllowed(const VmName& vm,
                                       MonotonicTime now) const {
  const auto found = records_.find(vm);
  if (found == records_.end()) return kUnlimited;
  const Record& record = found->second;
  if (now < record.quarantined_until || now < record.not_before) return 0;
  return record.outstanding == 0 ? 1 : 0;
}

double Quarantine::FailureRate(const VmName& vm) const {
  const auto found = records_.find(vm);
  if (found == records_.end() || found->second.attempts == 0) return 0;
  return found->second.failures / found->second.attempts;
}

bool Quarantine::IsQuarantined(const VmName& vm, MonotonicTime now) const {
  const auto found = records_.find(vm);
  return found != records_.end() && now < found->second.quarantined_until;
}

std::vector<VmName> Quarantine::LimitedWorkers() const {
  std::vector<VmName> names;
  for (const auto& [vm, record] : records_) names.push_back(vm);
  return names;
}

std::size_t Quarantine::CountQuarantined(MonotonicTime now) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [now](const auto& entry) {
        return now < entry.second.quarantined_until;
      }));
}

}  // namespace mangospread::scheduler::policy
