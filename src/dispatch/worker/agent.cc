#include "dispatch/worker/agent.hpp"

#include <utility>

namespace mangospread::dispatch {
namespace {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

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
  auto session = WorkerSession::Create(loop_, std::move(link),
                                       std::move(assignment), options_, emit_);
  sessions_[vm] = session;
  session->Begin();
}

void Agent::Carry(AgentOrder order) {
  std::visit(Overloaded{[this](Assignment& assignment) {
                          Assign(std::move(assignment));
                        },
                        [this](StartRun& start) {
                          if (auto* session = Find(start.vm))
                            session->Start(std::move(start));
                        },
                        [this](DescribeRun& describe) {
                          if (auto* session = Find(describe.vm))
                            session->Describe(describe);
                        },
                        [this](StopRun& stop) {
                          if (auto* session = Find(stop.vm))
                            session->Stop(stop);
                        },
                        [this](PaceRun& pace) {
                          if (auto* session = Find(pace.vm))
                            session->Pace(pace);
                        },
                        [this](AcknowledgeEnds& ends) {
                          if (auto* session = Find(ends.vm))
                            session->Acknowledge(ends);
                        },
                        [this](Release& release) {
                          if (auto* session = Find(release.vm))
                            session->Close();
                          sessions_.erase(release.vm);
                        }},
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
