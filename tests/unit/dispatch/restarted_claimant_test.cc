// An agent sends a claim of the leader's role, gets no reply, and its process
// restarts; the table carries the claim out later.
#include <doctest/doctest.h>

#include <chrono>
#include <optional>

#include "dispatch/leader/agents_row.hpp"
#include "unit/dispatch/cut_off_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kClaimant = "d";

/// The leader "l" and its agents "a", "b" and "d" are cut off together; "c",
/// which no row names, is on the side of the table. "a" and "b" serve a worker
/// each, and "d", which has granted no lease, has sent the claim.
struct ClaimantFixture : cut_off::CutOffFixture {
  ClaimantFixture() {
    for (const char* node : {"a", "b", "d"}) network.sides[NodeId(node)] = "l";
    for (const char* node : {"l", "a", "b", "c", "d"}) AddAgent(node);
    StartTask({"a", "b", "d"});
    claim = MakeClaim(kClaimant, 2, {NodeId("l"), Incarnation()});
  }

  [[nodiscard]] Row Read(const char* key) {
    std::optional<Row> row;
    rows.Read({{key}, {}}, [&](const Result<std::vector<Row>>& read) {
      row = read.value().at(0);
    });
    RunFor(milliseconds(5));
    return row.value();
  }

  /// What a node claims the role with, by the rows of this moment.
  [[nodiscard]] Transaction MakeClaim(const char* node, std::uint64_t epoch,
                                      const FormerLeader& over) {
    LeaderRecord record;
    record.node = NodeId(node);
    record.epoch = Epoch(epoch);
    const Row agents_row = Read(kAgentsKey);
    const auto stored = DecodeAgentsRow(agents_row.value);
    REQUIRE(stored);
    const auto claimed = ClaimAgentsRow(*stored, over, record);
    REQUIRE(claimed);
    return {{{kLeaderKey, version}, {kAgentsKey, agents_row.version}},
            {{kLeaderKey, node}, {kAgentsKey, EncodeAgentsRow(*claimed)}}};
  }

  [[nodiscard]] bool CarryOut(const Transaction& transaction) {
    TransactResult result;
    rows.Transact(transaction,
                  [&](const TransactResult& done) { result = done; });
    RunFor(milliseconds(5));
    if (result.status != TransactResult::Status::kCommitted) return false;
    version = result.version;
    return true;
  }

  void RestartClaimant() {
    first->OnAgentDown(NodeId(kClaimant));
    AddAgent(kClaimant);
    ConnectAgent(kClaimant, Incarnation(2));
    RunFor(milliseconds(100));
  }

  void CutBoth() {
    network.cut = first_view.cut = true;
    cut_at = base::MonotonicNow();
    RunFor(cut_off::kYieldAfter);
    first->SetYielding(true);
  }

  /// Has "c" take over. The claimant follows it 8 s later, and until then the
  /// leader that is cut off.
  void TakeOver(std::uint64_t epoch, const FormerLeader& over) {
    RunFor(cut_off::kTakeoverAfter - cut_off::kYieldAfter);
    REQUIRE(CarryOut(MakeClaim("c", epoch, over)));
    second = Lead("c", epoch, second_view);
    second->OnWorkers(Listed());
    second->Start();
    RunFor(seconds(8));
    const NodeId node(kClaimant);
    network.sides[node] = "c";
    first->OnAgentDown(node);
    const auto last_grant_age = agents.at(node)->LastGrantAge();
    second->OnFollowerSeen(node, Incarnation(2), last_grant_age);
    second->OnAgentUp(node, DataCenter("dc"), last_grant_age);
    RunFor(seconds(40));
  }

  Transaction claim;  ///< The claim without a reply.
};

// Guards against a second run (TWICE): the next process of the agent confirms
// that it follows the leader that is cut off with it, which goes on for 20 s,
// while the leader after the agent's claim counts that one as divided.
TEST_CASE_FIXTURE(ClaimantFixture,
                  "a late claim of a process that restarted after the cut") {
  CutBoth();
  RestartClaimant();
  REQUIRE(CarryOut(claim));
  TakeOver(3, {NodeId(kClaimant), Incarnation(1)});
  CHECK(network.starts == 2);
  CHECK(network.overlaps == 0);
}

// Guards against the same, and against a leader that an agent's restart leaves
// without a confirmation: it stores its row again, so the claim fails.
TEST_CASE_FIXTURE(ClaimantFixture,
                  "a late claim of a process that restarted before the cut") {
  RestartClaimant();
  CutBoth();
  const MonotonicTime now = base::MonotonicNow();
  for (const char* node : {"a", "b", "d"}) {
    first->OnAgentConfirmed(NodeId(node), now);
  }
  CHECK(first->FollowedSince(now) == now);
  const bool elected = CarryOut(claim);
  CHECK_FALSE(elected);
  TakeOver(elected ? 3 : 2,
           elected ? FormerLeader{NodeId(kClaimant), Incarnation(1)}
                   : FormerLeader{NodeId("l"), Incarnation()});
  CHECK(network.starts == 2);
  CHECK(network.overlaps == 0);
}

}  // namespace
}  // namespace mangospread::dispatch::test
