// What a new leader concludes from what agents report of former leaders, and
// from what they do not report.
#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "dispatch/model/lease.hpp"
#include "unit/dispatch/former_reports_fixture.hpp"
#include "unit/dispatch/worker_session_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;

/// A takeover whose restored task waits for what its agent reports.
struct TakeoverReportsFixture : FormerReportsFixture {
  void LeadWithReport() {
    taken_over_at = base::MonotonicNow();
    Lead(2);
    leader->OnKnownRuns(NodeId("agent"), report);
    ListWorkers({"w1", "w2"});
  }

  void TakeOver() {
    LeadWithReport();
    Attach(placed->idle);
  }

  /// Checks that the task starts this long after the takeover. Detecting that
  /// takes up to 0.7 s.
  void CheckStartsAfter(MonotonicTime time) {
    const MonotonicTime passed = base::MonotonicNow() - taken_over_at;
    RunFor(time - passed - milliseconds(100));
    CHECK(starts.empty());
    RunFor(milliseconds(800));
    CHECK(starts.size() == 1);
  }

  MonotonicTime taken_over_at{0};
};

// Guards against a second run: the agent that reports the worker lost it to
// another one, whose next process knows nothing of that.
TEST_CASE_FIXTURE(TakeoverReportsFixture,
                  "an agent's new process does not vouch for the former one") {
  TakeOver();
  const MonotonicTime lease = LeaseUpperBound(options.lease);
  SUBCASE("the process is older than any lease") {
    EndReportsWith("agent", kOldProcess);
    CheckStartsAfter(milliseconds(200));
  }
  SUBCASE("its predecessor may have granted a lease") {
    EndReportsWith("agent", Milliseconds(500));
    // The node's first hello bounds that.
    CheckStartsAfter(lease - milliseconds(1'000));
  }
  SUBCASE("the reports do not end") {
    CheckStartsAfter(lease - milliseconds(1'000));
  }
}

// Guards against a second run: the agent that reports the worker lost it to
// another one, which has ended its session meanwhile.
TEST_CASE_FIXTURE(TakeoverReportsFixture,
                  "a lease of a session that is not reported counts") {
  TakeOver();
  SUBCASE("newer than the report") {
    EndReportsWith("agent", kOldProcess,
                   {{report.worker.vm, WorkerFence(4), Milliseconds(2'000)}});
    CheckStartsAfter(milliseconds(2'000));
  }
  SUBCASE("older than the report, which includes what it knew") {
    EndReportsWith("agent", kOldProcess,
                   {{report.worker.vm, WorkerFence(2), Milliseconds(2'000)}});
    CheckStartsAfter(milliseconds(200));
  }
}

// Guards against a wait that begins anew with each loss of an agent that still
// owes its reports (LOST).
TEST_CASE_FIXTURE(TakeoverReportsFixture,
                  "losses of an agent that owes reports add no wait") {
  report.runs = {{placed->run.task, placed->run.run}};
  LeadWithReport();
  for (int loss = 0; loss < 3; ++loss) {
    RunFor(milliseconds(500));
    const NodeId agent("agent");
    leader->OnAgentDown(agent, base::MonotonicNow());
    leader->OnAgentUp(agent, DataCenter("dc"), Milliseconds(0), true);
    leader->OnKnownRuns(agent, report);
  }
  RunFor(milliseconds(20));
  Attach(placed->idle);
  CheckStartsAfter(LeaseUpperBound(options.lease) - milliseconds(1'000));
}

// Guards against a second run: a command for the worker's former process gave
// the next one a lease that is longer than those of agents.
TEST_CASE_FIXTURE(TakeoverReportsFixture,
                  "a restarted worker's longer lease outlives its agent") {
  Lead(2);
  ListWorkers({"w1", "w2"});
  Attach(placed->idle);
  Attached attached{WorkerIncarnation(2),
                    1'000,
                    {},
                    {{placed->run.task, placed->run.run, {}, 50, 0}},
                    {},
                    true,
                    AttachmentNumber(1),
                    Milliseconds(0)};
  MonotonicTime lease = milliseconds(9'000);
  SUBCASE("its agent has seen both processes") {
    attached.restart_lease_left = Milliseconds(9'000);
  }
  SUBCASE("another agent has seen the one before") {
    attached.incarnation = WorkerIncarnation(1);
    Event(placed->busy, attached);
    attached.incarnation = WorkerIncarnation(2);
    lease = LeaseUpperBound(kMaxWorkerLease);
  }
  Event(placed->busy, attached);
  taken_over_at = base::MonotonicNow();
  leader->OnAgentDown(NodeId("agent"), base::MonotonicNow());
  ConnectAgent("other");
  RunFor(milliseconds(100));
  Attach(placed->idle);
  CheckStartsAfter(lease);
}

// Guards against the same: the session has to name that lease.
TEST_CASE_FIXTURE(SessionFixture,
                  "a session names the longer lease of a restarted worker") {
  RunFor(Milliseconds(300));
  link->report.incarnation = WorkerIncarnation(8);
  RunFor(Milliseconds(1'500));
  std::vector<Milliseconds> left;
  for (const AgentEvent& event : events) {
    const auto* attached = std::get_if<Attached>(&event.details);
    if (attached != nullptr) left.push_back(attached->restart_lease_left);
  }
  REQUIRE(left.size() == 2);
  CHECK(left[0] == Milliseconds(0));
  CHECK(left[1] > Milliseconds(9'000));
}

// Guards against a second run: the session goes on from one whose lease another
// agent has extended since, and the next leader believes its report, since the
// session has attached the worker last (seed 634 of the coinciding losses).
TEST_CASE_FIXTURE(SessionFixture,
                  "an attached session counts the leases of other agents") {
  RunFor(Milliseconds(300));
  session->StopExtending();
  RunFor(Milliseconds(4'000));
  Assignment assignment;
  assignment.worker.vm = VmName("w1");
  assignment.fence = WorkerFence(6 * kFenceStride);
  SUBCASE("the assignment names no lease") {}
  SUBCASE("the assignment names that of an outdated report") {
    assignment.lease_left = Milliseconds(0);
  }
  const auto next = WorkerSession::Create(
      loop, link, assignment, WorkerSessionOptions(), [](const AgentEvent&) {},
      {[] { return Permission::kNone; }, [](MonotonicTime) { return false; }},
      [](Timing, MonotonicTime) {});
  next->ContinueFrom(*session);
  session->Close();
  next->Begin();
  RunFor(Milliseconds(200));
  REQUIRE(next->CollectRuns());
  CHECK(next->CollectRuns()->lease_left > kWorkerLease);
  next->Close();
}

}  // namespace
}  // namespace mangospread::dispatch::test
