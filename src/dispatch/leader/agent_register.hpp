/// @file
/// The agents that may have granted leases which are still valid, as a leader
/// stores them for the next one.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "dispatch/leader/agents_row.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// Bounds the leases of workers that no agent reports to a new leader: only the
/// agents of its row can have granted them.
///
/// A leader finds the row that it stored with its claim. From then on it
/// assigns workers only to agents in its stored row, so the next one can claim
/// with that row. The claim has none if the leader before was a former version;
/// until this one has stored a row, the next leader then finds none that counts
/// and waits for the longest time.
class AgentRegister {
 public:
  /// @param self the node that leads. It is in the row only if it serves
  ///   workers itself.
  AgentRegister(Epoch epoch, NodeId self)
      : epoch_(epoch), self_(std::move(self)) {}

  /// @param row the stored row; nullopt if there is none, or a malformed one.
  /// @param has_roster a former leader has stored workers.
  void Load(const std::optional<AgentsRow>& row, bool has_roster);

  /// Handles the process of an agent that connects. An earlier process of the
  /// agent may have sent a claim that the table carries out later, so what a
  /// new one confirms does not count until a row is stored: a claim conditions
  /// on the row that was read for it.
  void OnProcess(const NodeId& agent, Incarnation incarnation);
  /// @param last_grant time since which the agent has granted no lease under a
  ///   former leader; nullopt if it is not known.
  void OnUp(const NodeId& agent, std::optional<MonotonicTime> last_grant);
  /// Handles the end of an agent's reports about former leaders: it has named
  /// all leases that its present process granted under them.
  /// @param started_at time by which the earlier processes of its node had
  ///   ended.
  void OnReported(const NodeId& agent, MonotonicTime started_at) {
    unreported_grants_.try_emplace(agent, started_at);
  }
  /// @param lease_expiry time at which the leases that the agent has granted
  ///   have expired.
  void OnDown(const NodeId& agent, MonotonicTime lease_expiry);
  /// Sets whether the leading node may serve workers itself.
  /// @param lease_expiry as for OnDown.
  void SetServesItself(bool serves, MonotonicTime lease_expiry);

  /// Time after which no lease was granted under former leaders.
  /// @param latest the same for agents that have not reported any time.
  /// @param latest_of_elected the same for those of them that have been
  ///   elected.
  [[nodiscard]] MonotonicTime LastFormerGrant(
      MonotonicTime latest, MonotonicTime latest_of_elected) const;
  /// The same for the leases that no agent has reported.
  [[nodiscard]] MonotonicTime LastUnreportedGrant(
      MonotonicTime latest, MonotonicTime latest_of_elected) const;
  /// True if the agents of the former leader are known.
  [[nodiscard]] bool former_known() const noexcept {
    return former_.has_value();
  }
  /// True if the newest row, of whichever epoch, names the leading node and no
  /// former leader that may go on, or if there is no row. Then its leader
  /// missed this node when it was elected.
  [[nodiscard]] bool listed() const noexcept { return listed_; }
  /// Handles an agent's confirmation, before it may have been elected, of a
  /// message that this leader sent at this time.
  void OnConfirmed(const NodeId& agent, MonotonicTime sent_at);
  /// Latest time after which every agent in the stored row is known to have
  /// followed this leader; `now` if the row names no other node, nullopt if one
  /// of its agents is not connected, has confirmed nothing, has a new process
  /// (OnProcess), or no row is stored. A node that is not in the row waits
  /// longer if it is elected.
  [[nodiscard]] std::optional<MonotonicTime> FollowedSince(
      MonotonicTime now) const;

  /// Number of agents that are connected, were lost a short time ago, or have
  /// not connected but may still have granted leases under a former leader.
  [[nodiscard]] std::size_t size() const;
  /// True if workers may be assigned to the agent: the next leader is certain
  /// to find it in the row, or to find no row of this leader.
  [[nodiscard]] bool Contains(const NodeId& agent) const;

  /// The row to store now; nullopt if it is stored, a write is in flight, or
  /// agents of former leaders that are not known may have granted leases. A
  /// returned row is in flight until OnStored.
  /// @param inherited_expiry time at which every lease granted under former
  ///   leaders has expired.
  /// @param former_leaders those that may still permit something.
  [[nodiscard]] std::optional<AgentsRow> NextRow(
      MonotonicTime now, MonotonicTime inherited_expiry,
      std::vector<FormerLeader> former_leaders = {});
  void OnStored(bool committed);

 private:
  using Grants = std::map<NodeId, MonotonicTime>;

  /// Time after which no agent of former leaders granted a lease.
  /// @param grant_of the same for one of them, given a bound for it.
  [[nodiscard]] MonotonicTime LastOfFormer(
      MonotonicTime latest, MonotonicTime latest_of_elected,
      const std::function<MonotonicTime(const NodeId&, MonotonicTime)>&
          grant_of) const;
  [[nodiscard]] MonotonicTime LastGrantOf(const NodeId& agent,
                                          MonotonicTime latest) const;

  Epoch epoch_;
  NodeId self_;
  bool loaded_ = false;
  bool saving_ = false;
  bool listed_ = true;
  bool inherited_ = true;  ///< Leases of former leaders may be valid.
  /// Agents of former leaders; nullopt if they are not known.
  std::optional<std::set<NodeId>> former_;
  std::set<NodeId> elected_;  ///< Further ones, which have been elected.
  Grants last_grants_;
  /// Of agents that have ended their reports: time after which they granted no
  /// lease that they have not reported.
  Grants unreported_grants_;
  std::set<NodeId> connected_;
  /// Time of the newest message that a connected agent has confirmed.
  std::map<NodeId, MonotonicTime> confirmed_;
  std::map<NodeId, Incarnation> processes_;
  /// Agents of which an earlier process may have sent a claim that may still
  /// take effect.
  std::set<NodeId> new_processes_;
  /// Those that had not connected when the write in flight was sent.
  std::set<NodeId> newer_processes_;
  std::set<NodeId> seen_;  ///< Nodes that have connected to this leader.
  /// Agents that are not connected and the time at which their leases have
  /// expired.
  std::map<NodeId, MonotonicTime> lost_;
  std::optional<AgentsRow> stored_;
  AgentsRow next_;  ///< Value of the write in flight.
};

}  // namespace mangospread::dispatch
