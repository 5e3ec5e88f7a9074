#include "table/writer.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "base/loop/clock.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::table {
namespace {

using test::FaultyTable;

Transaction Put(const std::string& key, const std::string& value,
                RowVersion expected = {}) {
  return {{{key, expected}}, {{key, value}}};
}

struct Fixture {
  base::EventLoop loop;
  FaultyTable table;
  Writer writer{loop, table, "writer/n/1/test", {}};
  std::optional<WriteResult> result;

  Writer::Callback RecordResult() {
    return [this](const WriteResult& r) { result = r; };
  }
  [[nodiscard]] bool Exists(const std::string& key) const {
    return !table.rows.Read({{key}, {}}).empty();
  }
};

// Guards against a committed change that is reported as failed.
TEST_CASE_FIXTURE(Fixture,
                  "change with a lost reply is reported as committed") {
  writer.Submit(Put("a", "1"), RecordResult());
  table.Step(FaultyTable::Fault::kLoseReply);
  CHECK_FALSE(result);
  table.Step();  // The writer's row holds the lost transaction's token.
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kCommitted);
  const auto rows = table.rows.Read({{"a"}, {}});
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].version == result->version);
}

// Guards against a writer that waits for the reply of one write after the other
// while the table loses the replies of writes, though a read shows the outcome.
TEST_CASE_FIXTURE(Fixture, "a read resolves a committed change") {
  constexpr int kChanges = 20;
  for (int i = 0; i < kChanges; ++i) {
    result.reset();
    writer.Submit(Put("a" + std::to_string(i), "1"), RecordResult());
    REQUIRE(table.pending() == 1);
    table.Step(FaultyTable::Fault::kLoseReply);
    REQUIRE(table.pending() == 1);
    table.Step();
    REQUIRE(result);
    CHECK(result->status == WriteStatus::kCommitted);
  }
  CHECK(writer.counters().transactions == kChanges);
  CHECK(writer.counters().resolved_committed == kChanges);
}

// Guards against a transaction that is resolved by the read before it takes
// effect, and one whose superseding write lost its reply.
TEST_CASE_FIXTURE(Fixture, "an unchanged row does not resolve a change") {
  writer.Submit(Put("a", "1"), RecordResult());
  table.Step(FaultyTable::Fault::kDelayRequest);
  table.Step();
  REQUIRE(table.pending() == 1);
  CHECK(table.DeliverDelayed().status == TransactResult::Status::kCommitted);
  table.Step();  // The superseding write conflicts.
  CHECK_FALSE(result);
  table.Step();
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kCommitted);
}

// Guards against a change that is refused without a conflicting change. The
// table reports a commit with its newest version, which another writer's
// transaction has increased in the meantime, so the version of the writer's row
// is wrong.
TEST_CASE_FIXTURE(Fixture,
                  "a commit reported with a later version loses no change") {
  table.reported_version_offset = 5;
  writer.Submit(Put("a", "1"), RecordResult());
  table.Step();
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kCommitted);
  result.reset();
  writer.Submit(Put("b", "1"), RecordResult());
  table.Step();  // Conflict: the writer's row has another version.
  CHECK_FALSE(result);
  table.Step();  // Reads the version.
  table.Step();
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kCommitted);
  CHECK(Exists("b"));
}

// Guards against a transaction that takes effect after it was reported as
// unavailable.
TEST_CASE_FIXTURE(Fixture,
                  "transaction reported as unavailable never takes effect") {
  writer.Submit(Put("a", "1"), RecordResult());
  table.Step(FaultyTable::Fault::kDelayRequest);
  table.Step();  // The writer's row is unchanged.
  CHECK_FALSE(result);
  table.Step();  // Writes it, so that the delayed transaction conflicts.
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kUnavailable);
  CHECK(table.DeliverDelayed().status == TransactResult::Status::kConflict);
  CHECK_FALSE(Exists("a"));
}

// Guards against two transactions in flight, whose results would be confused:
// the callback of an expired change submits a change again while the writer is
// about to send the one queued behind it.
TEST_CASE("expiry callback does not start a second transaction") {
  base::EventLoop loop;
  FaultyTable table;
  WriterOptions options;
  options.max_wait = Milliseconds(50);
  Writer writer(loop, table, "writer/n/1/test", options);
  const auto ignore = [](const WriteResult&) {};
  writer.Submit(Put("a", "1"), ignore);
  writer.Submit(Put("b", "1"), [&](const WriteResult& result) {
    CHECK(result.status == WriteStatus::kUnavailable);
    writer.Submit(Put("c", "2"), ignore);
  });
  const MonotonicTime expired = base::MonotonicNow() + options.max_wait;
  while (base::MonotonicNow() <= expired) {
  }
  writer.Submit(Put("c", "1"), ignore);
  table.Step();
  CHECK(table.pending() == 1);
  while (table.pending() > 0) table.Step();
  CHECK(writer.idle());
}

// Guards against a conflict of one operator's change that fails another's.
TEST_CASE_FIXTURE(Fixture, "conflict fails only its own change") {
  table.rows.Transact({{}, {{"taken", "x"}}});
  writer.Submit(Put("first", "1"), [](const WriteResult&) {});
  std::optional<WriteResult> conflicting;
  writer.Submit(Put("taken", "1"),
                [&](const WriteResult& r) { conflicting = r; });
  writer.Submit(Put("free", "1"), RecordResult());
  table.Step();  // "first" alone; the other two share the next transaction.
  table.Step();
  REQUIRE(conflicting);
  CHECK(conflicting->status == WriteStatus::kConflict);
  CHECK_FALSE(result);
  table.Step();
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kCommitted);
  CHECK(Exists("free"));
}

// Guards against a separate transaction for each task write, since all of them
// have a condition on the role row.
TEST_CASE_FIXTURE(Fixture, "changes share a condition on an unwritten row") {
  const auto role = table.rows.Transact({{}, {{"role", "x"}}}).version;
  const auto submit = [&](const std::string& key, RowVersion version,
                          Writer::Callback done) {
    Transaction change = Put(key, "1");
    change.conditions.push_back({"role", version});
    writer.Submit(change, std::move(done));
  };
  submit("first", role, RecordResult());
  submit("a", role, RecordResult());
  submit("b", role, RecordResult());
  std::optional<WriteResult> other_version;
  submit("c", RowVersion(99), [&](const auto& r) { other_version = r; });
  table.Step();
  table.Step();
  CHECK(writer.counters().transactions == 3);
  CHECK(Exists("a"));
  CHECK(Exists("b"));
  CHECK_FALSE(other_version);
  table.Step();
  REQUIRE(other_version);
  CHECK(other_version->status == WriteStatus::kConflict);
  CHECK_FALSE(Exists("c"));
}

// Guards against a group that both replaces a row and requires its old version
// for another change.
TEST_CASE_FIXTURE(Fixture, "a change that writes a required row waits") {
  const auto role = table.rows.Transact({{}, {{"role", "x"}}}).version;
  writer.Submit(Put("first", "1"), [](const WriteResult&) {});
  Transaction change = Put("a", "1");
  change.conditions.push_back({"role", role});
  writer.Submit(change, [](const WriteResult&) {});
  writer.Submit(Put("role", "y", role), RecordResult());
  table.Step();
  table.Step();
  CHECK(Exists("a"));
  CHECK_FALSE(result);
  table.Step();
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kCommitted);
}

/// True if the transaction writes a value of more than ten bytes.
bool HasLargeValue(const Transaction& transaction) {
  constexpr std::size_t kMaxBytes = 10;
  return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                     [](const Write& write) {
                       return write.value && write.value->size() > kMaxBytes;
                     });
}

// Guards against a row that is too large for the table and fails the changes
// that share its transaction, or is sent again without end.
TEST_CASE_FIXTURE(Fixture, "a rejected change fails no other change") {
  table.rejects = HasLargeValue;
  writer.Submit(Put("first", "1"), [](const WriteResult&) {});
  constexpr int kChanges = 40;
  constexpr int kLarge = 17;
  std::map<int, WriteStatus> outcomes;
  for (int i = 0; i < kChanges; ++i) {
    const std::string value(i == kLarge ? 11 : 1, 'x');
    writer.Submit(Put("key " + std::to_string(i), value),
                  [&outcomes, i](const WriteResult& r) {
                    CHECK(outcomes.emplace(i, r.status).second);
                  });
  }
  int steps = 0;
  for (; table.pending() > 0; ++steps) table.Step();
  CHECK(steps < kChanges);
  REQUIRE(outcomes.size() == kChanges);
  for (int i = 0; i < kChanges; ++i) {
    CAPTURE(i);
    CHECK(outcomes.at(i) ==
          (i == kLarge ? WriteStatus::kRejected : WriteStatus::kCommitted));
    CHECK(Exists("key " + std::to_string(i)) == (i != kLarge));
  }
  CHECK(writer.counters().rejected_by_table == 1);
  CHECK(writer.table_reachable());
  CHECK(writer.idle());
}

// Guards against transactions that the table rejects only since they hold too
// many changes.
TEST_CASE("a group stays within the limits of a transaction") {
  base::EventLoop loop;
  FaultyTable table;
  WriterOptions options;
  options.max_entries = 10;
  options.max_value_bytes = 100;
  Writer writer(loop, table, "writer/n/1/test", options);
  std::size_t largest = 0;
  table.rejects = [&](const Transaction& transaction) {
    std::size_t bytes = 0;
    for (const Write& write : transaction.writes) bytes += write.value->size();
    largest = std::max(largest, bytes);
    return transaction.conditions.size() + transaction.writes.size() > 10;
  };
  int committed = 0;
  const auto count = [&](const WriteResult& r) {
    committed += r.status == WriteStatus::kCommitted ? 1 : 0;
  };
  for (int i = 0; i < 20; ++i) {
    writer.Submit(Put("small " + std::to_string(i), "1"), count);
    writer.Submit(Put("large " + std::to_string(i), std::string(60, 'x')),
                  count);
  }
  while (table.pending() > 0) table.Step();
  CHECK(committed == 40);
  CHECK(writer.counters().rejected_by_table == 0);
  CHECK(largest <= 110);  // With the token in the writer's own row.
}

}  // namespace
}  // namespace mangospread::table
