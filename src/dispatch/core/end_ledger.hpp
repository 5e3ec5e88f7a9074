/// @file
/// Which ends of runs may be acknowledged to their workers.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "dispatch/model/messages.hpp"

namespace mangospread::dispatch {

/// Workers take acknowledgements only up to a number, so an end can be
/// acknowledged when it and all earlier ones are settled.
class EndLedger {
 public:
  /// Notes an end. False if it was noted before.
  bool Note(const VmName& vm, WorkerBirth born, const EndedRun& end);
  /// Runs whose ends are noted and not settled.
  [[nodiscard]] std::vector<RememberedRun> Open(const VmName& vm) const;
  /// The end needs nothing more.
  void Settle(const VmName& vm, WorkerBirth born, EndNumber number);
  /// The end is settled when the submission's generation is stored.
  void SettleWith(const SubmissionId& id, std::uint64_t generation,
                  const VmName& vm, WorkerBirth born, EndNumber number);
  /// Settles what waited for this generation; returns the workers concerned.
  [[nodiscard]] std::vector<VmName> OnStored(const SubmissionId& id,
                                             std::uint64_t generation);
  /// Highest number up to which all ends are settled.
  [[nodiscard]] EndNumber Settled(const VmName& vm) const;
  [[nodiscard]] WorkerBirth Born(const VmName& vm) const;
  void Forget(const VmName& vm) { workers_.erase(vm); }

 private:
  struct OpenEnd {
    RememberedRun run;
    bool settled = false;
  };
  struct Ends {
    WorkerBirth born;
    EndNumber settled;
    std::map<EndNumber, OpenEnd> open;
  };
  struct Waiting {
    std::uint64_t generation = 0;
    VmName vm;
    WorkerBirth born;
    EndNumber number;
  };
  static void Advance(Ends& ends);

  std::map<VmName, Ends> workers_;
  std::map<SubmissionId, std::vector<Waiting>> waiting_;
};

}  // namespace mangospread::dispatch
