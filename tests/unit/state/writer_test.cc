#include "table/writer.hpp"

#include <doctest/doctest.h>

#include <optional>

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

  Writer::Callback Capture() {
    return [this](const WriteResult& r) { result = r; };
  }
  [[nodiscard]] bool Exists(const std::string& key) const {
    return !table.rows.Read({{key}, {}}).empty();
  }
};

// Guards against reporting a committed change as failed.
TEST_CASE_FIXTURE(Fixture, "lost reply after the effect is committed") {
  writer.Submit(Put("a", "1"), Capture());
  table.Step(FaultyTable::Fault::kLoseReply);
  CHECK_FALSE(result);
  table.Step();  // The fence conflicts with the lost transaction.
  table.Step();  // The writer's row holds the lost transaction's token.
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kCommitted);
  const auto rows = table.rows.Read({{"a"}, {}});
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].version == result->version);
}

// Replays a table that answers a commit with its newest version, which another
// writer's transaction has raised meanwhile: guards against a change that is
// refused though nothing stands against it.
TEST_CASE_FIXTURE(Fixture, "a version from ahead costs no change") {
  table.report_ahead = 5;
  writer.Submit(Put("a", "1"), Capture());
  table.Step();
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kCommitted);
  result.reset();
  writer.Submit(Put("b", "1"), Capture());
  table.Step();  // Refused: the writer's row has another version.
  CHECK_FALSE(result);
  table.Step();  // Reads the version.
  table.Step();
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kCommitted);
  CHECK(Exists("b"));
}

// Guards against a transaction that takes effect after it was reported lost.
TEST_CASE_FIXTURE(Fixture, "fenced transaction cannot take effect late") {
  writer.Submit(Put("a", "1"), Capture());
  table.Step(FaultyTable::Fault::kLate);
  table.Step();
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kUnavailable);
  CHECK(table.DeliverLate().status == TransactResult::Status::kConflict);
  CHECK_FALSE(Exists("a"));
}

// Guards against two transactions in flight, whose results would be taken for
// one another's: a change that expires is submitted again by its callback while
// the writer is about to send what waits behind it.
TEST_CASE("change submitted when another expires is not sent beside the next") {
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

// Guards against one operator's conflict failing another's change.
TEST_CASE_FIXTURE(Fixture, "conflict fails only its own change") {
  table.rows.Transact({{}, {{"taken", "x"}}});
  writer.Submit(Put("first", "1"), [](const WriteResult&) {});
  std::optional<WriteResult> conflicting;
  writer.Submit(Put("taken", "1"),
                [&](const WriteResult& r) { conflicting = r; });
  writer.Submit(Put("free", "1"), Capture());
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

// Guards against one transaction for each task write: all of them carry the
// condition on the role row.
TEST_CASE_FIXTURE(Fixture, "changes share a condition on an unwritten row") {
  const auto role = table.rows.Transact({{}, {{"role", "x"}}}).version;
  const auto submit = [&](const std::string& key, RowVersion version,
                          Writer::Callback done) {
    Transaction change = Put(key, "1");
    change.conditions.push_back({"role", version});
    writer.Submit(change, std::move(done));
  };
  submit("first", role, Capture());
  submit("a", role, Capture());
  submit("b", role, Capture());
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
  writer.Submit(Put("role", "y", role), Capture());
  table.Step();
  table.Step();
  CHECK(Exists("a"));
  CHECK_FALSE(result);
  table.Step();
  REQUIRE(result);
  CHECK(result->status == WriteStatus::kCommitted);
}

}  // namespace
}  // namespace mangospread::table
