#include "dispatch/leader/leadership.hpp"

#include <doctest/doctest.h>

#include <vector>

#include "base/loop/clock.hpp"
#include "base/loop/simulated_clock.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::dispatch::test {
namespace {

using mangospread::test::FaultyTable;

/// A follower of a leader whose heartbeat row the test writes.
struct FollowerFixture {
  FollowerFixture() {
    table_timer = loop.Every(std::chrono::milliseconds(1), 0, [this] {
      while (table.pending() > 0) table.Step(fault);
    });
    LeaderRecord leader;
    leader.node = NodeId("leader");
    leader.incarnation = Incarnation(7);
    leader.address = {"10.0.0.1", 7'000};
    leader.epoch = Epoch(1);
    leader.version =
        table.rows.Transact({{}, {{kLeaderKey, EncodeLeader(leader)}}}).version;
    WriteHeartbeat();
    leadership.OnRow(leader);
    leadership.SetLeaderConnected(true);
    RunFor(std::chrono::milliseconds(50));
  }

  void WriteHeartbeat(const char* value = "1") {
    table.rows.Transact({{}, {{kHeartbeatKey, value}}});
  }

  void RunFor(MonotonicTime time) {
    const auto stop = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }

  MonotonicTime TimeUntilLeading() {
    const MonotonicTime start = base::MonotonicNow();
    while (!leadership.leading() &&
           base::MonotonicNow() - start < std::chrono::seconds(10)) {
      RunFor(std::chrono::milliseconds(10));
    }
    return base::MonotonicNow() - start;
  }

  static LeaderRecord Self() {
    LeaderRecord self;
    self.node = NodeId("follower");
    self.incarnation = Incarnation(8);
    self.address = {"10.0.0.2", 7'000};
    return self;
  }

  base::SimulatedClock clock;
  base::EventLoop loop;
  FaultyTable table;
  FaultyTable::Fault fault = FaultyTable::Fault::kNone;
  bool yielding = false;
  int step_downs = 0;
  base::Timer table_timer;
  Leadership leadership{loop,
                        table,
                        Self(),
                        LeadershipOptions(),
                        {[](const LeaderRecord&) {}, [](const LeaderRecord&) {},
                         [this] { ++step_downs; },
                         [this](bool is_yielding) { yielding = is_yielding; }}};
};

/// A follower that has replaced its leader.
struct ElectedFixture : FollowerFixture {
  ElectedFixture() {
    leadership.SetLeaderConnected(false);
    TimeUntilLeading();
    REQUIRE(leadership.leading());
  }

  /// Leaves the next renewal without a reply until the test steps the table.
  void HoldRenewal() {
    table_timer.reset();
    RunFor(std::chrono::milliseconds(500));
    REQUIRE(table.pending() == 1);
  }
};

// Guards against waiting as long for a killed leader, whose address refuses
// connections, as for one that may only be slow.
TEST_CASE("a leader whose address refuses connections is replaced sooner") {
  FollowerFixture follower;
  follower.leadership.SetLeaderConnected(false);
  follower.leadership.OnLeaderRefused();
  const MonotonicTime elapsed = follower.TimeUntilLeading();
  CHECK(elapsed > LeadershipOptions().heartbeat_timeout_when_refused);
  CHECK(elapsed < LeadershipOptions().heartbeat_timeout);
}

// Guards against replacing a leader after a short pause.
TEST_CASE_FIXTURE(
    FollowerFixture,
    "an unreachable leader is replaced after the heartbeat timeout") {
  leadership.SetLeaderConnected(false);
  const MonotonicTime elapsed = TimeUntilLeading();
  CHECK(elapsed > LeadershipOptions().heartbeat_timeout);
  CHECK(elapsed < std::chrono::milliseconds(1'500));
}

// Guards against a group that makes no progress until the leader steps down
// while the table refuses requests from the leader's VM only (two seconds in
// incidents inc-18f7 and inc-7091).
TEST_CASE_FIXTURE(FollowerFixture, "a leader that the table refuses yields") {
  leadership.SetLeaderConnected(false);
  RunFor(std::chrono::seconds(3));
  REQUIRE(leadership.leading());
  fault = FaultyTable::Fault::kRefuse;
  RunFor(std::chrono::milliseconds(1'700));
  CHECK(yielding);
  fault = FaultyTable::Fault::kNone;
  RunFor(std::chrono::seconds(1));
  CHECK_FALSE(yielding);
}

// Guards against followers that leave a leader when the table refuses everyone,
// so that the work of a whole fleet waits for the table.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a follower of a yielding leader waits for the table") {
  fault = FaultyTable::Fault::kRefuse;
  leadership.SetLeaderYielding(true);
  RunFor(std::chrono::seconds(3));
  CHECK_FALSE(leadership.leading());
  fault = FaultyTable::Fault::kNone;
  const auto heartbeat_timer = loop.Every(std::chrono::milliseconds(400), 0,
                                          [this] { WriteHeartbeat(); });
  RunFor(std::chrono::milliseconds(800));
  leadership.SetLeaderYielding(false);
  RunFor(std::chrono::seconds(3));
  CHECK_FALSE(leadership.leading());
}

// Guards against a group that makes no progress while the table refuses
// requests from the leader's VM only.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a connected follower replaces a yielding leader at once") {
  leadership.SetLeaderYielding(true);
  const MonotonicTime elapsed = TimeUntilLeading();
  CHECK(leadership.leading());
  CHECK(elapsed < LeadershipOptions().heartbeat_timeout);
}

// Guards against callers that wait until their deadlines for a leader that
// cannot keep up but renews its heartbeat (previsur-cuotas-large scale-2).
TEST_CASE_FIXTURE(FollowerFixture, "an overloaded leader yields") {
  leadership.SetLeaderConnected(false);
  RunFor(std::chrono::seconds(3));
  REQUIRE(leadership.leading());
  // It has not led for long.
  leadership.SetOverloaded(true);
  CHECK_FALSE(yielding);
  RunFor(LeadershipOptions().min_tenure);
  leadership.SetOverloaded(true);
  CHECK(yielding);
  leadership.SetOverloaded(false);
  CHECK_FALSE(yielding);
}

// Guards against a process that acts as leader after a pause during which
// another one may have been elected.
TEST_CASE_FIXTURE(FollowerFixture,
                  "leadership is confirmed by recent renewals only") {
  leadership.SetLeaderConnected(false);
  RunFor(std::chrono::seconds(3));
  REQUIRE(leadership.leading());
  CHECK(leadership.confirmed());
  // While the table does not answer, the work goes on.
  fault = FaultyTable::Fault::kRefuse;
  RunFor(std::chrono::seconds(3));
  CHECK(leadership.confirmed());
  table_timer.reset();
  RunFor(std::chrono::seconds(3));
  CHECK_FALSE(leadership.confirmed());
}

// Guards against a paused leader that takes the result of a renewal, which was
// waiting for it, for a recent one.
TEST_CASE_FIXTURE(ElectedFixture,
                  "a renewal confirms the time at which it was sent") {
  RunFor(std::chrono::seconds(1));
  // The table's replies are not read.
  table_timer.reset();
  RunFor(std::chrono::seconds(3));
  REQUIRE_FALSE(leadership.confirmed());
  const MonotonicTime confirmed_at = leadership.confirmed_at();
  CHECK(base::MonotonicNow() - confirmed_at > std::chrono::seconds(2));
  while (table.pending() > 0) table.Step();
  CHECK_FALSE(leadership.confirmed());
  CHECK(base::MonotonicNow() - leadership.confirmed_at() >
        std::chrono::seconds(2));
}

// Guards against a leader that permits less because single replies are lost,
// and against one that permits more than the next leader can know: that one
// counts from the heartbeat row.
TEST_CASE_FIXTURE(ElectedFixture, "a read confirms after a lost reply") {
  HoldRenewal();
  const MonotonicTime confirmed_at = leadership.confirmed_at();
  SUBCASE("the renewal took effect") {
    const MonotonicTime pending_since = base::MonotonicNow();
    RunFor(std::chrono::milliseconds(50));
    table.Step(FaultyTable::Fault::kLoseReply);
    CHECK(leadership.confirmed_at() == confirmed_at);
    REQUIRE(table.pending() == 1);
    table.Step();
    CHECK(leadership.confirmed_at() > confirmed_at);
    CHECK(leadership.confirmed_at() <= pending_since);
  }
  SUBCASE("the renewal was lost") {
    table.Step(FaultyTable::Fault::kLoseRequest);
    REQUIRE(table.pending() == 1);
    table.Step();
    CHECK(leadership.confirmed_at() == confirmed_at);
  }
}

// Guards against an answer on behalf of a leader that was replaced after the
// confirmation which it relies on was sent.
TEST_CASE_FIXTURE(ElectedFixture,
                  "a question is answered by a renewal sent after it") {
  HoldRenewal();
  std::optional<bool> leads;
  leadership.Confirm([&](bool answer) { leads = answer; });
  RunFor(std::chrono::milliseconds(10));
  CHECK_FALSE(leads);
  SUBCASE("it leads") {
    table.Step();
    CHECK_FALSE(leads);
    REQUIRE(table.pending() == 1);
    table.Step();
    CHECK(leads == true);
  }
  SUBCASE("it leads, but the reply is lost") {
    table.Step();
    table.Step(FaultyTable::Fault::kLoseReply);
    CHECK_FALSE(leads);
    table.Step();
    CHECK(leads == true);
  }
  SUBCASE("the table does not confirm") {
    table.Step(FaultyTable::Fault::kRefuse);
    CHECK(leads == false);
  }
  SUBCASE("it was replaced") {
    table.Step();
    table.rows.Transact({{}, {{kLeaderKey, EncodeLeader(Self())}}});
    table.Step();
    CHECK(leads == false);
    CHECK(step_downs == 1);
  }
}

// Guards against a paused process that answers before it has learnt that it was
// replaced.
TEST_CASE_FIXTURE(ElectedFixture, "a question after a pause is refused") {
  table_timer.reset();
  RunFor(LeadershipOptions().confirmation_timeout + std::chrono::seconds(1));
  std::optional<bool> leads;
  leadership.Confirm([&](bool answer) { leads = answer; });
  CHECK(leads == false);
}

// Guards against a new leader whose first write conflicts because the table
// replied to its claim with the table's newest version instead of the row's
// (scenario trouble-3, seed 11).
TEST_CASE_FIXTURE(FollowerFixture, "a leader uses the version of its own row") {
  table.reported_version_offset = 5;
  leadership.SetLeaderConnected(false);
  TimeUntilLeading();
  REQUIRE(leadership.leading());
  const auto rows = table.rows.Read({{kLeaderKey}, {}});
  REQUIRE(rows.size() == 1);
  CHECK(leadership.leader()->version == rows[0].version);
  RunFor(std::chrono::seconds(2));
  CHECK(step_downs == 0);
}

// Guards against becoming leader through a follower's hello that arrives before
// the row was read (incident inc-334b). A hello carries no row version, and a
// leader without one steps down at its first write.
TEST_CASE_FIXTURE(FollowerFixture, "a hello does not elect a leader") {
  leadership.SetLeaderConnected(false);
  LeaderRecord hello_leader = Self();
  hello_leader.epoch = Epoch(2);
  auto claim = hello_leader;
  table.rows.Transact({{}, {{kLeaderKey, EncodeLeader(claim)}}});
  leadership.OnRow(hello_leader);
  CHECK_FALSE(leadership.leading());
  RunFor(std::chrono::milliseconds(50));
  REQUIRE(leadership.leading());
  CHECK(leadership.leader()->version ==
        table.rows.Read({{kLeaderKey}, {}})[0].version);
  RunFor(std::chrono::seconds(2));
  CHECK(step_downs == 0);
}

// Guards against repeatedly replacing a working leader because a single link
// refuses connections.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a leader that renews its heartbeat is not replaced") {
  const auto heartbeat_timer = loop.Every(std::chrono::milliseconds(400), 0,
                                          [this] { WriteHeartbeat(); });
  leadership.SetLeaderConnected(false);
  leadership.OnLeaderRefused();
  RunFor(std::chrono::seconds(5));
  CHECK_FALSE(leadership.leading());
}

// Guards against lost work that waits longer than a former leader can act: it
// is counted from the election instead of the leader's last renewal.
TEST_CASE_FIXTURE(FollowerFixture,
                  "the last renewal of the former leader is known") {
  WriteHeartbeat("1 4 4200");
  leadership.SetLeaderConnected(false);
  RunFor(std::chrono::milliseconds(100));
  WriteHeartbeat("1 5 4200");
  const MonotonicTime renewed_at = base::MonotonicNow();
  TimeUntilLeading();
  REQUIRE(leadership.leading());
  REQUIRE(leadership.former_renewed_by());
  CHECK(*leadership.former_renewed_by() >= renewed_at);
  // The row is read each check period, which varies by a fifth.
  CHECK(*leadership.former_renewed_by() <=
        renewed_at + LeadershipOptions().check_period * 6 / 5 +
            std::chrono::milliseconds(5));
}

// Guards against a wait that is too short: the row does not show what confirms
// a leader of a former version, or one of an earlier epoch.
TEST_CASE_FIXTURE(FollowerFixture,
                  "other heartbeat rows say nothing of the last renewal") {
  SUBCASE("a former version") { WriteHeartbeat("1"); }
  SUBCASE("an earlier epoch") { WriteHeartbeat("0 7 4200"); }
  SUBCASE("a longer epoch with the same digits") {
    WriteHeartbeat("11 7 4200");
  }
  leadership.SetLeaderConnected(false);
  TimeUntilLeading();
  REQUIRE(leadership.leading());
  CHECK_FALSE(leadership.former_renewed_by());
  CHECK(leadership.former_lease() == kFormerVersionLease);
}

// Guards against a second run during an upgrade: leases of agents of a former
// version, which the former leader has counted, count on.
TEST_CASE_FIXTURE(FollowerFixture, "the longest lease is handed over") {
  WriteHeartbeat("1 4 6000");
  leadership.SetLeaderConnected(false);
  TimeUntilLeading();
  REQUIRE(leadership.leading());
  CHECK(leadership.former_lease() == Milliseconds(6'000));
  const auto rows = table.rows.Read({{kHeartbeatKey}, {}});
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].value == "2 0 6000");
}

// Guards against a leader that is replaced although it has just renewed its
// heartbeat, and whose next one would count too short.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a claim fails if the heartbeat is renewed before it") {
  WriteHeartbeat("1 4 4200");
  leadership.SetLeaderConnected(false);
  RunFor(std::chrono::milliseconds(5));
  table_timer.reset();
  leadership.OnLeaderDenied();
  RunFor(std::chrono::milliseconds(200));
  // The reads of the checks and of the claim, then the claim.
  const auto reads = table.pending();
  for (std::size_t i = 0; i < reads; ++i) table.Step();
  REQUIRE(table.pending() == 1);
  WriteHeartbeat("1 5 4200");
  table.Step();
  const auto rows = table.rows.Read({{kLeaderKey}, {}});
  REQUIRE(rows.size() == 1);
  CHECK(DecodeLeader(rows[0].value).value().epoch == Epoch(1));
}

// Guards against work that stops for good under a leader which nobody replaces:
// every renewal is unanswered, so none is confirmed by its own read, and since
// the reads are answered, the leader does not yield either.
TEST_CASE_FIXTURE(ElectedFixture,
                  "a leader without answers to renewals confirms or yields") {
  bool late = false;
  SUBCASE("each takes effect half a second after its timeout") { late = true; }
  SUBCASE("each is lost") {}
  table_timer.reset();
  while (table.pending() > 0) table.Step();
  std::vector<base::Timer> deliveries;
  for (int i = 0; i < 15; ++i) {
    while (table.pending() == 0) RunFor(std::chrono::milliseconds(10));
    RunFor(std::chrono::seconds(1));
    REQUIRE(table.pending() == 1);
    table.Step(late ? FaultyTable::Fault::kDelayRequest
                    : FaultyTable::Fault::kLoseRequest);
    if (late) {
      deliveries.push_back(loop.After(std::chrono::milliseconds(500),
                                      [this] { table.DeliverDelayed(); }));
    }
    // The read after the lost reply.
    REQUIRE(table.pending() == 1);
    table.Step();
  }
  REQUIRE(leadership.leading());
  const auto age = base::MonotonicNow() - leadership.confirmed_at();
  const bool recent = age <= std::chrono::seconds(5);
  CHECK((recent || yielding));
}

}  // namespace
}  // namespace mangospread::dispatch::test
