/// @file
/// How long leaders of earlier epochs may act without knowing that they were
/// replaced.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "dispatch/leader/agents_row.hpp"
#include "dispatch/model/permission.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// The former leaders that a new one has found in its row, the last one that of
/// the epoch before. The nodes that connect to the new one show that some of
/// them have ended, or have lost an agent.
class FormerLeaders {
 public:
  /// @param elected_at time at which this leader was elected.
  /// @param last_elected_by the last former leader had been elected, and so all
  ///   the others replaced.
  /// @param last_confirmed_by the last former leader had sent all renewals that
  ///   the table has confirmed, and all messages that this node has.
  FormerLeaders(MonotonicTime elected_at, MonotonicTime last_elected_by,
                MonotonicTime last_confirmed_by,
                const PermissionTimeouts& timeouts)
      : elected_at_(elected_at),
        last_elected_by_(last_elected_by),
        last_confirmed_by_(last_confirmed_by),
        timeouts_(timeouts) {}

  /// @param agents those of the last leader, all of which have to follow it
  ///   while it cannot renew its leadership.
  /// @param newly_divided the leaders that have lost an agent only when this
  ///   leader was elected.
  void Load(std::vector<FormerLeader> leaders, std::set<NodeId> agents,
            std::set<NodeId> newly_divided) {
    leaders_ = std::move(leaders);
    agents_ = std::move(agents);
    newly_divided_ = std::move(newly_divided);
  }

  /// The leader of the epoch before led no more from this time on.
  void OnLastStopped(MonotonicTime at);
  /// A process that does not lead has connected.
  /// @param started_at no later than this, the earlier processes of its node
  ///   had ended.
  void OnProcess(const NodeId& node, Incarnation incarnation,
                 MonotonicTime started_at, MonotonicTime now);

  /// When the leader of the epoch before stopped; nullopt if it is not known
  /// to have.
  [[nodiscard]] const std::optional<MonotonicTime>& last_stopped_at()
      const noexcept {
    return last_stopped_at_;
  }
  /// Time from which on none of the leaders has permitted anything.
  [[nodiscard]] MonotonicTime Limit() const;
  /// The same for all but the last one; 0 if there are none.
  [[nodiscard]] MonotonicTime LimitOfEarlier() const;
  /// The leaders that may permit something from now on.
  [[nodiscard]] std::vector<FormerLeader> Remaining(MonotonicTime now) const;

 private:
  /// What the first process of a node that has connected shows.
  struct SeenProcess {
    Incarnation incarnation;
    MonotonicTime started_at{0};
    MonotonicTime seen_at{0};
  };

  [[nodiscard]] MonotonicTime LimitOf(const FormerLeader& leader) const;
  /// The same if no process of the leader's node is known.
  [[nodiscard]] MonotonicTime LimitOfSilent(const FormerLeader& leader) const;
  /// The same for the last one.
  [[nodiscard]] MonotonicTime LimitOfLast() const;

  MonotonicTime elected_at_;
  MonotonicTime last_elected_by_;
  MonotonicTime last_confirmed_by_;
  PermissionTimeouts timeouts_;
  std::vector<FormerLeader> leaders_;
  std::set<NodeId> agents_;
  std::set<NodeId> newly_divided_;
  std::map<NodeId, SeenProcess> seen_;
  std::optional<MonotonicTime> last_stopped_at_;
};

}  // namespace mangospread::dispatch
