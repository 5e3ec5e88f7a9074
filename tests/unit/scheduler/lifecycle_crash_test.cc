// Guards against a job's task that crashes worker after worker, and against
// giving up the tasks beside it.
#include <doctest/doctest.h>

#include "unit/scheduler/lifecycle_fixture.hpp"

namespace mangospread::test {
namespace {

constexpr const char* kCrashing = "bad/0";
/// After three workers have crashed under a task, it may be started two more
/// times.
constexpr int kMaxStarts = 5;

bool IsRunning(const FakeWorker& worker, const std::string& task) {
  const auto running = worker.Running();
  return std::find(running.begin(), running.end(), task) != running.end();
}

/// Restarts every worker that runs the crashing task.
void CrashWorkers(LifecycleFixture& f) {
  for (auto& [vm, worker] : f.workers) {
    if (IsRunning(worker, kCrashing)) worker.Restart();
  }
}

bool StatusHas(const LifecycleFixture& f, const std::string& job,
               const std::string& text) {
  return f.Status(job).find(text) != std::string::npos;
}

// Guards against a task that is given up because it was started together with
// the task that crashes their worker.
TEST_CASE("a task that shares its worker with a crashing one is not given up") {
  LifecycleFixture f(1);
  f.AddNode("a");
  f.AddJob("good", R"({"team":"t","tasks":3})");
  f.AddJob("bad", R"({"team":"t","tasks":1})");
  RunUntil(f.loop, [&] {
    // The first crash comes when all are running, so that all are suspected.
    const bool all_running = f.workers.begin()->second.Running().size() == 4;
    if (all_running || f.Runs(kCrashing).size() > 1) CrashWorkers(f);
    return f.Finished("bad");
  });
  CHECK(StatusHas(f, "bad", "\"failed\":1"));
  CHECK(f.Runs(kCrashing).size() <= kMaxStarts);
  RunUntil(f.loop, [&] {
    f.EndAll();
    return f.Finished("good");
  });
  CHECK(StatusHas(f, "good", "\"done\":3"));
}

// Guards against a count that starts at zero with each scheduler.
TEST_CASE("a new scheduler knows the crashes under a task") {
  LifecycleFixture f;
  f.AddNode("a");
  f.AddJob("bad", R"({"team":"t","tasks":1})");
  RunUntil(f.loop, [&] { return StatusHas(f, "bad", "\"running\":1"); });
  CrashWorkers(f);
  RunUntil(f.loop, [&] {
    const auto rows = f.table.rows.Read({{"task/bad/0"}, {}});
    return !rows.empty() &&
           rows[0].value.find("\"queued\"") != std::string::npos;
  });
  f.nodes.clear();
  REQUIRE(f.Runs(kCrashing).size() == 1);
  f.AddNode("b");
  RunUntil(f.loop, [&] { return StatusHas(f, "bad", "\"running\":1"); });
  CrashWorkers(f);
  RunUntil(f.loop, [&] { return f.Finished("bad"); });
  CHECK(StatusHas(f, "bad", "\"failed\":1"));
  CHECK(f.Runs(kCrashing).size() == 2);
}

// Guards against a task that is given up for two crashes after takeovers,
// although it may have worked for hours before each.
TEST_CASE(
    "a run of a former scheduler is not blamed as if it had just started") {
  LifecycleFixture f(1);
  f.AddNode("a");
  f.AddJob("good", R"({"team":"t","tasks":1})");
  for (std::size_t crashes = 0; crashes < 2; ++crashes) {
    RunUntil(f.loop, [&] {
      return f.Runs("good/0").size() == crashes + 1 &&
             StatusHas(f, "good", "\"running\":1");
    });
    f.nodes.clear();
    auto& next = f.AddNode("b" + std::to_string(crashes));
    RunUntil(f.loop, [&] { return next.scheduler.deciding(); });
    f.workers.begin()->second.Restart();
  }
  RunUntil(f.loop, [&] {
    f.EndAll();
    return f.Finished("good");
  });
  CHECK(StatusHas(f, "good", "\"done\":1"));
}

// Guards against a second start that reaches the worker's next process before
// a report shows that the former one ended after the first start.
TEST_CASE("a start without a reply is not repeated before the next report") {
  constexpr std::uint64_t kReports = 10;
  LifecycleFixture f(1);
  auto& node = f.AddNode("a");
  RunUntil(f.loop, [&] {
    return node.scheduler.deciding() && f.agent.counters().reports >= kReports;
  });
  f.FreezeReports();
  f.lose_replies = 1;
  int commands = 0;
  f.on_command = [&] {
    ++commands;
    CrashWorkers(f);
  };
  f.AddJob("bad", R"({"team":"t","tasks":1})");
  RunUntil(f.loop, [&] { return commands > 0; });
  const std::uint64_t reports = f.agent.counters().reports;
  RunUntil(f.loop,
           [&] { return f.agent.counters().reports > reports + kReports; });
  CHECK(commands == 1);
  CHECK(f.Runs(kCrashing).size() == 1);
  f.frozen_reports.clear();
  RunUntil(f.loop, [&] { return f.Finished("bad"); });
  CHECK(StatusHas(f, "bad", "\"failed\":1"));
  CHECK(f.Runs(kCrashing).size() <= kMaxStarts);
}

}  // namespace
}  // namespace mangospread::test
