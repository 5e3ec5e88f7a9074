// Starts and stops that a session sends to its worker.
#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "dispatch/worker/worker_session.hpp"

namespace mangospread::dispatch {
namespace {

constexpr int kFullSpeed = 100;  ///< In per cent.

}  // namespace

void WorkerSession::SendPermittedStarts() {
  if (!closed_ && synced_ && !process_unconfirmed_) SendWaitingStarts();
}

bool WorkerSession::MaySend(const StartRun& command) const {
  // A leader of a former version counts each agent that it loses.
  if (command.attachment == AttachmentNumber()) return true;
  const bool present =
      attached_at_.count() > 0 && command.attachment == attachment_;
  return present || AttachmentHandled();
}

void WorkerSession::SendWaitingStarts() {
  if (leader_.permission() < Permission::kStarts) return;
  const MonotonicTime now = base::MonotonicNow();
  for (WaitingStart& start : std::exchange(waiting_starts_, {})) {
    if (now - start.since > options_.max_start_wait ||
        IsForOtherProcess(start.command)) {
      ReportNotSent(start.command);
    } else if (IsEvacuated()) {
      WithholdStart(start.command);
    } else if (!MaySend(start.command)) {
      waiting_starts_.push_back(std::move(start));
    } else {
      SendStart(std::move(start.command), start.requested_speed);
    }
  }
}

void WorkerSession::Start(StartRun command) {
  starts_seen_ = command.number;
  process_unconfirmed_ = process_unconfirmed_ || !link_->Connected();
  if (unreachable_reported_ || reading_ends_) return ReportNotSent(command);
  if (IsEvacuated()) return WithholdStart(command);
  if (!synced_ || process_unconfirmed_ || !MaySend(command) ||
      leader_.permission() < Permission::kStarts) {
    waiting_starts_.push_back(
        {std::move(command), base::MonotonicNow(), kFullSpeed});
    return;
  }
  if (IsForOtherProcess(command)) return ReportNotSent(command);
  SendStart(std::move(command), kFullSpeed);
}

bool WorkerSession::IsForOtherProcess(const StartRun& command) const noexcept {
  constexpr WorkerIncarnation kUnknown;
  return command.incarnation != kUnknown && incarnation_ != kUnknown &&
         command.incarnation != incarnation_;
}

void WorkerSession::ReportNotSent(const StartRun& command) {
  Report(RunNotStarted{command.task, command.run, CommandOutcome::kNotSent});
}

bool WorkerSession::IsEvacuated() const {
  return leader_.is_evacuated &&
         leader_.is_evacuated(assignment_.worker.data_center);
}

void WorkerSession::WithholdStart(const StartRun& command) {
  base::Log(base::Event::kStartWithheld,
            {{"task", command.task},
             {"run", command.run.value()},
             {"vm", command.vm.str()},
             {"data_center", assignment_.worker.data_center.str()}});
  // The leader does not know of the evacuation yet. For lack of capacity it
  // leaves the worker out for a while, too.
  Report(RunNotStarted{command.task, command.run, CommandOutcome::kNoCapacity});
}

void WorkerSession::ReportWaitingNotSent() {
  for (const WaitingStart& start : std::exchange(waiting_starts_, {})) {
    ReportNotSent(start.command);
  }
}

void WorkerSession::SendStart(StartRun command, int requested_speed) {
  Run& run = runs_[command.task];
  run = Run();
  run.number = command.run;
  run.traits = command.traits;
  run.described = true;
  run.requested_speed = requested_speed;
  run.starting = true;
  run.sent_at = run.progress_at = base::MonotonicNow();
  const StartCommand start{command.task,       command.run,    command.spec,
                           command.checkpoint, NextLeaseEnd(), fence_};
  link_->Start(start, [self = shared_from_this(), command = std::move(command),
                       sent_at = base::MonotonicNow()](CommandOutcome outcome) {
    self->observe_(Timing::kStartReply, base::MonotonicNow() - sent_at);
    if (!self->closed_) self->OnStartReply(command, outcome);
  });
}

void WorkerSession::OnStartReply(const StartRun& command,
                                 CommandOutcome outcome) {
  const auto it = runs_.find(command.task);
  const bool current = it != runs_.end() && it->second.number == command.run;
  // A start without an answer may have taken effect, too.
  const bool may_run = outcome == CommandOutcome::kAccepted ||
                       outcome == CommandOutcome::kUnknown;
  if (current && may_run && std::exchange(it->second.starting, false) &&
      it->second.requested_speed != kFullSpeed) {
    SendThrottle(
        {command.vm, command.task, command.run, it->second.requested_speed});
  }
  switch (outcome) {
    case CommandOutcome::kAccepted:
      if (current) it->second.confirmed = true;
      Report(RunStarted{command.task, command.run});
      return;
    case CommandOutcome::kUnknown:
      base::Log(base::Event::kCommandUnanswered,
                {{"task", command.task},
                 {"run", command.run.value()},
                 {"vm", assignment_.worker.vm.str()}});
      if (synced_) Resynchronise();
      return;
    case CommandOutcome::kOtherIncarnation:
      return CloseEnded();
    default:
      if (current) runs_.erase(it);
      Report(RunNotStarted{command.task, command.run, outcome});
  }
}

void WorkerSession::Describe(const DescribeRun& command) {
  Run& run = runs_[command.task];
  if (run.number != command.run) run = Run();
  run.number = command.run;
  run.traits = command.traits;
  if (run.progress_at.count() == 0) run.progress_at = base::MonotonicNow();
  if (std::exchange(run.described, true) || !run.traits.best_effort) return;
  // Another session may have throttled the run, even to a standstill.
  run.requested_speed = command.percent;
  SendThrottle({command.vm, command.task, command.run, command.percent});
}

void WorkerSession::Stop(const StopRun& command) {
  const auto waiting =
      std::find_if(waiting_starts_.begin(), waiting_starts_.end(),
                   [&](const WaitingStart& start) {
                     return start.command.task == command.task &&
                            start.command.run == command.run;
                   });
  if (waiting != waiting_starts_.end()) {
    ReportNotSent(waiting->command);
    waiting_starts_.erase(waiting);
    return;
  }
  stops_.Add(command);
  SendStops();
}

void WorkerSession::SendStops() {
  if (closed_ || stop_timer_.active()) return;
  while (const auto stop = stops_.Take()) {
    link_->Stop(
        stop->task, stop->run, fence_,
        [self = shared_from_this(), command = *stop](CommandOutcome outcome) {
          self->OnStopReply(command, outcome);
        });
  }
}

void WorkerSession::OnStopReply(const StopRun& command,
                                CommandOutcome outcome) {
  const bool last = stops_.OnReply(command);
  if (closed_) return;
  if (!MayRetry(outcome)) return SendStops();
  stops_.Add(command);
  // Goes on with the reply to another one, or after the delay.
  if (!last) return;
  stop_timer_ = loop_.After(options_.retry_delay, [this] {
    stop_timer_.reset();
    SendStops();
  });
}

void WorkerSession::AfterRetryDelay(std::function<void()> action) {
  auto timer = std::make_shared<base::Timer>();
  *timer = loop_.After(
      options_.retry_delay,
      [self = shared_from_this(), action = std::move(action), timer] {
        if (!self->closed_) action();
        timer->reset();
      });
}

}  // namespace mangospread::dispatch
