// The bounds of the workers' leases, and the removal of workers whose leases
// have expired.
#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "base/loop/clock.hpp"
#include "dispatch/leader/group_leader.hpp"
#include "dispatch/model/lease.hpp"

namespace mangospread::dispatch {
namespace {

using std::chrono::milliseconds;

/// Upper bound of the time for which a worker holds the longest lease that it
/// accepts.
Milliseconds LongestWorkerLease() {
  return std::chrono::ceil<milliseconds>(LeaseUpperBound(kMaxWorkerLease));
}

}  // namespace

MonotonicTime GroupLeader::LeaseExpiry() const {
  return base::MonotonicNow() + LeaseUpperBound(LongestLease());
}

MonotonicTime GroupLeader::GrantExpiry(MonotonicTime permitted_at) const {
  return permitted_at + options_.loss_notice_delay +
         LeaseUpperBound(LongestLease());
}

Milliseconds GroupLeader::BoundLeaseLeft(Milliseconds reported) {
  return std::clamp(reported, Milliseconds(0), LongestWorkerLease());
}

Milliseconds GroupLeader::LeaseLeft(const WorkerEntry& entry) {
  const MonotonicTime left = entry.lease.expires_at() - base::MonotonicNow();
  return std::max(Milliseconds(0), std::chrono::ceil<milliseconds>(left));
}

bool GroupLeader::MayHaveGranted(const WorkerEntry& entry) const {
  if (entry.may_be_granted) return true;
  return !agents_.at(*entry.agent).numbers_attachments;
}

void GroupLeader::EndGrants(WorkerEntry& entry) {
  if (std::exchange(entry.may_be_granted, false)) {
    entry.contact_at = base::MonotonicNow();
  }
}

void GroupLeader::BeginGrants(WorkerEntry& entry, AttachmentNumber attachment) {
  entry.may_be_granted = true;
  entry.last_attachment = attachment;
  entry.contact_at = base::MonotonicNow();
}

void GroupLeader::CountAttached(WorkerEntry& entry, const Attached& attached) {
  Milliseconds restart_lease = BoundLeaseLeft(attached.restart_lease_left);
  const WorkerIncarnation before =
      std::exchange(entry.incarnation, attached.incarnation);
  // Another agent may have attached the process before.
  if (before != WorkerIncarnation() && before != attached.incarnation) {
    restart_lease = LongestWorkerLease();
  }
  entry.restart_lease_expires_at =
      std::max(entry.restart_lease_expires_at,
               base::MonotonicNow() + MonotonicTime(restart_lease));
  // From now on only this agent can renew the lease.
  entry.lease.Set(std::max(LeaseExpiry(), entry.restart_lease_expires_at),
                  LeaseEvidence::kAttached);
  BeginGrants(entry, attached.attachment);
}

void GroupLeader::CountReported(WorkerEntry& entry, Milliseconds lease_left) {
  // The report may be read late, so it would raise a bound that covers all.
  const bool covered = entry.lease.known() && !MayHaveGranted(entry);
  EndGrants(entry);
  if (covered) return;
  RaiseLeaseBound(
      entry, base::MonotonicNow() + MonotonicTime(BoundLeaseLeft(lease_left)),
      LeaseEvidence::kReported);
}

void GroupLeader::CountLoad(WorkerEntry& entry, const WorkerLoad& load) {
  if (load.lease_left) {
    if (entry.may_be_granted) CountReported(entry, *load.lease_left);
  } else if (load.attachment > entry.last_attachment) {
    BeginGrants(entry, load.attachment);
  }
}

void GroupLeader::Unassign(WorkerEntry& entry) {
  if (!entry.agent) return;
  // Whatever permits it more arrives after the release.
  DetachCounted(entry, GrantExpiry(base::MonotonicNow()),
                LeaseEvidence::kReleased);
}

void GroupLeader::UnassignLost(WorkerEntry& entry, MonotonicTime lease_expiry) {
  if (entry.attached) {
    entry.kept_until = base::MonotonicNow() + options_.unreported_grace_period;
  }
  DetachCounted(entry, lease_expiry, LeaseEvidence::kAgentLost);
}

void GroupLeader::DetachCounted(WorkerEntry& entry, MonotonicTime lease_expiry,
                                LeaseEvidence evidence) {
  const bool may_have_granted = MayHaveGranted(entry);
  Detach(entry);
  if (may_have_granted) RaiseLeaseBound(entry, lease_expiry, evidence);
}

void GroupLeader::CountLostRelease(WorkerEntry& entry, const NodeId& agent) {
  if (entry.attached || entry.released_by != agent) return;
  entry.released_by.reset();
  // The agent confirms its permission with messages that follow the release, so
  // it grants nothing later than this.
  const MonotonicTime last_grant =
      entry.released_at + options_.loss_notice_delay;
  if (base::MonotonicNow() > last_grant + options_.loss_notice_delay) return;
  RaiseLeaseBound(entry, last_grant + LeaseUpperBound(LongestLease()),
                  LeaseEvidence::kReleased);
}

void GroupLeader::RaiseLeaseBound(WorkerEntry& entry, MonotonicTime expires_at,
                                  LeaseEvidence evidence) {
  entry.lease.Raise(expires_at, evidence);
  const auto former = former_workers_.find(entry.info.vm);
  if (former == former_workers_.end()) return;
  former->second.lease.Raise(expires_at, evidence);
}

std::optional<MonotonicTime> GroupLeader::RemovalTime(
    const VmName& vm, const WorkerEntry& entry) const {
  if (entry.attached) return std::nullopt;
  MonotonicTime expires_at = entry.lease.expires_at();
  if (Unreported(vm)) {
    expires_at = std::max(expires_at, UnreportedLeaseExpiry());
  }
  if (expires_at.count() == 0) return std::nullopt;
  if (entry.inherited) {
    expires_at = std::max(expires_at, UnknownLeaseExpiry(vm));
  }
  return std::max(expires_at, entry.kept_until);
}

void GroupLeader::RemoveExpired() {
  const MonotonicTime now = base::MonotonicNow();
  std::vector<VmName> expired;
  MonotonicTime next_check = now + options_.tick_period;
  for (const auto& [vm, entry] : workers_) {
    const auto removal = RemovalTime(vm, entry);
    if (!removal) continue;
    if (now > *removal) {
      expired.push_back(vm);
    } else {
      next_check = std::min(next_check, *removal + milliseconds(1));
    }
  }
  for (const VmName& vm : expired) {
    RemoveWorker(vm, WorkerRemoval::kLeaseExpired);
  }
  // The tick does the rest.
  if (next_check >= now + options_.tick_period) return;
  expiry_timer_ = deps_.loop.After(next_check - now, [this] {
    if (loaded_) RemoveExpired();
  });
}

}  // namespace mangospread::dispatch
