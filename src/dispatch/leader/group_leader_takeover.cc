// What a new leader learns of the workers of former leaders, and when restored
// work goes on.
#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "dispatch/leader/group_leader.hpp"
#include "dispatch/model/lease.hpp"

namespace mangospread::dispatch {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Stands for a former leader of which no name is known.
constexpr const char* kUnknownNode = "?";

}  // namespace

void GroupLeader::LoadAgents(const std::optional<std::string>& stored) {
  const auto row = stored ? DecodeAgentsRow(*stored) : std::nullopt;
  agent_register_.Load(row, !roster_.empty());
  if (!agent_register_.former_known() || !row) return;
  if (row->epoch == deps_.leadership.epoch) {
    return former_leaders_.Load(row->former_leaders, row->agents,
                                row->newly_divided);
  }
  // The claim was without a row.
  FormerLeader last{NodeId(kUnknownNode), {}};
  if (deps_.former_leader) {
    last = {deps_.former_leader->node, deps_.former_leader->incarnation};
  }
  const auto claimed = ClaimAgentsRow(*row, last, deps_.leadership);
  former_leaders_.Load(claimed->former_leaders, claimed->agents,
                       claimed->newly_divided);
}

void GroupLeader::OnFormerLeaderStopped(MonotonicTime stopped_at) {
  former_leaders_.OnLastStopped(stopped_at);
  if (loaded_) SaveAgents();
}

void GroupLeader::OnFollowerSeen(const NodeId& node, Incarnation incarnation,
                                 std::optional<Milliseconds> last_grant_age) {
  const MonotonicTime now = base::MonotonicNow();
  // Earlier processes had ended when this one started, which is no later than
  // its last grant.
  const MonotonicTime started_at =
      last_grant_age ? now - GrantAge(*last_grant_age) : now;
  former_leaders_.OnProcess(node, incarnation, started_at, now);
  agent_register_.OnProcess(node, incarnation);
  const auto& last = deps_.former_leader;
  if (last && last->node == node) {
    OnFormerLeaderStopped(last->incarnation == incarnation ? now : started_at);
  }
}

MonotonicTime GroupLeader::FormerLeaderLimit() const {
  if (deps_.leadership.epoch == Epoch(1)) return started_at_;
  if (agent_register_.former_known()) return former_leaders_.Limit();
  const PermissionTimeouts& timeouts = former_timeouts_;
  // A leader misses the loss of a node only if its row does not name it.
  return started_at_ +
         (agent_register_.listed() ? timeouts.leases : timeouts.undivided);
}

MonotonicTime GroupLeader::InheritedLeaseExpiry() const {
  return FormerLeaderLimit() + options_.loss_notice_delay +
         LeaseUpperBound(LongestLease());
}

MonotonicTime GroupLeader::FormerElectedBy() const {
  return deps_.former_elected_by.value_or(started_at_);
}

MonotonicTime GroupLeader::ElectedAgentLimit() const {
  return std::max(FormerElectedBy(), former_leaders_.LimitOfEarlier() +
                                         options_.loss_notice_delay);
}

MonotonicTime GroupLeader::UnknownLeaseExpiry() const {
  if (!agent_register_.former_known() && former_leaders_.last_stopped_at()) {
    return MonotonicTime(0);
  }
  const MonotonicTime last_grant = agent_register_.LastUnreportedGrant(
      FormerLeaderLimit() + options_.loss_notice_delay, ElectedAgentLimit());
  return last_grant + LeaseUpperBound(LongestLease());
}

MonotonicTime GroupLeader::UnknownLeaseExpiry(const VmName& vm) const {
  const MonotonicTime any = UnknownLeaseExpiry();
  const auto sessions = unreported_sessions_.find(vm);
  if (sessions == unreported_sessions_.end()) return any;
  const auto former = former_workers_.find(vm);
  const bool superseded =
      former != former_workers_.end() &&
      former->second.runs.runs_as_of >= sessions->second.assignment;
  return superseded ? any : std::max(any, sessions->second.lease_expires_at);
}

MonotonicTime GroupLeader::UnreportedLeaseExpiry() const {
  const MonotonicTime last_grant = agent_register_.LastFormerGrant(
      FormerLeaderLimit() + options_.loss_notice_delay, ElectedAgentLimit());
  return std::max(last_grant + LeaseUpperBound(LongestLease()),
                  loaded_at_ + options_.unreported_grace_period);
}

MonotonicTime GroupLeader::FormerLeaseExpiry(const VmName& vm) const {
  const auto it = former_workers_.find(vm);
  return it == former_workers_.end() ? UnreportedLeaseExpiry()
                                     : it->second.lease.expires_at();
}

void GroupLeader::OnKnownRuns(const NodeId& agent,
                              const FormerLeaderRuns& reported) {
  const VmName& vm = reported.worker.vm;
  const auto worker = workers_.find(vm);
  if (loaded_ && !unresolved_.contains(vm)) {
    // This leader knows the worker's runs, so the session is outdated.
    if (worker != workers_.end() && worker->second.agent == agent) return;
    deps_.send(agent, Release{vm});
    if (worker != workers_.end()) {
      CountReportedLease(worker->second, agent, reported);
    }
    return;
  }
  const auto [it, added] = former_workers_.try_emplace(vm);
  FormerWorker& former = it->second;
  FormerLeaderRuns& runs = former.runs;
  former.agents[agent] = reported.renewing;
  runs.worker = reported.worker;
  runs.unreachable = reported.unreachable && (added || runs.unreachable);
  // The session of another agent may be with a later process.
  runs.ended = reported.ended && (added || runs.ended);
  runs.runs.insert(runs.runs.end(), reported.runs.begin(), reported.runs.end());
  runs.runs_as_of = std::max(runs.runs_as_of, reported.runs_as_of);
  former.lease_unknown |= !reported.lease_left;
  if (reported.lease_left) {
    former.lease.Raise(base::MonotonicNow() +
                           MonotonicTime(BoundLeaseLeft(*reported.lease_left)),
                       LeaseEvidence::kFormerLeader);
  }
  if (!loaded_) return;
  BoundUnknownLease(former);
  if (added && worker != workers_.end()) {
    // Agents that this leader has lost may have attached the worker.
    former.lease.Raise(worker->second.lease.expires_at(),
                       worker->second.lease.raised_by());
  }
  AddFormerWorker(vm);
  StartAttachTimer();
  WorkerEntry& entry = workers_.at(vm);
  if (entry.agent && !entry.attached && entry.agent != agent) {
    // It was assigned without this report.
    const bool stays = former.agents.contains(*entry.agent) ||
                       !agent_register_.Contains(agent);
    Reassign(entry, stays ? NodeId(*entry.agent) : agent);
  }
  AssignWorker(entry);
}

void GroupLeader::OnReportsEnd(const NodeId& agent, const ReportsEnd& end) {
  const MonotonicTime now = base::MonotonicNow();
  reported_agents_.insert(agent);
  agent_register_.OnReported(agent, now - GrantAge(end.process_age));
  for (const UnreportedLease& lease : end.unreported) {
    if (loaded_ && !unresolved_.contains(lease.vm)) continue;
    UnreportedSessions& sessions = unreported_sessions_[lease.vm];
    sessions.assignment = std::max(sessions.assignment, lease.assignment);
    sessions.lease_expires_at =
        std::max(sessions.lease_expires_at,
                 now + MonotonicTime(BoundLeaseLeft(lease.lease_left)));
  }
}

void GroupLeader::BoundUnknownLease(FormerWorker& former) const {
  if (!std::exchange(former.lease_unknown, false)) return;
  former.lease.Raise(InheritedLeaseExpiry(), LeaseEvidence::kFormerLeader);
}

void GroupLeader::CountReportedLease(WorkerEntry& entry, const NodeId& agent,
                                     const FormerLeaderRuns& reported) {
  // From the attachment on, only the present agent can renew the lease.
  if (entry.attached) return;
  // What it granted under this leader was counted when it was lost. An agent
  // that read its assignment late reports more.
  const auto it = agents_.find(agent);
  const bool counted = it != agents_.end() && it->second.numbers_attachments &&
                       reported_agents_.contains(agent);
  if (counted) return;
  if (reported.renewing) {
    return RaiseLeaseBound(entry, LeaseExpiry(), LeaseEvidence::kFormerLeader);
  }
  if (!reported.lease_left) return;
  RaiseLeaseBound(entry,
                  base::MonotonicNow() +
                      MonotonicTime(BoundLeaseLeft(*reported.lease_left)),
                  LeaseEvidence::kFormerLeader);
}

void GroupLeader::AddFormerWorker(const VmName& vm) {
  FormerWorker& former = former_workers_.at(vm);
  if (!unresolved_.contains(vm)) {
    // It was removed from the roster, so nothing runs there.
    for (const auto& [agent, renewing] : former.agents) {
      deps_.send(agent, Release{vm});
    }
    return;
  }
  const auto [it, added] = workers_.try_emplace(vm);
  WorkerEntry& entry = it->second;
  if (!entry.attached && !entry.unreachable) SetFormerLease(entry, former);
  if (!added) return;
  entry.inherited = true;
  entry.info = former.runs.worker;
  entry.info.listed = false;
  entry.missing_since = base::MonotonicNow();
  dispatcher_->OnWorker(entry.info);
}

void GroupLeader::StartAttachTimer() {
  if (attach_timer_.active()) return;
  attach_timer_ = deps_.loop.After(options_.attach_grace_period, [this] {
    for (const auto& [vm, former] : former_workers_) {
      if (!MayBeAttached(former)) ApplyKnownRuns(vm);
    }
    CheckResume();
    if (!resumed_) StartAttachTimer();
  });
}

bool GroupLeader::MayBeAttached(const FormerWorker& former) const {
  const auto it = workers_.find(former.runs.worker.vm);
  if (it != workers_.end() && it->second.attached) return true;
  if (former.runs.unreachable || former.runs.ended) return false;
  return it != workers_.end() && it->second.agent.has_value();
}

void GroupLeader::ApplyKnownRuns(const VmName& vm) {
  if (!unresolved_.contains(vm)) return;
  const FormerLeaderRuns& known = former_workers_.at(vm).runs;
  // An agent that got the worker later may have started runs there that this
  // report does not name, also on a later process.
  if (base::MonotonicNow() < UnknownLeaseExpiry(vm)) return;
  if (known.ended) return RemoveWorker(vm, WorkerRemoval::kProcessEnded);
  dispatcher_->AddUnconfirmedRuns(vm, known.runs, base::MonotonicNow());
  unresolved_.erase(vm);
  const auto left = workers_.at(vm).lease.expires_at() - base::MonotonicNow();
  base::Log(base::Event::kWorkerListed,
            {{"vm", vm.str()},
             {"remembered_runs", known.runs.size()},
             {"lease_left_ms", duration_cast<milliseconds>(left).count()}});
}

void GroupLeader::ReleaseFormerAgents(WorkerEntry& entry, const NodeId& agent) {
  FormerWorker& former = former_workers_.at(entry.info.vm);
  for (const auto& [other, renewing] : former.agents) {
    if (other == agent) continue;
    deps_.send(other, Release{entry.info.vm});
    EndRenewals(other, former, GrantExpiry(base::MonotonicNow()));
  }
  SetFormerLease(entry, former);
}

void GroupLeader::SetFormerLease(WorkerEntry& entry, FormerWorker& former) {
  former.lease.Raise(entry.lease.expires_at(), entry.lease.raised_by());
  entry.lease = former.lease;
  // The only agent that can renew the lease reports the time left of it if it
  // does not reach the worker.
  if (entry.agent &&
      former.agents == std::map<NodeId, bool>{{*entry.agent, true}}) {
    entry.lease.Forget();
  }
}

void GroupLeader::EndRenewals(const NodeId& agent, FormerWorker& former,
                              MonotonicTime lease_expiry) {
  const auto it = former.agents.find(agent);
  if (it == former.agents.end() || !std::exchange(it->second, false)) return;
  former.lease.Raise(lease_expiry, LeaseEvidence::kFormerLeader);
}

void GroupLeader::CheckResume() {
  if (resumed_ || !loaded_ || !unresolved_.empty()) return;
  resumed_ = true;
  takeover_log_timer_.reset();
  deps_.observe(Timing::kTakeover, base::MonotonicNow() - started_at_);
  dispatcher_->Resume();
  base::Log(base::Event::kLeaderActive,
            {{"epoch", deps_.leadership.epoch.value()},
             {"after_ms",
              duration_cast<milliseconds>(base::MonotonicNow() - started_at_)
                  .count()}});
  RequestDecision();
}

void GroupLeader::LogTakeoverWait() {
  std::size_t reported = 0;
  std::size_t assigned = 0;
  MonotonicTime lease_expires_at{0};
  for (const VmName& vm : unresolved_) {
    lease_expires_at = std::max(lease_expires_at, FormerLeaseExpiry(vm));
    if (former_workers_.contains(vm)) {
      ++reported;
      lease_expires_at = std::max(lease_expires_at, UnknownLeaseExpiry(vm));
    }
    const auto it = workers_.find(vm);
    if (it != workers_.end() && it->second.agent) ++assigned;
  }
  const MonotonicTime left = lease_expires_at - base::MonotonicNow();
  base::Log(base::Event::kTakeoverWaits,
            {{"epoch", deps_.leadership.epoch.value()},
             {"workers", unresolved_.size()},
             {"reported", reported},
             {"assigned", assigned},
             {"vm", unresolved_.empty() ? "" : unresolved_.begin()->str()},
             {"lease_left_ms", duration_cast<milliseconds>(left).count()}});
}

}  // namespace mangospread::dispatch
