#include "dispatch/core/end_ledger.hpp"

#include <algorithm>

namespace mangospread::dispatch {

bool EndLedger::Note(const VmName& vm, WorkerBirth born, const EndedRun& end) {
  Ends& ends = workers_[vm];
  if (ends.born != born) {
    ends = Ends();
    ends.born = born;
  }
  if (end.number <= ends.settled || ends.open.contains(end.number)) {
    return false;
  }
  ends.open.emplace(end.number, OpenEnd{{end.task, end.run}, false});
  return true;
}

void EndLedger::Settle(const VmName& vm, WorkerBirth born, EndNumber number) {
  const auto it = workers_.find(vm);
  if (it == workers_.end() || it->second.born != born) return;
  const auto open = it->second.open.find(number);
  if (open == it->second.open.end()) return;
  open->second.settled = true;
  Advance(it->second);
}

void EndLedger::SettleWith(const SubmissionId& id, std::uint64_t generation,
                           const VmName& vm, WorkerBirth born,
                           EndNumber number) {
  waiting_[id].push_back({generation, vm, born, number});
}

std::vector<VmName> EndLedger::OnStored(const SubmissionId& id,
                                        std::uint64_t generation) {
  std::vector<VmName> touched;
  const auto it = waiting_.find(id);
  if (it == waiting_.end()) return touched;
  std::erase_if(it->second, [&](const Waiting& waiting) {
    if (waiting.generation > generation) return false;
    Settle(waiting.vm, waiting.born, waiting.number);
    touched.push_back(waiting.vm);
    return true;
  });
  if (it->second.empty()) waiting_.erase(it);
  return touched;
}

std::vector<RememberedRun> EndLedger::Open(const VmName& vm) const {
  std::vector<RememberedRun> open;
  const auto it = workers_.find(vm);
  if (it == workers_.end()) return open;
  for (const auto& [number, end] : it->second.open) {
    if (!end.settled) open.push_back(end.run);
  }
  return open;
}

EndNumber EndLedger::Settled(const VmName& vm) const {
  const auto it = workers_.find(vm);
  return it == workers_.end() ? EndNumber() : it->second.settled;
}

WorkerBirth EndLedger::Born(const VmName& vm) const {
  const auto it = workers_.find(vm);
  return it == workers_.end() ? WorkerBirth() : it->second.born;
}

void EndLedger::Advance(Ends& ends) {
  // Ends are listed in order, so every number below an open one was noted.
  while (!ends.open.empty() && ends.open.begin()->second.settled) {
    ends.settled = ends.open.begin()->first;
    ends.open.erase(ends.open.begin());
  }
}

}  // namespace mangospread::dispatch
