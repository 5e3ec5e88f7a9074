// The order in which a leader with more changes than a transaction holds stores
// them.
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/leader/job_rows.hpp"
#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

constexpr Milliseconds kShortTarget{250};
constexpr Milliseconds kLongTarget{2'500};
/// More than two transactions hold.
constexpr int kQueued = 80;

/// A leader whose table replies only when the test says so.
struct WriteOrderFixture : LeaderFixture {
  WriteOrderFixture() {
    table.rejects = [this](const Transaction& transaction) {
      last = transaction;
      return false;
    };
  }

  void Submit(const std::string& id, Milliseconds target) {
    ServiceCall call;
    call.verb = ServiceVerb::kSubmit;
    call.submission = SubmissionId(id);
    call.policy = DispatcherFixture::Policy();
    call.policy.latency_target = target;
    call.payload = "{}";
    leader->Handle(std::move(call), [this](const ServiceReply& reply) {
      accepted += reply.result == ServiceResult::kOk ? 1 : 0;
    });
  }

  /// Stops the table and queues acceptances with the long target.
  void QueueLongTargets() {
    table_timer.reset();
    for (int i = 0; i < kQueued; ++i) {
      Submit("000000000000" + std::to_string(1'000 + i), kLongTarget);
    }
  }

  /// The value that the last transaction writes to a row.
  [[nodiscard]] std::optional<std::string> Written(
      const std::string& key) const {
    const auto write =
        std::find_if(last.writes.begin(), last.writes.end(),
                     [&](const Write& item) { return item.key == key; });
    return write == last.writes.end() ? std::nullopt : write->value;
  }

  void FinishWrites() {
    while (table.pending() > 0) {
      table.Step();
      RunFor(std::chrono::milliseconds(20));
    }
  }

  Transaction last;
  int accepted = 0;
};

// Guards against a caller with a short target who waits until the acceptances
// of all submissions before are stored, and against acceptances that are lost
// when another one overtakes them.
TEST_CASE_FIXTURE(WriteOrderFixture,
                  "the acceptance with the shortest target is stored first") {
  Lead(1);
  QueueLongTargets();
  Submit(kId, kShortTarget);
  table.Step();  // The transaction in flight.
  CHECK_FALSE(Written(std::string(kJobPrefix) + kId));
  table.Step();
  CHECK(Written(std::string(kJobPrefix) + kId));
  FinishWrites();
  CHECK(accepted == kQueued + 1);
}

// Guards against a final state that waits for all changes queued before, though
// its caller waits for it, and against an end that is acknowledged before it is
// stored.
TEST_CASE_FIXTURE(WriteOrderFixture,
                  "the final state with the shortest target is stored first") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  Submit(kId, kShortTarget);
  RunFor(std::chrono::milliseconds(200));
  REQUIRE(starts.size() == 1);
  QueueLongTargets();
  Event("w1", RunEnded{WorkerIncarnation(1),
                       {EndNumber(1), starts[0].task, starts[0].run,
                        RunEnd::kDone, ""}});
  table.Step();  // The transaction in flight.
  CHECK(acknowledged.empty());
  table.Step();
  const auto progress = Written(std::string(kProgressPrefix) + kId);
  REQUIRE(progress);
  CHECK(progress->find("complete") != std::string::npos);
  FinishWrites();
  CHECK(acknowledged[VmName("w1")] == EndNumber(1));
  CHECK(accepted == kQueued + 1);
}

}  // namespace
}  // namespace mangospread::dispatch::test
