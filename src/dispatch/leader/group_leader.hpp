/// @file
/// The leader of a group: stores accepted submissions and their progress in the
/// table and sends the dispatcher's decisions to the agents as commands.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "dispatch/core/dispatcher.hpp"
#include "dispatch/front/submission_service.hpp"
#include "dispatch/leader/agent_register.hpp"
#include "dispatch/leader/deferred_calls.hpp"
#include "dispatch/leader/former_leaders.hpp"
#include "dispatch/leader/group_leader_dependencies.hpp"
#include "dispatch/leader/group_leader_options.hpp"
#include "dispatch/leader/group_members.hpp"
#include "dispatch/leader/idle_submissions.hpp"
#include "dispatch/leader/job_rows.hpp"
#include "dispatch/leader/leadership.hpp"
#include "dispatch/leader/lease_bound.hpp"
#include "dispatch/leader/progress_writes.hpp"
#include "dispatch/leader/wait_log.hpp"
#include "dispatch/metrics/timings.hpp"
#include "dispatch/model/lease.hpp"
#include "dispatch/model/permission.hpp"
#include "mangospread/platform/table.hpp"
#include "table/writer.hpp"

namespace mangospread::dispatch {

/// Schedules the submissions of a group while this process leads it. Every
/// write is conditional on the leader's row, so a replaced leader can store
/// nothing.
class GroupLeader {
 public:
  GroupLeader(GroupLeaderDependencies dependencies, GroupLeaderOptions options);
  ~GroupLeader();
  GroupLeader(const GroupLeader&) = delete;
  GroupLeader& operator=(const GroupLeader&) = delete;

  /// Loads the group's state from the table, then starts scheduling.
  void Start();

  /// Processes a call. `done` may be called from within Handle.
  void Handle(ServiceCall call, ServiceCallback done);

  /// Replaces the list of registered workers. A worker that is missing gets no
  /// more work, and has left once the list has lacked it for
  /// missing_grace_period.
  void OnWorkers(const std::map<VmName, WorkerInfo>& listed);
  /// Reports whether the list is as stored at present. Until it is, as at the
  /// start, nothing follows from a worker that is missing.
  void SetWorkersCurrent(bool current);
  /// Replaces the evacuations, which hold from now on.
  void SetEvacuations(const Evacuations& evacuations);
  /// Replaces the services whose workers do not guard their capacity.
  void SetUnguardedServices(const std::set<ServiceName>& services) {
    dispatcher_->SetUnguardedServices(services);
  }
  /// @param last_grant_age time for which the agent has granted no lease;
  ///   nullopt if it is not known.
  /// @param numbers_attachments as in its Hello.
  void OnAgentUp(const NodeId& agent, const DataCenter& data_center,
                 std::optional<Milliseconds> last_grant_age = std::nullopt,
                 bool numbers_attachments = false);
  /// @param permitted_at time of the last message that permitted it anything;
  ///   nullopt if it is not known.
  void OnAgentDown(const NodeId& agent,
                   std::optional<MonotonicTime> permitted_at = std::nullopt);
  /// Reports the length of the leases that a node grants: during an upgrade it
  /// may be longer than that of this version.
  void OnAgentLease(Milliseconds lease);
  /// Length of the longest leases that workers may hold.
  [[nodiscard]] Milliseconds LongestLease() const;
  /// Reports the most memory of accepted submissions, in bytes, that a node can
  /// hold as the leader; 0 if it is not known. No more is accepted, since that
  /// node may lead next.
  void OnWorkLimit(std::size_t max_work_bytes);
  /// Reports that the leader of the epoch before has led no more from this time
  /// on.
  void OnFormerLeaderStopped(MonotonicTime stopped_at);
  /// Handles a node that does not lead; this process or an earlier one of it
  /// may have led before.
  /// @param last_grant_age as for OnAgentUp.
  void OnFollowerSeen(const NodeId& node, Incarnation incarnation,
                      std::optional<Milliseconds> last_grant_age);
  /// Handles an agent's confirmation of a message that was sent at this time.
  void OnAgentConfirmed(const NodeId& agent, MonotonicTime sent_at) {
    agent_register_.OnConfirmed(agent, sent_at);
  }
  /// Latest time after which every agent of the stored row followed this
  /// leader; nullopt if one is missing.
  [[nodiscard]] std::optional<MonotonicTime> FollowedSince(
      MonotonicTime now) const {
    return agent_register_.FollowedSince(now);
  }
  /// Reports whether another node may take over.
  void SetYielding(bool yielding) noexcept { yielding_ = yielding; }
  void OnAgentEvent(const NodeId& agent, const AgentEvent& event);
  /// Handles the runs that an agent reports for a worker which it attached
  /// under a former leader.
  void OnKnownRuns(const NodeId& agent, const FormerLeaderRuns& reported);
  /// Handles the end of these reports.
  void OnReportsEnd(const NodeId& agent, const ReportsEnd& end);

  [[nodiscard]] const Dispatcher& dispatcher() const { return *dispatcher_; }
  /// The waiting tasks of a submission, with the counts of workers that reject
  /// them.
  [[nodiscard]] std::vector<WaitingTasks> ExplainWaits(
      const SubmissionId& id) const;
  /// Number of waiting tasks by reason and age.
  [[nodiscard]] WaitCounts CountWaiting(MonotonicTime now) const {
    return dispatcher_->CountWaiting(now, started_at_);
  }
  /// Number of submissions that have nothing running though a step is ready, by
  /// reason, as of the last check.
  [[nodiscard]] const IdleCounts& idle_counts() const noexcept {
    return idle_submissions_.counts();
  }
  [[nodiscard]] const table::WriterCounters& writes() const noexcept {
    return writer_.counters();
  }
  [[nodiscard]] bool loaded() const noexcept { return loaded_; }
  /// Number of workers of the former leader whose runs are not known yet.
  [[nodiscard]] std::size_t unresolved_workers() const noexcept {
    return unresolved_.size();
  }

 private:
  // Loading.
  void Load();
  /// Reads the row of agents, and which leaders before may go on.
  void LoadAgents(const std::optional<std::string>& stored);
  void OnLoaded(const std::vector<Row>& rows);
  /// An accepted submission as it is stored.
  struct StoredJob {
    Submission submission;
    QueuePolicy policy;
    std::uint64_t accepted_at_ms = 0;  ///< Since the Unix epoch.
  };
  /// Decodes the row of an accepted submission; nullopt if it is malformed.
  [[nodiscard]] std::optional<StoredJob> DecodeStoredJob(
      const SubmissionId& id, std::string_view value) const;
  void RestoreJob(StoredJob job, const JobProgress& progress);
  /// Lets restored tasks start once the runs of all workers of the loaded
  /// roster are known or have certainly ended.
  void CheckResume();
  /// Logs for which workers restored work waits and for how long at most.
  void LogTakeoverWait();

  // Calls (group_leader_calls.cc).
  /// Lets a call wait for the write that decides about its submission.
  void Defer(ServiceCall call, ServiceCallback done);
  /// Ends the wait for such a write, and handles the calls that waited.
  void Settle(const SubmissionId& id, const table::WriteResult& result);
  void Submit(ServiceCall call, ServiceCallback done);
  void OnSubmitted(Submission submission, const QueuePolicy& policy,
                   const table::WriteResult& result,
                   const ServiceCallback& done);
  /// Accepts a submission that was cancelled before: none of it ever runs.
  void SubmitCancelled(const ServiceCall& call, ServiceCallback done);
  void ReplyState(ServiceCall call, ServiceCallback done);
  /// Replies that there is no such submission, unless a later leader may have
  /// accepted it, or this one has meanwhile.
  void ReplyNotFound(ServiceCall call, ServiceCallback done);
  void Cancel(const ServiceCall& call, ServiceCallback done);
  /// Stores that a submission is cancelled of which nothing is known, so that a
  /// copy which is still on its way starts nothing, whoever leads then.
  void CancelUnsubmitted(const ServiceCall& call, ServiceCallback done);
  void OnCancelledUnsubmitted(const SubmissionId& id, const QueuePolicy& policy,
                              const table::WriteResult& result,
                              const ServiceCallback& done);
  [[nodiscard]] bool HasMemoryFor(const SubmissionId& id,
                                  std::size_t bytes) const;
  [[nodiscard]] Result<Submission> DecodeCall(const ServiceCall& call) const;
  /// A transaction that fails if a submission with this id is stored.
  [[nodiscard]] Transaction AbsentSubmission(const SubmissionId& id) const;

  // Storing.
  void MarkDirty(const SubmissionId& id);
  void Flush();
  void Save(const SubmissionId& id);
  /// Progress that is being stored, by one transaction after the other.
  struct ProgressSave;
  /// Returns the writes that store the progress of a submission as it is now,
  /// and that progress.
  [[nodiscard]] std::vector<ProgressWrite> PlanSave(const SubmissionId& id,
                                                    ProgressRow& row);
  /// Sends as many of the next rows as one transaction holds.
  void SendNextRows(std::shared_ptr<ProgressSave> save);
  /// Notes that the rows from number `first` on which were sent are committed.
  void NoteRows(const ProgressSave& save, std::size_t first);
  void OnRowsSent(const std::shared_ptr<ProgressSave>& save,
                  const table::WriteResult& result);
  void OnSaved(const SubmissionId& id, std::uint64_t generation,
               const table::WriteResult& result);
  /// Keeps the state of an ended submission for ended_retention from now on.
  void RetainEnded(const SubmissionId& id);
  /// Deletes the rows of submissions that ended more than ended_retention ago.
  void SweepEnded(MonotonicTime now);
  struct EndedSubmission {
    SubmissionId id;
    MonotonicTime ended_at{0};
  };
  /// Removes the stored progress of an ended submission, or some rows of it
  /// before the rest.
  void RemoveProgress(const EndedSubmission& ended);
  /// Removes some rows of blocks. Returns false if there are none.
  bool RemoveBlocks(const EndedSubmission& ended);
  void SaveInterference();
  void RestoreInterference(std::string_view value);
  /// A transaction that fails unless this process still leads.
  [[nodiscard]] Transaction LeaderTransaction() const;
  /// Reports a lost leadership if a write failed on the leader's row; returns
  /// true in that case.
  bool CheckConflict(const table::WriteResult& result);

  // Workers (group_leader_workers.cc).
  /// Workers that may hold a lease now or in the near future.
  [[nodiscard]] std::set<VmName> TargetRoster() const;
  void SaveRoster();
  /// Stores the agents that may have granted valid leases.
  void SaveAgents();
  /// Time from which on a row of workers or agents may be sent after a write
  /// with this result.
  [[nodiscard]] MonotonicTime RetryTime(const table::WriteResult& result) const;
  /// Bounds the age of a grant that a node reports.
  [[nodiscard]] static Milliseconds GrantAge(Milliseconds reported);
  /// Decides whether this node may be stored among them.
  void UpdateSelfService();
  /// True if the stored roster contains the worker, so that a new leader is
  /// certain to find it there.
  [[nodiscard]] bool InRoster(const VmName& vm) const;
  void AddWorker(const VmName& vm);
  /// Counts the lease that a released agent reports for a known worker.
  void CountReportedLease(WorkerEntry& entry, const NodeId& agent,
                          const FormerLeaderRuns& reported);
  /// Counts the longest lease for a worker of which none is reported.
  void BoundUnknownLease(FormerWorker& former) const;
  /// Adds a worker that an agent has reported, or ends the agents' sessions
  /// with it if nothing can run there.
  void AddFormerWorker(const VmName& vm);
  void AssignWorkers();
  /// Assigns a worker without an agent, or one that its agent does not reach,
  /// if it is time to.
  void AssignWorker(WorkerEntry& entry);
  void Assign(WorkerEntry& entry, const NodeId& agent);
  /// True if the worker's agent may have granted a lease that its bound does
  /// not cover.
  [[nodiscard]] bool MayHaveGranted(const WorkerEntry& entry) const;
  /// Ends the time in which the worker's agent may extend the lease, which the
  /// bound then covers.
  static void EndGrants(WorkerEntry& entry);
  static void BeginGrants(WorkerEntry& entry, AttachmentNumber attachment);
  void CountAttached(WorkerEntry& entry, const Attached& attached);
  /// Ends the grants, of which the agent reports the time left.
  void CountReported(WorkerEntry& entry, Milliseconds lease_left);
  /// Handles the end or the beginning of an attachment.
  void CountLoad(WorkerEntry& entry, const WorkerLoad& load);
  /// Releases the worker. Its agent may extend the lease until it has received
  /// that.
  void Unassign(WorkerEntry& entry);
  /// The same for the worker of a lost agent.
  /// @param lease_expiry time at which the leases that it has granted have
  ///   expired.
  void UnassignLost(WorkerEntry& entry, MonotonicTime lease_expiry);
  /// Releases the worker and counts what its agent may have granted.
  void DetachCounted(WorkerEntry& entry, MonotonicTime lease_expiry,
                     LeaseEvidence evidence);
  /// Counts a lease that a lost agent may have granted after the worker was
  /// reassigned: neither its report nor its receipt of the release are certain.
  void CountLostRelease(WorkerEntry& entry, const NodeId& agent);
  /// Releases the worker without a change of its lease.
  void Detach(WorkerEntry& entry);
  /// Counts a lease that an agent may have granted.
  void RaiseLeaseBound(WorkerEntry& entry, MonotonicTime expires_at,
                       LeaseEvidence evidence);
  /// Time at which the leases that were granted until now have expired.
  [[nodiscard]] MonotonicTime LeaseExpiry() const;
  /// Time at which the leases have expired that an agent grants which was
  /// permitted nothing after this time.
  [[nodiscard]] MonotonicTime GrantExpiry(MonotonicTime permitted_at) const;
  void MoveWorkers();
  /// Counts the runs of a worker that is lost before it was attached.
  void AddRunsOfLost(const VmName& vm);
  void LogRemoved(const VmName& vm, WorkerRemoval removal,
                  const WorkerEntry& entry) const;
  /// Removes a worker that has terminated or whose lease has expired.
  void RemoveWorker(const VmName& vm, WorkerRemoval removal);
  /// Ends the agents' sessions with removed workers that the stored roster does
  /// not contain any more. Until then the next leader may ask for them.
  void ReleaseRemoved();
  /// Notes which workers have been missing from the list for so long that they
  /// have left.
  void MarkGone();
  /// Removes workers that left the list and on which nothing can run.
  void RemoveIdleWorkers();
  /// Gives agents time to attach workers before the reported runs are used: the
  /// list of an attached worker is more accurate than any report of an agent. A
  /// report is used only for a worker that cannot be reached, since another
  /// agent may have started runs on it after the reporting one.
  void StartAttachTimer();
  [[nodiscard]] bool MayBeAttached(const FormerWorker& former) const;
  void ApplyKnownRuns(const VmName& vm);
  /// Handles an event of a session that an agent has no more, or that is about
  /// to end.
  void OnOutdatedEvent(const NodeId& agent, const AgentEvent& event);
  /// Removes a worker whose process has ended, unless a later one may run
  /// something that no agent has reported.
  void OnWorkerEnded(WorkerEntry& entry, const NodeId& agent);
  void OnUnreachable(WorkerEntry& entry, const NodeId& agent,
                     Milliseconds lease_left);
  /// Time at which the leases that a worker got under former leaders have
  /// expired, as far as it is known.
  [[nodiscard]] MonotonicTime FormerLeaseExpiry(const VmName& vm) const;
  /// Ends the sessions of agents that served the worker under a former leader,
  /// except the one that it is assigned to now.
  void ReleaseFormerAgents(WorkerEntry& entry, const NodeId& agent);
  /// Counts a lease that the agent may have granted until now, if it was
  /// renewing it under the former leader, and no later one.
  static void EndRenewals(const NodeId& agent, FormerWorker& former,
                          MonotonicTime lease_expiry);
  /// Sets the end of the leases that a worker got under former leaders.
  static void SetFormerLease(WorkerEntry& entry, FormerWorker& former);
  [[nodiscard]] std::optional<NodeId> PickAgent(const WorkerEntry& entry) const;
  /// True if workers may be assigned to the agent.
  [[nodiscard]] bool IsEligible(const NodeId& agent) const;
  /// Assigns a worker that its agent does not reach to the next one, once each
  /// agent has had time to try.
  void RotateAgent(WorkerEntry& entry);
  /// Assigns a worker that is not attached to another agent. Its present one
  /// has not renewed the lease, or an event reports that it has.
  void Reassign(WorkerEntry& entry, const NodeId& agent);
  [[nodiscard]] static Milliseconds LeaseLeft(const WorkerEntry& entry);
  /// Bounds the time left that a node reports: a frame may be damaged.
  [[nodiscard]] static Milliseconds BoundLeaseLeft(Milliseconds reported);
  void SendToAgent(AgentCommand command);

  /// Time at which every lease granted under a former leader has expired,
  /// whatever its agents have granted meanwhile.
  [[nodiscard]] MonotonicTime InheritedLeaseExpiry() const;
  /// The same for a worker that no agent has reported.
  [[nodiscard]] MonotonicTime UnreportedLeaseExpiry() const;
  /// The same for any worker that this leader has not attached, as far as the
  /// leases are not reported: another agent than the reporting one may have got
  /// it last, and be silent or have been replaced by a process that knows
  /// nothing of it.
  [[nodiscard]] MonotonicTime UnknownLeaseExpiry() const;
  /// The same for one worker: an agent may also have ended the session in which
  /// it got the worker last.
  [[nodiscard]] MonotonicTime UnknownLeaseExpiry(const VmName& vm) const;
  /// Time at which every former leader had been elected.
  [[nodiscard]] MonotonicTime FormerElectedBy() const;
  /// Time from which on no former leader has granted leases as an agent. One
  /// that had not heard of its election went on for as long as it was permitted
  /// to.
  [[nodiscard]] MonotonicTime ElectedAgentLimit() const;
  /// Time from which on no former leader has permitted anything.
  [[nodiscard]] MonotonicTime FormerLeaderLimit() const;
  /// True for a worker of the loaded roster of which nothing is known.
  [[nodiscard]] bool Unreported(const VmName& vm) const {
    return unresolved_.contains(vm) && !former_workers_.contains(vm);
  }
  /// True if the agent has so many workers that agents which were lost just now
  /// are waited for.
  [[nodiscard]] bool HasEnough(std::size_t workers) const;
  /// Time after which a worker is removed unless it is attached before; nullopt
  /// if it is attached, or while only its agent knows its lease.
  [[nodiscard]] std::optional<MonotonicTime> RemovalTime(
      const VmName& vm, const WorkerEntry& entry) const;
  /// Removes the workers whose leases have expired.
  void RemoveExpired();

  void RequestDecision();
  void Tick();
  void LogDecision(const TaskName& name, const VmName& vm,
                   std::string_view decision, std::string_view reason) const;
  static void LogLost(const LostRun& lost, const VmName& vm);
  // Waiting tasks (group_leader_waits.cc).
  /// Logs tasks that have waited long, and why.
  void LogWaits(MonotonicTime now);
  /// Finds the submissions that have nothing running. Logs those that could.
  void LogIdle(const std::vector<WaitingTasks>& waiting, MonotonicTime now);
  /// @param cause why the line is due: "waits" or "idle".
  void LogWait(const WaitingTasks& waiting, std::string_view cause,
               std::size_t left_out) const;
  void AddLease(WaitingTasks& waiting) const;

  GroupLeaderDependencies deps_;
  GroupLeaderOptions options_;
  table::Writer writer_;
  std::unique_ptr<Dispatcher> dispatcher_;
  bool loaded_ = false;
  bool resumed_ = false;
  bool yielding_ = false;  ///< Another node may take over.
  MonotonicTime started_at_{0};
  MonotonicTime loaded_at_{0};
  MonotonicTime agent_lost_at_{0};  ///< Time of the last loss of an agent.
  WaitLog wait_log_;
  IdleSubmissions idle_submissions_;
  MonotonicTime waits_checked_at_{0};
  std::uint64_t assignments_issued_ = 0;

  DeferredCalls deferred_calls_;
  /// Cancelled submissions that nobody has submitted yet. They are not shown.
  std::set<SubmissionId> unsubmitted_;
  std::size_t max_work_bytes_;  ///< The least of this node's and all seen.
  /// Callers that wait for a cancellation to be stored.
  std::map<SubmissionId, std::vector<ServiceCallback>> cancelling_callbacks_;
  std::set<SubmissionId> dirty_;   ///< With changes to be stored.
  std::set<SubmissionId> saving_;  ///< With a write in flight.
  /// The stored rows of progress beside the first ones, of the submissions that
  /// have any.
  std::map<SubmissionId, FurtherProgressRows> progress_rows_;
  /// Time of the oldest change of a submission that is not stored yet.
  std::map<SubmissionId, MonotonicTime> unsaved_since_;

  /// Oldest first; an entry whose row could not be deleted moves to the end.
  std::deque<EndedSubmission> ended_;

  std::map<NodeId, AgentEntry> agents_;
  /// Agents that have reported all that they know of former leaders: former
  /// versions do so before their first event, and say nothing of its end.
  std::set<NodeId> reported_agents_;
  AgentRegister agent_register_;
  PermissionTimeouts former_timeouts_;  ///< Of the former leaders.
  FormerLeaders former_leaders_;
  std::map<VmName, WorkerEntry> workers_;
  std::map<VmName, WorkerInfo> listed_;  ///< Registered workers.
  /// Time since which these are as stored; nullopt if they may have changed.
  std::optional<MonotonicTime> listed_current_since_;
  /// Workers that may hold a lease, as stored in the table.
  std::set<VmName> roster_;
  int roster_rows_ = 0;  ///< Number of rows that hold them.
  /// Workers of the loaded roster whose runs are not known yet.
  std::set<VmName> unresolved_;
  /// Workers that agents of former leaders have reported.
  std::map<VmName, FormerWorker> former_workers_;
  std::map<VmName, UnreportedSessions> unreported_sessions_;
  std::set<VmName> next_roster_;  ///< Value of the write in flight.
  /// Removed workers and the agents that still have a session with them.
  std::map<VmName, NodeId> unreleased_;
  bool roster_saving_ = false;
  MonotonicTime roster_retry_at_{0};
  MonotonicTime agents_retry_at_{0};
  /// Length of the longest leases that nodes which have connected grant.
  Milliseconds agent_lease_;
  /// Time at which the leases that this node has granted as the leader have
  /// expired; 0 if it has granted none.
  MonotonicTime self_lease_expires_at_{0};
  std::string saved_interference_;
  bool interference_saving_ = false;

  base::Timer interference_timer_;
  base::Timer load_timer_;
  base::Timer flush_timer_;
  base::Timer decide_timer_;
  base::Timer tick_timer_;
  base::Timer attach_timer_;
  base::Timer expiry_timer_;  ///< The next lease that expires before a tick.
  base::Timer takeover_log_timer_;
  /// Set to false by the destructor, so that pending callbacks do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::dispatch
