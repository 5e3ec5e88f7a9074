// The row of agents that a node stores with its claim, and how long a takeover
// waits for former leaders.
#include <doctest/doctest.h>

#include <cstdint>
#include <set>
#include <vector>

#include "dispatch/leader/agents_row.hpp"
#include "dispatch/leader/former_leaders.hpp"
#include "dispatch/model/lease.hpp"
#include "unit/dispatch/former_leader_makers.hpp"
#include "unit/dispatch/unreported_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a row of agents reads as it was written") {
  AgentsRow row{Epoch(7), {NodeId("a"), NodeId("b")}, {}, {}};
  SUBCASE("without former leaders") {
    CHECK(EncodeAgentsRow(row) == "7\na\nb\n");
  }
  SUBCASE("with former leaders") {
    row.former_leaders = {Process("c", 12), Process("a b", 13, false)};
  }
  SUBCASE("with an agent that was elected") { row.elected = {NodeId("c")}; }
  SUBCASE("without agents") {
    row.agents.clear();
    row.former_leaders = {Process("c", 12)};
  }
  CHECK(DecodeAgentsRow(EncodeAgentsRow(row)) == row);
}

// Guards against a row of which a part is taken for the whole.
TEST_CASE("a malformed row of agents does not count") {
  for (const char* text :
       {"", "x\na\n", "1x\na\n", "0\na\n\n7x\nu1 c\n", "0\na\n\n7\nc\n",
        "0\na\n\n7\nu1\n", "0\na\n\n7\nux c\n"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeAgentsRow(text));
  }
}

// Guards against a former version that takes the agents of a row for all,
// though leaders before may go on through others.
TEST_CASE("a row with former leaders counts for no epoch of a former version") {
  AgentsRow row{Epoch(7), {NodeId("a")}, {}, {Process("c", 12)}};
  CHECK(EncodeAgentsRow(row).starts_with("0\n"));
  row.former_leaders.clear();
  row.elected = {NodeId("b")};
  CHECK(EncodeAgentsRow(row).starts_with("0\n"));
}

TEST_CASE("a claim names the leader before and keeps the agents") {
  const AgentsRow stored{Epoch(2),
                         {NodeId("a"), NodeId("b")},
                         {NodeId("f")},
                         {Process("d", 1), Process("c", 4)}};
  const auto row = ClaimAgentsRow(stored, Process("c", 5), MakeClaim("e", 3));
  REQUIRE(row);
  CHECK(row->epoch == Epoch(3));
  CHECK(row->agents == stored.agents);
  CHECK(row->elected == stored.elected);
  CHECK(row->former_leaders == std::vector{Process("d", 1), Process("c", 5)});
  // An agent that is elected does not follow any more.
  const auto divided =
      ClaimAgentsRow(stored, Process("c", 5), MakeClaim("a", 3));
  CHECK(divided->former_leaders.back() == Process("c", 5, false));
  CHECK(divided->agents == std::set{NodeId("b")});
  CHECK(divided->elected == std::set{NodeId("a"), NodeId("f")});
  CHECK_FALSE(ClaimAgentsRow(stored, Process("c", 5), MakeClaim("e", 4)));
}

// Guards against a wait for a leader whose process has ended (LOST), and
// against none for one that may go on (TWICE).
TEST_CASE("a former leader counts until it is known to have stopped") {
  constexpr MonotonicTime kElected = milliseconds(10'000);
  const PermissionTimeouts timeouts;
  FormerLeaders leaders(kElected, kElected, kElected, timeouts);
  leaders.Load({Process("a", 1), Process("b", 1, false)}, {}, {});
  CHECK(leaders.Limit() == kElected + timeouts.undivided);
  SUBCASE("restarted") {
    leaders.OnProcess(NodeId("a"), Incarnation(2), milliseconds(9'000),
                      milliseconds(11'000));
    leaders.OnProcess(NodeId("a"), Incarnation(3), milliseconds(12'000),
                      milliseconds(12'000));
    CHECK(leaders.Limit() == kElected + OtherClockUpperBound(timeouts.leases));
    CHECK(leaders.Remaining(kElected) == std::vector{Process("b", 1, false)});
  }
  SUBCASE("follows") {
    leaders.OnProcess(NodeId("a"), Incarnation(1), milliseconds(9'000),
                      milliseconds(14'000));
    CHECK(leaders.Limit() == milliseconds(14'000));
  }
  SUBCASE("the last one has stopped") {
    leaders.OnLastStopped(milliseconds(10'500));
    CHECK(leaders.Limit() == kElected + timeouts.undivided);
  }
  SUBCASE("both have ended") {
    leaders.OnLastStopped(milliseconds(10'500));
    leaders.OnProcess(NodeId("a"), Incarnation(2), milliseconds(9'000),
                      milliseconds(11'000));
    CHECK(leaders.Limit() == milliseconds(10'500));
    CHECK(leaders.Remaining(milliseconds(10'501)).empty());
  }
}

// Guards against a wait that begins anew with each takeover (LOST).
TEST_CASE("a leader of two epochs before counts from its replacement") {
  constexpr MonotonicTime kReplaced = milliseconds(4'000);
  constexpr MonotonicTime kElected = milliseconds(10'000);
  const PermissionTimeouts timeouts;
  FormerLeaders leaders(kElected, kReplaced, kElected, timeouts);
  leaders.Load({Process("a", 1), Process("b", 1, false)}, {}, {});
  CHECK(leaders.Limit() == kReplaced + timeouts.undivided);
  leaders.Load({Process("a", 1, false), Process("b", 1, false)}, {}, {});
  CHECK(leaders.Limit() == kElected + OtherClockUpperBound(timeouts.leases));
  leaders.OnLastStopped(kElected);
  CHECK(leaders.Limit() == kElected);
}

// Guards against a wait for the election (LOST): the last leader can permit
// nothing later than what was confirmed to it allows.
TEST_CASE("the last leader counts from its last confirmation") {
  constexpr MonotonicTime kReplaced = milliseconds(4'000);
  constexpr MonotonicTime kConfirmed = milliseconds(8'500);
  constexpr MonotonicTime kElected = milliseconds(10'000);
  const PermissionTimeouts timeouts;
  FormerLeaders leaders(kElected, kReplaced, kConfirmed, timeouts);
  leaders.Load({Process("b", 1, false)}, {}, {});
  CHECK(leaders.Limit() == kConfirmed + OtherClockUpperBound(timeouts.leases));
  leaders.Load({Process("b", 1, true)}, {}, {});
  CHECK(leaders.Limit() ==
        kConfirmed + OtherClockUpperBound(timeouts.undivided));
  leaders.Load({Process("a", 1, true), Process("b", 1, false)}, {}, {});
  CHECK(leaders.Limit() == kReplaced + timeouts.undivided);
}

// Guards against a second run: a former leader whose clock runs 2% slow permits
// leases for longer than its successor counts, whose clock runs 2% fast. Only
// the time from the last renewal to the election allowed for that.
TEST_CASE("a former leader stops in time though clocks differ") {
  const PermissionTimeouts timeouts;
  // Both clocks show the same at the last renewal, which the successor reads at
  // once.
  constexpr MonotonicTime kConfirmed = milliseconds(8'500);
  constexpr MonotonicTime kElected = milliseconds(9'500);
  FormerLeaders leaders(kElected, milliseconds(4'000), kConfirmed, timeouts);
  bool undivided = false;
  SUBCASE("divided") {}
  SUBCASE("undivided") { undivided = true; }
  leaders.Load({Process("b", 1, undivided)}, {}, {});
  const auto real_time = [](MonotonicTime shown, int percent) {
    return shown * 100 / percent;
  };
  MonotonicTime permitted{0};  // On the former leader's clock.
  while (LeaderPermission(timeouts, permitted,
                          undivided ? std::optional(MonotonicTime(0))
                                    : std::nullopt) != Permission::kNone) {
    permitted += milliseconds(1);
  }
  // The lease that an agent grants at the last moment, on a worker's clock that
  // runs 2% slow.
  const Milliseconds lease{6'000};
  const Milliseconds notice{800};
  const MonotonicTime held =
      real_time(permitted + MonotonicTime(notice) + MonotonicTime(lease), 98);
  const MonotonicTime counted =
      real_time(leaders.Limit() - kConfirmed + MonotonicTime(notice) +
                    LeaseUpperBound(lease),
                102);
  CHECK(counted >= held);
}

/// A worker that no agent reports, after the leaders of two epochs have died
/// of which the second stored nothing but its claim.
struct TwoTakeoversFixture : UnreportedFixture {
  TwoTakeoversFixture() {
    // No row names "third", so the second leader may have all its agents.
    LoseLeader({"other", "fourth"}, "third");
    Claim(2, NodeId("other"));
  }

  void TakeOver() {
    Claim(3, self);
    UnreportedFixture::TakeOver(3);
  }

  void SeeFollower(const char* node, std::uint64_t incarnation) const {
    leader->OnFollowerSeen(NodeId(node), Incarnation(incarnation),
                           Milliseconds(2'000));
    leader->OnAgentUp(NodeId(node), DataCenter("dc"), Milliseconds(2'000));
  }
};

// Guards against a task that waits for a lease as if a leader could still
// extend it (LOST): all processes that could had ended before. It took 27 s if
// the new leader was in no row, else 10 s.
TEST_CASE_FIXTURE(TwoTakeoversFixture,
                  "work waits no longer after two takeovers than after one") {
  TakeOver();
  for (const char* node : {"leader", "other", "fourth"}) SeeFollower(node, 2);
  RunFor(milliseconds(300));
  Attach(placed.idle);
  CheckWaitsForLease(milliseconds(2'350));
}

// Guards against a wait for an agent that was elected and is gone for good, as
// for one that may follow a former leader (LOST): it had stopped by its claim.
TEST_CASE_FIXTURE(TwoTakeoversFixture,
                  "an agent that was elected has granted nothing since") {
  TakeOver();
  for (const char* node : {"leader", "fourth"}) SeeFollower(node, 2);
  RunFor(milliseconds(300));
  Attach(placed.idle);
  CheckWaitsForLease(milliseconds(350));
}

// Guards against a second run: "other" had not heard of its election, and the
// first leader, which is cut off with it, went on permitting leases.
TEST_CASE_FIXTURE(TwoTakeoversFixture,
                  "an agent that was elected may not know it") {
  TakeOver();
  SeeFollower("fourth", 2);
  RunFor(milliseconds(300));
  Attach(placed.idle);
  CheckWaitsForLease(-options.permission_timeouts.leases -
                     options.loss_notice_delay + milliseconds(350));
}

// Guards against a second run: a former leader may be cut off with an agent,
// "fourth", and go on.
TEST_CASE_FIXTURE(TwoTakeoversFixture,
                  "a silent leader of two epochs before may extend leases") {
  TakeOver();
  const PermissionTimeouts& timeouts = options.permission_timeouts;
  MonotonicTime limit = OtherClockUpperBound(timeouts.undivided);
  SUBCASE("both") {}
  SUBCASE("the first one, which has lost an agent") {
    SeeFollower("other", 2);
    limit = OtherClockUpperBound(timeouts.leases);
  }
  RunFor(milliseconds(300));
  Attach(placed.idle);
  CheckWaitsForLease(-limit - options.loss_notice_delay + milliseconds(350));
}

}  // namespace
}  // namespace mangospread::dispatch::test
