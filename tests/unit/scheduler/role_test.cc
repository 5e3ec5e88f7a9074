#include "scheduler/lifecycle/role.hpp"

#include <doctest/doctest.h>

#include <optional>

#include "base/loop/simulated_clock.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::scheduler {
namespace {

using test::FaultyTable;

/// Two nodes of which each believes that the holder is gone when told so.
struct Contender {
  Contender(base::EventLoop& loop, FaultyTable& table, const char* name)
      : writer(loop, table, std::string("writer/") + name + "/1/tasks", {}),
        role(
            loop, Options(name), table, writer,
            [this](const RoleRow&) { return holder_gone; },
            [] { return true; }) {}

  static RoleOptions Options(const char* name) {
    RoleOptions options;
    options.node = NodeId(name);
    options.incarnation = Incarnation(1);
    return options;
  }

  table::Writer writer;
  bool holder_gone = false;
  Role role;
};

struct Fixture {
  base::EventLoop loop;
  FaultyTable table;
  Contender a{loop, table, "a"};
  Contender b{loop, table, "b"};

  void ServeAll() {
    while (table.pending() > 0) table.Step();
  }
};

// Guards against two schedulers whose task writes both commit: the first one
// is believed dead, while it only was paused.
TEST_CASE_FIXTURE(Fixture, "a scheduler that lost the role can write nothing") {
  a.role.Start();
  ServeAll();
  REQUIRE(a.role.held());
  const Condition old_condition = a.role.condition();
  b.holder_gone = true;
  b.role.Start();
  ServeAll();
  REQUIRE(b.role.held());
  CHECK(b.role.row().epoch > a.role.row().epoch);
  CHECK(a.role.held());  // Paused: it has read nothing since.

  std::optional<table::WriteResult> result;
  a.writer.Submit({{old_condition, {"task/j/0", {}}}, {{"task/j/0", "x"}}},
                  [&](const auto& r) { result = r; });
  ServeAll();
  REQUIRE(result);
  CHECK(result->status == table::WriteStatus::kConflict);
  CHECK(table.rows.Read({{"task/j/0"}, {}}).empty());
  CHECK(a.role.OnConflict(result->failed_keys));
  CHECK_FALSE(a.role.held());
}

// Guards against both nodes holding the role after they saw the same absence.
TEST_CASE_FIXTURE(Fixture, "one of two simultaneous claims wins") {
  a.holder_gone = b.holder_gone = true;
  a.role.Start();
  b.role.Start();
  table.Step();
  table.Step();  // Both have read that there is no holder.
  a.holder_gone = b.holder_gone = false;
  ServeAll();
  CHECK(a.role.held() != b.role.held());
}

// Guards against two live nodes without a link between them that take the role
// in turn with every read, so that no scheduler gets its work done.
TEST_CASE("nodes that do not hear each other seldom take the role in turn") {
  base::SimulatedClock clock;
  Fixture f;
  f.a.holder_gone = f.b.holder_gone = true;
  f.a.role.Start();
  f.b.role.Start();
  int taken = 0;
  f.a.role.taken().connect([&taken] { ++taken; });
  f.b.role.taken().connect([&taken] { ++taken; });
  const base::Timer serve =
      f.loop.Every(Milliseconds(10), 0, [&f] { f.ServeAll(); });
  const base::Timer end =
      f.loop.After(std::chrono::minutes(10), [&f] { f.loop.Stop(); });
  f.loop.Run();
  // Each node's pauses double from 4 s to 128 s: six of them take 252 s and
  // three more 384 s, so neither takes the role more than ten times.
  CHECK(taken >= 2);
  CHECK(taken <= 20);
}

}  // namespace
}  // namespace mangospread::scheduler
