/// @file
/// Workers that record the leases which they were granted, and the processes of
/// agents that reach them.
#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/loop/clock.hpp"
#include "base/loop/event_loop.hpp"
#include "dispatch/model/messages.hpp"
#include "dispatch/worker/worker_session.hpp"

namespace mangospread::dispatch::test::lease_bound {

/// One-shot timers that live as long as the world.
class Timers {
 public:
  explicit Timers(base::EventLoop& loop) : loop_(loop) {}

  void After(MonotonicTime delay, std::function<void()> call) {
    const std::uint64_t id = ++last_id_;
    timers_.emplace(id, loop_.After(delay, [this, id, call = std::move(call)] {
      const auto keep = timers_.extract(id);
      call();
    }));
  }

 private:
  base::EventLoop& loop_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, base::Timer> timers_;
};

/// Random numbers that depend on nothing but the seed.
class Random {
 public:
  explicit Random(std::uint64_t seed) : generator_(seed) {}

  /// From 0 to `limit` - 1.
  std::size_t Below(std::size_t limit) {
    return static_cast<std::size_t>(generator_() % limit);
  }
  Milliseconds Between(int least, int most) {
    return Milliseconds(
        least +
        static_cast<int>(Below(static_cast<std::size_t>(most - least) + 1)));
  }
  bool OneIn(std::size_t cases) { return Below(cases) == 0; }

 private:
  std::mt19937_64 generator_;
};

/// A process of an agent. While it is frozen it reads nothing; what arrives is
/// handled when it resumes.
struct Process {
  void Deliver(std::function<void()> call) {
    if (!alive) return;
    if (!frozen) return call();
    unread.push_back(std::move(call));
  }

  bool alive = true;
  bool frozen = false;
  std::deque<std::function<void()>> unread;
};

/// A worker that ends its runs when its lease expires.
struct ModelWorker {
  [[nodiscard]] WorkerTime Now() const {
    constexpr std::int64_t kPerMille = 1'000;
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
        base::MonotonicNow() - clock_zero);
    return WorkerTime(static_cast<std::uint64_t>(now.count() * clock_per_mille /
                                                 kPerMille / kPerMille));
  }
  /// Limits the lease as the workers do: its end may be on the clock of a
  /// former process.
  void ExtendLease(WorkerTime until) {
    const auto longest =
        static_cast<std::uint64_t>(WorkerSessionOptions().max_lease.count());
    lease =
        std::max(lease, std::min(until, WorkerTime(Now().value() + longest)));
  }
  /// Another process begins under the worker's id.
  /// @param age time that its clock shows.
  void Restart(MonotonicTime age) {
    incarnation = WorkerIncarnation(incarnation.value() + 1);
    clock_zero = base::MonotonicNow() - age;
    lease = WorkerTime();
    fence = WorkerFence();
    runs.clear();
  }
  [[nodiscard]] bool HoldsLease() const { return lease >= Now(); }
  [[nodiscard]] bool Runs(const std::string& task) const {
    return HoldsLease() && runs.contains(task);
  }
  void Expire() {
    if (!HoldsLease()) runs.clear();
  }
  [[nodiscard]] bool Reaches(const NodeId& agent) const {
    return !gone && !cut_off && !cut_from.contains(agent);
  }

  /// Speed of its clock, at most 2% slow.
  std::int64_t clock_per_mille = 1'000;
  MonotonicTime clock_zero{0};  ///< When its clock showed 0.
  WorkerIncarnation incarnation{1};
  WorkerTime lease;
  WorkerFence fence;
  std::map<std::string, Attempt> runs;
  bool gone = false;  ///< No agent reaches it any more.
  bool cut_off = false;
  std::set<NodeId> cut_from;
  /// Delay of the next command that is sent to it; 0 for a random one.
  Milliseconds hold_next{0};
};

/// What the links of all agents share.
struct Network {
  explicit Network(base::EventLoop& loop, std::uint64_t seed)
      : timers(loop), random(seed) {}

  /// Most commands arrive soon, some later than the timeout of their sender.
  MonotonicTime LinkDelay() {
    if (steady) return kSteadyLinkDelay;
    constexpr std::size_t kDelayedShare = 25;
    return random.OneIn(kDelayedShare) ? random.Between(100, 1'000)
                                       : random.Between(1, 10);
  }
  /// Time after which a command that is sent now arrives.
  MonotonicTime CommandDelay(const VmName& vm) {
    const MonotonicTime delay = LinkDelay();
    const Milliseconds held =
        std::exchange(workers.at(vm).hold_next, Milliseconds(0));
    if (held.count() == 0) return delay;
    on_held(vm, held);
    return held;
  }
  [[nodiscard]] bool RunsElsewhere(const std::string& task,
                                   const VmName& vm) const {
    return std::any_of(workers.begin(), workers.end(), [&](const auto& other) {
      return other.first != vm && other.second.Runs(task);
    });
  }

  static constexpr Milliseconds kSteadyLinkDelay{5};

  Timers timers;
  Random random;
  bool steady = false;  ///< All commands take the same time.
  std::map<VmName, ModelWorker> workers;
  /// Called when a worker starts a task that still runs on another one.
  std::function<void(const std::string& task, const VmName& vm)> on_overlap;
  /// Called when a command was sent that was to be held for this long.
  std::function<void(const VmName& vm, Milliseconds held)> on_held;
};

/// An agent's connection to a worker.
class ModelLink final : public WorkerLink {
 public:
  ModelLink(Network& network, std::shared_ptr<Process> process, NodeId agent,
            VmName vm)
      : network_(network),
        process_(std::move(process)),
        agent_(std::move(agent)),
        vm_(std::move(vm)) {}

  [[nodiscard]] bool Connected() const override { return true; }
  void RenewLease(const RenewCommand& command, RenewCallback done) override {
    Call<Result<RenewReply>>(
        command.max_wait, Error{Errc::kTimeout, "worker"}, std::move(done),
        [command](ModelWorker& worker) -> Result<RenewReply> {
          if (command.fence < worker.fence) {
            return Error{Errc::kStaleEpoch, "worker"};
          }
          worker.fence = command.fence;
          worker.ExtendLease(command.lease_until);
          return RenewReply();
        },
        &ModelLink::Report);
  }
  void Start(const StartCommand& command, CommandCallback done) override {
    Command(std::move(done),
            [&network = network_, vm = vm_, command](ModelWorker& worker) {
              if (command.fence < worker.fence) {
                return CommandOutcome::kStaleFence;
              }
              if (command.lease_until < worker.Now()) {
                return CommandOutcome::kLeaseExpired;
              }
              worker.ExtendLease(command.lease_until);
              worker.runs[command.task] = command.run;
              if (network.RunsElsewhere(command.task, vm)) {
                network.on_overlap(command.task, vm);
              }
              return CommandOutcome::kAccepted;
            });
  }
  void Stop(const std::string& task, Attempt /*run*/, WorkerFence fence,
            CommandCallback done) override {
    Command(std::move(done), [task, fence](ModelWorker& worker) {
      if (fence < worker.fence) return CommandOutcome::kStaleFence;
      worker.runs.erase(task);
      return CommandOutcome::kAccepted;
    });
  }
  void Throttle(const std::string& /*task*/, Attempt /*run*/, int /*percent*/,
                WorkerFence /*fence*/, CommandCallback done) override {
    Command(std::move(done),
            [](ModelWorker&) { return CommandOutcome::kAccepted; });
  }

 private:
  /// Time after which a command counts as unanswered.
  static constexpr Milliseconds kTimeout{700};

  /// Lists the runs when the reply is sent.
  static void Report(const ModelWorker& worker, Result<RenewReply>& result) {
    if (!result.ok()) return;
    RenewReply& reply = result.value();
    reply.clock = worker.Now();
    reply.incarnation = worker.incarnation;
    for (const auto& [task, run] : worker.runs) {
      // Progresses all the time, so that it never counts as stalled.
      const auto percent = static_cast<int>(reply.clock.value() / 300);
      reply.running.push_back({task, run, {}, percent % 100, 0});
    }
  }
  void Command(CommandCallback done,
               std::function<CommandOutcome(ModelWorker&)> apply) {
    Call<CommandOutcome>(Milliseconds(0), CommandOutcome::kUnknown,
                         std::move(done), std::move(apply),
                         [](const ModelWorker&, CommandOutcome&) {});
  }
  /// Applies a command when it arrives and replies after `wait`; nothing
  /// arrives while the worker is out of reach, and no reply comes if the
  /// process ends before it.
  template <class Reply>
  void Call(Milliseconds wait, Reply unanswered,
            std::function<void(Reply)> done,
            std::function<Reply(ModelWorker&)> apply,
            std::function<void(const ModelWorker&, Reply&)> complete) {
    auto finish = [process = process_, open = std::make_shared<bool>(true),
                   done = std::move(done)](const Reply& reply) {
      process->Deliver([open, done, reply] {
        if (std::exchange(*open, false)) done(reply);
      });
    };
    network_.timers.After(wait + kTimeout,
                          [finish, unanswered] { finish(unanswered); });
    if (process_->frozen) return;
    Network& network = network_;
    ModelWorker& worker = network.workers.at(vm_);
    const auto send_reply = [&network, &worker, agent = agent_, complete,
                             finish](Reply reply,
                                     WorkerIncarnation incarnation) {
      if (!worker.Reaches(agent) || worker.incarnation != incarnation) return;
      worker.Expire();
      complete(worker, reply);
      network.timers.After(network.LinkDelay(),
                           [finish, reply] { finish(reply); });
    };
    const MonotonicTime delay = network.CommandDelay(vm_);
    network.timers.After(
        delay, [&network, &worker, agent = agent_, wait, apply, send_reply] {
          if (!worker.Reaches(agent)) return;
          worker.Expire();
          Reply reply = apply(worker);
          network.timers.After(
              wait, [send_reply, reply, incarnation = worker.incarnation] {
                send_reply(reply, incarnation);
              });
        });
  }

  Network& network_;
  std::shared_ptr<Process> process_;
  NodeId agent_;
  VmName vm_;
};

}  // namespace mangospread::dispatch::test::lease_bound
