/// @file
/// What the leader of a group is given at its construction.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/loop/event_loop.hpp"
#include "dispatch/leader/leader_record.hpp"
#include "dispatch/metrics/timings.hpp"
#include "dispatch/model/lease.hpp"
#include "dispatch/model/messages.hpp"
#include "dispatch/model/submission.hpp"
#include "mangospread/platform/table.hpp"

namespace mangospread::dispatch {

struct GroupLeaderDependencies {
  base::EventLoop& loop;
  Table& table;
  NodeId self;
  DataCenter data_center;
  std::string writer_key;  ///< Key of the row that this process's writer uses.
  LeaderRecord leadership;
  /// Decodes the body of a submit request.
  std::function<Result<Submission>(const SubmissionId&, std::string_view)>
      decode;
  /// Sends a command to an agent.
  std::function<void(const NodeId& agent, AgentCommand)> send;
  ObserveTiming observe;
  /// Called when the group's state has been loaded; calls are processed from
  /// then on.
  std::function<void()> on_loaded;
  /// Called when a conditional write shows that another leader has taken over.
  std::function<void()> on_conflict;
  /// True while this process has recently confirmed that it leads; false after
  /// a pause, during which another node may have been elected.
  std::function<bool()> confirmed;
  /// Calls `done` with whether this process still leads, as confirmed after the
  /// call.
  std::function<void(std::function<void(bool leads)> done)> confirm;
  /// The leader of the epoch before, if it is known.
  std::optional<LeaderRecord> former_leader = std::nullopt;
  /// Time at which that one had been elected; nullopt if it is not known.
  std::optional<MonotonicTime> former_elected_by = std::nullopt;
  /// Time by which it had sent all renewals of its leadership that the table
  /// has confirmed, and all messages that this node has; nullopt if it is not
  /// known.
  std::optional<MonotonicTime> former_confirmed_by = std::nullopt;
  /// Length of the longest leases that workers may hold from its time.
  Milliseconds former_lease{kWorkerLease};
  /// False while the evacuations are not known yet. May be null.
  std::function<bool()> knows_evacuations = nullptr;
};

}  // namespace mangospread::dispatch
