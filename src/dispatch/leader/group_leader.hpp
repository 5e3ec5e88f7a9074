/// @file
/// The leader of a group: stores what was accepted and what became of it, and
/// has the agents carry the dispatcher's decisions out.
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
#include "dispatch/leader/job_rows.hpp"
#include "dispatch/leader/leadership.hpp"
#include "dispatch/metrics/timings.hpp"
#include "mangospread/platform/table.hpp"
#include "table/writer.hpp"

namespace mangospread::dispatch {

struct GroupLeaderOptions {
  /// Longest lease that an agent gives.
  Milliseconds lease{6'000};
  /// Agents of an earlier leadership go on holding workers for so long.
  Milliseconds orphan_limit{3'500};
  /// Progress is stored this long after the first change, several together.
  Milliseconds save_delay{40};
  Milliseconds save_retry{300};
  /// Placement rounds are at least this far apart.
  Milliseconds decide_delay{8};
  Milliseconds tick{200};
  /// Workers that the leader itself serves are counted as so many more, since
  /// it has the decisions to make beside.
  int own_load = 8;
  /// Workers moved between agents in a tick.
  int moves_per_tick = 4;
  /// Time for agents to attach a worker before its remembered runs count.
  Milliseconds memory_delay{400};
  /// What was learned of images that share workers is stored this often.
  Milliseconds sharing_period{3'000};
  /// An ended submission's state is kept this long.
  Milliseconds keep_ended{150'000};
};

struct GroupLeaderDependencies {
  base::EventLoop& loop;
  Table& table;
  NodeId self;
  DataCenter data_center;
  std::string writer_key;  ///< Row of this process's writer.
  LeaderRecord leadership;
  std::function<Result<Submission>(const SubmissionId&, std::string_view)>
      decode;
  std::function<void(const NodeId& agent, AgentOrder)> send;
  ObserveTiming observe;
  /// The group's state is read; calls are answered from now on.
  std::function<void()> on_loaded;
  /// A conditional write found another leader.
  std::function<void()> on_conflict;
};

class GroupLeader {
 public:
  GroupLeader(GroupLeaderDependencies dependencies, GroupLeaderOptions options);
  ~GroupLeader();
  GroupLeader(const GroupLeader&) = delete;
  GroupLeader& operator=(const GroupLeader&) = delete;

  /// Reads the group's state from the table, then schedules.
  void Start();

  void Handle(ServiceCall call, ServiceCallback done);

  void OnWorkers(const std::map<VmName, WorkerInfo>& listed);
  void OnAgentUp(const NodeId& agent, const DataCenter& data_center);
  void OnAgentDown(const NodeId& agent);
  void OnAgentEvent(const NodeId& agent, const AgentEvent& event);
  /// What an agent knows of a worker from an earlier leadership.
  void OnRemembered(const RememberedRuns& remembered);

  [[nodiscard]] const Dispatcher& dispatcher() const { return *dispatcher_; }
  [[nodiscard]] bool loaded() const noexcept { return loaded_; }

 private:
  struct AgentInfo {
    DataCenter data_center;
    int workers = 0;
  };
  /// A worker of the group and the agent that talks to it.
  struct WorkerEntry {
    WorkerInfo info;
    bool listed = true;
    std::optional<NodeId> agent;
    WorkerFence fence;
    bool attached = false;
    std::set<NodeId> failed;  ///< Agents that did not reach it.
    /// Its lease is over by then unless it is extended.
    MonotonicTime lease_over_at{0};
    MonotonicTime retry_at{0};
  };

  // Loading.
  void Load();
  void OnLoaded(const std::vector<Row>& rows);
  void RestoreJob(const SubmissionId& id, const JobRow& row,
                  const std::optional<ProgressRow>& progress);
  void CheckResume();

  // Calls.
  void Submit(ServiceCall call, ServiceCallback done);
  void OnSubmitted(const SubmissionId& id, const table::WriteResult& result);
  void Cancel(const SubmissionId& id, ServiceCallback done);

  // Storing.
  void MarkDirty(const SubmissionId& id);
  void Flush();
  void Save(const SubmissionId& id);
  void OnSaved(const SubmissionId& id, std::uint64_t generation,
               const table::WriteResult& result);
  /// Deletes the rows of submissions that ended long ago.
  void SweepEnded(MonotonicTime now);
  void SaveSharing();
  void RestoreSharing(std::string_view value);
  [[nodiscard]] Transaction Conditioned() const;
  bool CheckConflict(const table::WriteResult& result);

  // Workers (group_leader_workers.cc).
  /// Workers that may hold a lease now, or soon.
  [[nodiscard]] std::set<VmName> WantedRoster() const;
  void SaveRoster();
  /// True if whoever takes over certainly learns of the worker.
  [[nodiscard]] bool InRoster(const VmName& vm) const;
  void Enlist(const VmName& vm);
  void AssignWorkers();
  void Assign(WorkerEntry& entry, const NodeId& agent);
  void Unassign(WorkerEntry& entry);
  void MoveWorkers();
  void OnWorkerOver(const VmName& vm, std::string_view why);
  /// Drops workers that left and on which nothing can run.
  void ForgetIdle();
  /// Gives agents a moment to attach workers, whose own lists are better than
  /// any memory.
  void AwaitAttachment();
  void ApplyRemembered(const VmName& vm);
  void OnUnreachable(WorkerEntry& entry, const NodeId& agent,
                     Milliseconds lease_left);
  [[nodiscard]] std::optional<NodeId> PickAgent(const WorkerEntry& entry) const;
  [[nodiscard]] int LoadOf(const NodeId& agent) const;
  void SendToAgent(const AgentOrder& order);

  /// Time by which a lease that an earlier leadership gave is over.
  [[nodiscard]] MonotonicTime InheritedLeaseOver() const;
  [[nodiscard]] MonotonicTime LeaseBound() const;

  void RequestDecision();
  void Tick();
  void LogDecision(const TaskName& name, const VmName& vm,
                   std::string_view what, std::string_view why) const;

  GroupLeaderDependencies deps_;
  GroupLeaderOptions options_;
  table::Writer writer_;
  std::unique_ptr<Dispatcher> dispatcher_;
  bool loaded_ = false;
  bool resumed_ = false;
  MonotonicTime started_at_{0};
  std::uint64_t fences_used_ = 0;

  std::map<SubmissionId, std::vector<ServiceCallback>> accepting_;
  std::map<SubmissionId, ServiceCall> accepting_calls_;
  std::map<SubmissionId, std::vector<ServiceCallback>> cancelling_;
  std::set<SubmissionId> dirty_;
  std::set<SubmissionId> saving_;
  /// Since when a submission has changes that are not stored.
  std::map<SubmissionId, MonotonicTime> unsaved_since_;

  struct EndedSubmission {
    SubmissionId id;
    MonotonicTime at{0};
  };
  std::deque<EndedSubmission> ended_;  ///< Oldest first.

  std::map<NodeId, AgentInfo> agents_;
  std::map<VmName, WorkerEntry> workers_;
  std::map<VmName, WorkerInfo> listed_;
  /// Workers that may hold a lease, as stored.
  std::set<VmName> roster_;
  /// Workers of the roster that may run what no one has told of.
  std::set<VmName> unresolved_;
  std::map<VmName, RememberedRuns> remembered_;
  std::set<VmName> next_roster_;  ///< As the write in flight makes it.
  bool roster_saving_ = false;
  std::string saved_sharing_;
  bool sharing_saving_ = false;

  base::Timer sharing_timer_;
  base::Timer load_timer_;
  base::Timer flush_timer_;
  base::Timer decide_timer_;
  base::Timer tick_timer_;
  base::Timer memory_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::dispatch
