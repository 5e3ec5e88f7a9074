// The agents of the group: which of them are stored, and which workers they
// get.
#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "dispatch/leader/group_leader.hpp"

namespace mangospread::dispatch {
namespace {

using table::WriteStatus;

}  // namespace

void GroupLeader::UpdateSelfService() {
  const auto self = agents_.find(deps_.self);
  if (self == agents_.end()) return;
  agent_register_.SetServesItself(
      self->second.workers > 0 ||
          agents_.size() - 1 < options_.self_service_agents,
      self_lease_expires_at_);
}

void GroupLeader::SaveAgents() {
  UpdateSelfService();
  const MonotonicTime now = base::MonotonicNow();
  if (now < agents_retry_at_) return;
  const auto row = agent_register_.NextRow(now, InheritedLeaseExpiry(),
                                           former_leaders_.Remaining(now));
  if (!row) return;
  Transaction change = LeaderTransaction();
  change.writes.push_back({kAgentsKey, EncodeAgentsRow(*row)});
  writer_.Submit(std::move(change), [this](const table::WriteResult& result) {
    agent_register_.OnStored(result.status == WriteStatus::kCommitted);
    agents_retry_at_ = RetryTime(result);
    // A later tick retries.
    if (CheckConflict(result) || result.status != WriteStatus::kCommitted) {
      return;
    }
    SaveAgents();
    AssignWorkers();
  });
}

Milliseconds GroupLeader::GrantAge(Milliseconds reported) {
  // All leases granted so long ago have expired.
  constexpr Milliseconds kLongestAge = std::chrono::hours(1);
  return std::clamp(reported, Milliseconds(0), kLongestAge);
}

void GroupLeader::OnAgentUp(const NodeId& agent, const DataCenter& data_center,
                            std::optional<Milliseconds> last_grant_age,
                            bool numbers_attachments) {
  agents_[agent] = {data_center, 0, numbers_attachments};
  std::optional<MonotonicTime> last_grant;
  if (last_grant_age) {
    last_grant = base::MonotonicNow() - GrantAge(*last_grant_age);
  }
  agent_register_.OnUp(agent, last_grant);
  base::Log(base::Event::kPeerAlive, {{"peer", agent.str()}});
  if (!loaded_) return;
  SaveAgents();
  AssignWorkers();
}

void GroupLeader::OnAgentLease(Milliseconds lease) {
  agent_lease_ = std::max(agent_lease_, std::min(lease, kMaxWorkerLease));
}

Milliseconds GroupLeader::LongestLease() const {
  // All leases of former leaders have expired by then: they permit none later
  // than 20 s after they were replaced.
  constexpr MonotonicTime kFormerLeasesExpire = std::chrono::seconds(40);
  const bool inherited =
      base::MonotonicNow() - started_at_ < kFormerLeasesExpire;
  return inherited ? std::max(agent_lease_, deps_.former_lease) : agent_lease_;
}

void GroupLeader::OnAgentDown(const NodeId& agent,
                              std::optional<MonotonicTime> permitted_at) {
  base::Log(base::Event::kPeerDead, {{"peer", agent.str()}});
  agent_lost_at_ = base::MonotonicNow();
  const bool replaced = yielding_ || !deps_.confirmed();
  const auto lost = agents_.find(agent);
  // Other versions act for as long as they are connected.
  if (lost == agents_.end() || !lost->second.numbers_attachments) {
    permitted_at.reset();
  }
  const MonotonicTime lease_expiry =
      GrantExpiry(permitted_at.value_or(base::MonotonicNow()));
  for (auto& [vm, entry] : workers_) {
    entry.failed_agents.erase(agent);
    CountLostRelease(entry, agent);
    if (entry.agent != agent) continue;
    UnassignLost(entry, lease_expiry);
    if (replaced) {
      entry.retry_at = base::MonotonicNow() + options_.yield_reassign_delay;
    }
  }
  for (auto& [vm, former] : former_workers_) {
    EndRenewals(agent, former, lease_expiry);
  }
  agents_.erase(agent);
  agent_register_.OnDown(agent, lease_expiry);
  if (loaded_) AssignWorkers();
}

bool GroupLeader::IsEligible(const NodeId& agent) const {
  if (!agent_register_.Contains(agent)) return false;
  if (agent != deps_.self) return true;
  if (base::MonotonicNow() - started_at_ < options_.self_service_delay) {
    return false;
  }
  return std::none_of(agents_.begin(), agents_.end(),
                      [this](const auto& other) {
                        return other.first != deps_.self &&
                               agent_register_.Contains(other.first);
                      });
}

bool GroupLeader::HasEnough(std::size_t workers) const {
  if (workers < options_.always_assigned || agent_lost_at_.count() == 0 ||
      base::MonotonicNow() - agent_lost_at_ > options_.return_grace_period) {
    return false;
  }
  const std::size_t agents = std::max<std::size_t>(agent_register_.size(), 1);
  return workers * agents >= 2 * workers_.size();
}

std::optional<NodeId> GroupLeader::PickAgent(const WorkerEntry& entry) const {
  const auto former = former_workers_.find(entry.info.vm);
  const bool unresolved = unresolved_.contains(entry.info.vm);
  std::optional<NodeId> best;
  for (const auto& [agent, info] : agents_) {
    if (entry.failed_agents.contains(agent) || !IsEligible(agent)) continue;
    if (unresolved && former != former_workers_.end() &&
        former->second.agents.contains(agent)) {
      return agent;
    }
    if (HasEnough(static_cast<std::size_t>(info.workers))) continue;
    if (!best || info.workers < agents_.at(*best).workers) best = agent;
  }
  const bool may_be_reported =
      unresolved && former == former_workers_.end() &&
      base::MonotonicNow() - loaded_at_ < options_.report_grace_period;
  return may_be_reported ? std::nullopt : best;
}

void GroupLeader::MoveWorkers() {
  // Moving a worker that may be gone would extend the time for which its lease
  // is waited for.
  const auto find_movable = [this](const NodeId& from, const NodeId& to) {
    return std::find_if(
        workers_.begin(), workers_.end(), [&](const auto& worker) {
          return worker.second.agent == from && worker.second.attached &&
                 worker.second.may_be_granted &&
                 !worker.second.failed_agents.contains(to);
        });
  };
  for (int moves = 0; moves < options_.max_moves_per_tick; ++moves) {
    std::optional<NodeId> least;
    std::optional<NodeId> most;
    for (const auto& [agent, info] : agents_) {
      if (!IsEligible(agent)) continue;
      if (!least || info.workers < agents_.at(*least).workers) least = agent;
      if (!most || info.workers > agents_.at(*most).workers) most = agent;
    }
    if (!least || *least == deps_.self) return;
    auto it = find_movable(deps_.self, *least);
    if (it == workers_.end()) {
      if (agents_.at(*most).workers - agents_.at(*least).workers < 2) return;
      it = find_movable(*most, *least);
    }
    if (it == workers_.end()) return;
    Unassign(it->second);
    Assign(it->second, *least);
  }
}

}  // namespace mangospread::dispatch
