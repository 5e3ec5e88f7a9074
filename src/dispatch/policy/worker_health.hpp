/// @file
/// Finds workers that fail what they start.
#pragma once

#include <deque>
#include <unordered_map>

#include "dispatch/model/submission.hpp"

namespace mangospread::dispatch {

/// Counts recent failures of each worker. A submission that fails everywhere
/// is at fault itself, so a worker is blamed only when runs of several
/// submissions failed on it and few succeeded.
class WorkerHealth {
 public:
  /// A run ended by itself.
  void OnSuccess(const VmName& vm, MonotonicTime now);
  /// @return for how long the worker should get no work; 0 for not at all.
  [[nodiscard]] MonotonicTime OnFailure(const VmName& vm,
                                        const SubmissionId& submission,
                                        MonotonicTime now);
  void Forget(const VmName& vm) { records_.erase(vm); }

 private:
  struct Failure {
    SubmissionId submission;
    MonotonicTime at{0};
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
