/// @file
/// A worker session with a stand-in for its worker.
#pragma once

#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/loop/simulated_clock.hpp"
#include "dispatch/worker/worker_session.hpp"

namespace mangospread::dispatch {

/// Records calls and replies to renewals with a report that the test edits.
struct FakeLink final : WorkerLink {
  explicit FakeLink(base::EventLoop& event_loop) : loop(event_loop) {}

  [[nodiscard]] bool Connected() const override { return connected; }
  void RenewLease(const RenewCommand& command, RenewCallback done) override {
    renewals.push_back(command);
    renewal_incarnations.push_back(report.incarnation);
    if (error) {
      timers.push_back(
          loop.After(Milliseconds(1), [done = std::move(done), code = *error] {
            done(Error{code, "w1"});
          }));
      return;
    }
    if (unresponsive) {
      const auto timeout = command.max_wait + Milliseconds(700);
      timers.push_back(loop.After(timeout, [done = std::move(done)] {
        done(Error{Errc::kTimeout, "w1"});
      }));
      return;
    }
    RenewReply reply = report;
    reply.clock = WorkerTime(1'000);
    std::erase_if(reply.ended, [&](const EndedRun& end) {
      return end.number <= command.acknowledged;
    });
    reply.ends_complete = reply.ended.size() < ends_per_reply;
    if (!reply.ends_complete) reply.ended.resize(ends_per_reply);
    const auto delay =
        command.max_wait.count() == 0 ? Milliseconds(1) : reply_delay;
    timers.push_back(
        loop.After(delay, [done = std::move(done), reply] { done(reply); }));
  }
  void Start(const StartCommand& command, CommandCallback done) override {
    starts.push_back(command);
    Reply(std::move(done));
  }
  void Stop(const std::string& task, Attempt, WorkerFence,
            CommandCallback done) override {
    ++stops;
    Reply([this, task, done = std::move(done)](CommandOutcome reply) {
      if (reply == CommandOutcome::kAccepted) accepted_stops.insert(task);
      done(reply);
    });
  }
  void Throttle(const std::string&, Attempt, int percent, WorkerFence,
                CommandCallback done) override {
    throttles.push_back(percent);
    Reply(std::move(done));
  }
  void Reply(CommandCallback done) {
    const bool refused = calls_in_progress >= connections;
    calls_in_progress += refused ? 0 : 1;
    timers.push_back(
        loop.After(Milliseconds(1), [this, refused, done = std::move(done)] {
          if (refused) return done(CommandOutcome::kNotSent);
          --calls_in_progress;
          done(outcome);
        }));
  }

  base::EventLoop& loop;
  RenewReply report;
  /// Number of ends after which a list is cut.
  std::size_t ends_per_reply = 500;
  Milliseconds reply_delay{100};  ///< Of renewals that wait.
  bool unresponsive = false;
  std::optional<Errc> error;  ///< Of all renewals.
  bool connected = true;
  CommandOutcome outcome = CommandOutcome::kAccepted;
  std::vector<RenewCommand> renewals;
  /// Process that received each renewal.
  std::vector<WorkerIncarnation> renewal_incarnations;
  std::vector<StartCommand> starts;
  std::vector<int> throttles;
  int stops = 0;
  std::set<std::string> accepted_stops;  ///< Their tasks.
  /// Commands beyond this number are not sent.
  int connections = std::numeric_limits<int>::max();
  int calls_in_progress = 0;
  std::deque<base::Timer> timers;
};

struct SessionFixture {
  SessionFixture() {
    link->report.incarnation = WorkerIncarnation(7);
    Assignment assignment;
    assignment.worker.vm = VmName("w1");
    assignment.fence = WorkerFence(5 * kFenceStride);
    session = WorkerSession::Create(
        loop, link, assignment, WorkerSessionOptions(),
        [this](AgentEvent event) { events.push_back(std::move(event)); },
        {[this] { return permission; },
         [this](MonotonicTime emitted_at) { return emitted_at <= handled_at; }},
        [](Timing, MonotonicTime) {});
    session->Begin();
  }
  ~SessionFixture() { session->Close(); }

  void RunFor(Milliseconds time) {
    const auto stop = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }

  /// Attaches the worker, which then lists end number 40, and acknowledges it.
  void AcknowledgeEnd() {
    RunFor(Milliseconds(50));
    link->report.ended.push_back(
        {EndNumber(40), "a.0.0.1", Attempt(1), RunEnd::kDone, {}});
    RunFor(Milliseconds(200));
    session->Acknowledge({VmName("w1"), WorkerIncarnation(7), EndNumber(40)});
  }

  template <typename Kind>
  int Count() const {
    int count = 0;
    for (const AgentEvent& event : events) {
      count += std::holds_alternative<Kind>(event.details) ? 1 : 0;
    }
    return count;
  }

  static StartRun MakeStart(std::uint64_t number) {
    StartRun start;
    start.vm = VmName("w1");
    start.number = number;
    start.task = "a.0.0." + std::to_string(number);
    start.run = Attempt(1);
    return start;
  }

  base::SimulatedClock clock;
  base::EventLoop loop;
  std::shared_ptr<FakeLink> link = std::make_shared<FakeLink>(loop);
  std::vector<AgentEvent> events;
  Permission permission = Permission::kStarts;
  /// The leader has handled all events up to this time.
  MonotonicTime handled_at = MonotonicTime::max();
  std::shared_ptr<WorkerSession> session;
};

}  // namespace mangospread::dispatch
