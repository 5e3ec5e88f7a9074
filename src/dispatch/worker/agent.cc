#include "dispatch/worker/agent.hpp"

#include <utility>

#include "base/overloaded.hpp"

namespace mangospread::dispatch {
WorkerSession* Agent::Find(const VmName& vm) {
  const auto it = sessions_.find(vm);
  return it == sessions_.end() ? nullptr : it->second.get();
}

void Agent::Assign(Assignment assignment) {
  const VmName vm = assignment.worker.vm;
  if (WorkerSession* old = Find(vm)) {
    if (old->assignment() >= assignment.fence) return;
    End(vm);
  }
  auto link = make_link_(assignment.worker);
  auto session = WorkerSession::Create(
      loop_, std::move(link), std::move(assignment), options_, emit_, observe_);
  sessions_[vm] = session;
  session->Begin();
}

void Agent::Carry(AgentOrder order) {
  const auto with = [this](const VmName& vm, const auto& act) {
    if (WorkerSession* session = Find(vm)) act(*session);
  };
  std::visit(
      base::Overloaded{
          [this](Assignment& assignment) { Assign(std::move(assignment)); },
          [&](StartRun& start) {
            with(start.vm, [&](WorkerSession& session) {
              session.Start(std::move(start));
            });
          },
          [&](const DescribeRun& describe) {
            with(describe.vm,
                 [&](WorkerSession& session) { session.Describe(describe); });
          },
          [&](const StopRun& stop) {
            with(stop.vm, [&](WorkerSession& session) { session.Stop(stop); });
          },
          [&](const PaceRun& pace) {
            with(pace.vm, [&](WorkerSession& session) { session.Pace(pace); });
          },
          [&](const AcknowledgeEnds& ends) {
            with(ends.vm,
                 [&](WorkerSession& session) { session.Acknowledge(ends); });
          },
          [this](const Release& release) { End(release.vm); }},
      order);
}

void Agent::End(const VmName& vm) {
  const auto it = sessions_.find(vm);
  if (it == sessions_.end()) return;
  it->second->Close();
  sessions_.erase(it);
}

void Agent::ReleaseAll() {
  while (!sessions_.empty()) End(VmName(sessions_.begin()->first));
}

void Agent::DropUnsent() {
  for (const auto& [vm, session] : sessions_) session->DropUnsent();
}

std::vector<RememberedRuns> Agent::Remember() const {
  std::vector<RememberedRuns> remembered;
  for (const auto& [vm, session] : sessions_) {
    if (auto runs = session->Remember()) remembered.push_back(std::move(*runs));
  }
  return remembered;
}

}  // namespace mangospread::dispatch
