// Former leaders that lose an agent when it is elected, though other leaders
// have claimed since: what the rows of the claims say of them.
#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dispatch/leader/agents_row.hpp"
#include "dispatch/leader/former_leaders.hpp"
#include "unit/dispatch/former_leader_makers.hpp"
#include "unit/dispatch/unreported_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;

std::set<NodeId> Nodes(const std::vector<const char*>& names) {
  std::set<NodeId> nodes;
  for (const char* name : names) nodes.emplace(name);
  return nodes;
}

/// A row that a leader has written itself, in epoch 2.
AgentsRow WrittenRow() {
  return {Epoch(2), Nodes({"a", "b"}), {}, {Process("d", 1)}};
}

// Guards against a former version that rejects the row, which it would take for
// none: it accepts any character after the incarnation.
TEST_CASE("marks of a claim differ from a space only") {
  AgentsRow row{Epoch(7), Nodes({"a"}), {}, {}};
  row.former_leaders = {Process("c", 12), Process("e", 13),
                        Process("f", 14, false), Process("a b", 15, false)};
  std::string unmarked = EncodeAgentsRow(row);
  CHECK(unmarked == "0\na\n\n7\nu12 c\nu13 e\nd14 f\nd15 a b\n");
  CHECK(DecodeAgentsRow(unmarked) == row);
  row.agents_of = Nodes({"e"});
  row.newly_divided = Nodes({"a b"});
  const std::string marked = EncodeAgentsRow(row);
  CHECK(marked == "0\na\n\n7\nu12 c\nu13=e\nd14 f\nd15=a b\n");
  CHECK(DecodeAgentsRow(marked) == row);
}

// Guards against a part of a row that is taken for the whole.
TEST_CASE("a row with a malformed mark does not count") {
  for (const char* line : {"u1=", "u1 ", "u1", "u1-c", "u1c", "u=c", "=1 c"}) {
    CAPTURE(line);
    const std::string row = "0\na\n\n7\nu2 e\n";
    REQUIRE(DecodeAgentsRow(row));
    CHECK_FALSE(DecodeAgentsRow(row + line + "\n"));
  }
}

// Guards against a wait of 20 s for a leader that has lost an agent (LOST): the
// agent was elected after nodes that stored nothing but their claims.
TEST_CASE("an agent that is elected has left all leaders whose agent it was") {
  const auto first =
      ClaimAgentsRow(WrittenRow(), Process("c", 5), MakeClaim("e", 3));
  REQUIRE(first);
  CHECK(first->agents_of == Nodes({"c"}));
  CHECK(first->newly_divided.empty());
  const auto second =
      ClaimAgentsRow(*first, Process("e", 6), MakeClaim("f", 4));
  REQUIRE(second);
  CHECK(second->agents_of == Nodes({"c", "e"}));
  const auto third =
      ClaimAgentsRow(*second, Process("f", 7), MakeClaim("a", 5));
  REQUIRE(third);
  // Which agents "d" had is not known any more.
  CHECK(third->former_leaders ==
        std::vector{Process("d", 1), Process("c", 5, false),
                    Process("e", 6, false), Process("f", 7, false)});
  CHECK(third->agents == Nodes({"b"}));
  CHECK(third->elected == Nodes({"a"}));
  CHECK(third->agents_of.empty());
  CHECK(third->newly_divided == Nodes({"c", "e", "f"}));
  const auto fourth =
      ClaimAgentsRow(*third, Process("a", 8), MakeClaim("g", 6));
  REQUIRE(fourth);
  CHECK(fourth->agents_of == Nodes({"a"}));
  CHECK(fourth->newly_divided.empty());
  CHECK(fourth->former_leaders.back() == Process("a", 8));
  // The second agent leaves the last leader; the others had lost one before.
  const auto fifth =
      ClaimAgentsRow(*fourth, Process("g", 9), MakeClaim("b", 7));
  REQUIRE(fifth);
  CHECK(fifth->newly_divided == Nodes({"a", "g"}));
  CHECK(fifth->former_leaders.front() == Process("d", 1));
}

// Guards against a leader that is taken for one that has lost an agent, since
// an earlier process of its node was marked.
TEST_CASE("a claim after a written row counts only its writer's agents") {
  AgentsRow written = WrittenRow();
  written.former_leaders = {Process("d", 1), Process("c", 4)};
  const auto row = ClaimAgentsRow(written, Process("c", 5), MakeClaim("a", 3));
  REQUIRE(row);
  CHECK(row->former_leaders ==
        std::vector{Process("d", 1), Process("c", 5, false)});
  CHECK(row->newly_divided == Nodes({"c"}));
  CHECK(row->agents_of.empty());
}

// Guards against a second run: a leader that is taken for divided, though none
// of its agents has been elected, or was only elected later than is counted.
TEST_CASE("a leader is divided only by an agent of its own last row") {
  constexpr std::uint64_t kEpochs = 10;
  struct Led {
    std::set<NodeId> agents;  ///< Of its last row.
    std::uint64_t divided_in = 0;
  };
  std::mt19937 random(1);
  const auto draw_node = [&] {
    return NodeId("n" + std::to_string(random() % 6));
  };
  const auto draw_agents = [&] {
    return std::set<NodeId>{draw_node(), draw_node(), draw_node()};
  };
  int divided = 0;
  for (int draw = 0; draw < 1'000; ++draw) {
    CAPTURE(draw);
    AgentsRow row{Epoch(1), draw_agents(), {}, {}};
    FormerLeader leader{draw_node(), Incarnation(1)};
    std::map<Incarnation, Led> led;  // Each process leads one epoch.
    for (std::uint64_t epoch = 2; epoch <= kEpochs; ++epoch) {
      if (random() % 2 == 0) {
        row = {row.epoch, draw_agents(), row.elected, row.former_leaders};
      }
      led[leader.incarnation].agents = row.agents;
      LeaderRecord claim;
      claim.node = draw_node();
      claim.epoch = Epoch(epoch);
      for (auto& [incarnation, former] : led) {
        const bool lost = former.agents.contains(claim.node);
        if (lost && former.divided_in == 0) former.divided_in = epoch;
      }
      const auto claimed = ClaimAgentsRow(row, leader, claim);
      REQUIRE(claimed);
      const auto decoded = DecodeAgentsRow(EncodeAgentsRow(*claimed));
      REQUIRE(decoded == claimed);
      row = *decoded;
      for (const FormerLeader& former : row.former_leaders) {
        if (former.undivided) continue;
        ++divided;
        const std::uint64_t divided_in = led.at(former.incarnation).divided_in;
        CHECK(divided_in > 0);
        CHECK(row.newly_divided.contains(former.node) == (divided_in == epoch));
      }
      leader = {claim.node, Incarnation(epoch)};
    }
  }
  CHECK(divided > 0);
}

// Guards against a second run: until it was elected, the agent may have told
// the former leader that it follows, so that one's 3 s do not count from its
// replacement.
TEST_CASE("a leader counts from the election of the agent that it lost") {
  constexpr MonotonicTime kReplaced = milliseconds(4'000);
  const PermissionTimeouts timeouts;
  const std::vector leaders{Process("a", 1, false), Process("b", 1, false)};
  MonotonicTime elected = milliseconds(10'000);
  MonotonicTime limit = kReplaced + timeouts.leases;
  std::set<NodeId> newly_divided;
  SUBCASE("before") {}
  SUBCASE("now") {
    newly_divided = Nodes({"a", "b"});
    limit = elected + timeouts.leases;
  }
  SUBCASE("after it could permit anything") {
    newly_divided = Nodes({"a", "b"});
    elected = kReplaced + timeouts.undivided;
    limit = elected;
  }
  FormerLeaders former(elected, kReplaced, elected, timeouts);
  former.Load(leaders, {}, newly_divided);
  former.OnLastStopped(kReplaced);
  CHECK(former.Limit() == limit);
}

/// A node that the row does not name leads after the first leader, with the
/// agents of that one, and dies.
struct BetweenFixture : UnreportedFixture {
  BetweenFixture() {
    LoseLeader({"other", "third"}, "new");
    Claim(2, self);
    Lead(2);
    ListWorkers({"w1", "w2"});
    leader->OnAgentUp(NodeId("other"), DataCenter("dc"), last_grant_age);
    RunFor(milliseconds(300));
  }

  [[nodiscard]] AgentsRow StoredRow() {
    const auto rows = table.rows.Read({{kAgentsKey}, {}});
    REQUIRE(rows.size() == 1);
    const auto row = DecodeAgentsRow(rows[0].value);
    REQUIRE(row);
    return *row;
  }

  /// `node` is elected, and the node between has started again.
  void TakeOver(const char* node) {
    leader.reset();
    self = NodeId(node);
    Claim(3, self);
    UnreportedFixture::TakeOver(3);
    leader->OnFollowerSeen(NodeId("new"), Incarnation(2), Milliseconds(2'000));
  }
};

// Guards against a wait of 20 s (LOST) and against a write that stores nothing
// new: the leader between has loaded the rows, and has no other agents.
TEST_CASE_FIXTURE(BetweenFixture,
                  "marks of a claim hold while the agents stay the same") {
  CHECK(StoredRow().agents_of == Nodes({"leader"}));
  TakeOver("other");
  CHECK(StoredRow().former_leaders.front() == Process("leader", 1, false));
  CHECK(StoredRow().newly_divided == Nodes({"leader", "new"}));
  // "third" never returns.
  CheckWaitsForLease(-options.permission_timeouts.leases -
                     options.loss_notice_delay);
}

// Guards against a second run: "fresh" was an agent of the leader between only,
// which has written its row. The first leader may be cut off with all of its
// own agents, and goes on permitting leases for 20 s.
TEST_CASE_FIXTURE(BetweenFixture,
                  "an agent of a later leader divides no earlier one") {
  ConnectAgent("fresh");
  CHECK(StoredRow().agents == Nodes({"agent", "fresh", "other", "third"}));
  CHECK(StoredRow().agents_of.empty());
  TakeOver("fresh");
  CHECK(StoredRow().former_leaders ==
        std::vector{Process("leader", 1), Process("new", 1, false)});
  CheckWaitsForLease(-options.permission_timeouts.undivided -
                     options.loss_notice_delay);
}

// Guards against a second run: by the written row, "other" is an agent of the
// leader between, and whether it was one of the first leader is not known.
TEST_CASE_FIXTURE(
    BetweenFixture,
    "an agent in a later leader's own row divides no earlier one") {
  ConnectAgent("fresh");
  TakeOver("other");
  CheckWaitsForLease(-options.permission_timeouts.undivided -
                     options.loss_notice_delay);
}

}  // namespace
}  // namespace mangospread::dispatch::test
