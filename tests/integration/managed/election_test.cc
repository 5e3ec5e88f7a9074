// Guards against an election whose loser claims the role again (LOST): restored
// work waits anew after the second takeover.
#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>

#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 200;
constexpr int kNodes = 6;
constexpr int kWorkers = 3;
constexpr std::uint64_t kDeaths = 10;
constexpr int kSubmission = 1;
/// Several times the heartbeat timeout, after which a node that still lacks a
/// leader claims.
constexpr int kTaskMs = 5'000;
/// Makes the claims of several candidates overlap, and lets each loser hear of
/// the winner before the reply to its own claim.
constexpr Milliseconds kTableDelay{100};

/// Kills the leader, and starts its node again once another one serves.
void ReplaceLeader(ManagedCluster& site) {
  const std::size_t former = site.AwaitLeader();
  site.node(former).Kill();
  const std::size_t next = site.AwaitLeader();
  WaitUntil("the next leader serves", kWaitTimeout,
            [&] { return site.IsReady(next); });
  site.RestartNode(former);
  site.WaitUntilReady();
}

TEST_CASE("each death of a leader costs one epoch") {
  ManagedCluster site(kNodes, kWorkers);
  site.WaitUntilReady();
  site.DelayTable(kTableDelay);
  const std::uint64_t first = site.LeaderEpoch().value();
  for (std::uint64_t death = 1; death <= kDeaths; ++death) {
    CAPTURE(death);
    ReplaceLeader(site);
    CHECK(site.LeaderEpoch().value() == first + death);
  }
  REQUIRE(site.Submit(0, kSubmission, 1, kTaskMs).status == kOk);
  WaitUntil("the task is done", kWaitTimeout,
            [&] { return site.GetCounters().done == 1; });
  CHECK(site.LeaderEpoch().value() == first + kDeaths);
  CheckNoTaskRanTwice(site.GetCounters());
  CHECK(DescribeUnexpectedEnds().empty());
}

}  // namespace
}  // namespace mangospread::testing
