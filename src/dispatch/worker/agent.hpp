/// @file
/// The workers that a node manages on behalf of the leader.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/loop/clock.hpp"
#include "base/loop/event_loop.hpp"
#include "dispatch/worker/worker_session.hpp"

namespace mangospread::dispatch {

/// Executes the commands of one leader. Events of a worker are reported only
/// under its newest assignment.
class Agent {
 public:
  using MakeLink =
      std::function<std::shared_ptr<WorkerLink>(const WorkerInfo&)>;

  Agent(base::EventLoop& loop, MakeLink make_link, WorkerSessionOptions options,
        WorkerSession::Emit emit, WorkerSession::LeaderView leader,
        ObserveTiming observe)
      : loop_(loop),
        make_link_(std::move(make_link)),
        options_(options),
        emit_(std::move(emit)),
        leader_(std::move(leader)),
        observe_(std::move(observe)),
        started_at_(base::MonotonicNow()),
        last_grant_at_(started_at_) {}
  ~Agent() { ReleaseAll(); }
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  /// Sets the length of the longest leases that workers may hold from sessions
  /// of other nodes.
  void SetEarlierLease(Milliseconds lease) {
    options_.earlier_lease = std::min(lease, options_.max_lease);
  }
  /// Executes a command; ignores one for a worker that is not assigned.
  void Execute(AgentCommand command);
  /// Ends the sessions of all workers.
  void ReleaseAll();
  /// Extends no lease any more, since the leader is lost.
  void StopExtending();
  /// Ends the sessions of all workers but keeps their runs for the next leader.
  void SuspendAll();
  /// Does the same for the workers whose leases are not being renewed at
  /// present. Call after these were reported to a new leader, which relies on
  /// the end of their leases and assigns them anew.
  void SuspendNotRenewing();
  /// Drops starts that were not sent yet, since the leader that issued them is
  /// lost. The leases of the workers are still renewed.
  void DropUnsent();
  /// Sends the starts that have waited for a permission of the leader.
  void SendPermittedStarts();

  /// Runs that may be on the workers assigned by former leaders, for a new
  /// leader.
  [[nodiscard]] std::vector<FormerLeaderRuns> CollectRuns() const;
  /// What CollectRuns leaves out, to be sent after it.
  [[nodiscard]] ReportsEnd CollectReportsEnd() const;

  /// Time for which no session of this node has granted a lease. An earlier
  /// process of the node had ended when this one started.
  [[nodiscard]] Milliseconds LastGrantAge() const;

  [[nodiscard]] std::size_t workers() const noexcept {
    return sessions_.size();
  }

 private:
  /// What is kept of the sessions with a worker that have ended.
  struct EndedSessions {
    WorkerFence assignment;  ///< Of the newest one.
    MonotonicTime lease_expires_at{0};
  };

  void Assign(Assignment assignment);
  void EndSession(const VmName& vm);
  /// Keeps the lease that an ended session may have granted until it expires.
  void KeepLease(const VmName& vm, const WorkerSession& session);
  WorkerSession* FindSession(const VmName& vm);

  base::EventLoop& loop_;
  MakeLink make_link_;
  WorkerSessionOptions options_;
  WorkerSession::Emit emit_;
  WorkerSession::LeaderView leader_;
  ObserveTiming observe_;
  std::map<VmName, std::shared_ptr<WorkerSession>> sessions_;
  std::map<VmName, EndedSessions> ended_sessions_;
  MonotonicTime started_at_;
  /// Time of the last lease granted by a session that has ended; the start of
  /// this process if there is none.
  MonotonicTime last_grant_at_;
};

}  // namespace mangospread::dispatch
