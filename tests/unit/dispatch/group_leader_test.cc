#include "dispatch/leader/group_leader.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/loop/clock.hpp"
#include "dispatch/model/lease.hpp"
#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

// Guards against a second run of a task that an unreachable worker still runs
// under a lease granted by an agent of the former leader. The agents of the new
// leader never reached the worker, so they report no lease.
TEST_CASE_FIXTURE(LeaderFixture,
                  "tasks under an inherited lease wait for its expiry") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  Call(ServiceVerb::kSubmit);
  REQUIRE(starts.size() == 1);
  starts.clear();
  Lead(2);
  ListWorkers({"w1", "w2"});
  Attach("w2");
  const MonotonicTime expiry = base::MonotonicNow() +
                               options.loss_notice_delay +
                               LeaseUpperBound(options.lease);
  while (base::MonotonicNow() < expiry - std::chrono::seconds(1)) {
    Event("w1", WorkerUnreachable{Milliseconds(0)});
    RunFor(std::chrono::milliseconds(450));
    CHECK(starts.empty());
  }
  RunFor(std::chrono::seconds(3));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].vm == VmName("w2"));
  CHECK(starts[0].run > Attempt(1));
}

// Guards against restored work that waits ten seconds for terminated workers
// when a takeover follows a worker crash.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a takeover does not wait for a terminated worker") {
  Lead(1);
  ListWorkers({"w1", "w2"});
  Attach("w2");
  Attach("w1");
  Call(ServiceVerb::kSubmit);
  REQUIRE(starts.size() == 1);
  const char* ended_worker = starts[0].vm == VmName("w1") ? "w1" : "w2";
  const char* remaining_worker = starts[0].vm == VmName("w1") ? "w2" : "w1";
  starts.clear();
  ListWorkers({remaining_worker});
  Event(ended_worker, WorkerEnded{});
  REQUIRE(starts.size() == 1);
  starts.clear();
  Lead(2);
  ListWorkers({remaining_worker});
  Attach(remaining_worker);
  RunFor(std::chrono::seconds(1));
  CHECK(starts.size() == 1);
}

// Guards against a second run of a task that the former leader started through
// another agent, after the reporting agent had lost its connection to that
// leader (previsur-cuotas-large, small trouble-1). The worker is slow to
// attach.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a report about a worker that can be reached is not used") {
  const auto [first, busy, other] = PlaceOnOneOfTwo();
  Lead(2);
  ListWorkers({"w1", "w2"});
  Attach(other);
  FormerLeaderRuns outdated;
  outdated.worker.vm = first.vm;
  leader->OnKnownRuns(NodeId("agent"), outdated);
  RunFor(std::chrono::seconds(1));
  CHECK(starts.empty());
  Event(first.vm.str().c_str(), Attached{WorkerIncarnation(1),
                                         1'000,
                                         {},
                                         {{first.task, first.run, {}, 10, 0}},
                                         {}});
  RunFor(std::chrono::seconds(1));
  CHECK(starts.empty());
}

// Guards against work that waits for the lease of a worker that crashed before
// the takeover.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a report about a worker that cannot be reached is used") {
  const PlacedOnOne placed = PlaceOnOneOfTwo();
  const auto take_over = [&](std::uint64_t epoch) {
    Lead(epoch);
    ListWorkers({"w1", "w2"});
    Attach(placed.idle);
  };
  FormerLeaderRuns idle;
  idle.worker.vm = placed.run.vm;
  take_over(2);
  leader->OnKnownRuns(NodeId("agent"), idle);
  Event(placed.busy, WorkerUnreachable{Milliseconds(0)});
  RunFor(std::chrono::milliseconds(500));
  CHECK(starts.size() == 1);
  starts.clear();
  take_over(3);
  idle.unreachable = true;
  leader->OnKnownRuns(NodeId("agent"), idle);
  RunFor(std::chrono::milliseconds(500));
  CHECK(starts.size() == 1);
}

// Guards against a task that crashes worker after worker, of which each new
// leader knows nothing: the former one is lost before it has stored the crash.
TEST_CASE_FIXTURE(LeaderFixture, "a crash around a takeover is counted") {
  const PlacedOnOne placed = PlaceOnOneOfTwo();
  FormerLeaderRuns lost;
  lost.worker.vm = placed.run.vm;
  lost.runs = {{placed.run.task, placed.run.run, true}};
  Lead(2);
  ListWorkers({"w1", "w2"});
  SUBCASE("noticed under the former leader") {
    lost.unreachable = lost.ended = true;
    leader->OnKnownRuns(NodeId("agent"), lost);
    Attach(placed.idle);
  }
  SUBCASE("noticed under the new leader") {
    leader->OnKnownRuns(NodeId("agent"), lost);
    Attach(placed.idle);
    Event(placed.busy, WorkerEnded{});
  }
  SUBCASE("noticed after the new leader could not reach the worker") {
    leader->OnKnownRuns(NodeId("agent"), lost);
    Attach(placed.idle);
    Event(placed.busy, WorkerLoad{{}, false});
    Event(placed.busy, WorkerEnded{});
  }
  RunFor(std::chrono::seconds(1));
  const auto progress = leader->dispatcher().Progress(SubmissionId(kId));
  REQUIRE(progress.tasks.size() == 1);
  REQUIRE(progress.tasks[0].losses.size() == 1);
  CHECK(progress.tasks[0].losses[0].suspicion == Suspicion::kSole);
  CHECK(starts.size() == 1);
}

// Guards against starts that wait for the next agent of a worker, and that then
// seem to have been there when the worker crashed.
TEST_CASE_FIXTURE(LeaderFixture, "a worker without an agent gets no starts") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  leader->OnAgentDown(NodeId("agent"));
  Call(ServiceVerb::kSubmit);
  CHECK(leader->dispatcher().counters().started == 0);
  leader->OnAgentUp(NodeId("agent"), DataCenter("dc"));
  RunFor(std::chrono::seconds(1));
  Attach("w1");
  CHECK(starts.size() == 1);
}

// Guards against a leader that takes the workers of a whole fleet for itself
// when its agents follow the next leader (previsur-cuotas-large, small
// trouble-1), and starts runs there of which that leader does not know.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a leader that may be replaced does not reassign at once") {
  Lead(1);
  ListWorkers({"w1", "w2"});
  assignments = 0;
  SUBCASE("it yields") { leader->SetYielding(true); }
  SUBCASE("it was paused") { confirmed = false; }
  leader->OnAgentDown(NodeId("agent"));
  leader->OnAgentUp(NodeId("agent"), DataCenter("dc"));
  RunFor(std::chrono::seconds(1));
  CHECK(assignments == 0);
  RunFor(std::chrono::seconds(1));
  CHECK(assignments == 2);
}

// Guards against a worker that crashed and is moved between agents: each move
// extended the time for which its lease was waited for, so that it was still in
// the roster at the next takeover, which then took ten seconds
// (previsur-cuotas-large trouble-3).
TEST_CASE_FIXTURE(LeaderFixture, "only attached workers are moved") {
  Lead(1);
  ListWorkers({"w1", "w2", "w3", "w4", "w5"});
  for (const char* vm : {"w2", "w3", "w4", "w5"}) Attach(vm);
  assigned_workers.clear();
  leader->OnAgentUp(NodeId("new"), DataCenter("dc"));
  RunFor(std::chrono::seconds(2));
  CHECK(assigned_workers.size() >= 2);
  CHECK(std::find(assigned_workers.begin(), assigned_workers.end(),
                  VmName("w1")) == assigned_workers.end());
}

// Guards against starts by a process that was paused while another leader was
// elected.
TEST_CASE_FIXTURE(LeaderFixture, "an unconfirmed leader starts nothing") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  confirmed = false;
  Call(ServiceVerb::kSubmit);
  CHECK(starts.empty());
  confirmed = true;
  RunFor(std::chrono::milliseconds(500));
  CHECK(starts.size() == 1);
}

// Guards against a takeover that waits for the lease of a worker on which
// nothing can run, such as a drained worker that left shortly before.
TEST_CASE_FIXTURE(LeaderFixture,
                  "an idle worker that left is removed from the roster") {
  const auto [run, busy, idle] = PlaceOnOneOfTwo();
  ListWorkers({});
  Event(idle, WorkerUnreachable{Milliseconds(6'000)});
  Event(busy, WorkerUnreachable{Milliseconds(6'000)});
  RunFor(std::chrono::seconds(1));
  const auto roster = table.rows.Read({{kRosterKey}, {}});
  REQUIRE(roster.size() == 1);
  CHECK(roster[0].value == std::string(busy) + "\n");
}

// Guards against refusing a submission that was stored although the table's
// reply was lost.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a lost reply does not refuse a stored submission") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  fault = Fault::kLoseReply;
  leader->Handle(
      [] {
        ServiceCall call;
        call.verb = ServiceVerb::kSubmit;
        call.submission = SubmissionId(kId);
        call.policy = DispatcherFixture::Policy();
        return call;
      }(),
      [this](const ServiceReply& reply) {
        replied = true;
        CHECK(reply.result == ServiceResult::kOk);
      });
  RunFor(std::chrono::milliseconds(50));
  fault = Fault::kNone;
  RunFor(std::chrono::seconds(3));
  CHECK(replied);
  CHECK(starts.size() == 1);
}

// Guards against running a submission after refusing it.
TEST_CASE_FIXTURE(LeaderFixture, "a refused submission never starts") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  fault = Fault::kRefuse;
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kRefused);
  fault = Fault::kNone;
  RunFor(std::chrono::seconds(3));
  CHECK(starts.empty());
  CHECK(Call(ServiceVerb::kState).result == ServiceResult::kNotFound);
}

// Guards against a caller who is told that a submission was not accepted by a
// leader that was replaced, after the next one has accepted it (LOST).
TEST_CASE_FIXTURE(LeaderFixture,
                  "a leader says not found only after a confirmation") {
  Lead(1);
  answers_questions = false;
  for (const ServiceVerb verb : {ServiceVerb::kState, ServiceVerb::kCancel}) {
    for (const bool leads : {true, false}) {
      CAPTURE(leads);
      ServiceCall call;
      call.verb = verb;
      call.submission = SubmissionId(kId);
      std::optional<ServiceResult> result;
      leader->Handle(call,
                     [&](const ServiceReply& reply) { result = reply.result; });
      CHECK_FALSE(result);
      AnswerQuestions(leads);
      CHECK(result ==
            (leads ? ServiceResult::kNotFound : ServiceResult::kRefused));
    }
  }
}

// Guards against a state that a later leader has already changed.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a leader that is not confirmed says no passing state") {
  Lead(1);
  Call(ServiceVerb::kSubmit);
  CHECK(Call(ServiceVerb::kState).result == ServiceResult::kOk);
  confirmed = false;
  CHECK(Call(ServiceVerb::kState).result == ServiceResult::kRefused);
  confirmed = true;
  Call(ServiceVerb::kCancel);
  confirmed = false;
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kCancelled);
}

// Guards against a lease that an agent extends after the leader has given the
// worker to another one (TWICE): the agent takes its report for handled.
TEST_CASE_FIXTURE(LeaderFixture, "an outdated attachment is released") {
  Lead(1);
  ConnectAgent("other");
  ListWorkers({"w1"});
  const NodeId first = newest.at(VmName("w1")).agent;
  const WorkerFence fence = fences.at(VmName("w1"));
  Event("w1", WorkerUnreachable{Milliseconds(0)});
  REQUIRE(newest.at(VmName("w1")).agent != first);
  releases.clear();
  leader->OnAgentEvent(
      first,
      {VmName("w1"), fence, Attached{WorkerIncarnation(1), 1'000, {}, {}, {}}});
  CHECK(releases == std::vector{std::pair(first, VmName("w1"))});
  releases.clear();
  leader->OnAgentEvent(
      first,
      {VmName("w9"), fence, Attached{WorkerIncarnation(1), 1'000, {}, {}, {}}});
  CHECK(releases == std::vector{std::pair(first, VmName("w9"))});
}

// Guards against workers whose leases expire since one agent has to attach all
// of them: all connections were reset, and it was the first to return.
TEST_CASE_FIXTURE(LeaderFixture,
                  "the first agent that returns does not get all workers") {
  options.always_assigned = 2;
  Lead(1);
  for (const char* agent : {"a2", "a3", "a4"}) ConnectAgent(agent);
  ListWorkers({"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"});
  for (const char* agent : {"agent", "a2", "a3", "a4"}) {
    leader->OnAgentDown(NodeId(agent));
  }
  newest.clear();
  leader->OnAgentUp(NodeId("a2"), DataCenter("dc"));
  RunFor(std::chrono::milliseconds(300));
  CHECK(newest.size() == 4);
  SUBCASE("the others return") {
    leader->OnAgentUp(NodeId("a3"), DataCenter("dc"));
    CHECK(newest.size() == 8);
  }
  SUBCASE("they do not return") {
    RunFor(options.return_grace_period);
    CHECK(newest.size() == 8);
  }
}

// Guards against two leaders that both accept submissions. Writes of a leader
// whose row was replaced must fail and report the conflict.
TEST_CASE_FIXTURE(LeaderFixture, "a replaced leader cannot write") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  table.rows.Transact({{}, {{kLeaderKey, "another"}}});
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kRefused);
  CHECK(conflicts > 0);
  CHECK(starts.empty());
}

// Guards against rows and memory that grow with every submission, and against
// dropping a state that callers may still query.
TEST_CASE_FIXTURE(LeaderFixture,
                  "an ended submission is kept for the retention time") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  Call(ServiceVerb::kSubmit);
  Call(ServiceVerb::kCancel);
  Event("w1", RunEnded{WorkerIncarnation(1),
                       {EndNumber(1),
                        std::string(kId) + ".0.0.0",
                        Attempt(1),
                        RunEnd::kStopped,
                        {}}});
  RunFor(std::chrono::seconds(125));
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kCancelled);
  RunFor(std::chrono::seconds(30));
  CHECK(Call(ServiceVerb::kState).result == ServiceResult::kNotFound);
  CHECK(table.rows.Read({{std::string(kProgressPrefix) + kId}, {}}).empty());
}

// Guards against a confirmed cancellation that is lost in a takeover.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a confirmed cancellation survives a takeover") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  Call(ServiceVerb::kSubmit);
  CHECK(Call(ServiceVerb::kCancel).result == ServiceResult::kOk);
  Lead(2);
  const ServiceReply reply = Call(ServiceVerb::kState);
  CHECK(reply.result == ServiceResult::kOk);
  CHECK(reply.state == SubmissionState::kCancelled);
}

// Guards against workers that are never used since the row with their names is
// larger than the table accepts, and against a takeover that knows only some of
// them.
TEST_CASE_FIXTURE(LeaderFixture, "6,000 workers are stored within the bound") {
  table.rejects = [this](const Transaction& transaction) {
    return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                       [this](const Write& write) {
                         return write.value &&
                                write.value->size() > options.row_bytes;
                       });
  };
  constexpr int kWorkers = 6'000;
  std::vector<std::string> names;
  names.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    names.push_back("worker-santander-" + std::to_string(1'000 + i));
  }
  std::vector<const char*> workers;
  workers.reserve(kWorkers);
  for (const std::string& name : names) workers.push_back(name.c_str());
  Lead(1);
  ListWorkers(workers);
  RunFor(std::chrono::seconds(1));
  CHECK(newest.size() == names.size());
  Lead(2);
  CHECK(leader->unresolved_workers() == names.size());
  const auto rows = table.rows.Read({{}, {{kRosterKey, {}, 10}}});
  std::set<VmName> stored;
  for (const Row& row : rows) {
    CHECK(row.value.size() <= options.row_bytes);
    DecodeRoster(row.value, stored);
  }
  CHECK(rows.size() == 3);
  CHECK(stored.size() == names.size());
}

// Guards against rows that the table does not accept and that are sent again at
// each tick.
TEST_CASE_FIXTURE(LeaderFixture, "rejected rows are sent again seldom") {
  int rejections = 0;
  table.rejects = [&](const Transaction& transaction) {
    const bool rejected =
        std::any_of(transaction.writes.begin(), transaction.writes.end(),
                    [](const Write& write) {
                      return write.key.starts_with("roster/") && write.value;
                    });
    rejections += rejected ? 1 : 0;
    return rejected;
  };
  Lead(1);
  ListWorkers({"w1"});
  RunFor(std::chrono::seconds(5));
  CHECK(rejections == 4);
  table.rejects = nullptr;
  RunFor(std::chrono::seconds(4));
  CHECK(newest.contains(VmName("w1")));
}

// Guards against a leader that does not find the workers which the version
// before has stored in one row, and against rows left when there are fewer.
TEST_CASE_FIXTURE(LeaderFixture, "rows of workers that are gone are removed") {
  table.rows.Transact({{},
                       {{RosterKey(0), "w1\n"},
                        {RosterKey(1), "w2\n"},
                        {RosterKey(2), "w3\n"}}});
  Lead(1);
  CHECK(leader->unresolved_workers() == 3);
  ListWorkers({"w1"});
  RunFor(std::chrono::seconds(20));
  const auto rows = table.rows.Read({{}, {{kRosterKey, {}, 10}}});
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].value == "w1\n");
}

// Guards against an accepted submission whose progress the table does not
// accept: its row was sent again without end, and the ends of its tasks were
// never acknowledged, so that the worker listed no later ones.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a submission whose progress is rejected fails") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  Call(ServiceVerb::kSubmit);
  REQUIRE(starts.size() == 1);
  int rejections = 0;
  table.rejects = [&](const Transaction& transaction) {
    const bool rejected = std::any_of(
        transaction.writes.begin(), transaction.writes.end(),
        [](const Write& write) {
          return write.key.starts_with(kProgressPrefix) && write.value &&
                 write.value->find("failed") == std::string::npos;
        });
    rejections += rejected ? 1 : 0;
    return rejected;
  };
  Event("w1", RunEnded{WorkerIncarnation(1),
                       {EndNumber(1), starts[0].task, starts[0].run,
                        RunEnd::kFailed, "checkpoint"}});
  RunFor(std::chrono::seconds(3));
  CHECK(rejections == 1);
  CHECK(acknowledged[VmName("w1")] == EndNumber(1));
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kFailed);
  Lead(2);
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kFailed);
}

// Guards against a submission that the table does not accept and that callers
// send again without end.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a rejected submission is refused as invalid") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  table.rejects = [](const Transaction& transaction) {
    return std::any_of(
        transaction.writes.begin(), transaction.writes.end(),
        [](const Write& write) { return write.key.starts_with(kJobPrefix); });
  };
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kInvalid);
  RunFor(std::chrono::seconds(3));
  CHECK(starts.empty());
  CHECK(Call(ServiceVerb::kState).result == ServiceResult::kNotFound);
}

}  // namespace
}  // namespace mangospread::dispatch::test
