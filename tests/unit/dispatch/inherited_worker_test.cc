// Workers of the former leader, which the next one has to wait for or not.
#include <doctest/doctest.h>

#include <string>

#include "base/loop/clock.hpp"
#include "dispatch/leader/job_rows.hpp"
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
    EndReports("agent");
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
    EndReports("agent");
    Attach(placed.idle);
  }
  SUBCASE("noticed under the new leader") {
    leader->OnKnownRuns(NodeId("agent"), lost);
    EndReports("agent");
    Attach(placed.idle);
    Event(placed.busy, WorkerEnded{});
  }
  SUBCASE("noticed after the new leader could not reach the worker") {
    leader->OnKnownRuns(NodeId("agent"), lost);
    EndReports("agent");
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

}  // namespace
}  // namespace mangospread::dispatch::test
