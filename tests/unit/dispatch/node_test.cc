// Frames that a leader does not expect.
#include "dispatch/node/node.hpp"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/peer/channel.hpp"
#include "platform/codec.hpp"
#include "table/memory_table.hpp"
#include "unit/dispatch/node_options.hpp"
#include "unit/run_until.hpp"

namespace mangospread::dispatch::test {
namespace {

using mangospread::test::RunUntil;

/// A worker that never replies.
class SilentLink final : public WorkerLink {
 public:
  [[nodiscard]] bool Connected() const override { return false; }
  void RenewLease(const RenewCommand& /*command*/,
                  RenewCallback /*done*/) override {}
  void Start(const StartCommand& /*command*/,
             CommandCallback /*done*/) override {}
  void Stop(const std::string& /*task*/, Attempt /*run*/, WorkerFence /*fence*/,
            CommandCallback /*done*/) override {}
  void Throttle(const std::string& /*task*/, Attempt /*run*/, int /*percent*/,
                WorkerFence /*fence*/, CommandCallback /*done*/) override {}
};

/// A node that leads without followers, after a leader with one worker.
struct LeaderFixture {
  LeaderFixture() {
    bool stored = false;
    table.Transact({{}, {{"roster/workers", "w1\n"}}},
                   [&](const TransactResult&) { stored = true; });
    RunUntil(loop, [&] { return stored; });
    WorkerInfo worker;
    worker.vm = VmName("w1");
    worker.address = {"127.0.0.1", 1};
    node.OnWorkers({{worker.vm, worker}});
    const auto bound = node.Start();
    REQUIRE(bound.ok());
    address = bound.value();
    node.OnLeaderRow(std::nullopt);
    RunUntil(loop, [&] {
      return node.leader() != nullptr && node.leader()->loaded();
    });
    // The worker of the former leader is assigned, but not attached.
    RunUntil(loop, [&] { return links > 0; });
  }

  base::EventLoop loop;
  table::MemoryTable table{
      [this](std::function<void()> fn) { loop.Post(std::move(fn)); }};
  int links = 0;  ///< Workers that were assigned to this node's agent.
  Node node{
      {loop, table,
       [this](const WorkerInfo&) {
         ++links;
         return std::make_shared<SilentLink>();
       },
       platform::DecodeSubmission, [](Timing, MonotonicTime) {}, [](bool) {}},
      LocalNode("n1")};
  Address address;
};

/// Frames of every kind that name unknown and known objects.
std::vector<Frame> OddFrames() {
  const auto event = [](decltype(AgentEvent::details) details) {
    return Frame(AgentEvent{VmName("w1"), WorkerFence(1), std::move(details)});
  };
  FormerLeaderRuns runs;
  runs.worker.vm = VmName("w1");
  runs.runs = {{"a.0.0.0", Attempt(1)}};
  runs.renewing = true;
  FormerLeaderRuns ended = runs;
  ended.ended = true;
  FormerLeaderRuns unknown = runs;
  unknown.worker.vm = VmName("?");
  CallFrame submit{1, {ServiceVerb::kSubmit, SubmissionId("a"), {}, "{"}};
  CallFrame state{2, {ServiceVerb::kState, SubmissionId(""), {}, ""}};
  return {unknown,
          runs,
          ended,
          event(Attached()),
          event(WorkerSuperseded()),
          event(WorkerEnded()),
          event(WorkerUnreachable()),
          AgentCommand(Release{VmName("w1")}),
          ReplyFrame{1, {}},
          submit,
          state,
          Ping()};
}

/// A channel to the node that counts the replies to its calls.
struct Peer {
  Peer(base::EventLoop& loop, const Address& address) {
    ChannelHooks hooks;
    hooks.on_frame = [this](const Frame& frame) {
      const auto* reply = std::get_if<ReplyFrame>(&frame);
      if (reply != nullptr && reply->id == kSyncId) ++replies;
    };
    channel = Channel::Connect(loop, address, {}, std::move(hooks));
  }
  ~Peer() { channel->Close(); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  void SendHello() const {
    Hello hello;
    hello.node = NodeId("peer");
    hello.incarnation = Incarnation(2);
    channel->Send(hello);
  }
  /// Waits until the node has handled all frames that were sent.
  void Synchronise(base::EventLoop& loop) {
    ServiceCall call;
    call.verb = ServiceVerb::kPending;
    channel->Send(CallFrame{kSyncId, call});
    const int expected = replies + 1;
    CHECK_NOTHROW(RunUntil(loop, [&] { return replies >= expected; }));
  }

  static constexpr std::uint64_t kSyncId = 1'000;
  std::shared_ptr<Channel> channel;
  int replies = 0;
};

// Guards against a leader that ends because a peer sends frames before it has
// introduced itself, or of a kind that only a leader sends.
TEST_CASE_FIXTURE(LeaderFixture, "odd frames do not end the leader") {
  for (const bool introduced : {false, true}) {
    CAPTURE(introduced);
    Peer peer(loop, address);
    if (introduced) peer.SendHello();
    for (const Frame& frame : OddFrames()) peer.channel->Send(frame);
    peer.Synchronise(loop);
    CHECK(peer.channel->open());
  }
  CHECK(node.leader() != nullptr);
}

// Guards against a peer that is taken for connected although the leader has
// closed its channel on the second introduction.
TEST_CASE_FIXTURE(LeaderFixture, "a repeated hello keeps the channel") {
  Peer peer(loop, address);
  peer.SendHello();
  peer.Synchronise(loop);
  peer.SendHello();
  peer.Synchronise(loop);
  CHECK(peer.channel->open());
}

}  // namespace
}  // namespace mangospread::dispatch::test
