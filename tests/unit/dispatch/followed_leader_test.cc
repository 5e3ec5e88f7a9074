// What a leader without the table permits, by what its followers confirm.
#include <doctest/doctest.h>

#include <memory>
#include <utility>

#include "dispatch/node/node.hpp"
#include "dispatch/peer/channel.hpp"
#include "platform/codec.hpp"
#include "unit/dispatch/node_options.hpp"
#include "unit/run_until.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::dispatch::test {
namespace {

using mangospread::test::FaultyTable;
using mangospread::test::RunFor;
using mangospread::test::RunUntil;
using std::chrono::milliseconds;
using Fault = FaultyTable::Fault;

/// A follower whose process goes on, whether it confirms or not.
class Follower {
 public:
  Follower(base::EventLoop& loop, const Address& address, const char* name) {
    ChannelHooks hooks;
    hooks.permission = [this] {
      return confirms ? Permission::kStarts : Permission::kNone;
    };
    hooks.on_confirmed = [this](MonotonicTime sent_at, Permission permission) {
      if (permission == Permission::kStarts) starts_since_ = sent_at;
    };
    channel_ = Channel::Connect(loop, address, {}, std::move(hooks));
    Hello hello;
    hello.node = NodeId(name);
    hello.incarnation = Incarnation(2);
    channel_->Send(hello);
  }
  ~Follower() { channel_->Close(); }
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  /// Time of the newest message in reply to which the leader permitted starts.
  [[nodiscard]] MonotonicTime starts_since() const { return starts_since_; }
  [[nodiscard]] bool connected() const { return channel_->open(); }

  bool confirms = true;

 private:
  MonotonicTime starts_since_{0};
  std::shared_ptr<Channel> channel_;
};

/// A leader with two followers, whose names it has stored.
struct FollowedFixture {
  /// With times that a busy machine can tell apart.
  static NodeOptions Options() {
    NodeOptions options = LocalNode("leader");
    options.leader.permission_timeouts.leases = Milliseconds(3'000);
    return options;
  }

  FollowedFixture() {
    table_timer = loop.Every(milliseconds(1), 0, [this] {
      while (table.pending() > 0) table.Step(fault);
    });
    const auto bound = node.Start();
    REQUIRE(bound.ok());
    node.OnLeaderRow(std::nullopt);
    RunUntil(loop, [&] {
      return node.leader() != nullptr && node.leader()->loaded();
    });
    first = std::make_unique<Follower>(loop, bound.value(), "first");
    second = std::make_unique<Follower>(loop, bound.value(), "second");
    RunUntil(loop, [&] {
      const auto rows = table.rows.Read({{kAgentsKey}, {}});
      return !rows.empty() && rows[0].value == "1\nfirst\nsecond\n" &&
             first->starts_since().count() > 0 &&
             second->starts_since().count() > 0;
    });
  }

  base::EventLoop loop;
  FaultyTable table;
  Fault fault = Fault::kNone;
  base::Timer table_timer;
  Node node{
      {loop, table,
       [](const WorkerInfo&) { return std::shared_ptr<WorkerLink>(); },
       platform::DecodeSubmission, [](Timing, MonotonicTime) {}, [](bool) {}},
      Options()};
  std::unique_ptr<Follower> first;
  std::unique_ptr<Follower> second;
};

// Guards against work that stops while nobody reaches the table.
TEST_CASE_FIXTURE(FollowedFixture,
                  "a leader without the table goes on while all follow it") {
  fault = Fault::kRefuse;
  const MonotonicTime end = base::MonotonicNow() + milliseconds(4'000);
  while (base::MonotonicNow() < end) {
    RunFor(loop, milliseconds(100));
    const MonotonicTime now = base::MonotonicNow();
    CHECK(now - first->starts_since() < milliseconds(800));
    CHECK(now - second->starts_since() < milliseconds(800));
  }
}

// Guards against starts by a leader that was paused until it was replaced: the
// connection to the node that was elected is still open, or its hellos from
// before have just been read (TWICE).
TEST_CASE_FIXTURE(FollowedFixture,
                  "an open connection is no sign of a follower") {
  fault = Fault::kRefuse;
  second->confirms = false;
  const MonotonicTime cut_at = base::MonotonicNow();
  RunFor(loop, milliseconds(2'500));
  CHECK(second->connected());
  const PermissionTimeouts timeouts = Options().leader.permission_timeouts;
  constexpr MonotonicTime kLeewayOfRoundTrip = milliseconds(100);
  CHECK(first->starts_since() <= cut_at + timeouts.starts + kLeewayOfRoundTrip);
  CHECK(node.permission() == Permission::kLeases);
  RunFor(loop, milliseconds(1'000));
  CHECK(second->connected());
  CHECK(node.permission() == Permission::kNone);
  second->confirms = true;
  RunUntil(loop, [&] { return node.permission() == Permission::kStarts; });
}

}  // namespace
}  // namespace mangospread::dispatch::test
