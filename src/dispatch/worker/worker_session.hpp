/// @file
/// An agent's session with one worker.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "dispatch/metrics/timings.hpp"
#include "dispatch/model/lease.hpp"
#include "dispatch/model/messages.hpp"
#include "dispatch/model/permission.hpp"
#include "dispatch/worker/stop_queue.hpp"

namespace mangospread::dispatch {

struct WorkerSessionOptions {
  /// Lease that every renewal grants.
  Milliseconds lease{kWorkerLease};
  Milliseconds max_lease{kMaxWorkerLease};
  /// Longest lease that the worker may hold from earlier sessions.
  Milliseconds earlier_lease{kWorkerLease};
  /// Time for which the worker delays its reply to a renewal until a run ends;
  /// also the period of measurements.
  Milliseconds renew_wait{500};
  /// No reply for this long beyond `renew_wait` ends the attachment, so that
  /// the leader knows of the last grant even if this agent is lost before the
  /// timeout.
  Milliseconds reply_overdue{150};
  /// A command without a reply for this long counts as unanswered.
  Milliseconds command_timeout{700};
  /// A worker that does not reply for this long counts as unreachable.
  Milliseconds unreachable_after{1'500};
  /// A start that has waited for longer is not sent: the worker may have
  /// reported meanwhile that it drains, and on some platforms none may follow
  /// 2 s after that.
  Milliseconds max_start_wait{1'500};
  /// Delay before the next renewal while the leader has not acknowledged all
  /// listed ends.
  Milliseconds acknowledge_delay{80};
  Milliseconds retry_delay{200};
  /// A task without progress for this long counts as stalled.
  Milliseconds stalled_after{2'000};
  /// The same for a best-effort task, which gets only unused processor time.
  Milliseconds best_effort_stalled_after{5'000};
  /// A long-running task that has not finished starting after this long counts
  /// as stalled.
  Milliseconds startup_timeout{4'000};
};

/// Renews the worker's lease, executes commands and reports their results.
///
/// A command without a reply may take effect seconds later. After such a
/// command the session therefore raises its fencing token and renews the lease
/// with it. Once the worker has replied, no command with the old token can take
/// effect, and the lists of running and ended runs in the reply show which
/// commands did.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
 public:
  using Emit = std::function<void(AgentEvent)>;
  /// What this node knows of its leader and of the operator's requests.
  struct LeaderView {
    /// What it permits at present.
    std::function<Permission()> permission;
    /// True if it has handled all events that were emitted up to this time.
    std::function<bool(MonotonicTime emitted_at)> has_handled;
    /// True if the data centre is under evacuation. May be null.
    std::function<bool(const DataCenter&)> is_evacuated = nullptr;
  };

  [[nodiscard]] static std::shared_ptr<WorkerSession> Create(
      base::EventLoop& loop, std::shared_ptr<WorkerLink> link,
      Assignment assignment, WorkerSessionOptions options, Emit emit,
      LeaderView leader, ObserveTiming observe);

  /// Sends the first renewal.
  void Begin();
  /// Takes over what the former session with the worker knows of its lease and,
  /// unless the assignment names them, of its runs. Call before Begin.
  void ContinueFrom(const WorkerSession& former);
  /// Ends the session; the worker's lease stays valid until it expires.
  void Close();
  /// Renews from now on without extending the lease, since the agent has lost
  /// its leader: another agent may get the worker.
  void StopExtending() noexcept { extends_lease_ = false; }
  /// Ends the session but keeps the runs for the next leader.
  void Suspend();
  /// Does the same when others may have had the worker since: its lease is not
  /// known any more, and that it did not respond says nothing.
  void SuspendOutdated();

  /// Starts a run, after the worker's lists have arrived if they are awaited,
  /// and as soon as the leader permits it; reports it as not sent if that takes
  /// longer than `max_start_wait`.
  void Start(StartRun command);
  /// Sends the starts that have waited for a permission.
  void SendPermittedStarts();
  /// Drops the starts that wait for the worker's lists.
  void DropUnsent() { waiting_starts_.clear(); }
  /// Sets the traits of a run that the worker listed.
  void Describe(const DescribeRun& command);
  void Stop(const StopRun& command);
  /// Limits a run to a share of its full speed.
  void Throttle(const ThrottleRun& command);
  /// Acknowledges ends that the leader has stored.
  void Acknowledge(const AcknowledgeEnds& ack);

  /// Runs that may be on the worker; nullopt if they are not known.
  [[nodiscard]] std::optional<FormerLeaderRuns> CollectRuns() const;

  /// True if the next renewal extends the worker's lease.
  [[nodiscard]] bool renewing() const noexcept {
    return !closed_ && !process_unconfirmed_ && extends_lease_;
  }
  [[nodiscard]] WorkerFence assignment_fence() const noexcept {
    return assignment_.fence;
  }
  /// Time of the last lease that was granted; 0 if there is none.
  [[nodiscard]] MonotonicTime last_grant_at() const noexcept {
    return last_grant_at_;
  }
  /// True if it has extended the lease or started a run.
  [[nodiscard]] bool has_granted() const noexcept {
    return last_grant_at_.count() > 0;
  }
  /// Time up to which the worker may hold a lease that this session knows of.
  [[nodiscard]] MonotonicTime lease_expires_at() const noexcept {
    return lease_expires_at_;
  }

 private:
  /// State of a run on the worker.
  struct Run {
    Attempt number;
    RunTraits traits;
    bool described = false;
    int percent = -1;  ///< Progress last reported; -1 before the first report.
    /// Share of full speed in per cent that the worker last confirmed.
    int speed = 100;
    /// Share of full speed in per cent that the leader last requested.
    int requested_speed = 100;
    /// The worker has not answered the start yet.
    bool starting = false;
    /// A speed was sent and not accepted yet, or it will be sent again.
    bool throttle_in_flight = false;
    bool stall_reported = false;
    MonotonicTime progress_at{0};
    MonotonicTime sent_at{0};  ///< 0 if another session has sent the start.
    /// The run had just started when the worker stopped responding, as seen by
    /// another session.
    bool just_started_before = false;
    /// The worker accepted the start or listed the run.
    bool confirmed = false;
  };

  /// A start that waits for the worker's lists or for a permission.
  struct WaitingStart {
    StartRun command;
    MonotonicTime since{0};
    int requested_speed = 100;  ///< In per cent of full speed.
  };

  WorkerSession(base::EventLoop& loop, std::shared_ptr<WorkerLink> link,
                Assignment assignment, WorkerSessionOptions options, Emit emit,
                LeaderView leader, ObserveTiming observe);

  /// Renews the lease; the worker replies after `wait` at the latest.
  void SendRenew(Milliseconds wait);
  void OnRenewReply(const Result<RenewReply>& result, std::uint64_t generation);
  void OnReport(const RenewReply& report);
  void ScheduleRenew();
  /// Replaces the known state of the worker by the lists of a report, once
  /// these are complete.
  void Synchronise(const RenewReply& report);
  /// Adds the runs that an assignment or a former session names; of two runs of
  /// a task the newer one counts.
  void AddKnownRuns(const std::vector<RunId>& known);
  /// Replaces the known runs by the listed ones.
  void ReplaceRuns(const RenewReply& report);
  /// Reports that the worker is attached, though it may list more ends later.
  /// Until then a run that it does not list is unknown.
  void BeginReadingEnds(const RenewReply& report);
  void ReportAttached(Attached attached);
  /// Reports the ends that the leader does not know yet.
  void ReportEnds(const RenewReply& report);
  /// Raises the fencing token, which invalidates commands in flight.
  void RaiseFence();
  /// Raises the fencing token and requests the worker's lists.
  void Resynchronise();
  void OnRenewFailed(const Error& error);
  /// Resets the state for a new process that replies under the worker's id.
  void OnProcessChanged(WorkerIncarnation incarnation);
  /// Sends the waiting starts if the leader permits it, but reports those that
  /// have waited for too long as not sent.
  void SendWaitingStarts();
  void ReportNotSent(const StartRun& command);
  /// True if the start was decided for another process than the present one.
  [[nodiscard]] bool IsForOtherProcess(const StartRun& command) const noexcept;
  /// True if the worker's data centre is under evacuation.
  [[nodiscard]] bool IsEvacuated() const;
  /// Refuses a start on an evacuated worker.
  void WithholdStart(const StartRun& command);
  /// Reports all waiting starts as not sent.
  void ReportWaitingNotSent();
  void SendStart(StartRun command, int requested_speed);
  void OnStartReply(const StartRun& command, CommandOutcome outcome);
  /// Sends queued stops, as many as may be in flight.
  void SendStops();
  void OnStopReply(const StopRun& command, CommandOutcome outcome);
  /// Does nothing if the session has been closed by then.
  void AfterRetryDelay(std::function<void()> action);
  void UpdateRuns(const RenewReply& report);
  void CheckProgress(const RunningRun& running, Run& run);
  /// Reports that the worker has stopped responding, or responds again, which
  /// begins an attachment if there is none.
  void ReportResponding(bool responding);
  [[nodiscard]] bool MayHaveCrashedWorker(const Run& run) const noexcept;
  /// Reports the measurements of a worker that runs a latency-critical task.
  void ReportLoad(const RenewReply& report);
  void SendThrottle(const ThrottleRun& command);
  void OnThrottleReply(const ThrottleRun& command, CommandOutcome outcome);
  void Report(decltype(AgentEvent::details) details);
  /// Raises the time up to which the worker may hold a lease, for a lease of
  /// this length that begins now.
  void RaiseLeaseBound(Milliseconds lease);
  /// Upper bound of the remaining lease.
  [[nodiscard]] Milliseconds LeaseLeft() const {
    return TimeUntil(lease_expires_at_);
  }
  /// 0 for a time that has passed.
  [[nodiscard]] static Milliseconds TimeUntil(MonotonicTime time);
  /// End of a new lease on the worker's clock; 0 if that clock is not known.
  [[nodiscard]] WorkerTime NextLeaseEnd();
  /// True if the leader has handled the present attachment, so that it counts
  /// what is granted from now on.
  [[nodiscard]] bool AttachmentHandled() const;
  /// True if a renewal may extend the lease.
  [[nodiscard]] bool MayExtend() const;
  /// True if a start, which extends the lease, may be sent.
  [[nodiscard]] bool MaySend(const StartRun& command) const;
  /// Begins an attachment unless one goes on.
  void BeginAttachment();
  /// Ends it since the worker does not reply, and reports that.
  void EndAttachment();
  void ReportUnreachable();
  /// Closes the session, since the worker's process has terminated.
  void CloseEnded();

  base::EventLoop& loop_;
  std::shared_ptr<WorkerLink> link_;
  Assignment assignment_;
  WorkerSessionOptions options_;
  Emit emit_;
  LeaderView leader_;
  ObserveTiming observe_;
  WorkerFence fence_;
  /// Sequence number of the awaited renewal; replies to previous ones are
  /// ignored.
  std::uint64_t renew_generation_ = 0;
  bool renew_in_flight_ = false;
  bool synced_ = false;
  /// The worker is attached but may have ends that it has not listed yet.
  bool reading_ends_ = false;
  bool runs_known_ = false;
  WorkerFence runs_as_of_;  ///< As in the assignment.
  /// The process that replied last may have ended. Until the next reply the
  /// worker gets no acknowledgement, lease or start, since these apply to one
  /// process.
  bool process_unconfirmed_ = true;
  bool closed_ = false;
  bool suspended_ = false;     ///< Closed, and the runs are kept.
  bool worker_ended_ = false;  ///< Another process replies at its address.
  bool unreachable_reported_ = false;
  WorkerIncarnation incarnation_;
  EndNumber acknowledged_;  ///< Highest end that the leader has stored.
  EndNumber reported_end_;  ///< Highest end reported to the leader.
  EndNumber highest_listed_end_;
  /// Ends in the newest list. The leader may not have stored them until they
  /// are acknowledged.
  std::vector<EndedRun> listed_ends_;
  std::uint64_t starts_seen_ = 0;  ///< Number of the last start command.
  WorkerTime worker_clock_;        ///< Worker's clock as last reported.
  MonotonicTime worker_clock_read_at_{0};
  /// Time of the first failed renewal since the last reply; 0 if there is none.
  MonotonicTime silent_since_{0};
  MonotonicTime replied_at_{0};
  /// Time up to which the worker may hold a lease.
  MonotonicTime lease_expires_at_{0};
  /// The same for a lease that the worker's process may have got from a command
  /// for the process before; 0 if there is none.
  MonotonicTime restart_lease_expires_at_{0};
  MonotonicTime last_grant_at_{0};
  bool extends_lease_ = true;
  /// Time at which the attachment began, which is reported; 0 if there is none.
  /// Until the leader has handled the report it may give up the runs at the end
  /// of the lease that it knows.
  MonotonicTime attached_at_{0};
  AttachmentNumber attachment_;  ///< The present or last one.
  bool lease_known_ = false;     ///< That time covers what this agent knows.
  bool others_counted_ = false;  ///< It covers all that others have granted.
  MonotonicTime load_reported_at_{0};
  std::map<std::string, Run> runs_;
  std::vector<WaitingStart> waiting_starts_;
  StopQueue stops_;
  base::Timer stop_timer_;  ///< Delays the stops after one has failed.
  base::Timer renew_timer_;
  base::Timer overdue_timer_;   ///< Ends the attachment.
  Milliseconds reply_overdue_;  ///< Grows if replies arrive after that.
};

}  // namespace mangospread::dispatch
