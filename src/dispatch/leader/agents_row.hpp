/// @file
/// Row of the table with the agents of a leader, for the next one.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/leader/leader_record.hpp"
#include "mangospread/ids.hpp"

namespace mangospread::dispatch {

inline constexpr const char* kAgentsKey = "roster/agents";

/// A process that has led before, and may go on without knowing that it was
/// replaced.
struct FormerLeader {
  NodeId node;
  Incarnation incarnation;
  /// No node of its own row is known to the new leader to have been elected
  /// since, so it may have found all of its agents following it.
  bool undivided = true;

  friend bool operator==(const FormerLeader&, const FormerLeader&) = default;
};

/// Contents of the row. It counts for the leader of this epoch and the next
/// one.
struct AgentsRow {
  Epoch epoch;  ///< Of the leader that wrote it.
  /// Agents that may have granted leases which are still valid.
  std::set<NodeId> agents;
  /// Former agents that have been elected since, and granted such leases only
  /// until they heard of it.
  std::set<NodeId> elected;
  /// Leaders of earlier epochs that are not known to have stopped, oldest
  /// first.
  std::vector<FormerLeader> former_leaders;
  /// Undivided former leaders whose rows named all of `agents`: the leaders
  /// after them have stored nothing but the rows of their claims.
  std::set<NodeId> agents_of = {};
  /// Former leaders that have lost an agent with the claim of this epoch, and
  /// not before.
  std::set<NodeId> newly_divided = {};

  friend bool operator==(const AgentsRow&, const AgentsRow&) = default;
};

/// Encodes a row as lines: the epoch and the agents ("7", "a", "b"), or if
/// there is more, 0, the agents, an empty line, the epoch, the elected agents
/// and the former leaders, undivided or divided, with their incarnations ("0",
/// "a", "", "7", "eb", "u12 c", "d13 d"). So former versions take it for a row
/// of another epoch, which does not count for them. In place of the space, "="
/// marks the leaders of agents_of (undivided) and newly_divided ("u12=c",
/// "d13=d"); versions before these marks accept any character there.
[[nodiscard]] std::string EncodeAgentsRow(const AgentsRow& row);
/// @return nullopt for a malformed row.
[[nodiscard]] std::optional<AgentsRow> DecodeAgentsRow(std::string_view text);

/// The row that a node stores with its claim to follow `former`, so that no
/// leader is without a row. The agent of that node stops with its election, so
/// the former leaders whose agent it was have lost it.
/// @param stored the row of `former`.
/// @return nullopt if that row does not count for the claimed epoch.
[[nodiscard]] std::optional<AgentsRow> ClaimAgentsRow(
    const AgentsRow& stored, const FormerLeader& former,
    const LeaderRecord& claim);

}  // namespace mangospread::dispatch
