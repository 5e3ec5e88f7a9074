#include <doctest/doctest.h>

#include "unit/scheduler/lifecycle_fixture.hpp"

namespace mangospread::test {
namespace {

/// Checks that no two runs of a task overlap and that each resumes where the
/// one before stopped.
void CheckRuns(LifecycleFixture& f, const std::string& task) {
  const auto runs = f.Runs(task);
  INFO("task ", task);
  REQUIRE_FALSE(runs.empty());
  for (std::size_t i = 1; i < runs.size(); ++i) {
    CHECK(runs[i - 1].ended > 0);
    CHECK(runs[i].started > runs[i - 1].ended);
    CHECK(runs[i].attempt > runs[i - 1].attempt);
    CHECK(runs[i].from == runs[i - 1].checkpoint);
  }
}

// Guards against a second attempt while the first one runs unnoticed.
TEST_CASE("a start whose reply is lost is the same attempt") {
  LifecycleFixture f;
  f.lose_replies = 3;
  f.AddNode("a");
  f.AddJob("j", R"({"team":"t","tasks":3})");
  RunUntil(f.loop, [&] {
    f.EndAll();
    return f.Finished("j");
  });
  for (const char* task : {"j/0", "j/1", "j/2"}) {
    REQUIRE(f.Runs(task).size() == 1);
    CHECK(f.Runs(task)[0].attempt == Attempt(1));
  }
  CHECK(f.lose_replies == 0);
}

// Guards against a task that runs twice, resumes twice or is lost when the
// scheduler dies between any two steps of start, eviction and resumption.
TEST_CASE("evicted work resumes once whenever the scheduler dies") {
  constexpr int kSteps = 40;
  int taken_over = 0;
  for (int step = 0; step < kSteps; ++step) {
    INFO("scheduler dies after event ", step);
    LifecycleFixture f;
    auto& a = f.AddNode("a");
    f.AddJob("j", R"({"team":"t","tasks":2})");
    RunUntil(f.loop, [&] { return !f.Runs("j/0").empty(); });
    // Both schedulers evict what they see running, the first one twice.
    int left = step;
    bool died = false;
    const auto count = [&] { died = died || left-- == 0; };
    f.table.on_event = count;
    f.on_command = count;
    int evictions = 0;
    const auto evict = [&](LifecycleFixture::Node& node) {
      if (node.engine == nullptr || evictions >= 3) return;
      for (auto& [vm, worker] : f.workers) {
        for (const std::string& task : worker.Running()) {
          if (task != "j/0" || !node.engine->evict.empty()) continue;
          node.engine->evict.emplace_back(TaskId(task), vm);
        }
      }
    };
    RunUntil(f.loop, [&] {
      evictions = static_cast<int>(f.Runs("j/0").size());
      evict(a);
      return died || evictions >= 3;
    });
    f.nodes.clear();
    taken_over += died ? 1 : 0;
    auto& b = f.AddNode("b");
    RunUntil(f.loop, [&] {
      evictions = static_cast<int>(f.Runs("j/0").size());
      if (evictions < 3) {
        evict(b);
      } else {
        f.EndAll();
      }
      return f.Finished("j");
    });
    CheckRuns(f, "j/0");
    CheckRuns(f, "j/1");
    CHECK(f.Status("j").find("\"done\":2") != std::string::npos);
  }
  CHECK(taken_over > 10);
}

// Guards against lost completions and against starts that no table row shows.
TEST_CASE("during a table outage ends are kept and nothing starts") {
  LifecycleFixture f(2, 1);
  f.AddNode("a");
  f.AddJob("j", R"({"team":"t","tasks":4})");
  RunUntil(f.loop, [&] {
    return f.Status("j").find("\"running\":2") != std::string::npos;
  });
  f.table.down = true;
  f.EndAll();
  const int started = f.clock;
  const MonotonicTime until = base::MonotonicNow() + std::chrono::seconds(3);
  RunUntil(f.loop, [&] { return base::MonotonicNow() > until; });
  CHECK(f.clock == started);
  for (const auto& [vm, worker] : f.workers) {
    CHECK(worker.report.tasks.size() == 1);  // Not forgotten.
  }
  f.table.down = false;
  RunUntil(f.loop, [&] {
    f.EndAll();
    return f.Finished("j");
  });
  for (int i = 0; i < 4; ++i) {
    CHECK(f.Runs("j/" + std::to_string(i)).size() == 1);
  }
}

// Guards against a wait for a task that its restarted worker has forgotten.
TEST_CASE("tasks of a restarted worker run again") {
  LifecycleFixture f;
  f.AddNode("a");
  f.AddJob("j", R"({"team":"t","tasks":6})");
  RunUntil(f.loop, [&] {
    return f.Status("j").find("\"running\":6") != std::string::npos;
  });
  f.workers.begin()->second.Restart();
  RunUntil(f.loop, [&] {
    std::size_t running = 0;
    for (const auto& [vm, worker] : f.workers) {
      running += worker.Running().size();
    }
    return running == 6;
  });
  RunUntil(f.loop, [&] {
    f.EndAll();
    return f.Finished("j");
  });
  std::size_t runs = 0;
  for (int i = 0; i < 6; ++i) {
    const auto list = f.Runs("j/" + std::to_string(i));
    runs += list.size();
    CHECK(list.back().ended > 0);
  }
  CHECK(runs == 9);
}

// Guards against a restart elsewhere before the worker's own lease has ended
// the task.
TEST_CASE("tasks of a vanished VM wait for the task lease") {
  LifecycleFixture f;
  f.options.task_lease = Milliseconds(2'000);
  f.options.lease_margin = Milliseconds(200);
  f.AddNode("a");
  f.AddJob("j", R"({"team":"t","tasks":2})");
  RunUntil(f.loop, [&] {
    return f.Status("j").find("\"running\":2") != std::string::npos;
  });
  const VmName gone = f.vms.back().name;
  f.vms.pop_back();
  const MonotonicTime begun = base::MonotonicNow();
  RunUntil(f.loop,
           [&] { return f.workers.begin()->second.Running().size() == 2; });
  CHECK(base::MonotonicNow() - begun >= std::chrono::milliseconds(2'000));
}

// Guards against endless attempts and against a table that only grows.
TEST_CASE("a job whose tasks fail ends after its attempts, with one row") {
  LifecycleFixture f;
  f.AddNode("a");
  f.AddJob("j", R"({"team":"t","tasks":3,"max_attempts":2})");
  RunUntil(f.loop, [&] {
    for (auto& [vm, worker] : f.workers) {
      for (const std::string& task : worker.Running()) {
        worker.End(task, TaskPhase::kFailed);
      }
    }
    return f.Finished("j");
  });
  CHECK(f.Status("j").find("\"failed\":3") != std::string::npos);
  CHECK(f.Status("j").find("failed 2 times") != std::string::npos);
  RunUntil(f.loop, [&] {
    return f.table.rows.Read({{}, {{"task/", "", 10}}}).empty();
  });
  CHECK(f.table.rows.Read({{}, {{"job/", "", 10}}}).size() == 1);
  for (int i = 0; i < 3; ++i) {
    CHECK(f.Runs("j/" + std::to_string(i)).size() == 2);
  }
}

// Guards against a use of the name of a job that was just erased, by which a
// later job of the same name is not seen; the address sanitizer reports the
// access.
TEST_CASE("a job deleted before it has rows may be created again") {
  LifecycleFixture f(0);
  f.AddNode("a");
  // Long names are not stored in the object itself.
  const std::string job(100, 'j');
  for (int i = 0; i < 3; ++i) {
    f.AddJob(job, R"({"team":"t","tasks":2})");
    RunUntil(f.loop, [&] {
      return f.Status(job).find("\"queued\":2") != std::string::npos;
    });
    f.store.Install(
        {f.store.revision().next(), {ResourceKind::kJob, job}, true, ""});
  }
  RunUntil(f.loop, [&] { return f.Status(job).empty(); });
}

// Guards against a record that a scheduler writes after it lost the role while
// it was paused.
TEST_CASE("a task is not recorded under another scheduler's role") {
  LifecycleFixture f;
  const auto old =
      f.table.rows.Transact({{}, {{"role/scheduler/default", "a"}}});
  f.table.rows.Transact({{}, {{"role/scheduler/default", "b"}}});
  table::Writer writer(f.loop, f.table, "writer/a/1/tasks", f.writer_options);
  std::vector<std::string> failed;
  scheduler::TaskBook book(
      f.table, writer, {"role/scheduler/default", old.version},
      {[](auto&) {}, [](auto&) {}, [&](const auto& keys) { failed = keys; },
       [](const auto&) {}});
  scheduler::Job& job = book.AddJob(JobName("j"));
  book.AddTasks(job);
  job.tasks[0]->record.state = scheduler::TaskState::kAssigned;
  book.Save(*job.tasks[0]);
  RunUntil(f.loop, [&] { return writer.idle(); });
  CHECK(failed == std::vector<std::string>{"role/scheduler/default"});
  CHECK(f.table.rows.Read({{"task/j/0"}, {}}).empty());
}

// Guards against commands of a scheduler that was paused while another one
// took over.
TEST_CASE("an owner refuses an earlier scheduler than the one it knows") {
  LifecycleFixture f;
  f.AddNode("a");
  RunUntil(f.loop, [&] { return f.nodes.begin()->second->role.held(); });
  f.nodes.clear();
  auto& b = f.AddNode("b");
  RunUntil(f.loop, [&] { return b.role.held(); });
  rpc::TaskCall call;
  call.scheduler_epoch = Epoch(1);
  call.vm = f.vms[0].name;
  call.command.task = "j/0";
  call.command.attempt = Attempt(1);
  std::optional<Errc> refused;
  f.agent.OnCommand(call, [&](const Result<TaskReport>& result) {
    refused = result.ok() ? Errc::kOk : result.error().code;
  });
  RunUntil(f.loop, [&] { return refused.has_value(); });
  CHECK(refused == Errc::kStaleEpoch);
  CHECK(f.Runs("j/0").empty());
}

}  // namespace
}  // namespace mangospread::test
