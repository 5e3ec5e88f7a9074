/// @file
/// A group leader whose agents and table are simulated.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/loop/clock.hpp"
#include "base/loop/simulated_clock.hpp"
#include "dispatch/leader/group_leader.hpp"
#include "unit/dispatch/dispatcher_fixture.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::dispatch::test {

using mangospread::test::FaultyTable;
using Fault = FaultyTable::Fault;

inline constexpr const char* kId = "00000000000000aa";

/// A leader with one agent, "agent", and a table that replies immediately
/// unless a fault is set.
struct LeaderFixture {
  LeaderFixture() {
    table.rows.Transact({{}, {{kLeaderKey, "first"}}});
    table_timer = loop.Every(std::chrono::milliseconds(1), 0, [this] {
      while (table.pending() > 0) table.Step(fault);
    });
  }

  static GroupLeaderOptions Options() {
    GroupLeaderOptions options;
    options.report_grace_period = Milliseconds(0);
    return options;
  }

  /// Writes the rows of a claim by a node that leads then, or dies at once.
  void Claim(std::uint64_t epoch, const NodeId& node) {
    LeaderRecord claim;
    claim.node = node;
    claim.epoch = Epoch(epoch);
    const auto rows = table.rows.Read({{kAgentsKey}, {}});
    const auto stored =
        rows.empty() ? std::nullopt : DecodeAgentsRow(rows[0].value);
    REQUIRE(stored);
    const auto row =
        ClaimAgentsRow(*stored, {last_claimed, Incarnation(1)}, claim);
    REQUIRE(row);
    table.rows.Transact({{}, {{kAgentsKey, EncodeAgentsRow(*row)}}});
    last_claimed = node;
  }

  /// Leads without a row of the claim, as after a former version.
  void Lead(std::uint64_t epoch) {
    auto written = table.rows.Transact(
        {{}, {{kLeaderKey, "epoch " + std::to_string(epoch)}}});
    LeaderRecord record;
    record.node = self;
    record.epoch = Epoch(epoch);
    record.version = written.version;
    leader = std::make_unique<GroupLeader>(
        GroupLeaderDependencies{
            loop, table, self, DataCenter("dc"),
            "writer/leader-" + std::to_string(epoch), record,
            [this](const SubmissionId& id, std::string_view) {
              return Result<Submission>(
                  DispatcherFixture::MakeSubmission(id.str().c_str(), {step}));
            },
            [this](const NodeId& agent, AgentCommand command) {
              if (auto* assignment = std::get_if<Assignment>(&command)) {
                ++assignments;
                assigned_workers.push_back(assignment->worker.vm);
                fences[assignment->worker.vm] = assignment->fence;
                newest.insert_or_assign(assignment->worker.vm,
                                        SentAssignment{agent, *assignment});
              } else if (auto* release = std::get_if<Release>(&command)) {
                releases.emplace_back(agent, release->vm);
              } else if (auto* start = std::get_if<StartRun>(&command)) {
                starts.push_back(*start);
              } else if (auto* stop = std::get_if<StopRun>(&command)) {
                stops.push_back(*stop);
              } else if (auto* description =
                             std::get_if<DescribeRun>(&command)) {
                descriptions.push_back(*description);
              } else if (auto* ack = std::get_if<AcknowledgeEnds>(&command)) {
                acknowledged[ack->vm] = ack->number;
              }
            },
            [](Timing, MonotonicTime) {}, [] {}, [this] { ++conflicts; },
            [this] { return confirmed; },
            [this](std::function<void(bool)> done) {
              questions.push_back(std::move(done));
              if (answers_questions) AnswerQuestions(true);
            }},
        options);
    if (epoch > 1 && former_stopped) {
      leader->OnFormerLeaderStopped(base::MonotonicNow());
    }
    leader->OnAgentUp(NodeId("agent"), DataCenter("dc"), last_grant_age,
                      numbers_attachments);
    leader->Start();
    RunFor(std::chrono::milliseconds(20));
  }

  /// Connects another agent and lets the leader store its name, without which
  /// it gets no workers.
  void ConnectAgent(const char* agent) {
    leader->OnAgentUp(NodeId(agent), DataCenter("dc"), std::nullopt,
                      numbers_attachments);
    RunFor(std::chrono::milliseconds(20));
  }

  /// Lets an agent say that it has reported all that it knows of former
  /// leaders.
  void EndReports(const char* agent,
                  Milliseconds process_age = std::chrono::hours(1)) {
    leader->OnReportsEnd(NodeId(agent), {process_age, {}});
  }

  void ListWorkers(const std::vector<const char*>& names) {
    std::map<VmName, WorkerInfo> listed;
    for (const char* name : names) {
      WorkerInfo info;
      info.vm = VmName(name);
      info.service = ServiceName("s");
      listed.emplace(info.vm, info);
    }
    leader->OnWorkers(listed);
    RunFor(std::chrono::milliseconds(20));
  }

  /// Reports an event of the agent that the worker is assigned to.
  void Event(const char* vm, decltype(AgentEvent::details) details) {
    const auto sent = newest.find(VmName(vm));
    leader->OnAgentEvent(
        sent == newest.end() ? NodeId("agent") : sent->second.agent,
        {VmName(vm), fences[VmName(vm)], std::move(details)});
    RunFor(std::chrono::milliseconds(50));
  }

  void Attach(const char* vm) {
    Event(vm, Attached{WorkerIncarnation(1), 1'000, {}, {}, {}});
  }

  ServiceReply Call(ServiceVerb verb) {
    ServiceCall call;
    call.verb = verb;
    call.submission = SubmissionId(kId);
    call.policy = DispatcherFixture::Policy();
    call.payload = "{}";
    ServiceReply result;
    replied = false;
    leader->Handle(std::move(call), [&](const ServiceReply& reply) {
      result = reply;
      replied = true;
    });
    RunFor(std::chrono::seconds(4));
    return result;
  }

  /// The newest assignment of a worker.
  struct SentAssignment {
    NodeId agent;
    Assignment assignment;
  };

  /// A run on one of two workers, and the other one.
  struct PlacedOnOne {
    StartRun run;
    const char* busy;
    const char* idle;
  };

  /// Leads, attaches the workers w1 and w2 and submits a task.
  PlacedOnOne PlaceOnOneOfTwo() {
    Lead(1);
    ListWorkers({"w1", "w2"});
    Attach("w1");
    Attach("w2");
    Call(ServiceVerb::kSubmit);
    REQUIRE(starts.size() == 1);
    const StartRun run = starts[0];
    starts.clear();
    const bool on_first = run.vm == VmName("w1");
    return {run, on_first ? "w1" : "w2", on_first ? "w2" : "w1"};
  }

  /// Answers whether the leader still leads.
  void AnswerQuestions(bool leads) {
    for (const auto& done : std::exchange(questions, {})) done(leads);
  }

  void RunFor(MonotonicTime time) {
    const auto stop = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }

  base::SimulatedClock clock;
  base::EventLoop loop;
  GroupLeaderOptions options = Options();
  /// The only step of each submission.
  StepSpec step = DispatcherFixture::MakeStep(1, 1'000);
  FaultyTable table;
  Fault fault = Fault::kNone;
  base::Timer table_timer;
  std::unique_ptr<GroupLeader> leader;
  std::map<VmName, WorkerFence> fences;
  std::map<VmName, SentAssignment> newest;
  std::vector<std::pair<NodeId, VmName>> releases;
  std::vector<StartRun> starts;
  std::vector<StopRun> stops;
  std::vector<DescribeRun> descriptions;
  std::map<VmName, EndNumber> acknowledged;  ///< Ends.
  /// What "agent" says to a new leader.
  std::optional<Milliseconds> last_grant_age;
  bool numbers_attachments = false;  ///< Of all agents.
  NodeId self{"leader"};             ///< The node that leads next.
  NodeId last_claimed{"leader"};     ///< The node whose claim is the newest.
  bool former_stopped = true;        ///< As the new leader knows at once.
  int assignments = 0;
  std::vector<VmName> assigned_workers;
  int conflicts = 0;
  bool confirmed = true;
  bool answers_questions = true;  ///< At once, with true.
  std::vector<std::function<void(bool)>> questions;
  bool replied = false;
};

}  // namespace mangospread::dispatch::test
