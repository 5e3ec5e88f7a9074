// What callers are told of a submission while it is being decided whether it
// exists, and whether that stays true.
#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/leader/job_rows.hpp"
#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than the writer needs to resolve an outcome, and than a placement.
constexpr seconds kSettled(4);

struct CallAnswersFixture : LeaderFixture {
  CallAnswersFixture() {
    Lead(1);
    ListWorkers({"w1"});
    Attach("w1");
  }

  /// Keeps all requests to the table until Release.
  void Hold() { table_timer.reset(); }
  void Release() {
    table_timer = loop.Every(milliseconds(1), 0, [this] {
      while (table.pending() > 0) table.Step(fault);
    });
  }

  /// Sends a call; its reply is in `replies` at the returned position.
  std::size_t Send(ServiceVerb verb) {
    ServiceCall call;
    call.verb = verb;
    call.submission = SubmissionId(kId);
    call.policy = DispatcherFixture::Policy();
    call.payload = "{}";
    const std::size_t position = replies.size();
    replies.emplace_back();
    leader->Handle(std::move(call),
                   [this, position](const ServiceReply& reply) {
                     replies[position] = reply;
                   });
    return position;
  }

  [[nodiscard]] std::optional<ServiceResult> Result(std::size_t call) const {
    if (!replies[call]) return std::nullopt;
    return replies[call]->result;
  }

  [[nodiscard]] bool IsStored(const std::string& key) const {
    return !table.rows.Read({{key}, {}}).empty();
  }

  std::vector<std::optional<ServiceReply>> replies;
};

bool IsAcknowledgement(ServiceResult result) {
  return result == ServiceResult::kOk || result == ServiceResult::kNotFound;
}

// Guards against a submission that runs after its cancelling was answered with
// "not found" while the table was storing it (UNASKED).
TEST_CASE_FIXTURE(CallAnswersFixture,
                  "a cancellation waits for the acceptance in flight") {
  Hold();
  const auto submitted = Send(ServiceVerb::kSubmit);
  const auto cancelled = Send(ServiceVerb::kCancel);
  RunFor(milliseconds(200));
  CHECK_FALSE(Result(submitted));
  CHECK_FALSE(Result(cancelled));
  Release();
  RunFor(kSettled);
  CHECK(Result(submitted) == ServiceResult::kOk);
  CHECK(Result(cancelled) == ServiceResult::kOk);
  CHECK(starts.empty());
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kCancelled);
}

// Guards against any other outcome of the write that makes an acknowledged
// cancelling false, also for copies that arrive later and for the next leader.
TEST_CASE("no start follows an acknowledged cancelling") {
  for (const Fault fault :
       {Fault::kNone, Fault::kLoseReply, Fault::kLoseRequest,
        Fault::kDelayRequest, Fault::kRefuse}) {
    for (const bool submitted_before : {true, false}) {
      for (const bool next_leader : {true, false}) {
        CAPTURE(static_cast<int>(fault));
        CAPTURE(submitted_before);
        CAPTURE(next_leader);
        CallAnswersFixture site;
        site.Hold();
        if (submitted_before) site.Send(ServiceVerb::kSubmit);
        const auto cancelled = site.Send(ServiceVerb::kCancel);
        site.RunFor(milliseconds(100));
        REQUIRE(site.table.pending() > 0);
        site.table.Step(fault);
        site.Release();
        site.RunFor(kSettled);
        if (fault == Fault::kDelayRequest) site.table.DeliverDelayed();
        if (!IsAcknowledgement(*site.Result(cancelled))) {
          REQUIRE(IsAcknowledgement(site.Call(ServiceVerb::kCancel).result));
        }
        if (next_leader) {
          site.Lead(2);
          site.ListWorkers({"w1"});
          site.Attach("w1");
        }
        CHECK(site.Call(ServiceVerb::kSubmit).result == ServiceResult::kOk);
        CHECK(site.Call(ServiceVerb::kState).state ==
              SubmissionState::kCancelled);
        CHECK(site.starts.empty());
        CHECK(site.Call(ServiceVerb::kPending).pending == 0);
      }
    }
  }
}

// Guards against a submission that is shown though nobody has submitted it
// (MIXED), by this leader or the next one.
TEST_CASE_FIXTURE(
    CallAnswersFixture,
    "a cancelled submission is not shown before it is submitted") {
  CHECK(Call(ServiceVerb::kCancel).result == ServiceResult::kNotFound);
  for (const std::uint64_t epoch : {1, 2}) {
    if (epoch > 1) Lead(epoch);
    CHECK(Call(ServiceVerb::kState).result == ServiceResult::kNotFound);
    CHECK(Call(ServiceVerb::kCancel).result == ServiceResult::kNotFound);
  }
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kOk);
  for (const std::uint64_t epoch : {2, 3}) {
    if (epoch > 2) Lead(epoch);
    CHECK(Call(ServiceVerb::kState).state == SubmissionState::kCancelled);
    CHECK(Call(ServiceVerb::kCancel).result == ServiceResult::kOk);
  }
}

// Guards against rows and memory of cancelled ids that are kept for ever, and
// against the loss of one that was submitted shortly before its time is over.
TEST_CASE_FIXTURE(CallAnswersFixture, "cancelled ids are kept for some time") {
  const std::size_t before = leader->dispatcher().work_bytes();
  Call(ServiceVerb::kCancel);
  CHECK(IsStored(ProgressKey(SubmissionId(kId), 0)));
  RunFor(options.ended_retention - seconds(10));
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kOk);
  RunFor(options.ended_retention - seconds(10));
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kCancelled);
  RunFor(seconds(20));
  CHECK_FALSE(IsStored(ProgressKey(SubmissionId(kId), 0)));
  CHECK(leader->dispatcher().work_bytes() == before);
  CHECK(starts.empty());
}

// Guards against "not found" for a submission that was accepted before that was
// said (LOST).
TEST_CASE_FIXTURE(CallAnswersFixture,
                  "a query is answered by what is known after it") {
  answers_questions = false;
  const auto queried = Send(ServiceVerb::kState);
  const auto submitted = Send(ServiceVerb::kSubmit);
  RunFor(milliseconds(200));
  REQUIRE(Result(submitted) == ServiceResult::kOk);
  AnswerQuestions(true);
  CHECK(Result(queried) == ServiceResult::kOk);
}

// Guards against "not found" for a submission whose row is stored already.
TEST_CASE_FIXTURE(CallAnswersFixture,
                  "a query waits for the acceptance in flight") {
  for (const Fault outcome : {Fault::kNone, Fault::kLoseReply}) {
    CallAnswersFixture site;
    site.Hold();
    site.Send(ServiceVerb::kSubmit);
    const auto queried = site.Send(ServiceVerb::kState);
    site.RunFor(milliseconds(100));
    CHECK_FALSE(site.Result(queried));
    site.table.Step(outcome);
    site.Release();
    site.RunFor(kSettled);
    CHECK(site.Result(queried) == ServiceResult::kOk);
  }
}

// Guards against callers that wait for a store which does not answer.
TEST_CASE_FIXTURE(CallAnswersFixture,
                  "without the store calls are refused at once") {
  Hold();
  const auto submitted = Send(ServiceVerb::kSubmit);
  table.Step(Fault::kLoseReply);
  CHECK(Result(Send(ServiceVerb::kState)) == ServiceResult::kRefused);
  // A copy must not be refused: the first one may be stored.
  const auto copy = Send(ServiceVerb::kSubmit);
  CHECK_FALSE(Result(copy));
  Release();
  RunFor(kSettled);
  CHECK(Result(submitted) == ServiceResult::kOk);
  CHECK(Result(copy) == ServiceResult::kOk);
}

// Guards against a leader that was replaced and acknowledges a cancelling,
// after the next one has accepted the submission (UNASKED).
TEST_CASE_FIXTURE(CallAnswersFixture,
                  "a replaced leader acknowledges no cancelling") {
  table.rows.Transact({{}, {{kLeaderKey, "another"}}});
  CHECK(Call(ServiceVerb::kCancel).result == ServiceResult::kRefused);
  CHECK(conflicts > 0);
  CHECK_FALSE(IsStored(ProgressKey(SubmissionId(kId), 0)));
}

// Guards against clients that fill the leader's memory with ids that they
// cancel.
TEST_CASE_FIXTURE(CallAnswersFixture, "cancelled ids count as work") {
  leader->OnWorkLimit(1);
  CHECK(Call(ServiceVerb::kCancel).result == ServiceResult::kRefused);
}

// Guards against clients that cancel so many ids that no memory is left for
// work, and a takeover takes long.
TEST_CASE_FIXTURE(CallAnswersFixture,
                  "the number of cancelled ids is limited") {
  options.max_unsubmitted = 1;
  Lead(2);
  ServiceCall other;
  other.verb = ServiceVerb::kCancel;
  other.submission = SubmissionId("00000000000000bb");
  leader->Handle(std::move(other), [](const ServiceReply& /*reply*/) {});
  RunFor(kSettled);
  CHECK(Call(ServiceVerb::kCancel).result == ServiceResult::kRefused);
  RunFor(options.ended_retention);
  CHECK(Call(ServiceVerb::kCancel).result == ServiceResult::kNotFound);
}

}  // namespace
}  // namespace mangospread::dispatch::test
