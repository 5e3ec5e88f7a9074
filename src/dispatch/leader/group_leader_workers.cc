// The workers of the group: assignment to agents and handling of their events.
#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "dispatch/leader/group_leader.hpp"
#include "dispatch/model/lease.hpp"

namespace mangospread::dispatch {
namespace {

using std::chrono::milliseconds;
using table::WriteStatus;

/// Fencing tokens per epoch; each assignment uses kFenceStride of them.
constexpr std::uint64_t kFencesPerEpoch = std::uint64_t{1} << 32;
/// Minimum of Assignment::normal_load_period, the period of load reports from a
/// worker whose tasks are neither throttled nor close to their latency target.
/// The period grows with the number of workers, which bounds the leader's cost.
constexpr Milliseconds kShortestLoadPeriod{400};
constexpr Milliseconds kLoadPeriodPerWorker{4};
/// Attachments after which an assignment is replaced. An agent raises its
/// fencing token at most twice from one attachment to the next, and has
/// kFenceStride tokens.
constexpr int kMaxAttachmentsPerAssignment = kFenceStride / 4;

/// True if `names` holds exactly the workers of the others. It is compared at
/// each tick, so without a copy of the names.
template <class Listed, class Known>
bool HoldsExactly(const std::set<VmName>& names, const Listed& listed,
                  const Known& known, const std::set<VmName>& unresolved) {
  auto next_listed = listed.begin();
  auto next_known = known.begin();
  auto next_unresolved = unresolved.begin();
  for (const VmName& vm : names) {
    const bool is_listed =
        next_listed != listed.end() && next_listed->first == vm;
    const bool is_known = next_known != known.end() && next_known->first == vm;
    const bool is_unresolved =
        next_unresolved != unresolved.end() && *next_unresolved == vm;
    if (!is_listed && !is_known && !is_unresolved) return false;
    if (is_listed) ++next_listed;
    if (is_known) ++next_known;
    if (is_unresolved) ++next_unresolved;
  }
  // A worker that is missing in `names` has not been passed.
  return next_listed == listed.end() && next_known == known.end() &&
         next_unresolved == unresolved.end();
}

}  // namespace

void GroupLeader::OnWorkers(const std::map<VmName, WorkerInfo>& listed) {
  listed_ = listed;
  if (!loaded_) return;
  for (const auto& [vm, info] : listed_) {
    const auto it = workers_.find(vm);
    if (it == workers_.end()) continue;
    const bool moved = it->second.info.address != info.address;
    it->second.missing_since.reset();
    if (it->second.info == info && !moved) continue;
    it->second.info = info;
    dispatcher_->OnWorker(info);
    if (moved) Unassign(it->second);
  }
  for (auto& [vm, entry] : workers_) {
    if (!entry.info.listed || listed_.contains(vm)) continue;
    // Its runs keep their capacity reserved until they have certainly ended.
    entry.info.listed = false;
    entry.missing_since = base::MonotonicNow();
    dispatcher_->OnWorker(entry.info);
    base::Log(base::Event::kWorkerListed,
              {{"vm", vm.str()}, {"listed", false}});
  }
  for (const auto& [vm, info] : listed_) {
    if (InRoster(vm)) AddWorker(vm);
  }
  SaveRoster();
  AssignWorkers();
}

void GroupLeader::SetWorkersCurrent(bool current) {
  if (!current) return listed_current_since_.reset();
  if (!listed_current_since_) listed_current_since_ = base::MonotonicNow();
}

void GroupLeader::MarkGone() {
  if (!listed_current_since_) return;
  const MonotonicTime now = base::MonotonicNow();
  for (auto& [vm, entry] : workers_) {
    if (!entry.missing_since || entry.info.gone) continue;
    const MonotonicTime since =
        std::max(*entry.missing_since, *listed_current_since_);
    if (now - since < options_.missing_grace_period) continue;
    entry.info.gone = true;
    dispatcher_->OnWorker(entry.info);
    base::Log(base::Event::kWorkerListed,
              {{"vm", vm.str()}, {"listed", false}, {"gone", true}});
  }
}

void GroupLeader::SetEvacuations(const Evacuations& evacuations) {
  dispatcher_->SetEvacuations(evacuations, base::MonotonicNow());
  if (loaded_) RequestDecision();
}

std::set<VmName> GroupLeader::TargetRoster() const {
  std::set<VmName> wanted = unresolved_;
  for (const auto& [vm, info] : listed_) wanted.insert(vm);
  for (const auto& [vm, entry] : workers_) wanted.insert(vm);
  return wanted;
}

void GroupLeader::SaveRoster() {
  if (roster_saving_ || base::MonotonicNow() < roster_retry_at_) return;
  if (HoldsExactly(roster_, listed_, workers_, unresolved_)) return;
  next_roster_ = TargetRoster();
  roster_saving_ = true;
  std::vector<std::string> rows =
      EncodeRoster(next_roster_, options_.row_bytes);
  const auto count = static_cast<int>(rows.size());
  Transaction change = LeaderTransaction();
  for (int part = 0; part < count; ++part) {
    change.writes.push_back(
        {RosterKey(part), std::move(rows[static_cast<std::size_t>(part)])});
  }
  for (int part = count; part < roster_rows_; ++part) {
    change.writes.push_back({RosterKey(part), std::nullopt});
  }
  writer_.Submit(
      std::move(change), [this, count](const table::WriteResult& result) {
        roster_saving_ = false;
        roster_retry_at_ = RetryTime(result);
        // A later tick retries.
        if (CheckConflict(result) || result.status != WriteStatus::kCommitted) {
          return;
        }
        roster_ = next_roster_;
        roster_rows_ = count;
        ReleaseRemoved();
        OnWorkers(std::map<VmName, WorkerInfo>(listed_));
      });
}

bool GroupLeader::InRoster(const VmName& vm) const {
  // A write in flight may remove the worker.
  return roster_.contains(vm) && (!roster_saving_ || next_roster_.contains(vm));
}

void GroupLeader::AddWorker(const VmName& vm) {
  const auto [it, added] = workers_.try_emplace(vm);
  if (!added) return;
  it->second.info = listed_.at(vm);
  it->second.inherited = unresolved_.contains(vm);
  if (const auto former = former_workers_.find(vm);
      former != former_workers_.end() && unresolved_.contains(vm)) {
    it->second.lease = former->second.lease;
  }
  dispatcher_->OnWorker(it->second.info);
}

void GroupLeader::AssignWorkers() {
  for (auto& [vm, entry] : workers_) AssignWorker(entry);
}

void GroupLeader::AssignWorker(WorkerEntry& entry) {
  if (base::MonotonicNow() < entry.retry_at) return;
  if (entry.agent) {
    if (entry.unreachable) RotateAgent(entry);
  } else if (const auto agent = PickAgent(entry)) {
    Assign(entry, *agent);
  }
}

void GroupLeader::RotateAgent(WorkerEntry& entry) {
  const auto agent = PickAgent(entry);
  if (!agent || agent == entry.agent) {
    // Meanwhile the last one goes on, so that a node besides the leader knows
    // the worker's runs.
    entry.failed_agents.clear();
    entry.failed_agents.insert(*entry.agent);
    entry.retry_at = base::MonotonicNow() + options_.rotation_period;
    return;
  }
  Reassign(entry, *agent);
}

void GroupLeader::Reassign(WorkerEntry& entry, const NodeId& agent) {
  if (MayHaveGranted(entry)) {
    entry.released_by = entry.agent;
    entry.released_at = base::MonotonicNow();
  }
  Detach(entry);
  Assign(entry, agent);
}

void GroupLeader::Assign(WorkerEntry& entry, const NodeId& agent) {
  const VmName& vm = entry.info.vm;
  // The assignment replaces the session if the agent is the same.
  const auto removed = unreleased_.extract(vm);
  if (!removed.empty() && removed.mapped() != agent) {
    deps_.send(removed.mapped(), Release{vm});
  }
  entry.agent = agent;
  entry.attached = entry.unreachable = false;
  entry.last_attachment = AttachmentNumber();
  entry.attachments = 0;
  ++agents_.at(agent).workers;
  entry.fence = WorkerFence(deps_.leadership.epoch.value() * kFencesPerEpoch +
                            ++assignments_issued_ * kFenceStride);
  Assignment assignment;
  assignment.worker = entry.info;
  assignment.fence = entry.fence;
  assignment.starts_before = dispatcher_->StartsIssued(vm);
  if (!unresolved_.contains(vm)) {
    assignment.known_runs = dispatcher_->Runs(vm);
    assignment.runs_as_of = entry.fence;
    assignment.lease_left = LeaseLeft(entry);
  } else if (const auto former = former_workers_.find(vm);
             former != former_workers_.end()) {
    ReleaseFormerAgents(entry, agent);
    assignment.known_runs = former->second.runs.runs;
    assignment.runs_as_of = former->second.runs.runs_as_of;
    // An agent that goes on with its session knows the lease better.
    if (entry.lease.known()) {
      assignment.lease_left = LeaseLeft(entry);
    }
  }
  // Bounds the cost of load reports for a leader with many workers.
  assignment.normal_load_period =
      std::max(kShortestLoadPeriod,
               kLoadPeriodPerWorker * static_cast<int>(workers_.size()));
  deps_.send(agent, std::move(assignment));
}

void GroupLeader::Detach(WorkerEntry& entry) {
  deps_.send(*entry.agent, Release{entry.info.vm});
  if (*entry.agent == deps_.self) self_lease_expires_at_ = LeaseExpiry();
  const auto it = agents_.find(*entry.agent);
  if (it != agents_.end()) --it->second.workers;
  EndGrants(entry);
  entry.agent.reset();
  entry.attached = entry.unreachable = false;
  dispatcher_->OnDetached(entry.info.vm, base::MonotonicNow());
}

void GroupLeader::SendToAgent(AgentCommand command) {
  const VmName& vm = std::visit(
      [](const auto& kind) -> const VmName& {
        if constexpr (requires { kind.worker; }) {
          return kind.worker.vm;
        } else {
          return kind.vm;
        }
      },
      command);
  const auto it = workers_.find(vm);
  if (it == workers_.end() || !it->second.agent) return;
  if (auto* start = std::get_if<StartRun>(&command)) {
    start->attachment = it->second.last_attachment;
  }
  deps_.send(*it->second.agent, std::move(command));
}

void GroupLeader::OnAgentEvent(const NodeId& agent, const AgentEvent& event) {
  reported_agents_.insert(agent);
  const auto it = workers_.find(event.vm);
  const bool is_current = it != workers_.end() && it->second.agent == agent &&
                          it->second.fence == event.assignment;
  if (!is_current) return OnOutdatedEvent(agent, event);
  WorkerEntry& entry = it->second;
  const MonotonicTime now = base::MonotonicNow();
  if (std::holds_alternative<Attached>(event.details)) {
    entry.attached = true;
    entry.inherited = false;
    entry.failed_agents.clear();
    entry.unreachable = false;
    CountAttached(entry, std::get<Attached>(event.details));
    base::Log(base::Event::kWorkerAttached,
              {{"vm", event.vm.str()}, {"agent", agent.str()}});
    const auto former = former_workers_.find(event.vm);
    if (former != former_workers_.end() && unresolved_.contains(event.vm)) {
      dispatcher_->SetKnownRuns(event.vm, former->second.runs.runs);
    }
    dispatcher_->OnEvent(event, now);
    if (std::get<Attached>(event.details).complete) {
      unresolved_.erase(event.vm);
      CheckResume();
      if (++entry.attachments >= kMaxAttachmentsPerAssignment) {
        Unassign(entry);
        Assign(entry, agent);
      }
    }
  } else if (const auto* unreachable =
                 std::get_if<WorkerUnreachable>(&event.details)) {
    dispatcher_->OnEvent(event, now);
    OnUnreachable(entry, agent, unreachable->lease_left);
  } else if (std::holds_alternative<WorkerSuperseded>(event.details)) {
    // Only a later leader issues fencing tokens above those of the newest
    // assignment.
    base::Log(base::Event::kLeaderLost, {{"leader", deps_.self.str()},
                                         {"reason", "superseded"},
                                         {"vm", event.vm.str()}});
    return deps_.on_conflict();
  } else if (std::holds_alternative<WorkerEnded>(event.details)) {
    OnWorkerEnded(entry, agent);
  } else {
    if (const auto* load = std::get_if<WorkerLoad>(&event.details)) {
      CountLoad(entry, *load);
    }
    dispatcher_->OnEvent(event, now);
  }
  RequestDecision();
}

void GroupLeader::OnWorkerEnded(WorkerEntry& entry, const NodeId& agent) {
  const VmName vm = entry.info.vm;
  if (!entry.inherited || base::MonotonicNow() >= UnknownLeaseExpiry(vm)) {
    return RemoveWorker(vm, WorkerRemoval::kProcessEnded);
  }
  // Another agent may have got a later process under a former leader, at an
  // address that this one was not told.
  const auto former = former_workers_.find(vm);
  if (former != former_workers_.end()) former->second.runs.ended = true;
  constexpr Milliseconds kNoLease{0};
  const AgentEvent unreachable{vm, entry.fence, WorkerUnreachable{kNoLease}};
  dispatcher_->OnEvent(unreachable, base::MonotonicNow());
  OnUnreachable(entry, agent, kNoLease);
}

void GroupLeader::OnOutdatedEvent(const NodeId& agent,
                                  const AgentEvent& event) {
  if (!std::holds_alternative<Attached>(event.details)) return;
  const auto it = workers_.find(event.vm);
  const bool stays = it != workers_.end() && it->second.agent == agent;
  // It extends the lease once it knows that the event was handled. A newer
  // assignment, which is on its way, ends that session, too.
  if (!stays) deps_.send(agent, Release{event.vm});
  if (it == workers_.end()) return;
  // An agent of a former version may have extended the lease already.
  const auto sender = agents_.find(agent);
  if (sender != agents_.end() && sender->second.numbers_attachments) return;
  RaiseLeaseBound(it->second, LeaseExpiry(), LeaseEvidence::kAttached);
}

void GroupLeader::OnUnreachable(WorkerEntry& entry, const NodeId& agent,
                                Milliseconds lease_left) {
  const VmName vm = entry.info.vm;
  base::Log(base::Event::kWorkerUnreachable,
            {{"vm", vm.str()},
             {"agent", agent.str()},
             {"lease_left_ms", lease_left.count()}});
  CountReported(entry, lease_left);
  entry.attached = false;
  entry.unreachable = true;
  entry.failed_agents.insert(agent);
  const auto former = former_workers_.find(vm);
  if (former != former_workers_.end()) {
    // Other agents may have granted the last lease, if none has attached it
    // here.
    if (entry.inherited) {
      entry.lease.Raise(former->second.lease.expires_at(),
                        former->second.lease.raised_by());
    }
    ApplyKnownRuns(vm);
    CheckResume();
  }
  // It is removed if its process has ended.
  const auto worker = workers_.find(vm);
  if (worker != workers_.end()) AssignWorker(worker->second);
}

void GroupLeader::AddRunsOfLost(const VmName& vm) {
  const auto former = former_workers_.find(vm);
  if (former == former_workers_.end()) return dispatcher_->OnRunsUnknown();
  dispatcher_->AddUnconfirmedRuns(vm, former->second.runs.runs,
                                  base::MonotonicNow());
}

void GroupLeader::LogRemoved(const VmName& vm, WorkerRemoval removal,
                             const WorkerEntry& entry) const {
  // -1 if no agent of this leader has had contact.
  Milliseconds contact_age{-1};
  if (entry.contact_at.count() > 0) {
    const MonotonicTime age = base::MonotonicNow() - entry.contact_at;
    contact_age = std::chrono::duration_cast<milliseconds>(age);
    if (removal == WorkerRemoval::kLeaseExpired) {
      deps_.observe(Timing::kWorkerRemoved, age);
    }
  }
  base::Log(base::Event::kWorkerRemoved,
            {{"vm", vm.str()},
             {"reason", RemovalName(removal)},
             {"contact_age_ms", contact_age.count()},
             {"lease_evidence", LeaseEvidenceName(entry.lease.raised_by())}});
}

void GroupLeader::RemoveWorker(const VmName& vm, WorkerRemoval removal) {
  const auto it = workers_.find(vm);
  LogRemoved(vm, removal, it == workers_.end() ? WorkerEntry() : it->second);
  if (unresolved_.contains(vm)) AddRunsOfLost(vm);
  if (it != workers_.end()) {
    if (it->second.agent) {
      unreleased_.insert_or_assign(vm, *it->second.agent);
      const auto agent = agents_.find(*it->second.agent);
      if (agent != agents_.end()) --agent->second.workers;
    }
    workers_.erase(it);
  }
  dispatcher_->OnWorkerRemoved(vm, removal, base::MonotonicNow());
  unresolved_.erase(vm);
  CheckResume();
  if (listed_.contains(vm) && InRoster(vm)) {
    AddWorker(vm);
    // The list of workers lags behind the end of a process.
    constexpr MonotonicTime kReassignDelay = milliseconds(500);
    workers_.at(vm).retry_at = base::MonotonicNow() + kReassignDelay;
  }
  // A removed worker holds no lease, so a new leader need not wait for it.
  SaveRoster();
  RequestDecision();
}

void GroupLeader::ReleaseRemoved() {
  std::erase_if(unreleased_, [this](const auto& removed) {
    const auto& [vm, agent] = removed;
    if (roster_.contains(vm)) return false;
    deps_.send(agent, Release{vm});
    return true;
  });
}

void GroupLeader::RemoveIdleWorkers() {
  std::vector<VmName> idle;
  for (const auto& [vm, entry] : workers_) {
    // Runs include starts without a reply and ends that are not stored yet.
    if (!entry.info.listed && !entry.attached && !unresolved_.contains(vm) &&
        dispatcher_->Runs(vm).empty()) {
      idle.push_back(vm);
    }
  }
  for (const VmName& vm : idle) RemoveWorker(vm, WorkerRemoval::kLeft);
}

void GroupLeader::Tick() {
  if (!loaded_) return;
  const MonotonicTime now = base::MonotonicNow();
  RemoveExpired();
  MarkGone();
  RemoveIdleWorkers();
  if (!resumed_ && now > UnreportedLeaseExpiry()) {
    // The leases of workers that an agent has reported, or was assigned to, may
    // have been renewed since; these are removed by their own leases.
    std::erase_if(unresolved_, [this](const VmName& vm) {
      if (former_workers_.contains(vm) || workers_.contains(vm)) return false;
      base::Log(base::Event::kWorkerRemoved,
                {{"vm", vm.str()}, {"reason", "never_attached"}});
      dispatcher_->OnRunsUnknown();
      return true;
    });
    CheckResume();
  }
  SaveRoster();
  SaveAgents();
  AssignWorkers();
  MoveWorkers();
  SweepEnded(now);
  LogWaits(now);
  RequestDecision();
}

}  // namespace mangospread::dispatch
