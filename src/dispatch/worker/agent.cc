#include "dispatch/worker/agent.hpp"

#include <algorithm>
#include <utility>

#include "base/overloaded.hpp"

namespace mangospread::dispatch {

WorkerSession* Agent::FindSession(const VmName& vm) {
  const auto it = sessions_.find(vm);
  return it == sessions_.end() ? nullptr : it->second.get();
}

void Agent::Assign(Assignment assignment) {
  const VmName vm = assignment.worker.vm;
  WorkerSession* former = FindSession(vm);
  if (former != nullptr && former->assignment_fence() >= assignment.fence) {
    return;
  }
  auto link = make_link_(assignment.worker);
  auto session =
      WorkerSession::Create(loop_, std::move(link), std::move(assignment),
                            options_, emit_, leader_, observe_);
  if (former != nullptr) {
    session->ContinueFrom(*former);
    EndSession(vm);
  }
  sessions_[vm] = session;
  session->Begin();
}

void Agent::Execute(AgentCommand command) {
  const auto with_session = [this](const VmName& vm, const auto& action) {
    if (WorkerSession* session = FindSession(vm)) action(*session);
  };
  std::visit(
      base::Overloaded{
          [this](Assignment& assignment) { Assign(std::move(assignment)); },
          [&](StartRun& start) {
            with_session(start.vm, [&](WorkerSession& session) {
              session.Start(std::move(start));
            });
          },
          [&](const DescribeRun& describe) {
            with_session(describe.vm, [&](WorkerSession& session) {
              session.Describe(describe);
            });
          },
          [&](const StopRun& stop) {
            with_session(stop.vm,
                         [&](WorkerSession& session) { session.Stop(stop); });
          },
          [&](const ThrottleRun& throttle) {
            with_session(throttle.vm, [&](WorkerSession& session) {
              session.Throttle(throttle);
            });
          },
          [&](const AcknowledgeEnds& ends) {
            with_session(ends.vm, [&](WorkerSession& session) {
              session.Acknowledge(ends);
            });
          },
          [this](const Release& release) { EndSession(release.vm); }},
      command);
}

void Agent::EndSession(const VmName& vm) {
  const auto it = sessions_.find(vm);
  if (it == sessions_.end()) return;
  it->second->Close();
  last_grant_at_ = std::max(last_grant_at_, it->second->last_grant_at());
  KeepLease(vm, *it->second);
  sessions_.erase(it);
}

void Agent::KeepLease(const VmName& vm, const WorkerSession& session) {
  if (!session.has_granted()) return;
  const MonotonicTime now = base::MonotonicNow();
  std::erase_if(ended_sessions_, [now](const auto& ended) {
    return ended.second.lease_expires_at < now;
  });
  EndedSessions& ended = ended_sessions_[vm];
  ended.assignment = std::max(ended.assignment, session.assignment_fence());
  ended.lease_expires_at =
      std::max(ended.lease_expires_at, session.lease_expires_at());
}

void Agent::ReleaseAll() {
  while (!sessions_.empty()) EndSession(VmName(sessions_.begin()->first));
}

void Agent::StopExtending() {
  for (const auto& [vm, session] : sessions_) session->StopExtending();
}

void Agent::SuspendAll() {
  for (const auto& [vm, session] : sessions_) session->SuspendOutdated();
}

void Agent::SuspendNotRenewing() {
  for (const auto& [vm, session] : sessions_) {
    if (!session->renewing()) session->Suspend();
  }
}

void Agent::DropUnsent() {
  for (const auto& [vm, session] : sessions_) session->DropUnsent();
}

void Agent::SendPermittedStarts() {
  for (const auto& [vm, session] : sessions_) session->SendPermittedStarts();
}

Milliseconds Agent::LastGrantAge() const {
  MonotonicTime last = last_grant_at_;
  for (const auto& [vm, session] : sessions_) {
    last = std::max(last, session->last_grant_at());
  }
  return std::chrono::floor<Milliseconds>(base::MonotonicNow() - last);
}

ReportsEnd Agent::CollectReportsEnd() const {
  const MonotonicTime now = base::MonotonicNow();
  ReportsEnd end;
  end.process_age = std::chrono::floor<Milliseconds>(now - started_at_);
  const auto add = [&](const VmName& vm, WorkerFence assignment,
                       MonotonicTime expires_at) {
    if (expires_at < now) return;
    end.unreported.push_back(
        {vm, assignment, std::chrono::ceil<Milliseconds>(expires_at - now)});
  };
  for (const auto& [vm, ended] : ended_sessions_) {
    add(vm, ended.assignment, ended.lease_expires_at);
  }
  for (const auto& [vm, session] : sessions_) {
    if (session->CollectRuns() || !session->has_granted()) continue;
    add(vm, session->assignment_fence(), session->lease_expires_at());
  }
  return end;
}

std::vector<FormerLeaderRuns> Agent::CollectRuns() const {
  std::vector<FormerLeaderRuns> result;
  for (const auto& [vm, session] : sessions_) {
    if (auto runs = session->CollectRuns()) result.push_back(std::move(*runs));
  }
  return result;
}

}  // namespace mangospread::dispatch
