/// @file
/// What a leader knows of the agents and workers of its group.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "dispatch/leader/lease_bound.hpp"
#include "dispatch/model/messages.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// A node that serves workers for the leader.
struct AgentEntry {
  DataCenter data_center;
  int workers = 0;
  bool numbers_attachments = false;
};

/// A worker of the group and the agent that it is assigned to.
struct WorkerEntry {
  WorkerInfo info;
  std::optional<NodeId> agent;
  WorkerFence fence;
  bool attached = false;
  std::set<NodeId> failed_agents;  ///< Agents that could not reach it.
  /// Covers all leases but those that its agent grants while `may_be_granted`
  /// holds.
  LeaseBound lease;
  /// Its process may hold a lease that it got from a command for the process
  /// before until this time, whoever attaches it.
  MonotonicTime restart_lease_expires_at{0};
  WorkerIncarnation incarnation;  ///< Of the last attachment.
  int attachments = 0;            ///< Number of them in the present assignment.
  /// Its agent may extend the lease: the present attachment was handled here.
  bool may_be_granted = false;
  AttachmentNumber last_attachment;  ///< The last that was handled.
  /// Time at which it may last have been in contact; 0 if that is not known.
  MonotonicTime contact_at{0};
  /// Not removed before this time, so that the next agent can attach it.
  MonotonicTime kept_until{0};
  /// Not assigned to an agent before this time; if its agent does not reach
  /// it, not assigned to another one before this time.
  MonotonicTime retry_at{0};
  bool unreachable = false;  ///< Its agent does not reach it.
  /// Time since which the list of workers lacks it; nullopt if it is listed.
  std::optional<MonotonicTime> missing_since;
  /// Agent that it was reassigned from last, and when. That agent may have
  /// attached it before it received the release.
  std::optional<NodeId> released_by;
  MonotonicTime released_at{0};
  /// It was known to the former leader and has not been attached since.
  bool inherited = false;
};

/// What agents have reported about a worker of a former leader.
struct FormerWorker {
  FormerLeaderRuns runs;  ///< All reported runs.
  /// The reporting agents, and whether they go on renewing its lease.
  std::map<NodeId, bool> agents;
  LeaseBound lease;  ///< Unless one of them renews it.
  /// An agent has reported no lease before the former leaders were loaded.
  bool lease_unknown = false;
};

/// What agents have said of sessions with a worker whose runs they do not
/// report.
struct UnreportedSessions {
  WorkerFence assignment;  ///< Of the newest one.
  MonotonicTime lease_expires_at{0};
};

}  // namespace mangospread::dispatch
