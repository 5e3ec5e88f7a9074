#include "dispatch/leader/agent_register.hpp"

#include <algorithm>
#include <utility>

namespace mangospread::dispatch {

void AgentRegister::Load(const std::optional<AgentsRow>& row, bool has_roster) {
  loaded_ = true;
  if (!row) {
    if (epoch_ == Epoch(1) && !has_roster) former_.emplace();
    return;
  }
  listed_ = row->agents.contains(self_) && row->former_leaders.empty();
  if (row->epoch != epoch_ && row->epoch.next() != epoch_) return;
  if (row->epoch == epoch_) {
    stored_ = *row;
    // While the agents stay the same, the claim's marks hold and need no write.
    stored_->agents_of.clear();
    stored_->newly_divided.clear();
  }
  former_ = row->agents;
  elected_ = row->elected;
}

void AgentRegister::OnProcess(const NodeId& agent, Incarnation incarnation) {
  if (agent == self_) return;
  const auto [it, first] = processes_.try_emplace(agent, incarnation);
  if (!first && it->second == incarnation) return;
  it->second = incarnation;
  new_processes_.insert(agent);
  newer_processes_.insert(agent);
}

void AgentRegister::OnUp(const NodeId& agent,
                         std::optional<MonotonicTime> last_grant) {
  seen_.insert(agent);
  // Leases that it grants from its first connection on belong to this leader.
  if (last_grant) last_grants_.try_emplace(agent, *last_grant);
  if (agent == self_) return;
  connected_.insert(agent);
  lost_.erase(agent);
}

void AgentRegister::SetServesItself(bool serves, MonotonicTime lease_expiry) {
  if (serves == connected_.contains(self_)) return;
  if (!serves) return OnDown(self_, lease_expiry);
  connected_.insert(self_);
  lost_.erase(self_);
}

void AgentRegister::OnConfirmed(const NodeId& agent, MonotonicTime sent_at) {
  if (!connected_.contains(agent)) return;
  MonotonicTime& newest = confirmed_[agent];
  newest = std::max(newest, sent_at);
}

std::optional<MonotonicTime> AgentRegister::FollowedSince(
    MonotonicTime now) const {
  if (!stored_) return std::nullopt;
  MonotonicTime since = now;
  const auto count = [&](const NodeId& agent) {
    if (agent == self_) return true;
    if (new_processes_.contains(agent)) return false;
    const auto it = confirmed_.find(agent);
    if (it == confirmed_.end()) return false;
    since = std::min(since, it->second);
    return true;
  };
  // A row in flight may be stored already.
  const auto all_of = [&](const AgentsRow& row) {
    return std::all_of(row.agents.begin(), row.agents.end(), count);
  };
  const bool all = all_of(*stored_) && (!saving_ || all_of(next_));
  return all ? std::optional(since) : std::nullopt;
}

void AgentRegister::OnDown(const NodeId& agent, MonotonicTime lease_expiry) {
  connected_.erase(agent);
  confirmed_.erase(agent);
  MonotonicTime& expiry = lost_[agent];
  expiry = std::max(expiry, lease_expiry);
}

MonotonicTime AgentRegister::LastGrantOf(const NodeId& agent,
                                         MonotonicTime latest) const {
  const auto it = last_grants_.find(agent);
  return it == last_grants_.end() ? latest : std::min(latest, it->second);
}

MonotonicTime AgentRegister::LastOfFormer(
    MonotonicTime latest, MonotonicTime latest_of_elected,
    const std::function<MonotonicTime(const NodeId&, MonotonicTime)>& grant_of)
    const {
  if (!former_) return latest;
  MonotonicTime last{0};
  for (const NodeId& agent : *former_) {
    last = std::max(last, grant_of(agent, latest));
  }
  for (const NodeId& agent : elected_) {
    last = std::max(last, grant_of(agent, latest_of_elected));
  }
  return last;
}

MonotonicTime AgentRegister::LastFormerGrant(
    MonotonicTime latest, MonotonicTime latest_of_elected) const {
  return LastOfFormer(latest, latest_of_elected,
                      [this](const NodeId& agent, MonotonicTime bound) {
                        return LastGrantOf(agent, bound);
                      });
}

MonotonicTime AgentRegister::LastUnreportedGrant(
    MonotonicTime latest, MonotonicTime latest_of_elected) const {
  return LastOfFormer(latest, latest_of_elected,
                      [this](const NodeId& agent, MonotonicTime bound) {
                        const MonotonicTime last = LastGrantOf(agent, bound);
                        const auto it = unreported_grants_.find(agent);
                        return it == unreported_grants_.end()
                                   ? last
                                   : std::min(last, it->second);
                      });
}

std::size_t AgentRegister::size() const {
  std::size_t count = connected_.size() + lost_.size();
  if (!former_ || !inherited_) return count;
  for (const NodeId& agent : *former_) {
    if (!seen_.contains(agent)) ++count;
  }
  return count;
}

bool AgentRegister::Contains(const NodeId& agent) const {
  return (!stored_ || stored_->agents.contains(agent)) &&
         (!saving_ || next_.agents.contains(agent));
}

std::optional<AgentsRow> AgentRegister::NextRow(
    MonotonicTime now, MonotonicTime inherited_expiry,
    std::vector<FormerLeader> former_leaders) {
  inherited_ = now <= inherited_expiry;
  if (!loaded_ || saving_ || (!former_ && inherited_)) return std::nullopt;
  std::erase_if(lost_, [now](const auto& lost) { return lost.second < now; });
  next_ = {epoch_, connected_, {}, std::move(former_leaders), {}, {}};
  for (const auto& [agent, expiry] : lost_) next_.agents.insert(agent);
  if (inherited_) {
    next_.agents.insert(former_->begin(), former_->end());
    next_.elected = elected_;
  }
  if (stored_ == next_ && new_processes_.empty()) return std::nullopt;
  newer_processes_.clear();
  saving_ = true;
  return next_;
}

void AgentRegister::OnStored(bool committed) {
  saving_ = false;
  if (!committed) return;
  stored_ = next_;
  new_processes_ = newer_processes_;
}

}  // namespace mangospread::dispatch
