// Submissions: when a leader accepts, starts, answers and drops them.
#include "dispatch/leader/group_leader.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

// Guards against starts by a process that was paused while another leader was
// elected.
TEST_CASE_FIXTURE(LeaderFixture, "an unconfirmed leader starts nothing") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  confirmed = false;
  Call(ServiceVerb::kSubmit);
  CHECK(starts.empty());
  confirmed = true;
  RunFor(std::chrono::milliseconds(500));
  CHECK(starts.size() == 1);
}

// Guards against refusing a submission that was stored although the table's
// reply was lost.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a lost reply does not refuse a stored submission") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  fault = Fault::kLoseReply;
  leader->Handle(
      [] {
        ServiceCall call;
        call.verb = ServiceVerb::kSubmit;
        call.submission = SubmissionId(kId);
        call.policy = DispatcherFixture::Policy();
        return call;
      }(),
      [this](const ServiceReply& reply) {
        replied = true;
        CHECK(reply.result == ServiceResult::kOk);
      });
  RunFor(std::chrono::milliseconds(50));
  fault = Fault::kNone;
  RunFor(std::chrono::seconds(3));
  CHECK(replied);
  CHECK(starts.size() == 1);
}

// Guards against final states that wait behind many small transactions: a
// transaction takes the same time with one row as with all that it may hold.
TEST_CASE_FIXTURE(LeaderFixture,
                  "ends of many submissions are stored in few transactions") {
  constexpr int kSubmissions = 240;
  const std::vector<const char*> workers = {"w1", "w2", "w3", "w4",
                                            "w5", "w6", "w7", "w8"};
  Lead(1);
  ListWorkers(workers);
  for (const char* worker : workers) Attach(worker);
  for (int i = 0; i < kSubmissions; ++i) {
    ServiceCall call;
    call.verb = ServiceVerb::kSubmit;
    call.submission = SubmissionId("s" + std::to_string(i));
    call.policy = DispatcherFixture::Policy();
    leader->Handle(std::move(call), [](const ServiceReply&) {});
  }
  RunFor(std::chrono::seconds(1));
  REQUIRE(starts.size() == kSubmissions);

  constexpr Milliseconds kTransactionTime{6};
  table_timer = loop.Every(kTransactionTime, 0, [this] {
    if (table.pending() > 0) table.Step();
  });
  std::map<VmName, EndNumber> ends;
  for (const StartRun& run : starts) {
    EndNumber& number = ends[run.vm];
    number = number.next();
    const EndedRun end{number, run.task, run.run, RunEnd::kDone, {}};
    leader->OnAgentEvent(
        NodeId("agent"),
        {run.vm, fences[run.vm], RunEnded{WorkerIncarnation(1), end}});
  }
  // Two rows of each submission change: 240 submissions need at least five
  // transactions of 100 entries.
  constexpr int kTransactions = 6;
  RunFor(options.save_delay + (kTransactions + 1) * kTransactionTime);
  CHECK(acknowledged == ends);
}

// Guards against running a submission after refusing it.
TEST_CASE_FIXTURE(LeaderFixture, "a refused submission never starts") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  fault = Fault::kRefuse;
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kRefused);
  fault = Fault::kNone;
  RunFor(std::chrono::seconds(3));
  CHECK(starts.empty());
  CHECK(Call(ServiceVerb::kState).result == ServiceResult::kNotFound);
}

// Guards against a leader that refuses all submissions after a single refused
// write, as long as it has nothing else to write.
TEST_CASE_FIXTURE(LeaderFixture, "an idle leader tries a refused table again") {
  Lead(1);
  fault = Fault::kRefuse;
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kRefused);
  fault = Fault::kNone;
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kOk);
}

// Guards against a caller who is told that a submission was not accepted by a
// leader that was replaced, after the next one has accepted it (LOST).
TEST_CASE_FIXTURE(LeaderFixture,
                  "a leader says not found only after a confirmation") {
  Lead(1);
  answers_questions = false;
  for (const bool leads : {true, false}) {
    CAPTURE(leads);
    ServiceCall call;
    call.verb = ServiceVerb::kState;
    call.submission = SubmissionId(kId);
    std::optional<ServiceResult> result;
    leader->Handle(call,
                   [&](const ServiceReply& reply) { result = reply.result; });
    CHECK_FALSE(result);
    AnswerQuestions(leads);
    CHECK(result ==
          (leads ? ServiceResult::kNotFound : ServiceResult::kRefused));
  }
}

// Guards against a state that a later leader has already changed.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a leader that is not confirmed says no passing state") {
  Lead(1);
  Call(ServiceVerb::kSubmit);
  CHECK(Call(ServiceVerb::kState).result == ServiceResult::kOk);
  confirmed = false;
  CHECK(Call(ServiceVerb::kState).result == ServiceResult::kRefused);
  confirmed = true;
  Call(ServiceVerb::kCancel);
  confirmed = false;
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kCancelled);
}

// Guards against two leaders that both accept submissions. Writes of a leader
// whose row was replaced must fail and report the conflict.
TEST_CASE_FIXTURE(LeaderFixture, "a replaced leader cannot write") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  table.rows.Transact({{}, {{kLeaderKey, "another"}}});
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kRefused);
  CHECK(conflicts > 0);
  CHECK(starts.empty());
}

// Guards against rows and memory that grow with every submission, and against
// dropping a state that callers may still query.
TEST_CASE_FIXTURE(LeaderFixture,
                  "an ended submission is kept for the retention time") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  Call(ServiceVerb::kSubmit);
  Call(ServiceVerb::kCancel);
  Event("w1", RunEnded{WorkerIncarnation(1),
                       {EndNumber(1),
                        std::string(kId) + ".0.0.0",
                        Attempt(1),
                        RunEnd::kStopped,
                        {}}});
  RunFor(std::chrono::seconds(125));
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kCancelled);
  RunFor(std::chrono::seconds(30));
  CHECK(Call(ServiceVerb::kState).result == ServiceResult::kNotFound);
  CHECK(table.rows.Read({{std::string(kProgressPrefix) + kId}, {}}).empty());
}

// Guards against a confirmed cancellation that is lost in a takeover.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a confirmed cancellation survives a takeover") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  Call(ServiceVerb::kSubmit);
  CHECK(Call(ServiceVerb::kCancel).result == ServiceResult::kOk);
  Lead(2);
  const ServiceReply reply = Call(ServiceVerb::kState);
  CHECK(reply.result == ServiceResult::kOk);
  CHECK(reply.state == SubmissionState::kCancelled);
}

}  // namespace
// Guards against an exception of a leader that stores the progress of a
// submission which it has discarded.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a lost run of a cancelled submission is not stored") {
  step.long_running = true;
  options.ended_retention = Milliseconds(2'000);
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  Call(ServiceVerb::kSubmit);
  REQUIRE(starts.size() == 1);
  leader->Handle({ServiceVerb::kCancel, SubmissionId(kId), {}, {}},
                 [](const ServiceReply&) {});
  RunFor(std::chrono::milliseconds(200));
  REQUIRE(leader->dispatcher().State(SubmissionId(kId)) ==
          SubmissionState::kCancelled);
  const std::string key = kProgressPrefix + std::string(kId);
  int writes = 0;
  table.rejects = [&](const Transaction& change) {
    const bool stores = std::any_of(
        change.writes.begin(), change.writes.end(), [&key](const auto& write) {
          return write.key == key && write.value.has_value();
        });
    writes += static_cast<int>(stores);
    return stores;
  };
  Event("w1", WorkerEnded{});
  RunFor(std::chrono::seconds(5));
  CHECK(writes == 0);
  CHECK_FALSE(leader->dispatcher().State(SubmissionId(kId)));
  CHECK(table.rows.Read({{key}, {}}).empty());
}

}  // namespace mangospread::dispatch::test
