#include "dispatch/leader/leadership.hpp"

#include <doctest/doctest.h>

#include "base/loop/simulated_clock.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::dispatch::test {
namespace {

/// A follower of a leader whose heartbeat row the test writes.
struct FollowerFixture {
  FollowerFixture() {
    serve = loop.Every(std::chrono::milliseconds(1), 0, [this] {
      while (table.pending() > 0) table.Step();
    });
    LeaderRecord leader;
    leader.node = NodeId("leader");
    leader.incarnation = Incarnation(7);
    leader.address = {"10.0.0.1", 7'000};
    leader.epoch = Epoch(1);
    leader.version =
        table.rows.Transact({{}, {{kLeaderKey, EncodeLeader(leader)}}}).version;
    Beat();
    leadership.OnRow(leader);
    leadership.SetLeaderConnected(true);
    RunFor(std::chrono::milliseconds(50));
  }

  void Beat() { table.rows.Transact({{}, {{kHeartbeatKey, "1"}}}); }

  void RunFor(MonotonicTime time) {
    const auto stop = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
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
  mangospread::test::FaultyTable table;
  base::Timer serve;
  Leadership leadership{loop,
                        table,
                        Self(),
                        LeadershipOptions(),
                        {[](const LeaderRecord&) {}, [](const LeaderRecord&) {},
                         [] {}, [](bool) {}}};
};

// Guards against a killed leader whose place stays empty as long as that of
// one that may only be slow.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a leader whose address refuses is replaced sooner") {
  leadership.SetLeaderConnected(false);
  leadership.OnLeaderRefused();
  RunFor(std::chrono::milliseconds(1'150));
  CHECK(leadership.leading());
}

TEST_CASE_FIXTURE(FollowerFixture, "a silent leader is waited for") {
  leadership.SetLeaderConnected(false);
  RunFor(std::chrono::milliseconds(1'150));
  CHECK_FALSE(leadership.leading());
  RunFor(std::chrono::milliseconds(1'000));
  CHECK(leadership.leading());
}

// Guards against a leader that is replaced again and again because one link
// refuses connections while it works.
TEST_CASE_FIXTURE(FollowerFixture, "a leader that renews keeps its role") {
  const auto beat =
      loop.Every(std::chrono::milliseconds(400), 0, [this] { Beat(); });
  leadership.SetLeaderConnected(false);
  leadership.OnLeaderRefused();
  RunFor(std::chrono::seconds(5));
  CHECK_FALSE(leadership.leading());
}

}  // namespace
}  // namespace mangospread::dispatch::test
