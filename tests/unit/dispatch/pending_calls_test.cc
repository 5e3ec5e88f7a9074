#include "dispatch/node/pending_calls.hpp"

#include <doctest/doctest.h>

#include "base/loop/simulated_clock.hpp"

namespace mangospread::dispatch::test {
namespace {

struct PendingCallsFixture {
  void Add(ServiceVerb verb) {
    ServiceCall call;
    call.verb = verb;
    call.submission = SubmissionId("00000000000000aa");
    calls.Add(std::move(call), [this](const ServiceReply& reply) {
      replies.push_back(reply.result);
    });
  }

  void RunFor(MonotonicTime time) {
    const auto stop = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }

  static ServiceReply Reply(ServiceResult result) {
    ServiceReply reply;
    reply.result = result;
    return reply;
  }

  base::SimulatedClock clock;
  base::EventLoop loop;
  std::vector<std::uint64_t> forwarded;
  std::vector<ServiceResult> replies;
  PendingCalls calls{loop, PendingCallsOptions(),
                     [this](std::uint64_t id, const ServiceCall& /*call*/) {
                       forwarded.push_back(id);
                     }};
};

// Guards against refused calls, which callers retry after a second, although a
// takeover under load takes only half a second.
TEST_CASE_FIXTURE(PendingCallsFixture, "calls wait for the next leader") {
  Add(ServiceVerb::kSubmit);
  RunFor(std::chrono::milliseconds(500));
  CHECK(replies.empty());
  calls.SetLeaderAvailable(true);
  REQUIRE(forwarded.size() == 1);
  calls.Finish(forwarded[0], Reply(ServiceResult::kOk));
  CHECK(replies == std::vector{ServiceResult::kOk});
}

// Guards against calls that wait throughout a long outage.
TEST_CASE_FIXTURE(PendingCallsFixture,
                  "waiting calls are refused after the leader wait") {
  Add(ServiceVerb::kSubmit);
  RunFor(std::chrono::milliseconds(750));
  CHECK(replies == std::vector{ServiceResult::kRefused});
  Add(ServiceVerb::kState);
  CHECK(replies.size() == 2);
  calls.SetLeaderAvailable(true);
  CHECK(forwarded.empty());
}

// Guards against reporting kRefused for a submission that the former leader may
// have stored. A refusal by the next leader does not cover the former one.
TEST_CASE_FIXTURE(PendingCallsFixture,
                  "a submission sent to a former leader is never refused") {
  calls.SetLeaderAvailable(true);
  Add(ServiceVerb::kSubmit);
  Add(ServiceVerb::kState);
  REQUIRE(forwarded.size() == 2);
  calls.SetLeaderAvailable(false);
  const auto former_ids = forwarded;
  calls.SetLeaderAvailable(true);
  REQUIRE(forwarded.size() == 4);
  // Late replies of the former leader are ignored.
  calls.Finish(former_ids[0], Reply(ServiceResult::kRefused));
  CHECK(replies.empty());
  calls.Finish(forwarded[2], Reply(ServiceResult::kRefused));
  CHECK(replies == std::vector{ServiceResult::kUnknown});
  calls.Finish(forwarded[3], Reply(ServiceResult::kRefused));
  CHECK(replies.back() == ServiceResult::kRefused);
}

// Guards against a caller whose whole timeout passes between an unreachable
// leader and the wait for the next one.
TEST_CASE_FIXTURE(PendingCallsFixture,
                  "a call that was forwarded before waits for a shorter time") {
  calls.SetLeaderAvailable(true);
  Add(ServiceVerb::kSubmit);
  RunFor(std::chrono::milliseconds(1'100));
  calls.SetLeaderAvailable(false);
  RunFor(std::chrono::milliseconds(150));
  REQUIRE(replies.size() == 1);
  CHECK(replies == std::vector{ServiceResult::kUnknown});
}

// Guards against a call that never completes.
TEST_CASE_FIXTURE(PendingCallsFixture,
                  "a call without a reply completes as unknown") {
  calls.SetLeaderAvailable(true);
  Add(ServiceVerb::kSubmit);
  RunFor(std::chrono::seconds(3));
  CHECK(replies == std::vector{ServiceResult::kUnknown});
  CHECK(calls.size() == 0);
}

// Guards against a process that ends with calls in flight, and against a
// refusal of a call that was forwarded, now or to a former leader.
TEST_CASE_FIXTURE(PendingCallsFixture, "closing completes all calls") {
  calls.SetLeaderAvailable(true);
  Add(ServiceVerb::kSubmit);
  REQUIRE(forwarded.size() == 1);
  SUBCASE("while the leader processes them") {
    Add(ServiceVerb::kSubmit);
    calls.Close();
    CHECK(replies ==
          std::vector{ServiceResult::kUnknown, ServiceResult::kUnknown});
  }
  SUBCASE("while they wait for the next leader") {
    calls.SetLeaderAvailable(false);
    Add(ServiceVerb::kSubmit);
    calls.Close();
    CHECK(replies ==
          std::vector{ServiceResult::kUnknown, ServiceResult::kRefused});
  }
  CHECK(calls.size() == 0);
  replies.clear();
  calls.Finish(forwarded[0], Reply(ServiceResult::kOk));
  CHECK(replies.empty());
}

// Guards against a refusal of a submission that runs: its caller sends it again
// after the answer that its outcome is unknown.
TEST_CASE_FIXTURE(PendingCallsFixture,
                  "a copy of a submission with an unknown outcome is unknown") {
  calls.SetLeaderAvailable(true);
  Add(ServiceVerb::kSubmit);
  calls.Close();
  Add(ServiceVerb::kSubmit);
  CHECK(replies ==
        std::vector{ServiceResult::kUnknown, ServiceResult::kUnknown});
}

// Guards against a call that is forwarded by a process that is about to end.
TEST_CASE_FIXTURE(PendingCallsFixture,
                  "calls after closing are refused immediately") {
  SUBCASE("with a leader") { calls.SetLeaderAvailable(true); }
  SUBCASE("without a leader") {}
  calls.Close();
  Add(ServiceVerb::kSubmit);
  CHECK(replies == std::vector{ServiceResult::kRefused});
  calls.SetLeaderAvailable(true);
  Add(ServiceVerb::kSubmit);
  RunFor(std::chrono::seconds(3));
  CHECK(replies.size() == 2);
  CHECK(forwarded.empty());
}

// Guards against memory that grows during an outage.
TEST_CASE_FIXTURE(PendingCallsFixture,
                  "the number of waiting calls is bounded") {
  for (int i = 0; i < 600; ++i) Add(ServiceVerb::kSubmit);
  CHECK(calls.size() == PendingCallsOptions().max_waiting);
  CHECK(replies.size() == 600 - PendingCallsOptions().max_waiting);
}

}  // namespace
}  // namespace mangospread::dispatch::test
