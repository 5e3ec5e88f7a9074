// What a new leader waits for before it starts restored tasks again.
#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

#include "dispatch/model/lease.hpp"
#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;

/// A leader that takes over a task on a worker that does not respond, and
/// another worker that is idle.
struct TakeoverFixture : LeaderFixture {
  TakeoverFixture() : placed(PlaceOnOneOfTwo()) {
    report.worker.vm = placed.run.vm;
    report.runs = {{placed.run.task, placed.run.run}};
  }

  /// Starts a new leader, to which the agent sends the report at once.
  void TakeOver(std::uint64_t epoch) {
    Lead(epoch);
    Report("agent");
    ListWorkers({"w1", "w2"});
    Attach(placed.idle);
  }

  /// Starts a new leader that cannot read its rows, and to which the agent
  /// reports a lease that it renews.
  void LeadWithoutRows() {
    fault = Fault::kRefuse;
    Lead(2);
    report.lease_left = Milliseconds(6'000);
    report.renewing = true;
    Report("agent");
  }

  /// Lets that leader read its rows.
  void LoadRows() {
    fault = Fault::kNone;
    RunFor(milliseconds(310));
    REQUIRE(leader->loaded());
    ListWorkers({"w1", "w2"});
    Attach(placed.idle);
  }

  /// Reports the worker, and that the agent knows of no other.
  void Report(const char* agent) {
    leader->OnKnownRuns(NodeId(agent), report);
    EndReports(agent);
  }

  bool WasReleasedBy(const char* agent) const {
    return std::count(releases.begin(), releases.end(),
                      std::pair(NodeId(agent), placed.run.vm)) > 0;
  }

  /// Checks that the task starts again, and not before `time` has passed.
  void CheckStartsAfter(MonotonicTime time) {
    RunFor(time - milliseconds(100));
    CHECK(starts.empty());
    RunFor(milliseconds(500));
    CHECK(starts.size() == 1);
  }

  PlacedOnOne placed;
  FormerLeaderRuns report;
};

// Guards against a task that waits for a lease as if it had been renewed at the
// takeover, though its worker stopped responding before (LOST).
TEST_CASE_FIXTURE(TakeoverFixture,
                  "a takeover waits for the time left of a lease") {
  report.unreachable = true;
  report.lease_left = Milliseconds(2'000);
  TakeOver(2);
  CheckStartsAfter(Milliseconds(2'000));
}

// Guards against a second run: the former leader had lost the reporting agent
// and started the task through another one, which is silent (TWICE).
TEST_CASE_FIXTURE(TakeoverFixture,
                  "a report names no runs that a silent agent started") {
  ConnectAgent("other");
  report.runs.clear();
  report.unreachable = true;
  report.lease_left = Milliseconds(0);
  TakeOver(2);
  CheckStartsAfter(LeaseUpperBound(options.lease) + options.loss_notice_delay);
}

// Guards against a wait that lasts although that agent has reported, too.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "the reports of all former agents end the wait") {
  ConnectAgent("other");
  report.unreachable = true;
  report.lease_left = Milliseconds(0);
  TakeOver(2);
  RunFor(milliseconds(1'000));
  CHECK(starts.empty());
  leader->OnAgentUp(NodeId("other"), DataCenter("dc"), Milliseconds(0));
  Report("other");
  RunFor(milliseconds(1'000));
  CHECK(starts.size() == 1);
}

// Guards against a wait that begins anew with each takeover.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "a second takeover does not extend the wait") {
  report.unreachable = true;
  report.lease_left = Milliseconds(2'000);
  TakeOver(2);
  RunFor(milliseconds(1'000));
  // The assignment tells the agent what the former one knew.
  const Assignment& assignment = newest.at(placed.run.vm).assignment;
  REQUIRE(assignment.known_runs);
  CHECK(assignment.known_runs->size() == 1);
  REQUIRE(assignment.lease_left);
  CHECK(*assignment.lease_left <= Milliseconds(2'000));
  report.lease_left = Milliseconds(850);
  TakeOver(3);
  CheckStartsAfter(Milliseconds(850));
}

// Guards against a second run on a worker whose agent renews the lease after
// its report.
TEST_CASE_FIXTURE(
    TakeoverFixture,
    "the agent that goes on renewing reports the end of the lease") {
  report.lease_left = Milliseconds(1'000);
  report.renewing = true;
  SUBCASE("reported before it is assigned") { TakeOver(2); }
  SUBCASE("reported after it is assigned") {
    Lead(2);
    ListWorkers({"w1", "w2"});
    Report("agent");
    Attach(placed.idle);
  }
  RunFor(milliseconds(1'500));
  CHECK(starts.empty());
  Event(placed.busy, WorkerUnreachable{Milliseconds(1'000)});
  CheckStartsAfter(Milliseconds(950));
}

// Guards against a lease that a second agent, which lost its connection to the
// former leader, has renewed after its report.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "the leases of all agents that reported a worker count") {
  Lead(2);
  leader->OnAgentUp(NodeId("other"), DataCenter("dc"));
  report.lease_left = Milliseconds(1'000);
  report.unreachable = true;
  Report("agent");
  report.unreachable = false;
  report.renewing = true;
  Report("other");
  ListWorkers({"w1", "w2"});
  Attach(placed.idle);
  CHECK(newest.at(placed.run.vm).agent == NodeId("agent"));
  CHECK(WasReleasedBy("other"));
  Event(placed.busy, WorkerUnreachable{Milliseconds(500)});
  RunFor(kWorkerLease + milliseconds(100));
  // It has been moved meanwhile, to even out the load.
  Attach(placed.idle);
  CHECK(starts.empty());
  // The tick that removes the worker comes up to 0.22 s later.
  RunFor(LeaseUpperBound(options.lease) + options.loss_notice_delay -
         kWorkerLease + milliseconds(200));
  CHECK(starts.size() == 1);
}

// Guards against a second run: an agent attached the worker after it was
// reassigned, and was lost before it could report that.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "a lost agent may have attached a released worker") {
  leader->OnAgentUp(NodeId("other"), DataCenter("dc"));
  RunFor(milliseconds(1'500));
  Attach(placed.idle);  // Either may have been moved, to even out the load.
  Event(placed.busy, Attached{WorkerIncarnation(1),
                              1'000,
                              {},
                              {{placed.run.task, placed.run.run, {}, 50, 0}},
                              {}});
  RunFor(milliseconds(3'000));
  const NodeId first = newest.at(placed.run.vm).agent;
  Event(placed.busy, WorkerUnreachable{Milliseconds(1'000)});
  RunFor(milliseconds(100));
  REQUIRE(newest.at(placed.run.vm).agent != first);
  leader->OnAgentDown(first);
  RunFor(milliseconds(300));
  Attach(placed.idle);
  RunFor(kWorkerLease - milliseconds(500));
  CHECK(starts.empty());
  RunFor(milliseconds(2'000));
  CHECK(starts.size() == 1);
}

// Guards against new connections to all workers at each takeover, and against
// an agent that knows nothing of a worker when the next leader asks.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "a worker stays with the agent that serves it") {
  options.report_grace_period = Milliseconds(200);
  Lead(2);
  leader->OnAgentUp(NodeId("other"), DataCenter("dc"));
  ListWorkers({"w1", "w2"});
  report.lease_left = Milliseconds(5'000);
  report.renewing = true;
  SUBCASE("reported in time") { Report("other"); }
  SUBCASE("reported after it was assigned to another agent") {
    RunFor(milliseconds(500));
    REQUIRE(newest.contains(placed.run.vm));
    Report("other");
  }
  RunFor(milliseconds(500));
  CHECK(newest.at(placed.run.vm).agent == NodeId("other"));
}

// Guards against a worker without an agent: none would know its runs when the
// leader dies.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "a worker that no agent reaches stays with one") {
  ConnectAgent("other");
  for (int attempt = 0; attempt < 6; ++attempt) {
    Event(placed.busy, WorkerUnreachable{Milliseconds(4'000)});
    RunFor(milliseconds(250));
    const SentAssignment& sent = newest.at(placed.run.vm);
    REQUIRE(sent.assignment.known_runs);
    CHECK(sent.assignment.known_runs->size() == 1);
    // The last release was for the agent before.
    const auto last = std::find_if(releases.rbegin(), releases.rend(),
                                   [this](const auto& release) {
                                     return release.second == placed.run.vm;
                                   });
    REQUIRE(last != releases.rend());
    CHECK(last->first != sent.agent);
  }
  CHECK(starts.empty());
}

// Guards against runs that nobody knows when the leader dies: the leader's own
// node served the worker.
TEST_CASE_FIXTURE(LeaderFixture,
                  "the leader's node serves workers only if it is alone") {
  Lead(1);
  leader->OnAgentUp(NodeId("leader"), DataCenter("dc"));
  ListWorkers({"w1", "w2", "w3", "w4"});
  RunFor(std::chrono::seconds(2));
  CHECK(newest.size() == 4);
  for (const auto& [vm, sent] : newest) CHECK(sent.agent == NodeId("agent"));
  leader->OnAgentDown(NodeId("agent"));
  RunFor(std::chrono::seconds(2));
  for (const auto& [vm, sent] : newest) CHECK(sent.agent == NodeId("leader"));
  for (const char* vm : {"w1", "w2", "w3", "w4"}) Attach(vm);
  leader->OnAgentUp(NodeId("agent"), DataCenter("dc"));
  RunFor(std::chrono::seconds(2));
  for (const auto& [vm, sent] : newest) CHECK(sent.agent == NodeId("agent"));
}

// Guards against a session that outlives its assignment, and whose report would
// be taken for the newest one after a later takeover.
TEST_CASE_FIXTURE(TakeoverFixture, "an outdated session is released") {
  Report("other");
  CHECK(WasReleasedBy("other"));
}

// Guards against a second run: the agent has attached the worker and renewed
// its lease before it received its release.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "an attachment under a former assignment extends the lease") {
  const WorkerFence former = fences.at(placed.run.vm);
  ConnectAgent("other");
  Event(placed.busy, WorkerUnreachable{Milliseconds(300)});
  REQUIRE(newest.at(placed.run.vm).assignment.fence != former);
  leader->OnAgentEvent(NodeId("agent"),
                       {placed.run.vm, former,
                        Attached{WorkerIncarnation(1), 1'000, {}, {}, {}}});
  RunFor(kWorkerLease);
  CHECK(starts.empty());
  RunFor(std::chrono::seconds(1));
  CHECK(starts.size() == 1);
}

// Guards against a takeover that waits a whole lease for a worker which the
// former leader had removed without storing that: no agent knew it any more.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "a removed worker is released once the roster is stored") {
  fault = Fault::kRefuse;
  Event(placed.busy, WorkerUnreachable{Milliseconds(300)});
  RunFor(milliseconds(7'000));
  CHECK(starts.size() == 1);
  CHECK_FALSE(WasReleasedBy("agent"));
  fault = Fault::kNone;
  ListWorkers({placed.idle});
  RunFor(milliseconds(1'000));
  CHECK(WasReleasedBy("agent"));
}

// Guards against a crash that counts twice: the agent reports it to the next
// leader too, though the former one has stored it.
TEST_CASE_FIXTURE(TakeoverFixture, "a stored loss does not count again") {
  Event(placed.busy, WorkerEnded{});
  RunFor(milliseconds(500));
  REQUIRE(starts.size() == 1);
  report.runs[0].just_started = true;
  report.ended = report.unreachable = true;
  Lead(2);
  Report("agent");
  ListWorkers({"w1", "w2"});
  Attach(placed.idle);
  RunFor(milliseconds(1'000));
  const auto progress = leader->dispatcher().Progress(SubmissionId(kId));
  REQUIRE(progress.tasks.size() == 1);
  CHECK(progress.tasks[0].losses.size() == 1);
}

// Guards against a second run: the agent attached the worker and renewed its
// lease, and the event was lost with its connection.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "an agent that is lost may have renewed the lease") {
  Lead(2);
  Milliseconds lease = kWorkerLease;
  SUBCASE("of this version") {}
  SUBCASE("of a former version") {
    lease = kFormerVersionLease;
    leader->OnAgentLease(lease);
  }
  leader->OnAgentUp(NodeId("other"), DataCenter("dc"));
  report.lease_left = Milliseconds(1'000);
  Report("agent");
  ListWorkers({"w1", "w2"});
  REQUIRE(newest.at(placed.run.vm).agent == NodeId("agent"));
  leader->OnAgentDown(NodeId("agent"));
  Attach(placed.idle);
  REQUIRE(newest.at(placed.run.vm).agent == NodeId("other"));
  RunFor(lease - milliseconds(500));
  CHECK(starts.empty());
}

// Guards against a second run: the process that reported the lease restarts,
// and its successor knows of no lease.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "an agent that restarts does not end the lease") {
  LeadWithoutRows();
  leader->OnAgentDown(NodeId("agent"));
  RunFor(milliseconds(600));
  leader->OnAgentUp(NodeId("agent"), DataCenter("dc"));
  LoadRows();
  Event(placed.busy, WorkerUnreachable{Milliseconds(0)});
  RunFor(milliseconds(3'000));
  CHECK(starts.empty());
}

// Guards against a second run: agents connected to a leader that cannot read
// its rows renew the leases all the while.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "leases that agents renew outlast a slow load") {
  LeadWithoutRows();
  RunFor(milliseconds(11'000));
  REQUIRE_FALSE(leader->loaded());
  LoadRows();
  RunFor(milliseconds(1'000));
  CHECK(starts.empty());
}

// Guards against a second run: the agent renewed the lease while it was not
// connected, and reports that when it connects to the same leader again.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "a report to the same leader extends the lease") {
  leader->OnAgentUp(NodeId("other"), DataCenter("dc"));
  leader->OnAgentDown(NodeId("agent"));
  Attach(placed.idle);
  REQUIRE(newest.at(placed.run.vm).agent == NodeId("other"));
  RunFor(milliseconds(3'000));
  leader->OnAgentUp(NodeId("agent"), DataCenter("dc"));
  report.lease_left = Milliseconds(6'000);
  report.renewing = true;
  Report("agent");
  CHECK(WasReleasedBy("agent"));
  RunFor(milliseconds(500));
  // It has been moved meanwhile, to even out the load.
  Attach(placed.idle);
  RunFor(milliseconds(5'000));
  CHECK(starts.empty());
}

// Guards against a second run: a former agent still reports the end of an
// earlier process, and the agent that serves the present one reports a run.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "an outdated end does not end the runs of the next process") {
  Lead(2);
  leader->OnAgentUp(NodeId("other"), DataCenter("dc"));
  const auto runs = std::exchange(report.runs, {});
  report.ended = report.unreachable = true;
  Report("agent");
  report.ended = report.unreachable = false;
  report.runs = runs;
  report.lease_left = Milliseconds(6'000);
  report.renewing = true;
  Report("other");
  ListWorkers({"w1", "w2"});
  Attach(placed.idle);
  RunFor(milliseconds(1'000));
  CHECK(starts.empty());
}

// Guards against a second run: a report by an agent that was cut off from the
// former leader says nothing about the leases which others granted since.
TEST_CASE_FIXTURE(
    TakeoverFixture,
    "an outdated report does not end the leases of other agents") {
  report.lease_left = std::nullopt;
  TakeOver(2);
  RunFor(milliseconds(300));
  leader->OnAgentUp(NodeId("other"), DataCenter("dc"));
  report.lease_left = Milliseconds(6'000);
  Report("other");
  RunFor(milliseconds(3'000));
  CHECK(starts.empty());
}

// Guards against a second run: an agent that is cut off from its leader extends
// leases until it notices.
TEST_CASE_FIXTURE(TakeoverFixture,
                  "a lost agent extends leases until it notices the loss") {
  ConnectAgent("other");
  leader->OnAgentDown(NodeId("agent"));
  Attach(placed.idle);
  RunFor(options.loss_notice_delay + LeaseUpperBound(options.lease) -
         milliseconds(100));
  CHECK(starts.empty());
  RunFor(milliseconds(500));
  CHECK(starts.size() == 1);
}

}  // namespace
}  // namespace mangospread::dispatch::test
