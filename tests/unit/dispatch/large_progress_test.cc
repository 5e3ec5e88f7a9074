// Submissions whose progress needs more rows than one transaction holds.
#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <string>

#include "dispatch/leader/job_rows.hpp"
#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

constexpr int kTasks = 20'000;
constexpr const char* kCheckpoint = "0000000000001f40";

/// A table with the limits of the platform's.
struct LargeProgress : LeaderFixture {
  LargeProgress() {
    step = DispatcherFixture::MakeStep(kTasks, 1);
    step.memory = Mebibytes(1);
    step.checkpoints = true;
    table.rejects = [](const Transaction& transaction) {
      constexpr std::size_t kMaxEntries = 100;
      constexpr std::size_t kMaxBytes = 750'000;
      constexpr std::size_t kRowBytes = 65'536;
      std::size_t bytes = 0;
      bool row_too_large = false;
      for (const Write& write : transaction.writes) {
        const std::size_t size = write.value ? write.value->size() : 0;
        bytes += size;
        row_too_large = row_too_large || size > kRowBytes;
      }
      return row_too_large || bytes > kMaxBytes ||
             transaction.conditions.size() + transaction.writes.size() >
                 kMaxEntries;
    };
  }

  /// Starts all tasks and lets each end with its lease.
  void ExpireAll() {
    Lead(1);
    ListWorkers({"w1"});
    Attach("w1");
    Call(ServiceVerb::kSubmit);
    REQUIRE(starts.size() == kTasks);
    std::uint64_t number = 0;
    for (const StartRun& start : std::exchange(starts, {})) {
      const EndedRun end{EndNumber(++number), start.task, start.run,
                         RunEnd::kExpired, kCheckpoint};
      leader->OnAgentEvent(NodeId("agent"),
                           {VmName("w1"), fences[VmName("w1")],
                            RunEnded{WorkerIncarnation(1), end}});
    }
  }

  [[nodiscard]] std::size_t StoredRows() {
    return table.rows.Read({{}, {{kProgressPrefix, {}, 100'000}}}).size();
  }
};

// Guards against a submission that is shown as failed although none of its runs
// has failed: the leases of all its tasks expired at once (review case 8).
TEST_CASE_FIXTURE(
    LargeProgress,
    "20,000 checkpoints are stored and found by the next leader") {
  ExpireAll();
  RunFor(std::chrono::seconds(3));
  CHECK(acknowledged[VmName("w1")] == EndNumber(kTasks));
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kRunning);
  starts.clear();
  Lead(2);
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kRunning);
  ListWorkers({"w1"});
  Attach("w1");
  RunFor(std::chrono::seconds(1));
  REQUIRE(starts.size() == kTasks);
  CHECK(std::all_of(starts.begin(), starts.end(), [](const StartRun& start) {
    return start.checkpoint == kCheckpoint;
  }));
}

// Guards against an end that is acknowledged before all rows of the progress
// are stored: a leader that ends in between would leave no trace of it.
TEST_CASE_FIXTURE(LargeProgress,
                  "ends are acknowledged once all rows are stored") {
  ExpireAll();
  int transactions = 0;
  const auto accepts = table.rejects;
  table.rejects = [&](const Transaction& transaction) {
    transactions += static_cast<int>(
        std::any_of(transaction.writes.begin(), transaction.writes.end(),
                    [](const Write& write) {
                      return write.key.starts_with(kProgressPrefix);
                    }));
    // The first one is stored, then the table is not available.
    if (transactions == 1) fault = Fault::kRefuse;
    return accepts(transaction);
  };
  RunFor(std::chrono::seconds(1));
  CHECK(StoredRows() > 0);
  CHECK(StoredRows() < kTasks / kTasksPerBlock);
  CHECK(acknowledged[VmName("w1")] == EndNumber(0));
  fault = Fault::kNone;
  RunFor(std::chrono::seconds(5));
  CHECK(acknowledged[VmName("w1")] == EndNumber(kTasks));
}

// Guards against rows that are left for ever once a submission has ended.
TEST_CASE_FIXTURE(LargeProgress,
                  "the rows of an ended submission are removed") {
  options.ended_retention = Milliseconds(2'000);
  ExpireAll();
  RunFor(std::chrono::seconds(3));
  CHECK(StoredRows() > 100);
  CHECK(Call(ServiceVerb::kCancel).result == ServiceResult::kOk);
  RunFor(std::chrono::seconds(1));
  // A successor knows of them, too.
  Lead(2);
  RunFor(std::chrono::seconds(60));
  CHECK(StoredRows() == 0);
}

// Guards against an accepted submission for whose progress there is no place.
TEST_CASE_FIXTURE(LeaderFixture, "more tasks than a row can mark are refused") {
  options.row_bytes = 2'048;
  step = DispatcherFixture::MakeStep(20'000, 1);
  Lead(1);
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kInvalid);
  step = DispatcherFixture::MakeStep(2'000, 1);
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kOk);
}

}  // namespace
}  // namespace mangospread::dispatch::test
