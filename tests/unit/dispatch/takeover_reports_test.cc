// What a leader concludes from the reports of agents after a takeover: a
// process that connects knows nothing of the one before it.
#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "base/loop/clock.hpp"
#include "unit/dispatch/leader_fixture.hpp"
#include "unit/dispatch/lease_world.hpp"
#include "unit/dispatch/quiet_log.hpp"

namespace mangospread::dispatch::test {
namespace {

using lease_bound::AgentNode;
using lease_bound::LeaseWorld;
using lease_bound::WorldOptions;
using std::chrono::milliseconds;

WorldOptions SteadyWorld(int tasks) {
  WorldOptions options;
  options.faults = false;
  options.changes_leader = true;
  options.workers = 2;
  options.agents = 3;
  options.tasks = tasks;
  return options;
}

/// A worker that was assigned anew while its former agent is frozen, so that
/// only the new agent knows its lease.
struct OutdatedSession {
  explicit OutdatedSession(int tasks_before)
      : world(SteadyWorld(tasks_before)) {
    former = world.AssignedAgent(vm);
    REQUIRE(former != nullptr);
    world.Freeze(*former, milliseconds(3'200));
    REQUIRE(world.RunUntil("attaches " + vm.str(), milliseconds(2'000)));
    present = world.AssignedAgent(vm);
    REQUIRE(present != former);
  }

  /// Loses the worker, ends the leader, and soon after it the only agent that
  /// knows the lease. The next process of that agent connects at once, and the
  /// former agent reports its session.
  void LoseBoth() {
    world.Gone(vm);
    world.ChangeLeader(milliseconds(300));
    world.RunFor(milliseconds(100));
    world.Replace(*present, milliseconds(50));
    const std::string report = former->id.str() + " reports " + vm.str();
    REQUIRE(world.RunUntil(report, milliseconds(3'000)));
  }

  /// Checks what follows until all leases have expired.
  void CheckNothingEarly() {
    world.RunFor(std::chrono::seconds(12));
    INFO(world.Trace());
    CHECK(world.early().empty());
  }

  const QuietLog quiet;
  const VmName vm{"w1"};
  LeaseWorld world;
  AgentNode* former = nullptr;
  AgentNode* present = nullptr;
};

// Guards against a second run: the leader takes the outdated session's lease
// for the worker's, and gives the worker up while the lease is valid that the
// ended process granted last.
TEST_CASE("an outdated report does not shorten the lease of an ended agent") {
  OutdatedSession order(3);
  REQUIRE_FALSE(order.world.worker(order.vm).runs.empty());
  // The agent has extended the lease meanwhile.
  order.world.RunFor(milliseconds(1'000));
  order.LoseBoth();
  order.CheckNothingEarly();
}

// Guards against a second run: the leader takes the outdated session's runs for
// the worker's, and starts a task elsewhere that was started through the ended
// process.
TEST_CASE("an outdated report does not hide the runs of an ended agent") {
  OutdatedSession order(0);
  order.world.Submit(SubmissionId("00000000000000bb"), 3);
  order.world.RunFor(milliseconds(300));
  REQUIRE_FALSE(order.world.worker(order.vm).runs.empty());
  order.LoseBoth();
  order.CheckNothingEarly();
}

// Guards against a second run: the leader takes an agent for known from its
// hello on, though its reports are still on their way (seeds 56140 and 66304 of
// the changes of the leader).
TEST_CASE("an agent whose reports have not arrived is not known") {
  OutdatedSession order(3);
  REQUIRE_FALSE(order.world.worker(order.vm).runs.empty());
  // The agent has extended the lease meanwhile.
  order.world.RunFor(milliseconds(1'000));
  order.world.Gone(order.vm);
  order.world.ChangeLeader(milliseconds(300));
  // It connects after the former agent's report, and shortly before the end of
  // the lease that this names.
  order.world.Freeze(*order.present, milliseconds(1'900));
  REQUIRE(order.world.RunUntil("leader sees " + order.present->id.str(),
                               milliseconds(4'000)));
  order.present->to_leader = Milliseconds(900);
  order.CheckNothingEarly();
}

// Guards against a second run: the leader knows nothing of a lease that an
// agent granted in a session which the former leader has released, while the
// next agent never read its assignment (seeds 56686 and 65368 of the changes of
// the leader).
TEST_CASE("the lease of a released session counts after a takeover") {
  OutdatedSession order(3);
  LeaseWorld& world = order.world;
  REQUIRE_FALSE(world.worker(order.vm).runs.empty());
  // The agent has extended the lease meanwhile.
  world.RunFor(milliseconds(1'000));
  world.agent(0).to_agent = Milliseconds(1'000);
  world.Reset(*order.present, true, true);
  const std::string report =
      order.present->id.str() + " reports " + order.vm.str();
  REQUIRE(world.RunUntil(report, milliseconds(300)));
  REQUIRE(world.AssignedAgent(order.vm) == &world.agent(0));
  world.RunFor(milliseconds(20));
  REQUIRE(order.present->agent->CollectRuns().empty());
  world.Gone(order.vm);
  world.ChangeLeader(milliseconds(300));
  world.agent(0).to_agent = Milliseconds(5);
  order.CheckNothingEarly();
}

// Guards against a second run: the new process executes a command with a lease
// end on the clock of the former one, which it limits to 10 s, and the agent is
// lost, so that the leader counts a usual lease.
TEST_CASE("a lease that a replaced worker process was given late counts") {
  const QuietLog quiet;
  WorldOptions options = SteadyWorld(4);
  options.changes_leader = false;
  LeaseWorld world(options);
  const VmName vm("w1");
  world.worker(vm).hold_next = Milliseconds(400);
  world.RunFor(milliseconds(510));
  REQUIRE(world.worker(vm).hold_next == Milliseconds(0));
  world.RestartWorker(vm, std::chrono::seconds(1));
  REQUIRE(world.RunUntil("leader starts", milliseconds(3'000)));
  world.RunFor(milliseconds(300));
  REQUIRE_FALSE(world.worker(vm).runs.empty());
  world.Gone(vm);
  world.Replace(*world.AssignedAgent(vm), std::chrono::seconds(10));
  world.RunFor(std::chrono::seconds(12));
  INFO(world.Trace());
  CHECK(world.early().empty());
}

/// Two agents of a former leader, and three workers, on one of which a task
/// runs.
struct TwoReportsFixture : LeaderFixture {
  TwoReportsFixture() {
    Lead(1);
    ConnectAgent("other");
    ListWorkers({"w1", "w2", "w3"});
    for (const char* vm : {"w1", "w2", "w3"}) Attach(vm);
    Call(ServiceVerb::kSubmit);
    REQUIRE(starts.size() == 1);
    task = starts[0].task;
    starts.clear();
    Lead(2);
    ConnectAgent("other");
    ListWorkers({"w1", "w2", "w3"});
    Attach("w3");
    // What they report below is all that they know.
    EndReports("agent");
    EndReports("other");
  }

  /// Reports a worker that is out of reach, and lets the leader use that.
  void Report(const char* agent, const char* vm, Attempt run,
              Milliseconds lease_left) {
    FormerLeaderRuns runs;
    runs.worker.vm = VmName(vm);
    runs.worker.service = ServiceName("s");
    runs.runs = {{task, run}};
    runs.unreachable = true;
    runs.lease_left = lease_left;
    leader->OnKnownRuns(NodeId(agent), runs);
    RunFor(milliseconds(10));
    Event(vm, WorkerUnreachable{lease_left});
    RunFor(milliseconds(600));
  }

  std::string task;
};

// Guards against a second run: an outdated run that is reported first hides a
// newer run of its task, so that the end of the outdated run's lease starts the
// task again.
TEST_CASE_FIXTURE(TwoReportsFixture,
                  "the newest reported run of a task counts") {
  const char* newer_agent = "agent";
  bool outdated_first = true;
  SUBCASE("one agent, the outdated one first") {}
  SUBCASE("one agent, the newer one first") { outdated_first = false; }
  SUBCASE("two agents, the outdated one first") { newer_agent = "other"; }
  SUBCASE("two agents, the newer one first") {
    newer_agent = "other";
    outdated_first = false;
  }
  const MonotonicTime expiry = base::MonotonicNow() + milliseconds(4'000);
  const auto report_newer = [&] {
    const auto left =
        std::chrono::ceil<Milliseconds>(expiry - base::MonotonicNow());
    Report(newer_agent, "w2", Attempt(2), left);
  };
  if (!outdated_first) report_newer();
  Report("agent", "w1", Attempt(1), Milliseconds(2'000));
  if (outdated_first) report_newer();
  RunFor(expiry - base::MonotonicNow() - milliseconds(50));
  CHECK(starts.empty());
  // Each agent that gets w2 next does not reach it; w3 may have been moved.
  for (int agents = 0; agents < 6 && starts.empty(); ++agents) {
    Event("w2", WorkerUnreachable{Milliseconds(0)});
    Attach("w3");
    RunFor(milliseconds(450));
  }
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].vm == VmName("w3"));
  CHECK(starts[0].run > Attempt(2));
}

}  // namespace
}  // namespace mangospread::dispatch::test
