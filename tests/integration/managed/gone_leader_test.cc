// Guards against long-running tasks that stay lost (LOST) after the leader, an
// agent and a worker are gone for good at the same moment: nobody can say until
// when the agent extended the worker's lease.
#include <doctest/doctest.h>

#include <cstddef>

#include "base/loop/clock.hpp"
#include "integration/harness/checks/restart.hpp"
#include "integration/harness/managed.hpp"

namespace mangospread::testing {
namespace {

constexpr int kTasks = 12;
constexpr int kNodes = 4;
constexpr int kWorkers = 6;

TEST_CASE("tasks run again in time after leader, agent and worker are gone") {
  ManagedCluster site(kNodes, kWorkers);
  const std::size_t leader = StartLongRunning(site, kTasks);
  const std::size_t agent = site.AgentOf(leader, "w1");
  site.RemoveWorker(0);
  site.node(leader).Kill();
  site.node(agent).Kill();
  const MonotonicTime gone_at = base::MonotonicNow();
  REQUIRE(site.GetCounters().running != kTasks);
  CheckRestart(site, kTasks, gone_at);
}

}  // namespace
}  // namespace mangospread::testing
