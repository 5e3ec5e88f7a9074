/// @file
/// Detects workers on which runs fail.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "dispatch/model/submission.hpp"

namespace mangospread::dispatch {

/// A run that failed, was refused as `unhealthy` or stalled.
struct WorkerFailure {
  VmName vm;
  SubmissionId submission;
  ServiceName service;      ///< Of the worker.
  std::size_t workers = 1;  ///< Number of workers of the service.
};

/// What a failure changes in the exclusion of workers.
struct HealthChange {
  /// Time for which the worker of the failure should get no work; 0 for none.
  MonotonicTime exclusion{0};
  /// Failures that count against the worker, if it is excluded.
  int suspicion = 0;
  /// Workers whose exclusion rested on failures of a submission that is itself
  /// at fault.
  std::vector<VmName> readmitted;
  /// Worker whose exclusion ends early, since no more may be excluded.
  std::optional<VmName> replaced;
};

/// Counts recent failures per worker, apart from those of submissions that fail
/// everywhere. A worker is excluded if runs of several submissions failed on it
/// and fewer runs succeeded.
///
/// At most a fifth of a service's workers, but at least one, is excluded at a
/// time; the oldest of the longer exclusions ends for the next one. A
/// submission that fails on more workers than that is itself at fault, unless
/// it succeeds on as many others. Its failures count against no worker,
/// including those recorded before.
class WorkerHealth {
 public:
  /// Records a run that ended successfully.
  void OnSuccess(const VmName& vm, const SubmissionId& submission,
                 MonotonicTime now);
  [[nodiscard]] HealthChange OnFailure(const WorkerFailure& failure,
                                       MonotonicTime now);
  /// Forgets a worker that has left.
  void Discard(const VmName& vm) { records_.erase(vm); }
  /// Forgets a submission of which no further run will end.
  void Discard(const SubmissionId& submission) {
    submissions_.erase(submission);
  }

 private:
  struct Failure {
    SubmissionId submission;
    MonotonicTime time{0};
  };
  /// Failures and successes of one worker, oldest first.
  struct Evidence {
    std::deque<Failure> failures;
    std::deque<MonotonicTime> successes;
  };
  struct Record {
    ServiceName service;
    Evidence recent;
    int exclusions = 0;
    MonotonicTime excluded_at{0};
    MonotonicTime excluded_until{0};
    // Of the current exclusion and its extensions.
    Evidence excluded_for;
    int exclusions_before = 0;
  };
  /// How the latest run of a submission on a worker ended.
  struct Outcome {
    bool failed = false;
    MonotonicTime time{0};
  };
  struct SubmissionRecord {
    std::map<VmName, Outcome> outcomes;
    bool at_fault = false;
  };

  static void Expire(Evidence& evidence, MonotonicTime now);
  /// Number of workers on which the latest run failed.
  [[nodiscard]] static std::size_t FailedWorkers(
      const SubmissionRecord& submission);
  /// Records an outcome of a submission.
  /// @return true if the submission is at fault.
  bool AddOutcome(const WorkerFailure& failure, MonotonicTime now);
  [[nodiscard]] bool IsAtFault(const SubmissionId& submission) const;
  /// Number of failures that count against the worker; 0 if they are too few to
  /// exclude it.
  [[nodiscard]] int Suspicion(const Evidence& evidence) const;
  [[nodiscard]] std::size_t ExcludedWorkers(const ServiceName& service,
                                            MonotonicTime now) const;
  /// Ends the oldest exclusion if it has lasted for kFirstExclusion.
  [[nodiscard]] std::optional<VmName> EndOldest(const ServiceName& service,
                                                MonotonicTime now);
  /// Excludes a worker or extends its exclusion.
  /// @return time from now to its end.
  [[nodiscard]] static MonotonicTime Exclude(Record& record, MonotonicTime now);
  /// Ends the exclusions that rest on failures of submissions at fault.
  [[nodiscard]] std::vector<VmName> Readmit(MonotonicTime now);

  std::unordered_map<VmName, Record> records_;
  std::unordered_map<SubmissionId, SubmissionRecord> submissions_;
};

}  // namespace mangospread::dispatch
