#include "dispatch/policy/worker_health.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace mangospread::dispatch {
namespace {

using std::chrono::seconds;

/// Older failures and successes of a worker are ignored.
constexpr MonotonicTime kWindow = seconds(6);
/// Older outcomes of a submission are ignored. Longer than kWindow, since the
/// tasks of a submission may wait for capacity between two failures.
constexpr MonotonicTime kSubmissionWindow = seconds(30);
constexpr std::size_t kMinFailures = 2;
constexpr std::size_t kMinSubmissions = 2;
/// The exclusion time doubles with each further exclusion, at most
/// kMaxDoublings times.
constexpr MonotonicTime kFirstExclusion = seconds(3);
constexpr int kMaxDoublings = 3;
/// One in this many workers of a service may be excluded at a time.
constexpr std::size_t kWorkersPerExcluded = 5;
/// Failures on this many workers may be those of faulty workers even in a small
/// service.
constexpr std::size_t kMinFaultyWorkers = 2;

std::size_t MaxExcluded(std::size_t workers) {
  return std::max<std::size_t>(workers / kWorkersPerExcluded, 1);
}

/// Number of workers on which a submission may fail without being at fault.
/// Failures on all workers never count against these.
std::size_t MaxFaultyWorkers(std::size_t workers) {
  return std::min(std::max(MaxExcluded(workers), kMinFaultyWorkers),
                  std::max<std::size_t>(workers, 1) - 1);
}

/// Appends later evidence.
template <typename Entries>
void Append(Entries& entries, const Entries& later) {
  entries.insert(entries.end(), later.begin(), later.end());
}

}  // namespace

void WorkerHealth::Expire(Evidence& evidence, MonotonicTime now) {
  auto& [failures, successes] = evidence;
  while (!failures.empty() && failures.front().time + kWindow < now) {
    failures.pop_front();
  }
  while (!successes.empty() && successes.front() + kWindow < now) {
    successes.pop_front();
  }
}

void WorkerHealth::OnSuccess(const VmName& vm, const SubmissionId& submission,
                             MonotonicTime now) {
  SubmissionRecord& outcomes = submissions_[submission];
  outcomes.outcomes[vm] = {false, now};
  // Counting visits all outcomes, so it is left out where it changes nothing.
  if (outcomes.at_fault &&
      2 * FailedWorkers(outcomes) <= outcomes.outcomes.size()) {
    outcomes.at_fault = false;
  }
  Record& record = records_[vm];
  Expire(record.recent, now);
  record.recent.successes.push_back(now);
  if (record.recent.failures.empty() && now >= record.excluded_until) {
    record.exclusions = 0;
  }
}

HealthChange WorkerHealth::OnFailure(const WorkerFailure& failure,
                                     MonotonicTime now) {
  HealthChange change;
  const bool was_at_fault = IsAtFault(failure.submission);
  const bool at_fault = AddOutcome(failure, now);
  if (at_fault && !was_at_fault) change.readmitted = Readmit(now);
  Record& record = records_[failure.vm];
  record.service = failure.service;
  Expire(record.recent, now);
  record.recent.failures.push_back({failure.submission, now});
  const int suspicion = Suspicion(record.recent);
  if (suspicion == 0) return change;
  const bool full =
      now >= record.excluded_until &&
      ExcludedWorkers(failure.service, now) >= MaxExcluded(failure.workers);
  if (full) {
    change.replaced = EndOldest(failure.service, now);
    if (!change.replaced) return change;
  }
  change.suspicion = suspicion;
  change.exclusion = Exclude(record, now);
  return change;
}

bool WorkerHealth::AddOutcome(const WorkerFailure& failure, MonotonicTime now) {
  SubmissionRecord& submission = submissions_[failure.submission];
  auto& outcomes = submission.outcomes;
  outcomes[failure.vm] = {true, now};
  std::erase_if(outcomes, [now](const auto& entry) {
    return entry.second.time + kSubmissionWindow < now;
  });
  const std::size_t failed = FailedWorkers(submission);
  submission.at_fault = failed > MaxFaultyWorkers(failure.workers) &&
                        failed > outcomes.size() - failed;
  return submission.at_fault;
}

std::size_t WorkerHealth::FailedWorkers(const SubmissionRecord& submission) {
  return static_cast<std::size_t>(
      std::count_if(submission.outcomes.begin(), submission.outcomes.end(),
                    [](const auto& entry) { return entry.second.failed; }));
}

bool WorkerHealth::IsAtFault(const SubmissionId& submission) const {
  const auto it = submissions_.find(submission);
  return it != submissions_.end() && it->second.at_fault;
}

int WorkerHealth::Suspicion(const Evidence& evidence) const {
  std::set<SubmissionId> submissions;
  std::size_t count = 0;
  for (const Failure& failure : evidence.failures) {
    if (IsAtFault(failure.submission)) continue;
    submissions.insert(failure.submission);
    ++count;
  }
  const bool faulty = count >= kMinFailures &&
                      submissions.size() >= kMinSubmissions &&
                      count > evidence.successes.size();
  return faulty ? static_cast<int>(count) : 0;
}

std::size_t WorkerHealth::ExcludedWorkers(const ServiceName& service,
                                          MonotonicTime now) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [&](const auto& entry) {
        return entry.second.service == service &&
               now < entry.second.excluded_until;
      }));
}

std::optional<VmName> WorkerHealth::EndOldest(const ServiceName& service,
                                              MonotonicTime now) {
  std::pair<const VmName, Record>* oldest = nullptr;
  for (auto& entry : records_) {
    const Record& record = entry.second;
    if (record.service != service || now >= record.excluded_until ||
        now < record.excluded_at + kFirstExclusion) {
      continue;
    }
    // The order must not depend on the hash of the names.
    if (oldest == nullptr ||
        std::tie(record.excluded_at, entry.first) <
            std::tie(oldest->second.excluded_at, oldest->first)) {
      oldest = &entry;
    }
  }
  if (oldest == nullptr) return std::nullopt;
  oldest->second.excluded_until = MonotonicTime(0);
  return oldest->first;
}

MonotonicTime WorkerHealth::Exclude(Record& record, MonotonicTime now) {
  if (now >= record.excluded_until) {
    record.excluded_for = {};
    record.exclusions_before = record.exclusions;
  }
  Append(record.excluded_for.failures, record.recent.failures);
  Append(record.excluded_for.successes, record.recent.successes);
  record.recent = {};
  const int doublings = std::min(record.exclusions++, kMaxDoublings);
  const MonotonicTime exclusion = kFirstExclusion * (1 << doublings);
  record.excluded_at = now;
  record.excluded_until = now + exclusion;
  return exclusion;
}

std::vector<VmName> WorkerHealth::Readmit(MonotonicTime now) {
  std::vector<VmName> readmitted;
  for (auto& [vm, record] : records_) {
    if (now >= record.excluded_until || Suspicion(record.excluded_for) > 0) {
      continue;
    }
    record.excluded_until = MonotonicTime(0);
    record.exclusions = record.exclusions_before;
    Evidence evidence = std::exchange(record.excluded_for, {});
    Append(evidence.failures, record.recent.failures);
    Append(evidence.successes, record.recent.successes);
    record.recent = std::move(evidence);
    readmitted.push_back(vm);
  }
  // The order must not depend on the hash of the names.
  std::sort(readmitted.begin(), readmitted.end());
  return readmitted;
}

}  // namespace mangospread::dispatch
