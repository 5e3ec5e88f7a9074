// Calls that a stopping node has not answered yet.
#include <doctest/doctest.h>

#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "dispatch/node/node.hpp"
#include "dispatch/peer/channel.hpp"
#include "platform/codec.hpp"
#include "unit/dispatch/node_options.hpp"
#include "unit/run_until.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::dispatch::test {
namespace {

using mangospread::test::FaultyTable;
using mangospread::test::RunUntil;

/// A leader with submissions that the table has not answered, one of its own
/// caller and one that a peer has forwarded.
struct StoringLeaderFixture {
  StoringLeaderFixture() {
    table_timer = loop.Every(std::chrono::milliseconds(1), 0, [this] {
      while (table.pending() > 0) table.Step();
    });
    const auto bound = node.Start();
    REQUIRE(bound.ok());
    node.OnLeaderRow(std::nullopt);
    RunUntil(loop, [&] {
      return node.leader() != nullptr && node.leader()->loaded();
    });
    table_timer.reset();
    ChannelHooks hooks;
    hooks.on_frame = [this](const Frame& frame) {
      if (const auto* reply = std::get_if<ReplyFrame>(&frame)) {
        peer_replies.push_back(reply->reply.result);
      }
    };
    peer = Channel::Connect(loop, bound.value(), {}, std::move(hooks));
    peer->Send(CallFrame{1, MakeSubmission("00000000000000aa")});
    RunUntil(loop, [&] { return table.pending() > 0; });
    Submit("00000000000000bb");
  }
  ~StoringLeaderFixture() { peer->Close(); }
  StoringLeaderFixture(const StoringLeaderFixture&) = delete;
  StoringLeaderFixture& operator=(const StoringLeaderFixture&) = delete;

  static ServiceCall MakeSubmission(const char* id) {
    ServiceCall call;
    call.verb = ServiceVerb::kSubmit;
    call.submission = SubmissionId(id);
    call.payload = R"({"spec":"s","steps":[{"count":1,"cpu":1,"mem-mb":1,)"
                   R"("estimate-ms":1}]})";
    return call;
  }
  void Submit(const char* id) {
    node.Handle(MakeSubmission(id), [this](const ServiceReply& reply) {
      replies.push_back(reply.result);
    });
  }

  base::EventLoop loop;
  FaultyTable table;
  base::Timer table_timer;
  std::vector<ServiceResult> replies;
  std::vector<ServiceResult> peer_replies;
  std::shared_ptr<Channel> peer;
  Node node{
      {loop, table,
       [](const WorkerInfo&) { return std::shared_ptr<WorkerLink>(); },
       platform::DecodeSubmission, [](Timing, MonotonicTime) {}, [](bool) {}},
      LocalNode("n1")};
};

// Guards against callers and peers without an answer, and against a refusal of
// a submission that the table may store, when the leader that stores it is
// destroyed.
TEST_CASE_FIXTURE(
    StoringLeaderFixture,
    "submissions in flight of a leader that resigns are unknown") {
  node.Resign([] {});
  REQUIRE(node.leader() == nullptr);
  SUBCASE("after the wait for a leader") {}
  SUBCASE("when the node closes its calls") { node.CloseCalls(); }
  RunUntil(loop, [&] { return !replies.empty() && !peer_replies.empty(); });
  CHECK(replies == std::vector{ServiceResult::kUnknown});
  CHECK(peer_replies == std::vector{ServiceResult::kUnknown});
  replies.clear();
  while (table.pending() > 0) table.Step();
  Submit("00000000000000cc");
  CHECK(replies == std::vector{ServiceResult::kRefused});
  peer->Send(CallFrame{2, MakeSubmission("00000000000000dd")});
  RunUntil(loop, [&] { return peer_replies.size() > 1; });
  CHECK(peer_replies.back() == ServiceResult::kRefused);
}

// Guards against the same when the process ends while it still leads.
TEST_CASE_FIXTURE(StoringLeaderFixture,
                  "a leader that closes its calls answers them once") {
  node.CloseCalls();
  CHECK(replies == std::vector{ServiceResult::kUnknown});
  RunUntil(loop, [&] { return !peer_replies.empty(); });
  CHECK(peer_replies == std::vector{ServiceResult::kUnknown});
  while (table.pending() > 0) table.Step();
  CHECK(replies.size() == 1);
}

// Guards against a process that ends because its node forwards a call as the
// leader that it was until its rows arrived.
TEST_CASE("a leader that resigns while it loads serves no calls") {
  base::EventLoop loop;
  FaultyTable table;
  Node node{
      {loop, table,
       [](const WorkerInfo&) { return std::shared_ptr<WorkerLink>(); },
       platform::DecodeSubmission, [](Timing, MonotonicTime) {}, [](bool) {}},
      LocalNode("n1")};
  REQUIRE(node.Start().ok());
  std::vector<ServiceResult> replies;
  node.Handle(
      StoringLeaderFixture::MakeSubmission("00000000000000aa"),
      [&](const ServiceReply& reply) { replies.push_back(reply.result); });
  node.OnLeaderRow(std::nullopt);
  RunUntil(loop, [&] {
    if (node.leader() != nullptr) return true;
    while (table.pending() > 0 && node.leader() == nullptr) table.Step();
    return false;
  });
  REQUIRE_FALSE(node.leader()->loaded());
  node.Resign([] {});
  while (table.pending() > 0) table.Step();
  RunUntil(loop, [&] { return !replies.empty(); });
  CHECK(replies == std::vector{ServiceResult::kRefused});
}

}  // namespace
}  // namespace mangospread::dispatch::test
