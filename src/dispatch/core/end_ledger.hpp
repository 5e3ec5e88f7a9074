/// @file
/// Tracks which ends of runs may be acknowledged to their workers.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "dispatch/model/messages.hpp"

namespace mangospread::dispatch {

/// An acknowledgement covers all ends up to a number, so an end can be
/// acknowledged only when it and all earlier ones are settled. A new
/// incarnation of a worker numbers its ends anew and replaces the entries of
/// the former one.
class EndLedger {
 public:
  /// Adds an end. Returns false if it was added before.
  bool Add(const VmName& vm, WorkerIncarnation incarnation,
           const EndedRun& end);
  /// Runs whose ends were added and are not settled.
  [[nodiscard]] std::vector<RunId> Unsettled(const VmName& vm) const;
  /// Marks an end as settled: nothing has to be stored for it any more.
  void Settle(const VmName& vm, WorkerIncarnation incarnation,
              EndNumber number);
  /// Settles the end once the submission's generation is stored.
  void SettleOnStored(const SubmissionId& id, std::uint64_t generation,
                      const VmName& vm, WorkerIncarnation incarnation,
                      EndNumber number);
  /// Settles the ends that depend on this or an earlier generation. Returns
  /// their workers.
  [[nodiscard]] std::vector<VmName> OnStored(const SubmissionId& id,
                                             std::uint64_t generation);
  /// Highest number up to which all ends are settled.
  [[nodiscard]] EndNumber SettledUpTo(const VmName& vm) const;
  [[nodiscard]] WorkerIncarnation IncarnationOf(const VmName& vm) const;
  void Discard(const VmName& vm) { ends_.erase(vm); }

 private:
  struct PendingEnd {
    RunId run;
    bool settled = false;
  };
  struct WorkerEnds {
    WorkerIncarnation incarnation;
    EndNumber settled;
    std::map<EndNumber, PendingEnd> pending;
  };
  struct DeferredSettlement {
    std::uint64_t generation = 0;
    VmName vm;
    WorkerIncarnation incarnation;
    EndNumber number;
  };
  static void Advance(WorkerEnds& ends);

  std::unordered_map<VmName, WorkerEnds> ends_;
  std::unordered_map<SubmissionId, std::vector<DeferredSettlement>> deferred_;
};

}  // namespace mangospread::dispatch
