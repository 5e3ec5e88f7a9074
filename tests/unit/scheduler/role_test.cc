#include <doctest/doctest.h>

#include <optional>

#include "base/loop/simulated_clock.hpp"
#include "scheduler/lifecycle/scheduler_role.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::scheduler {
namespace {

using test::FaultyTable;

/// A node that considers the role's holder dead while `holder_dead` is set.
struct Candidate {
  Candidate(base::EventLoop& loop, FaultyTable& table, const char* name)
      : writer(loop, table, std::string("writer/") + name + "/1/tasks", {}),
        role(
            loop, Options(name), table, writer,
            [this](const RoleRow&) { return holder_dead; },
            [] { return true; }) {}

  static RoleOptions Options(const char* name) {
    RoleOptions options;
    options.node = NodeId(name);
    options.incarnation = Incarnation(1);
    return options;
  }

  table::Writer writer;
  bool holder_dead = false;
  SchedulerRole role;
};

struct Fixture {
  base::EventLoop loop;
  FaultyTable table;
  Candidate a{loop, table, "a"};
  Candidate b{loop, table, "b"};

  void ServeAll() {
    while (table.pending() > 0) table.Step();
  }
};

// Guards against two schedulers whose task writes both commit, after the first
// one was considered dead although it was only paused.
TEST_CASE_FIXTURE(Fixture, "writes of a former scheduler conflict") {
  a.role.Start();
  ServeAll();
  REQUIRE(a.role.held());
  const Condition former_condition = a.role.condition();
  b.holder_dead = true;
  b.role.Start();
  ServeAll();
  REQUIRE(b.role.held());
  CHECK(b.role.row().epoch > a.role.row().epoch);
  CHECK(a.role.held());  // Paused: it has not read the row since.

  std::optional<table::WriteResult> result;
  a.writer.Submit({{former_condition, {"task/j/0", {}}}, {{"task/j/0", "x"}}},
                  [&](const auto& write_result) { result = write_result; });
  ServeAll();
  REQUIRE(result);
  CHECK(result->status == table::WriteStatus::kConflict);
  CHECK(table.rows.Read({{"task/j/0"}, {}}).empty());
  CHECK(a.role.OnConflict(result->failed_keys));
  CHECK_FALSE(a.role.held());
}

// Guards against both nodes holding the role after both have read that there is
// no holder.
TEST_CASE_FIXTURE(Fixture, "one of two simultaneous claims wins") {
  a.holder_dead = b.holder_dead = true;
  a.role.Start();
  b.role.Start();
  table.Step();
  table.Step();  // Both have read that there is no holder.
  a.holder_dead = b.holder_dead = false;
  ServeAll();
  CHECK(a.role.held() != b.role.held());
}

// Guards against two live nodes that cannot reach each other and acquire the
// role alternately with every read, so that neither makes progress.
TEST_CASE("nodes that cannot reach each other rarely alternate in the role") {
  base::SimulatedClock clock;
  Fixture f;
  f.a.holder_dead = f.b.holder_dead = true;
  f.a.role.Start();
  f.b.role.Start();
  int acquired = 0;
  f.a.role.acquired().connect([&acquired] { ++acquired; });
  f.b.role.acquired().connect([&acquired] { ++acquired; });
  const base::Timer serve_timer =
      f.loop.Every(Milliseconds(10), 0, [&f] { f.ServeAll(); });
  const base::Timer stop_timer =
      f.loop.After(std::chrono::minutes(10), [&f] { f.loop.Stop(); });
  f.loop.Run();
  // Each node's backoff doubles from 4 s to 128 s: the first six periods take
  // 252 s and three more take 384 s, so in ten minutes neither node acquires
  // the role more than ten times.
  CHECK(acquired >= 2);
  CHECK(acquired <= 20);
}

}  // namespace
}  // namespace mangospread::scheduler
