#include "dispatch/core/end_ledger.hpp"

#include <algorithm>

namespace mangospread::dispatch {

bool EndLedger::Add(const VmName& vm, WorkerIncarnation incarnation,
                    const EndedRun& end) {
  WorkerEnds& ends = ends_[vm];
  if (ends.incarnation != incarnation) {
    ends = WorkerEnds();
    ends.incarnation = incarnation;
  }
  if (end.number <= ends.settled || ends.pending.contains(end.number)) {
    return false;
  }
  ends.pending.emplace(end.number, PendingEnd{{end.task, end.run}, false});
  return true;
}

void EndLedger::Settle(const VmName& vm, WorkerIncarnation incarnation,
                       EndNumber number) {
  const auto it = ends_.find(vm);
  if (it == ends_.end() || it->second.incarnation != incarnation) return;
  const auto pending = it->second.pending.find(number);
  if (pending == it->second.pending.end()) return;
  pending->second.settled = true;
  Advance(it->second);
}

void EndLedger::SettleOnStored(const SubmissionId& id, std::uint64_t generation,
                               const VmName& vm, WorkerIncarnation incarnation,
                               EndNumber number) {
  deferred_[id].push_back({generation, vm, incarnation, number});
}

std::vector<VmName> EndLedger::OnStored(const SubmissionId& id,
                                        std::uint64_t generation) {
  std::vector<VmName> affected;
  const auto it = deferred_.find(id);
  if (it == deferred_.end()) return affected;
  std::erase_if(it->second, [&](const DeferredSettlement& deferred) {
    if (deferred.generation > generation) return false;
    Settle(deferred.vm, deferred.incarnation, deferred.number);
    affected.push_back(deferred.vm);
    return true;
  });
  if (it->second.empty()) deferred_.erase(it);
  return affected;
}

std::vector<RunId> EndLedger::Unsettled(const VmName& vm) const {
  std::vector<RunId> pending;
  const auto it = ends_.find(vm);
  if (it == ends_.end()) return pending;
  for (const auto& [number, end] : it->second.pending) {
    if (!end.settled) pending.push_back(end.run);
  }
  return pending;
}

EndNumber EndLedger::SettledUpTo(const VmName& vm) const {
  const auto it = ends_.find(vm);
  return it == ends_.end() ? EndNumber() : it->second.settled;
}

WorkerIncarnation EndLedger::IncarnationOf(const VmName& vm) const {
  const auto it = ends_.find(vm);
  return it == ends_.end() ? WorkerIncarnation() : it->second.incarnation;
}

void EndLedger::Advance(WorkerEnds& ends) {
  // Ends are listed in ascending order, so every number below a pending one was
  // added before.
  while (!ends.pending.empty() && ends.pending.begin()->second.settled) {
    ends.settled = ends.pending.begin()->first;
    ends.pending.erase(ends.pending.begin());
  }
}

}  // namespace mangospread::dispatch
