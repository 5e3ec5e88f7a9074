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

// Replays a takeover of half a second under load: guards against callers who
// are sent away for a second although the next leader is there sooner.
TEST_CASE_FIXTURE(PendingCallsFixture, "calls wait for the next leader") {
  Add(ServiceVerb::kSubmit);
  RunFor(std::chrono::milliseconds(500));
  CHECK(replies.empty());
  calls.SetServing(true);
  REQUIRE(forwarded.size() == 1);
  calls.Finish(forwarded[0], Reply(ServiceResult::kOk));
  CHECK(replies == std::vector{ServiceResult::kOk});
}

// Guards against callers who wait during an outage that lasts.
TEST_CASE_FIXTURE(PendingCallsFixture, "without a leader the wait ends") {
  Add(ServiceVerb::kSubmit);
  RunFor(std::chrono::milliseconds(750));
  CHECK(replies == std::vector{ServiceResult::kRefused});
  Add(ServiceVerb::kState);
  CHECK(replies.size() == 2);
  calls.SetServing(true);
  CHECK(forwarded.empty());
}

// Guards against "refused" for a hand-in that the former leader may have
// stored: only the next leader's own refusal is certain.
TEST_CASE_FIXTURE(PendingCallsFixture,
                  "a call that a lost leader had is never refused") {
  calls.SetServing(true);
  Add(ServiceVerb::kSubmit);
  Add(ServiceVerb::kState);
  REQUIRE(forwarded.size() == 2);
  calls.SetServing(false);
  const auto first = forwarded;
  calls.SetServing(true);
  REQUIRE(forwarded.size() == 4);
  // Late replies of the former leader count no more.
  calls.Finish(first[0], Reply(ServiceResult::kRefused));
  CHECK(replies.empty());
  calls.Finish(forwarded[2], Reply(ServiceResult::kRefused));
  CHECK(replies == std::vector{ServiceResult::kUnknown});
  calls.Finish(forwarded[3], Reply(ServiceResult::kRefused));
  CHECK(replies.back() == ServiceResult::kRefused);
}

// Guards against a caller whose whole time goes by between a silent leader
// and the wait for the next one.
TEST_CASE_FIXTURE(PendingCallsFixture,
                  "a call that was forwarded before waits less") {
  calls.SetServing(true);
  Add(ServiceVerb::kSubmit);
  RunFor(std::chrono::milliseconds(1'100));
  calls.SetServing(false);
  RunFor(std::chrono::milliseconds(150));
  REQUIRE(replies.size() == 1);
  CHECK(replies == std::vector{ServiceResult::kUnknown});
}

// Guards against a caller that never gets an answer.
TEST_CASE_FIXTURE(PendingCallsFixture, "a call without a reply is unknown") {
  calls.SetServing(true);
  Add(ServiceVerb::kSubmit);
  RunFor(std::chrono::seconds(3));
  CHECK(replies == std::vector{ServiceResult::kUnknown});
  CHECK(calls.size() == 0);
}

// Guards against a node whose memory grows during an outage.
TEST_CASE_FIXTURE(PendingCallsFixture, "waiting calls are bounded") {
  for (int i = 0; i < 600; ++i) Add(ServiceVerb::kSubmit);
  CHECK(calls.size() == PendingCallsOptions().max_waiting);
  CHECK(replies.size() == 600 - PendingCallsOptions().max_waiting);
}

}  // namespace
}  // namespace mangospread::dispatch::test
