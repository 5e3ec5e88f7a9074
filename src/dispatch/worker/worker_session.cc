#include "dispatch/worker/worker_session.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "dispatch/model/lease.hpp"

namespace mangospread::dispatch {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Time for a reply after the wait that the renewal requests.
constexpr Milliseconds kRenewReplyTimeout{700};

/// Leaves half of the worker's connections to other calls.
std::size_t MaxStopsInFlight(const WorkerCapacity& capacity) {
  return static_cast<std::size_t>(std::max(capacity.connections, 0)) / 2;
}

}  // namespace

std::shared_ptr<WorkerSession> WorkerSession::Create(
    base::EventLoop& loop, std::shared_ptr<WorkerLink> link,
    Assignment assignment, WorkerSessionOptions options, Emit emit,
    LeaderView leader, ObserveTiming observe) {
  return std::shared_ptr<WorkerSession>(new WorkerSession(
      loop, std::move(link), std::move(assignment), options, std::move(emit),
      std::move(leader), std::move(observe)));
}

WorkerSession::WorkerSession(base::EventLoop& loop,
                             std::shared_ptr<WorkerLink> link,
                             Assignment assignment,
                             WorkerSessionOptions options, Emit emit,
                             LeaderView leader, ObserveTiming observe)
    : loop_(loop),
      link_(std::move(link)),
      assignment_(std::move(assignment)),
      options_(options),
      emit_(std::move(emit)),
      leader_(std::move(leader)),
      observe_(std::move(observe)),
      fence_(assignment_.fence),
      starts_seen_(assignment_.starts_before),
      replied_at_(base::MonotonicNow()),
      stops_(MaxStopsInFlight(assignment_.worker.capacity)),
      reply_overdue_(options_.reply_overdue) {
  if (assignment_.lease_left) {
    lease_known_ = true;
    lease_expires_at_ = base::MonotonicNow() + *assignment_.lease_left;
  }
  if (!assignment_.known_runs) return;
  runs_known_ = true;
  runs_as_of_ = assignment_.runs_as_of;
  AddKnownRuns(*assignment_.known_runs);
}

void WorkerSession::AddKnownRuns(const std::vector<RunId>& known) {
  for (const RunId& run_id : known) {
    Run& run = runs_[run_id.task];
    if (run_id.run < run.number) continue;
    run.number = run_id.run;
    run.just_started_before = run_id.just_started;
    run.requested_speed = run_id.percent;
    run.confirmed = run_id.confirmed;
  }
}

void WorkerSession::Begin() { SendRenew(Milliseconds(0)); }

void WorkerSession::ContinueFrom(const WorkerSession& former) {
  lease_known_ = lease_known_ || former.lease_known_;
  lease_expires_at_ = std::max(lease_expires_at_, former.lease_expires_at_);
  restart_lease_expires_at_ = former.restart_lease_expires_at_;
  replied_at_ = former.replied_at_;
  if (runs_known_) return;
  const auto runs = former.CollectRuns();
  if (!runs || runs->ended) return;
  runs_known_ = true;
  runs_as_of_ = runs->runs_as_of;
  AddKnownRuns(runs->runs);
}

std::optional<FormerLeaderRuns> WorkerSession::CollectRuns() const {
  // The event may have been lost with the connection to the former leader.
  const bool superseded = closed_ && !suspended_;
  if (!worker_ended_ && (!runs_known_ || superseded)) return std::nullopt;
  FormerLeaderRuns collected;
  collected.worker = assignment_.worker;
  collected.unreachable = unreachable_reported_ || worker_ended_;
  collected.ended = worker_ended_;
  collected.renewing = renewing();
  collected.runs_as_of = runs_as_of_;
  if (lease_known_) collected.lease_left = LeaseLeft();
  for (const auto& [task, run] : runs_) {
    collected.runs.push_back({task, run.number, MayHaveCrashedWorker(run),
                              run.requested_speed, run.confirmed});
  }
  if (worker_ended_) return collected;
  for (const EndedRun& end : listed_ends_) {
    if (end.number > acknowledged_) {
      collected.runs.push_back({end.task, end.run});
    }
  }
  return collected;
}

bool WorkerSession::MayHaveCrashedWorker(const Run& run) const noexcept {
  if (run.sent_at.count() == 0) return run.just_started_before;
  return silent_since_.count() > 0 && JustStarted(silent_since_ - run.sent_at);
}

void WorkerSession::Close() {
  closed_ = true;
  suspended_ = false;
  renew_timer_.reset();
  stop_timer_.reset();
  overdue_timer_.reset();
}

void WorkerSession::Suspend() {
  if (closed_) return;
  Close();
  suspended_ = true;
}

void WorkerSession::SuspendOutdated() {
  Suspend();
  lease_known_ = unreachable_reported_ = false;
}

void WorkerSession::CloseEnded() {
  closed_ = worker_ended_ = true;
  overdue_timer_.reset();
  if (silent_since_.count() == 0) silent_since_ = base::MonotonicNow();
  Report(WorkerEnded{});
}

void WorkerSession::Report(decltype(AgentEvent::details) details) {
  emit_({assignment_.worker.vm, assignment_.fence, std::move(details)});
}

void WorkerSession::RaiseLeaseBound(Milliseconds lease) {
  lease_expires_at_ = std::max(lease_expires_at_,
                               base::MonotonicNow() + LeaseUpperBound(lease));
}

WorkerTime WorkerSession::NextLeaseEnd() {
  if (worker_clock_.value() == 0) return {};
  const MonotonicTime now = base::MonotonicNow();
  const auto elapsed = duration_cast<milliseconds>(now - worker_clock_read_at_);
  last_grant_at_ = now;
  RaiseLeaseBound(options_.lease);
  return WorkerTime(
      worker_clock_.value() +
      static_cast<std::uint64_t>((elapsed + options_.lease).count()));
}

bool WorkerSession::AttachmentHandled() const {
  return attached_at_.count() > 0 && leader_.has_handled(attached_at_);
}

bool WorkerSession::MayExtend() const {
  return extends_lease_ && leader_.permission() >= Permission::kLeases &&
         AttachmentHandled();
}

void WorkerSession::BeginAttachment() {
  if (attached_at_.count() > 0) return;
  attached_at_ = base::MonotonicNow();
  attachment_ = attachment_.next();
}

void WorkerSession::SendRenew(Milliseconds wait) {
  if (closed_ || renew_in_flight_) return;
  renew_timer_.reset();
  renew_in_flight_ = true;
  const std::uint64_t generation = ++renew_generation_;
  process_unconfirmed_ = process_unconfirmed_ || !link_->Connected();
  const RenewCommand command =
      process_unconfirmed_
          ? RenewCommand{fence_, {}, {}, wait}
          : RenewCommand{fence_, acknowledged_,
                         MayExtend() ? NextLeaseEnd() : WorkerTime(), wait};
  link_->RenewLease(command, [self = shared_from_this(),
                              generation](const Result<RenewReply>& result) {
    self->OnRenewReply(result, generation);
  });
  // The link has its own timeout; this one detects an unreachable worker.
  renew_timer_ = loop_.After(wait + kRenewReplyTimeout + milliseconds(100),
                             [this] { ReportUnreachable(); });
  if (attached_at_.count() == 0 || overdue_timer_.active()) return;
  overdue_timer_ = loop_.After(options_.renew_wait + reply_overdue_,
                               [this] { EndAttachment(); });
}

void WorkerSession::EndAttachment() {
  overdue_timer_.reset();
  attached_at_ = MonotonicTime(0);
  if (silent_since_.count() == 0) silent_since_ = base::MonotonicNow();
  Report(WorkerLoad{{}, false, LeaseLeft()});
}

void WorkerSession::OnRenewReply(const Result<RenewReply>& result,
                                 std::uint64_t generation) {
  if (closed_ || generation != renew_generation_) return;
  renew_in_flight_ = false;
  renew_timer_.reset();
  if (!result.ok()) return OnRenewFailed(result.error());
  OnReport(result.value());
}

void WorkerSession::OnRenewFailed(const Error& error) {
  if (error.code == Errc::kNotOwner) return CloseEnded();
  if (error.code == Errc::kStaleEpoch) {
    Close();
    Report(WorkerSuperseded{});
    return;
  }
  process_unconfirmed_ = true;
  ReportResponding(false);
  // Nothing listens at its address, so the process is probably gone.
  const bool refused = error.code == Errc::kConnectFailed;
  if (refused && attached_at_.count() > 0) EndAttachment();
  base::Log(base::Event::kRenewalFailed, {{"vm", assignment_.worker.vm.str()},
                                          {"error", ErrcName(error.code)},
                                          {"subject", error.subject}});
  if (base::MonotonicNow() - replied_at_ > options_.unreachable_after) {
    ReportUnreachable();
  }
  renew_timer_ =
      loop_.After(options_.retry_delay, [this] { SendRenew(Milliseconds(0)); });
}

void WorkerSession::ReportResponding(bool responding) {
  if (responding == (silent_since_.count() == 0)) return;
  silent_since_ = responding ? MonotonicTime(0) : base::MonotonicNow();
  if (responding && attached_at_.count() == 0) {
    // A worker that replies late would else lose its attachment, and the lease
    // with it, at each renewal.
    reply_overdue_ = std::min(2 * reply_overdue_, options_.unreachable_after);
    BeginAttachment();
    return Report(WorkerLoad{{}, true, std::nullopt, attachment_});
  }
  Report(WorkerLoad{{}, responding});
}

Milliseconds WorkerSession::TimeUntil(MonotonicTime time) {
  const MonotonicTime left = time - base::MonotonicNow();
  return std::max(Milliseconds(0), std::chrono::ceil<milliseconds>(left));
}

void WorkerSession::ReportUnreachable() {
  if (unreachable_reported_) return;
  unreachable_reported_ = true;
  attached_at_ = MonotonicTime(0);
  overdue_timer_.reset();
  // Commands sent before the worker became unreachable may still be in flight.
  RaiseFence();
  // The leader may give up the runs once the lease has expired.
  ReportWaitingNotSent();
  if (!closed_) {
    renew_timer_ = loop_.After(options_.retry_delay,
                               [this] { SendRenew(Milliseconds(0)); });
  }
  Report(WorkerUnreachable{LeaseLeft()});
}

void WorkerSession::OnReport(const RenewReply& report) {
  const MonotonicTime now = base::MonotonicNow();
  replied_at_ = now;
  worker_clock_ = report.clock;
  worker_clock_read_at_ = now;
  overdue_timer_.reset();
  unreachable_reported_ = false;
  process_unconfirmed_ = false;
  if (synced_ && report.incarnation != incarnation_) return Resynchronise();
  if (synced_) {
    ReportResponding(true);
    SendWaitingStarts();
  } else {
    Synchronise(report);
  }
  ReportEnds(report);
  UpdateRuns(report);
  ReportLoad(report);
  ScheduleRenew();
}

void WorkerSession::ReportEnds(const RenewReply& report) {
  listed_ends_ = report.ended;
  for (const EndedRun& end : report.ended) {
    highest_listed_end_ = std::max(highest_listed_end_, end.number);
    const auto it = runs_.find(end.task);
    if (it != runs_.end() && it->second.number == end.run) runs_.erase(it);
    stops_.Drop(end.task, end.run);
    if (end.number <= reported_end_) continue;
    reported_end_ = end.number;
    Report(RunEnded{incarnation_, end});
  }
}

void WorkerSession::ScheduleRenew() {
  if (closed_) return;
  const Milliseconds wait =
      reading_ends_ ? Milliseconds(0) : options_.renew_wait;
  if (highest_listed_end_ > acknowledged_) {
    renew_timer_ = loop_.After(options_.acknowledge_delay,
                               [this, wait] { SendRenew(wait); });
    return;
  }
  SendRenew(wait);
}

void WorkerSession::Synchronise(const RenewReply& report) {
  lease_known_ = true;
  if (!std::exchange(others_counted_, true)) {
    // No earlier session can renew the lease any more. What this one was told
    // may be older than what other agents have granted.
    RaiseLeaseBound(std::max(options_.lease, options_.earlier_lease));
  }
  if (report.incarnation != incarnation_) {
    reading_ends_ = false;
    OnProcessChanged(report.incarnation);
  }
  if (!report.ends_complete) return BeginReadingEnds(report);
  reading_ends_ = false;
  synced_ = runs_known_ = true;
  runs_as_of_ = assignment_.fence;
  ReplaceRuns(report);
  Attached attached{
      incarnation_, starts_seen_, {}, report.running, report.ended};
  for (const WaitingStart& start : waiting_starts_) {
    attached.unsent.push_back(start.command.task);
  }
  ReportAttached(std::move(attached));
  SendWaitingStarts();
}

void WorkerSession::BeginReadingEnds(const RenewReply& report) {
  if (std::exchange(reading_ends_, true)) return ReportResponding(true);
  ReportAttached(
      {incarnation_, starts_seen_, {}, report.running, report.ended, false});
  // Reading goes on for as long as the leader cannot store the ends.
  ReportWaitingNotSent();
}

void WorkerSession::ReportAttached(Attached attached) {
  for (const EndedRun& end : attached.ended) {
    reported_end_ = std::max(reported_end_, end.number);
  }
  silent_since_ = MonotonicTime(0);
  BeginAttachment();
  attached.attachment = attachment_;
  attached.restart_lease_left = TimeUntil(restart_lease_expires_at_);
  Report(std::move(attached));
}

void WorkerSession::ReplaceRuns(const RenewReply& report) {
  std::map<std::string, Run> runs;
  for (const RunningRun& running : report.running) {
    Run& run = runs[running.task];
    const auto known = runs_.find(running.task);
    if (known != runs_.end() && known->second.number == running.run) {
      run = known->second;
    }
    run.number = running.run;
    run.just_started_before = false;
    run.confirmed = true;
  }
  runs_ = std::move(runs);
}

void WorkerSession::OnProcessChanged(WorkerIncarnation incarnation) {
  // A command for the former process may have reached the new one with a lease
  // end on the former's clock; the worker limits such a lease to max_lease.
  if (incarnation_ != WorkerIncarnation()) {
    RaiseLeaseBound(options_.max_lease);
    restart_lease_expires_at_ =
        base::MonotonicNow() + LeaseUpperBound(options_.max_lease);
    // Another agent may have started runs on the new process.
    runs_known_ = false;
    runs_.clear();
    stops_.Clear();
  }
  incarnation_ = incarnation;
  acknowledged_ = reported_end_ = highest_listed_end_ = EndNumber();
}

void WorkerSession::RaiseFence() {
  synced_ = reading_ends_ = false;
  process_unconfirmed_ = true;
  if (fence_.value() + 1 < assignment_.fence.value() + kFenceStride) {
    fence_ = fence_.next();
  }
  // A renewal in flight carries the old fencing token; its reply is ignored.
  ++renew_generation_;
  renew_in_flight_ = false;
}

void WorkerSession::Resynchronise() {
  RaiseFence();
  SendRenew(Milliseconds(0));
}

void WorkerSession::Acknowledge(const AcknowledgeEnds& ack) {
  if (ack.incarnation != incarnation_ || ack.number <= acknowledged_) return;
  acknowledged_ = ack.number;
  if ((synced_ || reading_ends_) && !renew_in_flight_ &&
      highest_listed_end_ <= acknowledged_) {
    ScheduleRenew();
  }
}

}  // namespace mangospread::dispatch
