// The rows of a group leader and its reactions when the table does not accept
// them.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "dispatch/leader/job_rows.hpp"
#include "unit/dispatch/leader_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

// Guards against workers that are never used since the row with their names is
// larger than the table accepts, and against a takeover that knows only some of
// them.
TEST_CASE_FIXTURE(LeaderFixture, "6,000 workers are stored within the bound") {
  table.rejects = [this](const Transaction& transaction) {
    return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                       [this](const Write& write) {
                         return write.value &&
                                write.value->size() > options.row_bytes;
                       });
  };
  constexpr int kWorkers = 6'000;
  std::vector<std::string> names;
  names.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    names.push_back("worker-santander-" + std::to_string(1'000 + i));
  }
  std::vector<const char*> workers;
  workers.reserve(kWorkers);
  for (const std::string& name : names) workers.push_back(name.c_str());
  Lead(1);
  ListWorkers(workers);
  RunFor(std::chrono::seconds(1));
  CHECK(newest.size() == names.size());
  Lead(2);
  CHECK(leader->unresolved_workers() == names.size());
  const auto rows = table.rows.Read({{}, {{kRosterKey, {}, 10}}});
  std::set<VmName> stored;
  for (const Row& row : rows) {
    CHECK(row.value.size() <= options.row_bytes);
    DecodeRoster(row.value, stored);
  }
  CHECK(rows.size() == 3);
  CHECK(stored.size() == names.size());
}

// Guards against rows that the table does not accept and that are sent again at
// each tick.
TEST_CASE_FIXTURE(LeaderFixture, "rejected rows are sent again seldom") {
  int rejections = 0;
  table.rejects = [&](const Transaction& transaction) {
    const bool rejected =
        std::any_of(transaction.writes.begin(), transaction.writes.end(),
                    [](const Write& write) {
                      return write.key.starts_with("roster/") && write.value;
                    });
    rejections += rejected ? 1 : 0;
    return rejected;
  };
  Lead(1);
  ListWorkers({"w1"});
  RunFor(std::chrono::seconds(5));
  CHECK(rejections == 4);
  table.rejects = nullptr;
  RunFor(std::chrono::seconds(4));
  CHECK(newest.contains(VmName("w1")));
}

// Guards against a leader that does not find the workers which the version
// before has stored in one row, and against rows left when there are fewer.
TEST_CASE_FIXTURE(LeaderFixture, "rows of workers that are gone are removed") {
  table.rows.Transact({{},
                       {{RosterKey(0), "w1\n"},
                        {RosterKey(1), "w2\n"},
                        {RosterKey(2), "w3\n"}}});
  Lead(1);
  CHECK(leader->unresolved_workers() == 3);
  ListWorkers({"w1"});
  RunFor(std::chrono::seconds(20));
  const auto rows = table.rows.Read({{}, {{kRosterKey, {}, 10}}});
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].value == "w1\n");
}

// Guards against a new worker that the comparison with the stored names
// overlooks, whatever its place among them, and against names that are lost
// while the runs of their workers are not known.
TEST_CASE("a new worker is stored beside former ones") {
  for (const char* added : {"w0", "w15", "w3"}) {
    LeaderFixture fixture;
    fixture.table.rows.Transact({{}, {{RosterKey(0), "w1\nw2\n"}}});
    fixture.Lead(1);
    fixture.ListWorkers({"w1"});
    fixture.RunFor(std::chrono::milliseconds(300));
    fixture.ListWorkers({"w1", added});
    fixture.RunFor(std::chrono::milliseconds(300));
    const auto rows = fixture.table.rows.Read({{}, {{kRosterKey, {}, 10}}});
    REQUIRE(rows.size() == 1);
    std::set<VmName> stored;
    DecodeRoster(rows[0].value, stored);
    CHECK(stored ==
          std::set<VmName>{VmName("w1"), VmName("w2"), VmName(added)});
  }
}

// Guards against an accepted submission whose progress the table does not
// accept: its row was sent again without end, and the ends of its tasks were
// never acknowledged, so that the worker listed no later ones.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a submission whose progress is rejected fails") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  Call(ServiceVerb::kSubmit);
  REQUIRE(starts.size() == 1);
  int rejections = 0;
  table.rejects = [&](const Transaction& transaction) {
    const bool rejected = std::any_of(
        transaction.writes.begin(), transaction.writes.end(),
        [](const Write& write) {
          return write.key.starts_with(kProgressPrefix) && write.value &&
                 write.value->find("failed") == std::string::npos;
        });
    rejections += rejected ? 1 : 0;
    return rejected;
  };
  Event("w1", RunEnded{WorkerIncarnation(1),
                       {EndNumber(1), starts[0].task, starts[0].run,
                        RunEnd::kFailed, "checkpoint"}});
  RunFor(std::chrono::seconds(3));
  CHECK(rejections == 1);
  CHECK(acknowledged[VmName("w1")] == EndNumber(1));
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kFailed);
  Lead(2);
  CHECK(Call(ServiceVerb::kState).state == SubmissionState::kFailed);
}

// Guards against a submission that the table does not accept and that callers
// send again without end.
TEST_CASE_FIXTURE(LeaderFixture,
                  "a rejected submission is refused as invalid") {
  Lead(1);
  ListWorkers({"w1"});
  Attach("w1");
  table.rejects = [](const Transaction& transaction) {
    return std::any_of(
        transaction.writes.begin(), transaction.writes.end(),
        [](const Write& write) { return write.key.starts_with(kJobPrefix); });
  };
  CHECK(Call(ServiceVerb::kSubmit).result == ServiceResult::kInvalid);
  RunFor(std::chrono::seconds(3));
  CHECK(starts.empty());
  CHECK(Call(ServiceVerb::kState).result == ServiceResult::kNotFound);
}

}  // namespace
}  // namespace mangospread::dispatch::test
