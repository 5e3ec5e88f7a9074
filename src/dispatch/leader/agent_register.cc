#include "dispatch/leader/agent_register.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "dispatch/leader/lines.hpp"

namespace mangospread::dispatch {
namespace {

using detail::TakeLine;

/// A stored row.
struct AgentsRow {
  Epoch epoch;
  std::set<NodeId> agents;
};

/// @return nullopt for a malformed row.
std::optional<AgentsRow> Decode(std::string_view row) {
  const std::string_view line = TakeLine(row);
  std::uint64_t written = 0;
  const auto [end, error] =
      std::from_chars(line.data(), line.data() + line.size(), written);
  if (error != std::errc() || end != line.data() + line.size()) {
    return std::nullopt;
  }
  AgentsRow result{Epoch(written), {}};
  while (!row.empty()) result.agents.emplace(std::string(TakeLine(row)));
  return result;
}

}  // namespace

void AgentRegister::Load(const std::optional<std::string>& row, bool has_roster,
                         MonotonicTime inherited_expiry) {
  loaded_ = true;
  if (auto stored = row ? Decode(*row) : std::nullopt) {
    listed_ = stored->agents.contains(self_);
    if (stored->epoch.next() == epoch_) former_ = std::move(stored->agents);
  } else if (epoch_ == Epoch(1) && !has_roster) {
    former_.emplace();
  }
  if (!former_) {
    complete_at_ = inherited_expiry;
    return;
  }
  for (const NodeId& agent : *former_) {
    if (!connected_.contains(agent)) OnDown(agent, inherited_expiry);
  }
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

bool AgentRegister::AllFormerSeen() const {
  return former_ && std::includes(seen_.begin(), seen_.end(), former_->begin(),
                                  former_->end());
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
    const auto it = confirmed_.find(agent);
    if (it == confirmed_.end()) return false;
    since = std::min(since, it->second);
    return true;
  };
  // A row in flight may be stored already.
  const bool all = std::all_of(stored_->begin(), stored_->end(), count) &&
                   (!saving_ || std::all_of(next_.begin(), next_.end(), count));
  return all ? std::optional(since) : std::nullopt;
}

void AgentRegister::OnDown(const NodeId& agent, MonotonicTime lease_expiry) {
  connected_.erase(agent);
  confirmed_.erase(agent);
  MonotonicTime& expiry = lost_[agent];
  expiry = std::max(expiry, lease_expiry);
}

MonotonicTime AgentRegister::LastFormerGrant(MonotonicTime latest) const {
  if (!former_) return latest;
  MonotonicTime last{0};
  for (const NodeId& agent : *former_) {
    const auto it = last_grants_.find(agent);
    last = std::max(
        last, it == last_grants_.end() ? latest : std::min(latest, it->second));
  }
  return last;
}

bool AgentRegister::Contains(const NodeId& agent) const {
  return (!stored_ || stored_->contains(agent)) &&
         (!saving_ || next_.contains(agent));
}

std::optional<std::string> AgentRegister::NextRow(MonotonicTime now) {
  if (!loaded_ || saving_ || now < complete_at_) return std::nullopt;
  std::erase_if(lost_, [now](const auto& lost) { return lost.second < now; });
  next_ = connected_;
  for (const auto& [agent, expiry] : lost_) next_.insert(agent);
  if (stored_ == next_) return std::nullopt;
  saving_ = true;
  std::string row = std::to_string(epoch_.value()) + "\n";
  for (const NodeId& agent : next_) row += agent.str() + "\n";
  return row;
}

void AgentRegister::OnStored(bool committed) {
  saving_ = false;
  if (committed) stored_ = next_;
}

}  // namespace mangospread::dispatch
