/// @file
/// Detects workers on which runs fail.
#pragma once

#include <deque>
#include <unordered_map>

#include "dispatch/model/submission.hpp"

namespace mangospread::dispatch {

/// Counts recent failures per worker. A submission that fails everywhere is
/// itself at fault, so a worker is excluded only if runs of several submissions
/// failed on it and fewer runs succeeded.
class WorkerHealth {
 public:
  /// Records a run that ended successfully.
  void OnSuccess(const VmName& vm, MonotonicTime now);
  /// Records a failed run.
  /// @return time for which the worker should get no work; 0 for none.
  [[nodiscard]] MonotonicTime OnFailure(const VmName& vm,
                                        const SubmissionId& submission,
                                        MonotonicTime now);
  void Discard(const VmName& vm) { records_.erase(vm); }

 private:
  struct Failure {
    SubmissionId submission;
    MonotonicTime time{0};
  };
  struct Record {
    std::deque<Failure> failures;
    std::deque<MonotonicTime> successes;
    int exclusions = 0;
  };
  static void Expire(Record& record, MonotonicTime now);

  std::unordered_map<VmName, Record> records_;
};

}  // namespace mangospread::dispatch
