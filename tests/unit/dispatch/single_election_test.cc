// Candidates of one election: whoever loses it follows the winner.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "base/loop/simulated_clock.hpp"
#include "dispatch/leader/agents_row.hpp"
#include "dispatch/leader/leadership.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::dispatch::test {
namespace {

using mangospread::test::FaultyTable;
using std::chrono::milliseconds;

LeaderRecord MakeRecord(const std::string& node) {
  LeaderRecord record;
  record.node = NodeId(node);
  record.incarnation = Incarnation(7);
  record.address = {"10.0.0.1", 7'000};
  return record;
}

LeadershipOptions WithoutJitter() {
  LeadershipOptions options;
  options.max_contend_jitter = Milliseconds(1);
  return options;
}

/// Followers of one leader. Their requests to the table wait for the test;
/// changes of the leader's row reach them at once when the test says so.
struct CandidatesFixture {
  CandidatesFixture() {
    former.epoch = Epoch(1);
    former.version =
        table.rows.Transact({{}, {{kLeaderKey, EncodeLeader(former)}}}).version;
    StoreAgents("1\na\nb\nc\n");
    WriteHeartbeat();
  }

  void AddCandidates(const std::vector<std::string>& names,
                     const LeadershipOptions& options = WithoutJitter()) {
    for (const std::string& name : names) {
      LeadershipHooks hooks;
      hooks.on_leader_changed = [](const LeaderRecord&) {};
      hooks.on_elected = [this](const LeaderRecord&) { ++elections; };
      hooks.on_stepped_down = [] {};
      hooks.on_yield = [](bool) {};
      candidates.push_back(std::make_unique<Leadership>(
          loop, table, MakeRecord(name), options, std::move(hooks)));
      candidates.back()->OnRow(former);
      candidates.back()->SetLeaderConnected(true);
    }
    RunFor(milliseconds(5));
    HandleRequests();
  }

  void StoreAgents(const std::string& row) {
    table.rows.Transact({{}, {{kAgentsKey, row}}});
  }
  void WriteHeartbeat() { table.rows.Transact({{}, {{kHeartbeatKey, "1"}}}); }

  [[nodiscard]] LeaderRecord StoredLeader() {
    const auto rows = table.rows.Read({{kLeaderKey}, {}});
    LeaderRecord leader = DecodeLeader(rows.at(0).value).value();
    leader.version = rows.at(0).version;
    return leader;
  }

  /// Delivers the row of a new leader to all candidates, which then connect to
  /// it.
  void DeliverRow() {
    const LeaderRecord leader = StoredLeader();
    if (leader.epoch == former.epoch) return;
    for (const auto& candidate : candidates) {
      candidate->OnRow(leader);
      candidate->SetLeaderConnected(true);
    }
  }

  void RunFor(MonotonicTime time) {
    const auto stop = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }

  void HandleRequests() {
    while (table.pending() > 0) table.Step();
  }

  /// Lets all candidates read the row of agents and send their claims.
  void SendClaims() {
    RunFor(milliseconds(5));
    const std::size_t reads = table.pending();
    REQUIRE(reads >= candidates.size());
    for (std::size_t i = 0; i < reads; ++i) table.Step();
    REQUIRE(table.pending() == candidates.size());
  }

  /// Runs on with a table that answers and delivers changes at once.
  void RunOn(MonotonicTime time) {
    const auto timer = loop.Every(milliseconds(1), 0, [this] {
      HandleRequests();
      DeliverRow();
    });
    RunFor(time);
  }

  [[nodiscard]] std::ptrdiff_t leading() const {
    return std::count_if(candidates.begin(), candidates.end(),
                         [](const auto& one) { return one->leading(); });
  }

  base::SimulatedClock clock;
  base::EventLoop loop;
  FaultyTable table;
  LeaderRecord former = MakeRecord("former");
  int elections = 0;
  std::vector<std::unique_ptr<Leadership>> candidates;
};

// Guards against lost work that waits for two takeovers (LOST): the loser of an
// election that has already heard of the winner claims again, over the winner.
TEST_CASE_FIXTURE(CandidatesFixture,
                  "the loser of an election follows the winner") {
  std::vector<std::string> names = {"a", "b"};
  auto fault_of_first = FaultyTable::Fault::kNone;
  SUBCASE("two candidates") {}
  SUBCASE("three candidates") { names.emplace_back("c"); }
  SUBCASE("the winner's reply is lost") {
    names.emplace_back("c");
    fault_of_first = FaultyTable::Fault::kLoseReply;
  }
  AddCandidates(names);
  for (const auto& candidate : candidates) {
    candidate->SetLeaderConnected(false);
    candidate->OnLeaderDenied();
  }
  SendClaims();
  table.Step(fault_of_first);
  DeliverRow();
  HandleRequests();
  RunOn(std::chrono::seconds(5));
  CHECK(StoredLeader().epoch == Epoch(2));
  CHECK(elections == 1);
  CHECK(leading() == 1);
}

// Guards against the same after a leader that yields: it renews its heartbeat,
// and its followers stay connected while they contend.
TEST_CASE_FIXTURE(CandidatesFixture,
                  "an overloaded leader that yields is replaced once") {
  AddCandidates({"a", "b", "c"});
  for (const auto& candidate : candidates) candidate->SetLeaderYielding(true);
  SendClaims();
  WriteHeartbeat();
  table.Step();
  DeliverRow();
  HandleRequests();
  RunOn(std::chrono::seconds(5));
  CHECK(StoredLeader().epoch == Epoch(2));
  CHECK(elections == 1);
}

// Guards against a vacancy without a leader: all claims meet a row of agents
// that the former leader has changed since they read it.
TEST_CASE_FIXTURE(CandidatesFixture,
                  "claims that meet a changed row of agents elect one leader") {
  AddCandidates({"a", "b", "c"});
  for (const auto& candidate : candidates) candidate->SetLeaderYielding(true);
  SendClaims();
  StoreAgents("1\na\nb\nc\nd\n");
  HandleRequests();
  REQUIRE(StoredLeader().epoch == Epoch(1));
  const auto timer = loop.Every(milliseconds(400), 0, [this] {
    if (leading() == 0) WriteHeartbeat();
  });
  RunOn(std::chrono::seconds(5));
  CHECK(StoredLeader().epoch == Epoch(2));
  CHECK(elections == 1);
  CHECK(leading() == 1);
}

// Guards against a takeover for a reason that has gone by the time the claim is
// due: the leader has been reached again.
TEST_CASE_FIXTURE(CandidatesFixture,
                  "a leader that is connected again is not replaced") {
  LeadershipOptions options = WithoutJitter();
  options.contend_delay = Milliseconds(2'000);
  AddCandidates({"a"}, options);
  Leadership& candidate = *candidates.front();
  candidate.SetLeaderConnected(false);
  SUBCASE("its heartbeat had stopped") {
    const auto timer =
        loop.Every(milliseconds(1), 0, [this] { HandleRequests(); });
    RunFor(options.heartbeat_timeout + 2 * options.check_period);
  }
  SUBCASE("it had denied that it leads") { candidate.OnLeaderDenied(); }
  SUBCASE("the claim waits for the row of agents") {
    candidate.OnLeaderDenied();
    RunFor(options.contend_delay + milliseconds(20));
  }
  candidate.SetLeaderConnected(true);
  HandleRequests();
  const auto timer =
      loop.Every(milliseconds(1), 0, [this] { HandleRequests(); });
  RunFor(std::chrono::seconds(5));
  CHECK(StoredLeader().epoch == Epoch(1));
  CHECK(elections == 0);
}

// Guards against a leader that is replaced although it renews its heartbeat
// again before the claim is sent: the claim's own read shows the renewal, but
// only the version that it has read is a condition of the claim.
TEST_CASE("a claim is not sent after a renewal that its read shows") {
  int late_elections = 0;
  for (int renewed_at = 900; renewed_at < 1'500; renewed_at += 10) {
    CandidatesFixture f;
    LeadershipOptions options = WithoutJitter();
    options.contend_delay = milliseconds(100);
    f.AddCandidates({"a"}, options);
    f.candidates[0]->SetLeaderConnected(false);
    const auto requests =
        f.loop.Every(milliseconds(1), 0, [&f] { f.HandleRequests(); });
    f.RunFor(milliseconds(renewed_at));
    // Elected before the renewal, which then comes too late.
    if (f.elections > 0) continue;
    f.WriteHeartbeat();
    const auto renewals =
        f.loop.Every(milliseconds(400), 0, [&f] { f.WriteHeartbeat(); });
    f.RunFor(milliseconds(2'000));
    late_elections += f.elections;
  }
  CHECK(late_elections == 0);
}

// Guards against a follower that confirms to nobody for 20 s that it follows,
// and whose next claim is not bounded by the leader's last renewal: the row had
// named another leader before the reply to its claim was lost.
TEST_CASE_FIXTURE(CandidatesFixture,
                  "a claim without a reply has failed if another leader is "
                  "known") {
  AddCandidates({"a", "b"});
  for (const auto& candidate : candidates) candidate->OnLeaderDenied();
  SendClaims();
  table.Step();
  DeliverRow();
  table.Step(FaultyTable::Fault::kLoseRequest);
  HandleRequests();
  const auto& loser =
      candidates[0]->leading() ? *candidates[1] : *candidates[0];
  REQUIRE(leading() == 1);
  REQUIRE(loser.leader()->epoch == Epoch(2));
  CHECK_FALSE(loser.may_be_elected());
}

// Guards against an overloaded leader that nobody replaces: it yields anew
// while a request of the former attempt, which no longer holds, is in flight.
TEST_CASE_FIXTURE(CandidatesFixture,
                  "a follower contends if the leader yields anew") {
  AddCandidates({"a"});
  Leadership& candidate = *candidates[0];
  candidate.SetLeaderYielding(true);
  RunFor(milliseconds(5));
  REQUIRE(table.pending() >= 1);
  SUBCASE("while the rows are read") {}
  SUBCASE("while a claim is in flight that fails") {
    const std::size_t reads = table.pending();
    for (std::size_t i = 0; i < reads; ++i) table.Step();
    REQUIRE(table.pending() == 1);
    StoreAgents("1\na\nb\n");
  }
  candidate.SetLeaderYielding(false);
  candidate.SetLeaderYielding(true);
  const auto requests =
      loop.Every(milliseconds(1), 0, [this] { HandleRequests(); });
  const auto renewals =
      loop.Every(milliseconds(400), 0, [this] { WriteHeartbeat(); });
  RunFor(milliseconds(5'000));
  CHECK(elections == 1);
}

// Guards against a leader that is replaced although it renews its heartbeat:
// the connection over which it yielded is lost, and the claim, which has no
// condition on the heartbeat, is repeated.
TEST_CASE_FIXTURE(CandidatesFixture,
                  "a claim over a yielding leader is not repeated after the "
                  "connection is lost") {
  AddCandidates({"a"});
  Leadership& candidate = *candidates[0];
  candidate.SetLeaderYielding(true);
  SendClaims();
  candidate.SetLeaderConnected(false);
  StoreAgents("1\na\nb\n");
  const auto requests =
      loop.Every(milliseconds(1), 0, [this] { HandleRequests(); });
  const auto renewals =
      loop.Every(milliseconds(400), 0, [this] { WriteHeartbeat(); });
  RunFor(milliseconds(3'000));
  CHECK(StoredLeader().epoch == Epoch(1));
  CHECK(elections == 0);
}

}  // namespace
}  // namespace mangospread::dispatch::test
