// A follower that learns of an election before the elected process does.
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

using mangospread::test::RunFor;
using mangospread::test::RunUntil;
using std::chrono::milliseconds;

/// One node's access to rows that several nodes share. Requests take effect at
/// once; the test can hold back their replies.
class HeldTable final : public Table {
 public:
  HeldTable(base::EventLoop& loop, table::MemoryRows& rows)
      : loop_(loop), rows_(rows) {}

  void Read(ReadRequest request, ReadCallback done) override {
    Reply([rows = rows_.Read(request), done = std::move(done)] { done(rows); });
  }

  void Transact(Transaction transaction, TransactCallback done) override {
    Reply([result = rows_.Transact(transaction), done = std::move(done)] {
      done(result);
    });
  }

  void Release() {
    holds = false;
    for (auto& reply : std::exchange(held_, {})) loop_.Post(std::move(reply));
  }

  [[nodiscard]] std::size_t held() const { return held_.size(); }

  bool holds = false;

 private:
  void Reply(std::function<void()> reply) {
    if (holds) {
      held_.push_back(std::move(reply));
    } else {
      loop_.Post(std::move(reply));
    }
  }

  base::EventLoop& loop_;
  table::MemoryRows& rows_;
  std::vector<std::function<void()>> held_;
};

/// Longer than a test runs after the elected process knows that it leads.
constexpr Milliseconds kReconnectDelay{3'000};

NodeOptions Follower() {
  NodeOptions options = LocalNode("follower");
  options.reconnect_delay = kReconnectDelay;
  return options;
}

struct UnawareLeaderFixture {
  NodeDependencies Dependencies(Table& table) {
    return {loop,
            table,
            [](const WorkerInfo&) { return std::shared_ptr<WorkerLink>(); },
            platform::DecodeSubmission,
            [](Timing, MonotonicTime) {},
            [](bool) {}};
  }

  [[nodiscard]] std::optional<LeaderRecord> StoredLeader() const {
    const auto read = rows.Read({{kLeaderKey}, {}});
    if (read.empty()) return std::nullopt;
    LeaderRecord leader = DecodeLeader(read[0].value).value();
    leader.version = read[0].version;
    return leader;
  }

  [[nodiscard]] bool FollowerStored() const {
    const auto read = rows.Read({{kAgentsKey}, {}});
    return !read.empty() && read[0].value.find("follower") != std::string::npos;
  }

  base::EventLoop loop;
  table::MemoryRows rows;
  HeldTable elected_table{loop, rows};
  HeldTable follower_table{loop, rows};
  Node elected{Dependencies(elected_table), LocalNode("elected")};
  Node follower{Dependencies(follower_table), Follower()};
};

// Guards against a takeover that waits for the reconnect delay of a follower
// that the elected process has denied, since it had not read its row yet.
TEST_CASE_FIXTURE(UnawareLeaderFixture,
                  "a follower is connected as soon as the leader knows") {
  REQUIRE(elected.Start().ok());
  REQUIRE(follower.Start().ok());
  elected_table.holds = true;
  elected.OnLeaderRow(std::nullopt);
  RunUntil(loop, [&] { return StoredLeader().has_value(); });
  REQUIRE(StoredLeader()->node == NodeId("elected"));
  follower.OnLeaderRow(StoredLeader());
  // The hello of the follower lets the elected process read its row.
  RunUntil(loop, [&] { return elected_table.held() >= 2; });
  RunFor(loop, milliseconds(50));
  REQUIRE(elected.leader() == nullptr);

  elected_table.Release();
  RunUntil(loop, [&] { return elected.leader() != nullptr; });
  const MonotonicTime elected_at = base::MonotonicNow();
  RunUntil(loop, [&] {
    return follower.ready() && FollowerStored() &&
           follower.permission() == Permission::kStarts;
  });
  CHECK(base::MonotonicNow() - elected_at < milliseconds(1'500));
  // The attempt that was to follow a denial doesn't close the channel.
  const MonotonicTime end = base::MonotonicNow() + kReconnectDelay;
  while (base::MonotonicNow() < end) {
    RunFor(loop, milliseconds(100));
    CHECK(follower.ready());
  }
  CHECK(StoredLeader()->epoch == Epoch(1));
}

// Guards against a follower that waits for an announcement for ever: the
// elected process may lead, or follow a newer leader, without having sent one
// on this channel.
TEST_CASE_FIXTURE(UnawareLeaderFixture,
                  "a follower asks again if the leader announces nothing") {
  std::vector<std::shared_ptr<Channel>> accepted;
  LeaderRecord record;
  record.node = NodeId("elected");
  record.incarnation = Incarnation(7);
  record.epoch = Epoch(1);
  record.version = RowVersion(1);
  ChannelListener listener(
      loop, ChannelTimeouts(), [&](std::shared_ptr<Channel> channel) {
        ChannelHooks hooks;
        hooks.on_frame = [&accepted, &record,
                          raw = channel.get()](const Frame& frame) {
          if (!std::holds_alternative<Hello>(frame)) return;
          Hello hello;
          hello.node = record.node;
          hello.incarnation = record.incarnation;
          // The second channel is that to a leader.
          hello.leading = accepted.size() > 1;
          if (hello.leading) hello.epoch = record.epoch;
          raw->Send(hello);
        };
        channel->SetHooks(std::move(hooks));
        accepted.push_back(std::move(channel));
      });
  const auto bound = listener.Listen({"127.0.0.1", 0});
  REQUIRE(bound.ok());
  record.address = bound.value();
  NodeOptions options = Follower();
  options.reconnect_delay = Milliseconds(100);
  Node asking(Dependencies(follower_table), options);
  REQUIRE(asking.Start().ok());
  asking.OnLeaderRow(record);
  RunUntil(loop, [&] { return accepted.size() == 1; });
  RunUntil(loop, [&] { return asking.ready(); });
  CHECK(accepted.size() == 2);
  for (const auto& channel : accepted) channel->Close();
}

}  // namespace
}  // namespace mangospread::dispatch::test
