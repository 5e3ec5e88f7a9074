// How long the tasks of a lost worker wait for its lease.
#include <doctest/doctest.h>

#include <string>

#include "base/loop/clock.hpp"
#include "dispatch/model/lease.hpp"
#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A task on one of two workers, and three more agents.
struct LostWorkerFixture : LeaderFixture {
  LostWorkerFixture() { numbers_attachments = true; }

  void Prepare() {
    placed = PlaceOnOneOfTwo();
    for (const char* agent : {"a2", "a3", "a4"}) ConnectAgent(agent);
    RunFor(seconds(1));
    AttachIdle();
    Event(placed.busy, Attached{WorkerIncarnation(1),
                                1'000,
                                {},
                                {{placed.run.task, placed.run.run, {}, 0, 0}},
                                {},
                                true,
                                AttachmentNumber(1)});
    // The lease that the attachment counts as granted ends before later ones.
    RunFor(seconds(1));
    REQUIRE(starts.empty());
  }

  void AttachIdle() {
    Event(placed.idle, Attached{WorkerIncarnation(1),
                                1'000,
                                {},
                                {},
                                {},
                                true,
                                AttachmentNumber(1)});
  }

  [[nodiscard]] NodeId AgentOf(const char* vm) const {
    return newest.at(VmName(vm)).agent;
  }

  /// Checks that the task starts again at this time, not before.
  void CheckStartsAt(MonotonicTime at) {
    RunFor(at - base::MonotonicNow() - milliseconds(100));
    CHECK(starts.empty());
    AttachIdle();
    RunFor(milliseconds(300));
    CHECK(starts.size() == 1);
  }

  PlacedOnOne placed;
};

// Guards against tasks that wait for 5 s more each time that a lost worker's
// next agent is lost, though it has never reached the worker (LOST).
TEST_CASE_FIXTURE(LostWorkerFixture,
                  "agents that never reached a lost worker add no wait") {
  Prepare();
  const MonotonicTime lost_at = base::MonotonicNow();
  constexpr Milliseconds kLeft{4'000};
  Event(placed.busy, WorkerUnreachable{kLeft});
  for (int loss = 0; loss < 3; ++loss) {
    RunFor(milliseconds(900));
    leader->OnAgentDown(AgentOf(placed.busy), base::MonotonicNow());
    RunFor(milliseconds(50));
  }
  CheckStartsAt(lost_at + kLeft);
}

// Guards against a report that is read late, after a pause of the leader, and
// adds that pause to the wait: nothing was granted since an earlier one.
TEST_CASE_FIXTURE(LostWorkerFixture, "a late report of silence adds no wait") {
  Prepare();
  const MonotonicTime lost_at = base::MonotonicNow();
  constexpr Milliseconds kLeft{4'000};
  Event(placed.busy, WorkerLoad{{}, false, kLeft});
  RunFor(seconds(3));
  Event(placed.busy, WorkerUnreachable{Milliseconds(2'500)});
  CheckStartsAt(lost_at + kLeft);
}

// Guards against an agent that returns and reports the time left of a lease as
// it has read it late, after a pause: it has granted nothing since.
TEST_CASE_FIXTURE(LostWorkerFixture,
                  "the report of an agent that returns adds no wait") {
  Prepare();
  const NodeId first = AgentOf(placed.busy);
  const MonotonicTime lost_at = base::MonotonicNow();
  constexpr Milliseconds kLeft{4'000};
  Event(placed.busy, WorkerUnreachable{kLeft});
  leader->OnAgentDown(first, base::MonotonicNow());
  RunFor(seconds(1));
  ConnectAgent(first.str().c_str());
  FormerLeaderRuns report;
  report.worker.vm = VmName(placed.busy);
  report.unreachable = true;
  report.lease_left = kLeft;
  leader->OnKnownRuns(first, report);
  CheckStartsAt(lost_at + kLeft);
}

// Guards against an attachment that is reported under a former assignment and
// adds a lease to the wait: none was extended under it, since the leader has
// not handled it.
TEST_CASE_FIXTURE(LostWorkerFixture, "an outdated attachment adds no wait") {
  Prepare();
  const NodeId first = AgentOf(placed.busy);
  const WorkerFence fence = fences[VmName(placed.busy)];
  const MonotonicTime lost_at = base::MonotonicNow();
  constexpr Milliseconds kLeft{4'000};
  Event(placed.busy, WorkerUnreachable{kLeft});
  REQUIRE(fences[VmName(placed.busy)] != fence);
  RunFor(seconds(2));
  leader->OnAgentEvent(first, {VmName(placed.busy), fence,
                               Attached{WorkerIncarnation(1),
                                        1'000,
                                        {},
                                        {},
                                        {},
                                        true,
                                        AttachmentNumber(2)}});
  CheckStartsAt(lost_at + kLeft);
}

// Guards against a second run: the worker has replied again, so its agent may
// have extended the lease until it was lost.
TEST_CASE_FIXTURE(LostWorkerFixture,
                  "an agent that reached the worker again counts") {
  Prepare();
  Event(placed.busy, WorkerLoad{{}, false, Milliseconds(1'000)});
  Event(placed.busy, WorkerLoad{{}, true, std::nullopt, AttachmentNumber(2)});
  RunFor(seconds(2));
  const MonotonicTime lost_at = base::MonotonicNow();
  leader->OnAgentDown(AgentOf(placed.busy), lost_at);
  CheckStartsAt(lost_at + options.loss_notice_delay +
                LeaseUpperBound(options.lease));
}

// Guards against a wait for the second in which the loss of an agent that is
// cut off goes unnoticed: it could extend no lease then.
TEST_CASE_FIXTURE(LostWorkerFixture,
                  "a lost agent counts from its last permission") {
  Prepare();
  const MonotonicTime permitted_at = base::MonotonicNow();
  RunFor(milliseconds(1'100));
  leader->OnAgentDown(AgentOf(placed.busy), permitted_at);
  CheckStartsAt(permitted_at + options.loss_notice_delay +
                LeaseUpperBound(options.lease));
}

// Guards against a second run: an agent of a version that confirms no pings
// extends leases for as long as it is connected.
TEST_CASE_FIXTURE(LostWorkerFixture,
                  "an agent of another version counts until it is lost") {
  numbers_attachments = false;
  Prepare();
  const MonotonicTime permitted_at = base::MonotonicNow();
  RunFor(seconds(4));
  const MonotonicTime lost_at = base::MonotonicNow();
  leader->OnAgentDown(AgentOf(placed.busy), permitted_at);
  CheckStartsAt(lost_at + options.loss_notice_delay +
                LeaseUpperBound(options.lease));
}

// Guards against runs that are given up though their worker is well: all agents
// were lost after the leader had permitted nothing for longer than a lease.
TEST_CASE_FIXTURE(LostWorkerFixture,
                  "a worker whose agent is lost can be attached again") {
  Prepare();
  const MonotonicTime permitted_at = base::MonotonicNow();
  RunFor(seconds(8));
  leader->OnAgentDown(AgentOf(placed.busy), permitted_at);
  RunFor(milliseconds(1'500));
  AttachIdle();
  Event(placed.busy, Attached{WorkerIncarnation(1),
                              1'000,
                              {},
                              {{placed.run.task, placed.run.run, {}, 50, 0}},
                              {},
                              true,
                              AttachmentNumber(1)});
  RunFor(seconds(6));
  CHECK(starts.empty());
}

// Guards against a new worker that is removed at the first failed renewal: the
// time left of a lease that it never had is 0.
TEST_CASE_FIXTURE(LostWorkerFixture,
                  "a worker that was never attached is not removed at once") {
  Lead(1);
  ListWorkers({"w1"});
  assignments = 0;
  Event("w1", WorkerLoad{{}, false, Milliseconds(0)});
  RunFor(seconds(1));
  CHECK(assignments == 0);
}

}  // namespace
}  // namespace mangospread::dispatch::test
