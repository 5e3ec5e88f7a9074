/// @file
/// A leader that is cut off from the table and from a part of the nodes, and
/// the workers on both sides of the cut.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/loop/clock.hpp"
#include "base/loop/simulated_clock.hpp"
#include "dispatch/leader/group_leader.hpp"
#include "dispatch/worker/agent.hpp"
#include "table/memory_table.hpp"
#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test::cut_off {

inline constexpr const char* kId = "00000000000000aa";
/// Times after the cut, by the periods and timeouts of Leadership and Channel.
inline constexpr MonotonicTime kYieldAfter = std::chrono::milliseconds(1'000);
inline constexpr MonotonicTime kChannelTimeout =
    std::chrono::milliseconds(1'100);
inline constexpr MonotonicTime kTakeoverAfter =
    std::chrono::milliseconds(2'000);

/// A worker with a lease, which ends its runs when the lease expires.
struct Worker {
  [[nodiscard]] static WorkerTime Now() {
    return WorkerTime(static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(base::MonotonicNow())
            .count() +
        1));
  }
  void Extend(WorkerTime until) { lease = std::max(lease, until); }
  void Expire() {
    if (lease < Now()) runs.clear();
  }

  WorkerTime lease;
  WorkerFence fence;
  std::map<std::string, Attempt> runs;
};

/// The workers, and the side of the cut on which each node and worker is.
struct Network {
  std::map<VmName, Worker> workers;
  std::map<NodeId, std::string> sides;
  std::map<VmName, std::string> worker_sides;
  bool cut = false;
  int starts = 0;
  int overlaps = 0;  ///< Starts of a task that runs on another worker.

  [[nodiscard]] bool Reaches(const NodeId& node, const VmName& vm) const {
    return !cut || sides.at(node) == worker_sides.at(vm);
  }
};

class Link final : public WorkerLink {
 public:
  Link(base::EventLoop& loop, Network& network, NodeId node, VmName vm)
      : loop_(loop),
        network_(network),
        node_(std::move(node)),
        vm_(std::move(vm)) {}

  [[nodiscard]] bool Connected() const override { return true; }
  void RenewLease(const RenewCommand& command, RenewCallback done) override {
    if (!network_.Reaches(node_, vm_)) {
      return After(std::chrono::milliseconds(700), [done = std::move(done)] {
        done(Error{Errc::kTimeout, "worker"});
      });
    }
    Worker& worker = network_.workers.at(vm_);
    worker.Expire();
    if (command.fence < worker.fence) {
      return After(std::chrono::milliseconds(1), [done = std::move(done)] {
        done(Error{Errc::kStaleEpoch, "worker"});
      });
    }
    worker.fence = command.fence;
    worker.Extend(command.lease_until);
    After(std::max(MonotonicTime(command.max_wait),
                   MonotonicTime(std::chrono::milliseconds(1))),
          [&worker, done = std::move(done)] {
            worker.Expire();
            RenewReply reply{Worker::Now(), WorkerIncarnation(1), {}, {}};
            for (const auto& [task, run] : worker.runs) {
              // Progresses all the time, so that it never counts as stalled.
              const auto percent = static_cast<int>(reply.clock.value() / 300);
              reply.running.push_back({task, run, {}, percent % 100, 0});
            }
            done(reply);
          });
  }
  void Start(const StartCommand& command, CommandCallback done) override {
    Reply(std::move(done));
    if (!network_.Reaches(node_, vm_)) return;
    ++network_.starts;
    for (auto& [vm, worker] : network_.workers) {
      worker.Expire();
      if (vm != vm_ && worker.runs.contains(command.task)) ++network_.overlaps;
    }
    Worker& worker = network_.workers.at(vm_);
    worker.Extend(command.lease_until);
    worker.runs[command.task] = command.run;
  }
  void Stop(const std::string& task, Attempt /*run*/, WorkerFence /*fence*/,
            CommandCallback done) override {
    if (network_.Reaches(node_, vm_)) network_.workers.at(vm_).runs.erase(task);
    Reply(std::move(done));
  }
  void Throttle(const std::string& /*task*/, Attempt /*run*/, int /*percent*/,
                WorkerFence /*fence*/, CommandCallback done) override {
    Reply(std::move(done));
  }

 private:
  void After(MonotonicTime delay, std::function<void()> call) {
    timers_.push_back(loop_.After(delay, std::move(call)));
  }
  void Reply(CommandCallback done) {
    const CommandOutcome outcome = network_.Reaches(node_, vm_)
                                       ? CommandOutcome::kAccepted
                                       : CommandOutcome::kUnknown;
    After(std::chrono::milliseconds(1),
          [done = std::move(done), outcome] { done(outcome); });
  }

  base::EventLoop& loop_;
  Network& network_;
  NodeId node_;
  VmName vm_;
  std::vector<base::Timer> timers_;
};

/// The table as reached by one node.
class CutTable final : public Table {
 public:
  CutTable(base::EventLoop& loop, Table& table) : loop_(loop), table_(table) {}

  void Read(ReadRequest request, ReadCallback done) override {
    if (!cut) return table_.Read(std::move(request), std::move(done));
    loop_.Post([done = std::move(done)] {
      done(Error{Errc::kUnavailable, "table"});
    });
  }
  void Transact(Transaction transaction, TransactCallback done) override {
    if (!cut) return table_.Transact(std::move(transaction), std::move(done));
    loop_.Post([done = std::move(done)] {
      TransactResult result;
      result.status = TransactResult::Status::kUnavailable;
      done(result);
    });
  }

  bool cut = false;

 private:
  base::EventLoop& loop_;
  Table& table_;
};

/// The nodes "l", which leads and is cut off, and "c", which takes over. Of the
/// workers "w1" and "w2", the one with the task is on the side of "l".
struct CutOffFixture {
  CutOffFixture() { network.sides = {{NodeId("l"), "l"}, {NodeId("c"), "c"}}; }

  void AddAgent(const char* node) {
    const NodeId id(node);
    agents[id] = std::make_unique<Agent>(
        loop,
        [this, id](const WorkerInfo& worker) {
          return std::make_shared<Link>(loop, network, id, worker.vm);
        },
        WorkerSessionOptions(),
        [this, id](const AgentEvent& event) {
          loop.Post([this, id, event] {
            GroupLeader* leader = LeaderOf(id);
            if (leader != nullptr) leader->OnAgentEvent(id, event);
          });
        },
        WorkerSession::LeaderView{[this, id] { return PermissionOf(id); },
                                  [](MonotonicTime) { return true; }},
        [](Timing, MonotonicTime) {});
  }

  /// What the first leader permits on its own side, since the table confirms no
  /// renewals from the cut on.
  [[nodiscard]] Permission FirstPermission() const {
    if (!network.cut) return Permission::kStarts;
    const MonotonicTime now = base::MonotonicNow();
    for (const auto& [node, side] : network.sides) {
      if (side == "l") first->OnAgentConfirmed(node, now);
    }
    const auto since = first->FollowedSince(now);
    return LeaderPermission(PermissionTimeouts(), now - cut_at,
                            since ? std::optional(now - *since) : std::nullopt);
  }

  /// What the agent's leader permits it.
  [[nodiscard]] Permission PermissionOf(const NodeId& agent) const {
    if (network.sides.at(agent) == "l") return FirstPermission();
    const bool forgotten =
        network.cut && !second &&
        base::MonotonicNow() - cut_at > GroupLeaderOptions().loss_notice_delay;
    return forgotten ? Permission::kNone : Permission::kStarts;
  }

  /// The leader to which the agent is connected.
  GroupLeader* LeaderOf(const NodeId& agent) {
    return network.sides.at(agent) == "c" && network.cut ? second.get()
                                                         : first.get();
  }

  std::unique_ptr<GroupLeader> Lead(const char* node, std::uint64_t epoch,
                                    Table& view) {
    rows.Transact({{}, {{kLeaderKey, node}}},
                  [this](const TransactResult& won) { version = won.version; });
    RunFor(std::chrono::milliseconds(5));
    LeaderRecord record;
    record.node = NodeId(node);
    record.epoch = Epoch(epoch);
    record.version = version;
    auto leader = std::make_unique<GroupLeader>(
        GroupLeaderDependencies{
            loop, view, NodeId(node), DataCenter("dc"),
            std::string("writer/") + node, record,
            [](const SubmissionId& id, std::string_view) {
              return Result<Submission>(DispatcherFixture::MakeSubmission(
                  id.str().c_str(), {DispatcherFixture::MakeStep(1, 1'000)}));
            },
            [this, node](const NodeId& agent, AgentCommand command) {
              if (network.cut &&
                  network.sides.at(agent) != network.sides.at(NodeId(node))) {
                return;
              }
              agents.at(agent)->Execute(std::move(command));
            },
            [](Timing, MonotonicTime) {}, [] {}, [] {},
            [this, epoch] {
              return epoch > 1 || FirstPermission() == Permission::kStarts;
            },
            [](const auto& done) { done(true); }},
        GroupLeaderOptions());
    leader->OnAgentUp(NodeId(node), DataCenter("dc"),
                      agents.at(NodeId(node))->LastGrantAge());
    return leader;
  }

  static std::map<VmName, WorkerInfo> Listed() {
    std::map<VmName, WorkerInfo> listed;
    for (const char* name : {"w1", "w2"}) {
      WorkerInfo info;
      info.vm = VmName(name);
      info.service = ServiceName("s");
      info.capacity.cpu = Millicores(4'000);
      info.capacity.memory = Mebibytes(4'000);
      listed.emplace(info.vm, info);
    }
    return listed;
  }

  /// Connects an agent's process to the first leader.
  void ConnectAgent(const char* agent, Incarnation incarnation) {
    const NodeId node(agent);
    const auto last_grant_age = agents.at(node)->LastGrantAge();
    first->OnFollowerSeen(node, incarnation, last_grant_age);
    first->OnAgentUp(node, DataCenter("dc"), last_grant_age);
  }

  /// Has the first leader start a task on one of the workers, and puts that
  /// worker on the side of the leader.
  void StartTask(const std::vector<const char*>& connected) {
    for (const auto& [vm, info] : Listed()) network.workers[vm];
    first = Lead("l", 1, first_view);
    for (const char* agent : connected) ConnectAgent(agent, Incarnation(1));
    first->Start();
    RunFor(std::chrono::milliseconds(50));
    first->OnWorkers(Listed());
    RunFor(std::chrono::milliseconds(500));
    ServiceCall call;
    call.verb = ServiceVerb::kSubmit;
    call.submission = SubmissionId(kId);
    call.policy = DispatcherFixture::Policy();
    call.payload = "{}";
    first->Handle(std::move(call), [](const ServiceReply&) {});
    RunFor(std::chrono::seconds(2));
    REQUIRE(network.starts == 1);
    for (const auto& [vm, worker] : network.workers) {
      network.worker_sides[vm] = worker.runs.empty() ? "c" : "l";
    }
  }

  /// Cuts "c" off from the first leader, which loses the table too; "c" takes
  /// over.
  void Cut() {
    network.cut = first_view.cut = true;
    cut_at = base::MonotonicNow();
    RunFor(kYieldAfter);
    first->SetYielding(true);
    RunFor(kChannelTimeout - kYieldAfter);
    first->OnAgentDown(NodeId("c"));
    Agent& agent = *agents.at(NodeId("c"));
    agent.DropUnsent();
    agent.StopExtending();
    RunFor(kTakeoverAfter - kChannelTimeout);
    second = Lead("c", 2, second_view);
    second->OnWorkers(Listed());
    for (const FormerLeaderRuns& runs : agent.CollectRuns()) {
      second->OnKnownRuns(NodeId("c"), runs);
    }
    agent.SuspendNotRenewing();
    second->Start();
  }

  void RunFor(MonotonicTime time) {
    const auto stop = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }

  base::SimulatedClock clock;
  base::EventLoop loop;
  Network network;
  table::MemoryTable rows{
      [this](std::function<void()> call) { loop.Post(std::move(call)); }};
  CutTable first_view{loop, rows};
  CutTable second_view{loop, rows};
  RowVersion version;
  MonotonicTime cut_at{0};
  std::map<NodeId, std::unique_ptr<Agent>> agents;
  std::unique_ptr<GroupLeader> first;
  std::unique_ptr<GroupLeader> second;
};

}  // namespace mangospread::dispatch::test::cut_off
