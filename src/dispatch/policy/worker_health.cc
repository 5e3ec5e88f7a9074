#include "dispatch/policy/worker_health.hpp"

#include <algorithm>
#include <set>

namespace mangospread::dispatch {
namespace {

using std::chrono::seconds;

/// Older failures and successes are ignored.
constexpr MonotonicTime kWindow = seconds(6);
constexpr std::size_t kMinFailures = 2;
constexpr std::size_t kMinSubmissions = 2;
/// The exclusion time doubles with each further exclusion, at most
/// kMaxDoublings times.
constexpr MonotonicTime kFirstExclusion = seconds(3);
constexpr int kMaxDoublings = 3;

}  // namespace

void WorkerHealth::Expire(Record& record, MonotonicTime now) {
  while (!record.failures.empty() &&
         record.failures.front().time + kWindow < now) {
    record.failures.pop_front();
  }
  while (!record.successes.empty() &&
         record.successes.front() + kWindow < now) {
    record.successes.pop_front();
  }
}

void WorkerHealth::OnSuccess(const VmName& vm, MonotonicTime now) {
  Record& record = records_[vm];
  Expire(record, now);
  record.successes.push_back(now);
  if (record.failures.empty()) record.exclusions = 0;
}

MonotonicTime WorkerHealth::OnFailure(const VmName& vm,
                                      const SubmissionId& submission,
                                      MonotonicTime now) {
  Record& record = records_[vm];
  Expire(record, now);
  record.failures.push_back({submission, now});
  std::set<SubmissionId> submissions;
  for (const Failure& failure : record.failures) {
    submissions.insert(failure.submission);
  }
  if (record.failures.size() < kMinFailures ||
      submissions.size() < kMinSubmissions ||
      record.failures.size() <= record.successes.size()) {
    return MonotonicTime(0);
  }
  const int doublings = std::min(record.exclusions++, kMaxDoublings);
  record.failures.clear();
  record.successes.clear();
  return kFirstExclusion * (1 << doublings);
}

}  // namespace mangospread::dispatch
