// A process that resigns while its claim of the leadership is in flight, and is
// elected by it.
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "dispatch/node/node.hpp"
#include "dispatch/peer/channel.hpp"
#include "platform/codec.hpp"
#include "table/memory_table.hpp"
#include "unit/dispatch/node_options.hpp"
#include "unit/run_until.hpp"

namespace mangospread::dispatch::test {
namespace {

using mangospread::test::RunUntil;

/// One node's access to rows that several nodes share. The test can lose the
/// reply to a transaction, and all requests after it.
class TableLink final : public Table {
 public:
  TableLink(base::EventLoop& loop, table::MemoryRows& rows)
      : loop_(loop), rows_(rows) {}

  void Read(ReadRequest request, ReadCallback done) override {
    loop_.Post([this, request = std::move(request), done = std::move(done)] {
      if (cut) return done(Error{Errc::kTimeout, "table"});
      done(rows_.Read(request));
    });
  }

  void Transact(Transaction transaction, TransactCallback done) override {
    if (on_transact) std::exchange(on_transact, nullptr)();
    loop_.Post(
        [this, transaction = std::move(transaction), done = std::move(done)] {
          if (!cut) {
            TransactResult result = rows_.Transact(transaction);
            cut = cut_after_next;
            if (!cut) return done(std::move(result));
          }
          done({TransactResult::Status::kUnknown, {}, {}});
        });
  }

  /// Called when the next transaction is sent.
  std::function<void()> on_transact;
  bool cut_after_next = false;
  bool cut = false;

 private:
  base::EventLoop& loop_;
  table::MemoryRows& rows_;
};

struct ResignedClaimFixture {
  NodeDependencies Dependencies(TableLink& link) {
    return {loop,
            link,
            [](const WorkerInfo&) { return std::shared_ptr<WorkerLink>(); },
            platform::DecodeSubmission,
            [](Timing, MonotonicTime) {},
            [](bool) {}};
  }

  /// Lets the node claim the leadership of a group without a leader, and resign
  /// before the claim takes effect.
  void ElectResigned() {
    const auto bound = resigned.Start();
    REQUIRE(bound.ok());
    bool sent = false;
    resigned_link.on_transact = [&] {
      sent = true;
      resigned.Resign([] {});
    };
    resigned.OnLeaderRow(std::nullopt);
    RunUntil(loop, [&] { return sent; });
    RunUntil(loop, [&] { return StoredLeader().has_value(); });
    REQUIRE(StoredLeader()->node == NodeId("resigned"));
    REQUIRE(StoredLeader()->epoch == Epoch(1));
  }

  [[nodiscard]] std::optional<LeaderRecord> StoredLeader() const {
    const auto read = rows.Read({{kLeaderKey}, {}});
    if (read.empty()) return std::nullopt;
    LeaderRecord leader = DecodeLeader(read[0].value).value();
    leader.version = read[0].version;
    return leader;
  }

  base::EventLoop loop;
  table::MemoryRows rows;
  TableLink resigned_link{loop, rows};
  TableLink other_link{loop, rows};
  Node resigned{Dependencies(resigned_link), LocalNode("resigned")};
  Node other{Dependencies(other_link), LocalNode("other")};
};

// Guards against a vacancy that lasts as long as for a leader that may only be
// slow: the process was elected, and would never lead.
TEST_CASE_FIXTURE(ResignedClaimFixture,
                  "a process that was elected after it resigned is replaced") {
  SUBCASE("it knows that it was elected") {}
  SUBCASE("it does not reach the table any more") {
    resigned_link.cut_after_next = true;
  }
  ElectResigned();
  REQUIRE(other.Start().ok());
  other.OnLeaderRow(StoredLeader());
  RunUntil(loop, [&] { return other.leader() != nullptr; });
  CHECK(StoredLeader()->node == NodeId("other"));
  CHECK(StoredLeader()->epoch == Epoch(2));
  CHECK(resigned.leader() == nullptr);
}

// Guards against followers that wait for the heartbeat timeout: they contend at
// once if the elected process says of that epoch that it does not lead.
TEST_CASE_FIXTURE(
    ResignedClaimFixture,
    "a resigned process denies the election that a peer reports") {
  resigned_link.cut_after_next = true;
  ElectResigned();
  Hello hello;
  hello.node = NodeId("peer");
  hello.incarnation = Incarnation(2);
  hello.leader = *StoredLeader();
  hello.leader.version = RowVersion();  // Not known to peers.
  hello.epoch = hello.leader.epoch;
  std::vector<Hello> replies;
  ChannelHooks hooks;
  hooks.on_frame = [&](const Frame& frame) {
    if (const auto* reply = std::get_if<Hello>(&frame)) {
      replies.push_back(*reply);
    }
  };
  const auto channel =
      Channel::Connect(loop, hello.leader.address, {}, std::move(hooks));
  channel->Send(hello);
  RunUntil(loop, [&] { return !replies.empty(); });
  channel->Close();
  CHECK_FALSE(replies[0].leading);
  CHECK(replies[0].epoch == Epoch(1));
}

}  // namespace
}  // namespace mangospread::dispatch::test
