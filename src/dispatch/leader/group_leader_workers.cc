// The workers of the group: assignment to agents and handling of their events.
#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "dispatch/leader/group_leader.hpp"

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
/// Delay before the next attempt after all agents failed to reach a worker.
constexpr MonotonicTime kUnreachableRetryDelay = milliseconds(800);

}  // namespace

void GroupLeader::OnWorkers(const std::map<VmName, WorkerInfo>& listed) {
  listed_ = listed;
  if (!loaded_) return;
  for (const auto& [vm, info] : listed_) {
    const auto it = workers_.find(vm);
    if (it == workers_.end()) continue;
    const bool moved = it->second.info.address != info.address;
    if (it->second.info == info && !moved) continue;
    it->second.info = info;
    dispatcher_->OnWorker(info);
    if (moved) Unassign(it->second);
  }
  for (auto& [vm, entry] : workers_) {
    if (!entry.info.listed || listed_.contains(vm)) continue;
    // The worker has left or is unreachable. Its runs keep their capacity
    // reserved until they have certainly ended.
    entry.info.listed = false;
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

std::set<VmName> GroupLeader::TargetRoster() const {
  std::set<VmName> wanted = unresolved_;
  for (const auto& [vm, info] : listed_) wanted.insert(vm);
  for (const auto& [vm, entry] : workers_) wanted.insert(vm);
  return wanted;
}

void GroupLeader::SaveRoster() {
  if (roster_saving_) return;
  next_roster_ = TargetRoster();
  if (next_roster_ == roster_) return;
  roster_saving_ = true;
  std::string value;
  for (const VmName& vm : next_roster_) value += vm.str() + "\n";
  Transaction change = LeaderTransaction();
  change.writes.push_back({kRosterKey, std::move(value)});
  writer_.Submit(std::move(change), [this](const table::WriteResult& result) {
    roster_saving_ = false;
    // The next tick retries.
    if (CheckConflict(result) || result.status != WriteStatus::kCommitted) {
      return;
    }
    roster_ = next_roster_;
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
  if (unresolved_.contains(vm)) {
    it->second.lease_expires_at = InheritedLeaseExpiry();
  }
  dispatcher_->OnWorker(it->second.info);
}

int GroupLeader::LoadOf(const NodeId& agent) const {
  const int own = agent == deps_.self ? options_.self_load_penalty : 0;
  return agents_.at(agent).workers + own;
}

std::optional<NodeId> GroupLeader::PickAgent(const WorkerEntry& entry) const {
  std::optional<NodeId> best;
  for (const auto& [agent, info] : agents_) {
    if (entry.failed_agents.contains(agent)) continue;
    if (!best || LoadOf(agent) < LoadOf(*best)) best = agent;
  }
  return best;
}

void GroupLeader::AssignWorkers() {
  const MonotonicTime now = base::MonotonicNow();
  for (auto& [vm, entry] : workers_) {
    if (entry.agent || now < entry.retry_at) continue;
    if (entry.failed_agents.size() >= agents_.size()) {
      // No agent reaches the worker at present.
      entry.failed_agents.clear();
      entry.retry_at = now + kUnreachableRetryDelay;
      continue;
    }
    if (const auto agent = PickAgent(entry)) Assign(entry, *agent);
  }
}

void GroupLeader::Assign(WorkerEntry& entry, const NodeId& agent) {
  entry.agent = agent;
  entry.attached = false;
  ++agents_.at(agent).workers;
  entry.fence = WorkerFence(deps_.leadership.epoch.value() * kFencesPerEpoch +
                            ++assignments_issued_ * kFenceStride);
  Assignment assignment;
  assignment.worker = entry.info;
  assignment.fence = entry.fence;
  assignment.starts_before = dispatcher_->StartsIssued(entry.info.vm);
  if (!unresolved_.contains(entry.info.vm)) {
    assignment.known_runs = dispatcher_->Runs(entry.info.vm);
  }
  // Bounds the cost of load reports for a leader with many workers.
  assignment.normal_load_period =
      std::max(kShortestLoadPeriod,
               kLoadPeriodPerWorker * static_cast<int>(workers_.size()));
  deps_.send(agent, std::move(assignment));
}

void GroupLeader::Unassign(WorkerEntry& entry) {
  if (!entry.agent) return;
  deps_.send(*entry.agent, Release{entry.info.vm});
  const auto it = agents_.find(*entry.agent);
  if (it != agents_.end()) --it->second.workers;
  entry.agent.reset();
  entry.attached = false;
  dispatcher_->OnDetached(entry.info.vm, base::MonotonicNow());
  entry.lease_expires_at = std::max(entry.lease_expires_at,
                                    base::MonotonicNow() + LeaseUpperBound());
}

void GroupLeader::MoveWorkers() {
  if (agents_.size() < 2) return;
  const auto by_load = [this](const auto& a, const auto& b) {
    return LoadOf(a.first) < LoadOf(b.first);
  };
  for (int moves = 0; moves < options_.max_moves_per_tick; ++moves) {
    const auto extremes =
        std::minmax_element(agents_.begin(), agents_.end(), by_load);
    const NodeId least = extremes.first->first;
    const NodeId most = extremes.second->first;
    if (LoadOf(most) - LoadOf(least) < 2) return;
    const auto it =
        std::find_if(workers_.begin(), workers_.end(), [&](const auto& worker) {
          // Moving a worker that may be gone would extend the time for which
          // its lease is waited for.
          return worker.second.agent == most && worker.second.attached &&
                 !worker.second.failed_agents.contains(least);
        });
    if (it == workers_.end()) return;
    Unassign(it->second);
    Assign(it->second, least);
  }
}

void GroupLeader::OnAgentUp(const NodeId& agent,
                            const DataCenter& data_center) {
  agents_[agent] = {data_center, 0};
  base::Log(base::Event::kPeerAlive, {{"peer", agent.str()}});
  if (loaded_) AssignWorkers();
}

void GroupLeader::OnAgentDown(const NodeId& agent) {
  base::Log(base::Event::kPeerDead, {{"peer", agent.str()}});
  const bool replaced = yielding_ || !deps_.confirmed();
  for (auto& [vm, entry] : workers_) {
    entry.failed_agents.erase(agent);
    if (entry.agent != agent) continue;
    Unassign(entry);
    if (replaced) {
      entry.retry_at = base::MonotonicNow() + options_.yield_reassign_delay;
    }
  }
  agents_.erase(agent);
  if (loaded_) AssignWorkers();
}

void GroupLeader::SendToAgent(const AgentCommand& command) {
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
  deps_.send(*it->second.agent, command);
}

void GroupLeader::OnAgentEvent(const NodeId& agent, const AgentEvent& event) {
  const auto it = workers_.find(event.vm);
  if (it == workers_.end() || it->second.agent != agent ||
      it->second.fence != event.assignment) {
    return;
  }
  WorkerEntry& entry = it->second;
  const MonotonicTime now = base::MonotonicNow();
  if (std::holds_alternative<Attached>(event.details)) {
    entry.attached = true;
    entry.failed_agents.clear();
    // From now on only this agent can renew the lease.
    entry.lease_expires_at = now + LeaseUpperBound();
    base::Log(base::Event::kWorkerAttached,
              {{"vm", event.vm.str()}, {"agent", agent.str()}});
    dispatcher_->OnEvent(event, now);
    unresolved_.erase(event.vm);
    CheckResume();
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
    // What was there under the former leader was lost with the process.
    if (known_runs_.contains(event.vm) && unresolved_.contains(event.vm)) {
      dispatcher_->AddUnconfirmedRuns(event.vm, known_runs_.at(event.vm).runs,
                                      now);
    }
    RemoveWorker(event.vm, WorkerRemoval::kProcessEnded);
  } else {
    dispatcher_->OnEvent(event, now);
  }
  RequestDecision();
}

void GroupLeader::OnUnreachable(WorkerEntry& entry, const NodeId& agent,
                                Milliseconds lease_left) {
  base::Log(base::Event::kWorkerUnreachable,
            {{"vm", entry.info.vm.str()},
             {"agent", agent.str()},
             {"lease_left_ms", lease_left.count()}});
  const MonotonicTime before = entry.lease_expires_at;
  Unassign(entry);
  // The agent's bound for the last lease is tighter than that of Unassign.
  entry.lease_expires_at = std::max(before, base::MonotonicNow() + lease_left);
  entry.failed_agents.insert(agent);
  if (known_runs_.contains(entry.info.vm)) {
    ApplyKnownRuns(entry.info.vm);
    CheckResume();
  }
  AssignWorkers();
}

void GroupLeader::OnKnownRuns(const FormerLeaderRuns& reported) {
  const VmName& vm = reported.worker.vm;
  const auto [it, added] = known_runs_.try_emplace(vm);
  FormerLeaderRuns& known = it->second;
  known.worker = reported.worker;
  known.unreachable = reported.unreachable && (added || known.unreachable);
  known.ended = known.ended || reported.ended;
  known.runs.insert(known.runs.end(), reported.runs.begin(),
                    reported.runs.end());
  if (loaded_) StartAttachTimer();
}

void GroupLeader::StartAttachTimer() {
  if (attach_timer_.active()) return;
  attach_timer_ = deps_.loop.After(options_.attach_grace_period, [this] {
    // Without the list of workers none can have been attached.
    if (listed_.empty()) return StartAttachTimer();
    for (const auto& [vm, known] : known_runs_) {
      if (!MayBeAttached(known)) ApplyKnownRuns(vm);
    }
    CheckResume();
  });
}

bool GroupLeader::MayBeAttached(const FormerLeaderRuns& known) const {
  if (known.unreachable || known.ended) return false;
  const auto it = workers_.find(known.worker.vm);
  return it != workers_.end() && it->second.agent.has_value();
}

void GroupLeader::ApplyKnownRuns(const VmName& vm) {
  if (!unresolved_.contains(vm)) return;
  const FormerLeaderRuns& known = known_runs_.at(vm);
  if (!workers_.contains(vm)) {
    WorkerEntry& entry = workers_[vm];
    entry.info = known.worker;
    entry.info.listed = false;
    entry.lease_expires_at = InheritedLeaseExpiry();
    dispatcher_->OnWorker(entry.info);
  }
  dispatcher_->AddUnconfirmedRuns(vm, known.runs, base::MonotonicNow());
  if (known.ended) return RemoveWorker(vm, WorkerRemoval::kProcessEnded);
  unresolved_.erase(vm);
  base::Log(base::Event::kWorkerListed,
            {{"vm", vm.str()}, {"remembered_runs", known.runs.size()}});
}

void GroupLeader::RemoveWorker(const VmName& vm, WorkerRemoval removal) {
  base::Log(base::Event::kWorkerRemoved,
            {{"vm", vm.str()}, {"reason", RemovalName(removal)}});
  const auto it = workers_.find(vm);
  if (it != workers_.end()) {
    Unassign(it->second);
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

MonotonicTime GroupLeader::LeaseUpperBound() const {
  // A worker's clock may run 2% slow, so its lease lasts longer on this clock.
  constexpr int kSkewedLeasePercent = 105;
  return MonotonicTime(options_.lease) * kSkewedLeasePercent / 100;
}

MonotonicTime GroupLeader::InheritedLeaseExpiry() const {
  return started_at_ + options_.orphan_timeout + LeaseUpperBound();
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
  std::vector<VmName> expired;
  for (const auto& [vm, entry] : workers_) {
    if (!entry.attached && entry.lease_expires_at.count() > 0 &&
        now > entry.lease_expires_at) {
      expired.push_back(vm);
    }
  }
  for (const VmName& vm : expired) {
    RemoveWorker(vm, WorkerRemoval::kLeaseExpired);
  }
  RemoveIdleWorkers();
  // Workers of former leaders that no agent has attached and whose lease has
  // expired.
  if (!resumed_ && now > InheritedLeaseExpiry()) {
    for (const VmName& vm : std::exchange(unresolved_, {})) {
      base::Log(base::Event::kWorkerRemoved,
                {{"vm", vm.str()}, {"reason", "never_attached"}});
    }
    CheckResume();
  }
  SaveRoster();
  AssignWorkers();
  MoveWorkers();
  SweepEnded(now);
  RequestDecision();
}

}  // namespace mangospread::dispatch
