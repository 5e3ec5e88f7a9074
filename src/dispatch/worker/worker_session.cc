#include "dispatch/worker/worker_session.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::dispatch {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A worker's clock may run 2% slow, so a lease lasts longer here.
constexpr int kLeaseStretchPercent = 103;
constexpr MonotonicTime kLeaseMargin = milliseconds(150);
constexpr Milliseconds kHoldAnswerTime{700};
constexpr MonotonicTime kLoadPeriod = milliseconds(400);
/// Share of its target beyond which a serving task is watched closely.
constexpr double kStrainedShare = 0.75;

}  // namespace

std::shared_ptr<WorkerSession> WorkerSession::Create(
    base::EventLoop& loop, std::shared_ptr<WorkerLink> link,
    Assignment assignment, WorkerSessionOptions options, Emit emit,
    ObserveTiming observe) {
  return std::shared_ptr<WorkerSession>(
      new WorkerSession(loop, std::move(link), std::move(assignment), options,
                        std::move(emit), std::move(observe)));
}

WorkerSession::WorkerSession(base::EventLoop& loop,
                             std::shared_ptr<WorkerLink> link,
                             Assignment assignment,
                             WorkerSessionOptions options, Emit emit,
                             ObserveTiming observe)
    : loop_(loop),
      link_(std::move(link)),
      assignment_(std::move(assignment)),
      options_(options),
      emit_(std::move(emit)),
      observe_(std::move(observe)),
      fence_(assignment_.fence),
      starts_seen_(assignment_.starts_before),
      answered_at_(base::MonotonicNow()) {
  if (!assignment_.known_runs) return;
  runs_known_ = true;
  for (const RememberedRun& run : *assignment_.known_runs) {
    runs_[run.task].number = run.run;
  }
}

void WorkerSession::Begin() { SendHold(Milliseconds(0)); }

std::optional<RememberedRuns> WorkerSession::Remember() const {
  if (!runs_known_ || closed_) return std::nullopt;
  RememberedRuns remembered;
  remembered.worker = assignment_.worker;
  for (const auto& [task, run] : runs_) {
    remembered.runs.push_back({task, run.number});
  }
  for (const EndedRun& end : listed_ends_) {
    if (end.number > acknowledged_) {
      remembered.runs.push_back({end.task, end.run});
    }
  }
  return remembered;
}

void WorkerSession::Close() {
  closed_ = true;
  hold_timer_.reset();
}

void WorkerSession::Report(decltype(AgentEvent::what) what) {
  emit_({assignment_.worker.vm, assignment_.fence, std::move(what)});
}

void WorkerSession::ExtendLease(Milliseconds lease) {
  lease_over_at_ = std::max(
      lease_over_at_, base::MonotonicNow() +
                          MonotonicTime(lease) * kLeaseStretchPercent / 100 +
                          kLeaseMargin);
}

WorkerTime WorkerSession::LeaseUntil() {
  if (clock_.value() == 0) return {};
  const MonotonicTime now = base::MonotonicNow();
  const auto elapsed = duration_cast<milliseconds>(now - clock_at_);
  ExtendLease(options_.lease);
  return WorkerTime(clock_.value() + static_cast<std::uint64_t>(
                                         (elapsed + options_.lease).count()));
}

void WorkerSession::SendHold(Milliseconds wait) {
  if (closed_ || hold_in_flight_) return;
  hold_timer_.reset();
  hold_in_flight_ = true;
  const std::uint64_t generation = ++hold_generation_;
  process_unconfirmed_ = process_unconfirmed_ || !link_->Connected();
  const HoldOrder order =
      process_unconfirmed_
          ? HoldOrder{fence_, {}, {}, wait}
          : HoldOrder{fence_, acknowledged_, LeaseUntil(), wait};
  link_->Hold(order, [self = shared_from_this(),
                      generation](const Result<HoldReport>& result) {
    self->OnHold(result, generation);
  });
  // The link has its own timeout; this one notices a worker that stays silent.
  hold_timer_ = loop_.After(wait + kHoldAnswerTime + milliseconds(100),
                            [this] { ReportUnreachable(); });
}

void WorkerSession::OnHold(const Result<HoldReport>& result,
                           std::uint64_t generation) {
  if (closed_ || generation != hold_generation_) return;
  hold_in_flight_ = false;
  hold_timer_.reset();
  if (!result.ok()) return OnHoldFailed(result.error());
  OnReport(result.value());
}

void WorkerSession::OnHoldFailed(const Error& error) {
  if (error.code == Errc::kNotOwner) {
    closed_ = true;
    Report(WorkerEnded{});
    return;
  }
  if (error.code == Errc::kStaleEpoch) {
    closed_ = true;
    Report(WorkerSuperseded{});
    return;
  }
  process_unconfirmed_ = true;
  base::Log(base::Event::kHoldFailed, {{"vm", assignment_.worker.vm.str()},
                                       {"error", ErrcName(error.code)},
                                       {"subject", error.subject}});
  if (base::MonotonicNow() - answered_at_ > options_.unreachable_after) {
    ReportUnreachable();
  }
  hold_timer_ =
      loop_.After(options_.retry_pause, [this] { SendHold(Milliseconds(0)); });
}

void WorkerSession::ReportUnreachable() {
  if (unreachable_reported_) return;
  unreachable_reported_ = true;
  // Orders of before the silence may still be under way.
  Invalidate();
  if (!closed_) {
    hold_timer_ = loop_.After(options_.retry_pause,
                              [this] { SendHold(Milliseconds(0)); });
  }
  const MonotonicTime left = lease_over_at_ - base::MonotonicNow();
  Report(WorkerUnreachable{
      std::max(Milliseconds(0), duration_cast<milliseconds>(left))});
}

void WorkerSession::OnReport(const HoldReport& report) {
  const MonotonicTime now = base::MonotonicNow();
  answered_at_ = now;
  clock_ = report.clock;
  clock_at_ = now;
  unreachable_reported_ = false;
  process_unconfirmed_ = false;
  if (synchronised_ && report.born != born_) return Resynchronise();
  if (synchronised_) {
    SendWaitingStarts();
  } else {
    Synchronise(report);
  }
  listed_ends_ = report.ended;
  for (const EndedRun& end : report.ended) {
    highest_listed_ = std::max(highest_listed_, end.number);
    if (end.number <= reported_) continue;
    reported_ = end.number;
    const auto it = runs_.find(end.task);
    if (it != runs_.end() && it->second.number == end.run) runs_.erase(it);
    Report(RunEnded{born_, end});
  }
  UpdateRuns(report);
  ReportLoad(report);
  ScheduleHold();
}

void WorkerSession::ScheduleHold() {
  if (closed_) return;
  if (highest_listed_ > acknowledged_) {
    hold_timer_ = loop_.After(options_.acknowledge_wait,
                              [this] { SendHold(options_.hold_wait); });
    return;
  }
  SendHold(options_.hold_wait);
}

void WorkerSession::Synchronise(const HoldReport& report) {
  synchronised_ = runs_known_ = true;
  if (report.born != born_) OnOtherProcess(report.born);
  Attached attached{born_, starts_seen_, {}, report.running, report.ended};
  std::map<std::string, Run> runs;
  for (const RunningRun& running : report.running) {
    Run& run = runs[running.task];
    const auto known = runs_.find(running.task);
    if (known != runs_.end() && known->second.number == running.run) {
      run = known->second;
    }
    run.number = running.run;
  }
  runs_ = std::move(runs);
  for (const StartRun& start : waiting_starts_) {
    attached.unsent.push_back(start.task);
  }
  for (const EndedRun& end : report.ended) {
    reported_ = std::max(reported_, end.number);
  }
  Report(std::move(attached));
  SendWaitingStarts();
}

void WorkerSession::OnOtherProcess(WorkerBirth born) {
  // An order for the former process may have reached this one with a time by
  // the other's clock; the worker cuts such a lease to the longest it grants.
  if (born_ != WorkerBirth()) ExtendLease(options_.max_lease);
  born_ = born;
  acknowledged_ = reported_ = highest_listed_ = EndNumber();
  runs_.clear();
}

void WorkerSession::SendWaitingStarts() {
  for (StartRun& start : std::exchange(waiting_starts_, {})) {
    SendStart(std::move(start));
  }
}

void WorkerSession::Invalidate() {
  synchronised_ = false;
  process_unconfirmed_ = true;
  if (fence_.value() + 1 < assignment_.fence.value() + kFenceStride) {
    fence_ = fence_.next();
  }
  // A hold in flight carries the old fence; its answer is not awaited.
  ++hold_generation_;
  hold_in_flight_ = false;
}

void WorkerSession::Resynchronise() {
  Invalidate();
  SendHold(Milliseconds(0));
}

void WorkerSession::Start(StartRun order) {
  starts_seen_ = order.number;
  process_unconfirmed_ = process_unconfirmed_ || !link_->Connected();
  if (!synchronised_ || process_unconfirmed_) {
    waiting_starts_.push_back(std::move(order));
    return;
  }
  SendStart(std::move(order));
}

void WorkerSession::SendStart(StartRun order) {
  Run& run = runs_[order.task];
  run = Run();
  run.number = order.run;
  run.traits = order.traits;
  run.described = true;
  run.progress_at = base::MonotonicNow();
  const StartOrder start{order.task,       order.run,    order.spec,
                         order.checkpoint, LeaseUntil(), fence_};
  link_->Start(start, [self = shared_from_this(), order = std::move(order),
                       sent_at = base::MonotonicNow()](OrderOutcome outcome) {
    self->observe_(Timing::kStartAnswer, base::MonotonicNow() - sent_at);
    if (!self->closed_) self->OnStartAnswer(order, outcome);
  });
}

void WorkerSession::OnStartAnswer(const StartRun& order, OrderOutcome outcome) {
  const auto it = runs_.find(order.task);
  const bool current = it != runs_.end() && it->second.number == order.run;
  switch (outcome) {
    case OrderOutcome::kAccepted:
      Report(RunStarted{order.task, order.run});
      return;
    case OrderOutcome::kUnknown:
      base::Log(base::Event::kOrderUnanswered,
                {{"task", order.task},
                 {"run", order.run.value()},
                 {"vm", assignment_.worker.vm.str()}});
      if (synchronised_) Resynchronise();
      return;
    case OrderOutcome::kOtherIncarnation:
      closed_ = true;
      Report(WorkerEnded{});
      return;
    default:
      if (current) runs_.erase(it);
      Report(RunNotStarted{order.task, order.run, outcome});
  }
}

void WorkerSession::Describe(const DescribeRun& order) {
  Run& run = runs_[order.task];
  run.number = order.run;
  run.traits = order.traits;
  run.described = true;
  if (run.progress_at.count() == 0) run.progress_at = base::MonotonicNow();
}

void WorkerSession::Stop(const StopRun& order) {
  const auto waiting =
      std::find_if(waiting_starts_.begin(), waiting_starts_.end(),
                   [&](const StartRun& start) {
                     return start.task == order.task && start.run == order.run;
                   });
  if (waiting != waiting_starts_.end()) {
    waiting_starts_.erase(waiting);
    Report(RunNotStarted{order.task, order.run, OrderOutcome::kNotSent});
    return;
  }
  SendStop(order);
}

void WorkerSession::SendStop(StopRun order) {
  if (closed_) return;
  link_->Stop(order.task, order.run, fence_,
              [self = shared_from_this(), order](OrderOutcome outcome) {
                if (outcome != OrderOutcome::kUnknown &&
                    outcome != OrderOutcome::kNotSent &&
                    outcome != OrderOutcome::kUnhealthy &&
                    outcome != OrderOutcome::kStaleFence) {
                  return;
                }
                auto timer = std::make_shared<base::Timer>();
                *timer = self->loop_.After(self->options_.retry_pause,
                                           [self, order, timer] {
                                             if (!self->closed_) {
                                               self->SendStop(order);
                                             }
                                             timer->reset();
                                           });
              });
}

void WorkerSession::Acknowledge(const AcknowledgeEnds& order) {
  if (order.born != born_ || order.number <= acknowledged_) return;
  acknowledged_ = order.number;
  if (synchronised_ && !hold_in_flight_ && highest_listed_ <= acknowledged_) {
    SendHold(options_.hold_wait);
  }
}

void WorkerSession::UpdateRuns(const HoldReport& report) {
  for (const RunningRun& running : report.running) {
    const auto it = runs_.find(running.task);
    if (it == runs_.end() || it->second.number != running.run) continue;
    CheckProgress(running, it->second);
  }
}

void WorkerSession::CheckProgress(const RunningRun& running, Run& run) {
  const MonotonicTime now = base::MonotonicNow();
  const bool at_work = run.traits.long_running && running.percent >= 100;
  if (running.percent != run.percent || run.pace == 0 || at_work) {
    run.percent = running.percent;
    run.progress_at = now;
    run.stall_reported = false;
    return;
  }
  Milliseconds limit = options_.stalled_after;
  if (run.traits.long_running) limit = options_.startup_limit;
  if (run.traits.fills) limit = options_.fill_stalled_after;
  if (run.stall_reported || now - run.progress_at < limit) return;
  run.stall_reported = true;
  Report(RunStalled{running.task, running.run});
}

void WorkerSession::ReportLoad(const HoldReport& report) {
  const MonotonicTime now = base::MonotonicNow();
  if (now - load_reported_at_ < kLoadPeriod) return;
  bool serving = false;
  bool strained = false;
  WorkerLoad load;
  for (const RunningRun& running : report.running) {
    const auto it = runs_.find(running.task);
    if (it == runs_.end() || !it->second.described) continue;
    const RunTraits& traits = it->second.traits;
    if (traits.latency_target.count() > 0) {
      serving = true;
      strained = strained ||
                 running.measured >
                     kStrainedShare *
                         static_cast<double>(traits.latency_target.count());
    }
    strained = strained || it->second.wanted_pace < 100;
    if (traits.latency_target.count() == 0 && !traits.fills) continue;
    load.runs.push_back(
        {running.task, running.run, running.measured, running.percent});
  }
  if (!serving) return;
  // Calm workers are only sampled for the model.
  if (!strained && now - load_reported_at_ < assignment_.calm_load_period) {
    return;
  }
  load_reported_at_ = now;
  Report(std::move(load));
}

void WorkerSession::Pace(const PaceRun& order) {
  const auto it = runs_.find(order.task);
  if (it == runs_.end() || it->second.number != order.run) return;
  it->second.wanted_pace = order.percent;
  if (!it->second.pacing) SendPace(order);
}

void WorkerSession::SendPace(const PaceRun& order) {
  runs_.at(order.task).pacing = true;
  link_->Throttle(
      order.task, order.run, order.percent, fence_,
      [self = shared_from_this(), order](OrderOutcome outcome) {
        const auto it = self->runs_.find(order.task);
        if (it == self->runs_.end() || it->second.number != order.run) return;
        Run& run = it->second;
        run.pacing = false;
        if (outcome == OrderOutcome::kAccepted) run.pace = order.percent;
        const bool again = outcome == OrderOutcome::kUnknown ||
                           run.wanted_pace != order.percent;
        if (!again || self->closed_) return;
        self->SendPace({order.vm, order.task, order.run, run.wanted_pace});
      });
}

}  // namespace mangospread::dispatch
