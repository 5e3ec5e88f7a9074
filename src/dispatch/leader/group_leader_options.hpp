/// @file
/// Periods, delays and limits of the leader of a group.
#pragma once

#include <cstddef>
#include <limits>

#include "dispatch/model/lease.hpp"
#include "dispatch/model/permission.hpp"
#include "mangospread/units.hpp"

namespace mangospread::dispatch {

struct GroupLeaderOptions {
  /// Longest lease that an agent grants to a worker.
  Milliseconds lease{kWorkerLease};
  /// An agent may extend leases and start runs for this long after the last
  /// message that the leader has confirmed; so it stops at the latest this long
  /// after the leader has stopped or has noticed that it lost the agent.
  Milliseconds loss_notice_delay{800};
  PermissionTimeouts permission_timeouts;
  /// Progress is stored this long after the first change, so that several
  /// changes share one write.
  Milliseconds save_delay{40};
  Milliseconds save_retry_delay{300};
  /// Delay before the rows of workers or agents are sent again after the table
  /// did not accept them.
  Milliseconds rejected_row_delay{3'000};
  /// Most bytes of a row's value that the table accepts.
  std::size_t row_bytes = 65'536;
  /// Most memory of accepted submissions, in bytes; more are refused, as are
  /// more than any other node seen can hold as the leader. Those of former
  /// leaders are loaded whatever they take.
  std::size_t max_work_bytes = std::numeric_limits<std::size_t>::max();
  /// Minimum time between placement rounds.
  Milliseconds decide_delay{8};
  /// Period at which expired leases, unassigned workers and ended submissions
  /// are handled.
  Milliseconds tick_period{200};
  /// The leader's own node serves workers only while they can be assigned to no
  /// other node, and not before it has led for this long. Otherwise the
  /// leader's death would leave their runs unknown to the next leader.
  Milliseconds self_service_delay{1'000};
  /// The leader's own node is among the stored agents, and so may serve
  /// workers, only with fewer other agents than this. With more of them, a
  /// leader that is cut off from all agents takes no workers, and the next one
  /// need not wait for its leases.
  std::size_t self_service_agents = 2;
  /// A worker of a former leader is assigned to the agent that serves it; to
  /// any other one only if no agent has reported it for this long.
  Milliseconds report_grace_period{200};
  /// Time between the attempts of different agents to reach a worker that none
  /// of them reaches.
  Milliseconds rotation_period{800};
  /// For this long after the loss of an agent, no agent gets more workers than
  /// twice its share: after a loss of all connections the first agent that
  /// returns would get all workers, and attach them after their leases.
  Milliseconds return_grace_period{1'000};
  /// An agent may always get this many workers.
  std::size_t always_assigned = 64;
  /// Maximum number of workers moved between agents per tick.
  int max_moves_per_tick = 4;
  /// Time for agents to attach a worker before the runs that other agents
  /// reported for it are assumed to be running.
  Milliseconds attach_grace_period{400};
  /// Shortest time for which restored work waits for a worker that no agent has
  /// reported, and work of a worker whose agent was lost, so that one which
  /// responds is attached first.
  Milliseconds unreported_grace_period{2'000};
  /// Period at which an unfinished takeover is logged.
  Milliseconds takeover_log_period{500};
  /// Workers of an agent that is lost while another node may take over are
  /// assigned anew only after this long: the agent probably follows the next
  /// leader.
  Milliseconds yield_reassign_delay{1'500};
  /// Period at which the learned interference between images that share
  /// workers is stored.
  Milliseconds interference_save_period{3'000};
  /// A worker counts as gone once the list has lacked it for this long while
  /// the list could be read: entries that expired in an outage of the table are
  /// back about two seconds after its end.
  Milliseconds missing_grace_period{3'000};
  /// Most submissions that are kept as cancelled before anybody has submitted
  /// them; further cancellations of unknown ones are refused. A client that
  /// cancels any ids must neither fill the memory for accepted work nor delay a
  /// takeover, which reads them all.
  std::size_t max_unsubmitted = 4'096;
  /// Time for which the state of an ended submission is kept.
  Milliseconds ended_retention{150'000};
};

}  // namespace mangospread::dispatch
