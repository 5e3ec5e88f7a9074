// Which agents get the workers, and when.
#include <doctest/doctest.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

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

}  // namespace
}  // namespace mangospread::dispatch::test
