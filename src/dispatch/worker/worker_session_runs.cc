// Progress, load and speed of the runs on the worker.
#include <utility>

#include "base/loop/clock.hpp"
#include "dispatch/worker/worker_session.hpp"

namespace mangospread::dispatch {
namespace {

constexpr MonotonicTime kMinLoadReportPeriod = std::chrono::milliseconds(400);
/// Share of the latency target above which a latency-critical task counts as
/// strained and its worker's load is reported more often.
constexpr double kStrainedShare = 0.75;

}  // namespace

void WorkerSession::UpdateRuns(const RenewReply& report) {
  for (const RunningRun& running : report.running) {
    const auto it = runs_.find(running.task);
    if (it == runs_.end() || it->second.number != running.run) continue;
    CheckProgress(running, it->second);
  }
}

void WorkerSession::CheckProgress(const RunningRun& running, Run& run) {
  const MonotonicTime now = base::MonotonicNow();
  const bool started_up = run.traits.long_running && running.percent >= 100;
  if (running.percent != run.percent || run.speed == 0 || started_up) {
    run.percent = running.percent;
    run.progress_at = now;
    run.stall_reported = false;
    return;
  }
  Milliseconds limit = options_.stalled_after;
  if (run.traits.long_running) limit = options_.startup_timeout;
  if (run.traits.best_effort) limit = options_.best_effort_stalled_after;
  if (run.stall_reported || now - run.progress_at < limit) return;
  run.stall_reported = true;
  Report(RunStalled{running.task, running.run});
}

void WorkerSession::ReportLoad(const RenewReply& report) {
  const MonotonicTime now = base::MonotonicNow();
  if (now - load_reported_at_ < kMinLoadReportPeriod) return;
  bool has_latency_critical = false;
  bool throttled = false;
  bool strained = false;
  WorkerLoad load;
  for (const RunningRun& running : report.running) {
    const auto it = runs_.find(running.task);
    if (it == runs_.end() || !it->second.described) continue;
    const RunTraits& traits = it->second.traits;
    if (traits.latency_target.count() > 0) {
      has_latency_critical = true;
      strained = strained ||
                 running.measured >
                     kStrainedShare *
                         static_cast<double>(traits.latency_target.count());
    }
    throttled = throttled || it->second.requested_speed < 100;
    if (traits.latency_target.count() == 0 && !traits.best_effort) continue;
    load.runs.push_back(
        {running.task, running.run, running.measured, running.percent});
  }
  // The leader speeds up a throttled run only by a report, also after the
  // latency-critical task beside it has ended.
  if (!has_latency_critical && !throttled) return;
  // Workers without strain are only sampled, for the interference model.
  if (!strained && !throttled &&
      now - load_reported_at_ < assignment_.normal_load_period) {
    return;
  }
  load_reported_at_ = now;
  Report(std::move(load));
}

void WorkerSession::Throttle(const ThrottleRun& command) {
  for (WaitingStart& start : waiting_starts_) {
    if (start.command.task == command.task &&
        start.command.run == command.run) {
      start.requested_speed = command.percent;
      return;
    }
  }
  const auto it = runs_.find(command.task);
  if (it == runs_.end() || it->second.number != command.run) return;
  it->second.requested_speed = command.percent;
  // The worker refuses the speed of a run that it has not started yet.
  if (it->second.starting || it->second.throttle_in_flight) return;
  SendThrottle(command);
}

void WorkerSession::SendThrottle(const ThrottleRun& command) {
  runs_.at(command.task).throttle_in_flight = true;
  link_->Throttle(command.task, command.run, command.percent, fence_,
                  [self = shared_from_this(), command](CommandOutcome outcome) {
                    self->OnThrottleReply(command, outcome);
                  });
}

void WorkerSession::OnThrottleReply(const ThrottleRun& command,
                                    CommandOutcome outcome) {
  const auto resend = [self = shared_from_this(), command] {
    const auto it = self->runs_.find(command.task);
    if (it == self->runs_.end() || it->second.number != command.run) return;
    self->SendThrottle(
        {command.vm, command.task, command.run, it->second.requested_speed});
  };
  const auto it = runs_.find(command.task);
  if (closed_ || it == runs_.end() || it->second.number != command.run) return;
  // The leader assumes that the speed which it requested applies.
  if (MayRetry(outcome)) return AfterRetryDelay(resend);
  Run& run = it->second;
  run.throttle_in_flight = false;
  if (outcome == CommandOutcome::kAccepted) run.speed = command.percent;
  if (run.requested_speed != command.percent) resend();
}

}  // namespace mangospread::dispatch
