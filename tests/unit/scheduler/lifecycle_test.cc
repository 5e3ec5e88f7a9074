#include <doctest/doctest.h>

#include "unit/scheduler/lifecycle_fixture.hpp"

namespace mangospread::test {
namespace {

/// Checks that no two runs of a task overlap and that each run resumes from the
/// checkpoint of the previous one.
void CheckSequentialRuns(LifecycleFixture& f, const std::string& task) {
  const auto runs = f.Runs(task);
  INFO("task ", task);
  REQUIRE_FALSE(runs.empty());
  for (std::size_t i = 1; i < runs.size(); ++i) {
    CHECK(runs[i - 1].ended > 0);
    CHECK(runs[i].started > runs[i - 1].ended);
    CHECK(runs[i].attempt > runs[i - 1].attempt);
    CHECK(runs[i].from_checkpoint == runs[i - 1].checkpoint);
  }
}

// Guards against a second attempt while the first one runs although the reply
// to its start was lost.
TEST_CASE("a start is retried as the same attempt after a lost reply") {
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
// scheduler is killed between any two steps of start, eviction and resumption.
TEST_CASE("evicted tasks resume once whenever the scheduler is killed") {
  constexpr int kKillPoints = 40;
  int takeovers = 0;
  for (int kill_point = 0; kill_point < kKillPoints; ++kill_point) {
    INFO("scheduler is killed after event ", kill_point);
    LifecycleFixture f;
    auto& node_a = f.AddNode("a");
    f.AddJob("j", R"({"team":"t","tasks":2})");
    RunUntil(f.loop, [&] { return !f.Runs("j/0").empty(); });
    // Node a evicts task j/0 until it has three runs or node a is killed; node
    // b then evicts it as often as is still needed for three runs.
    int events_left = kill_point;
    bool scheduler_killed = false;
    const auto count_event = [&] {
      scheduler_killed = scheduler_killed || events_left-- == 0;
    };
    f.table.on_event = count_event;
    f.on_command = count_event;
    int run_count = 0;
    const auto evict = [&](LifecycleFixture::Node& node) {
      if (node.engine == nullptr || run_count >= 3) return;
      for (auto& [vm, worker] : f.workers) {
        for (const std::string& task : worker.Running()) {
          if (task != "j/0" || !node.engine->evict.empty()) continue;
          node.engine->evict.emplace_back(TaskId(task), vm);
        }
      }
    };
    RunUntil(f.loop, [&] {
      run_count = static_cast<int>(f.Runs("j/0").size());
      evict(node_a);
      return scheduler_killed || run_count >= 3;
    });
    f.nodes.clear();
    takeovers += scheduler_killed ? 1 : 0;
    auto& node_b = f.AddNode("b");
    RunUntil(f.loop, [&] {
      run_count = static_cast<int>(f.Runs("j/0").size());
      if (run_count < 3) {
        evict(node_b);
      } else {
        f.EndAll();
      }
      return f.Finished("j");
    });
    CheckSequentialRuns(f, "j/0");
    CheckSequentialRuns(f, "j/1");
    CHECK(f.Status("j").find("\"done\":2") != std::string::npos);
  }
  CHECK(takeovers > 10);
}

// Guards against lost completions and against starts that are not recorded in
// the table.
TEST_CASE("a table outage loses no task ends and starts no tasks") {
  LifecycleFixture f(2, 1);
  f.AddNode("a");
  f.AddJob("j", R"({"team":"t","tasks":4})");
  RunUntil(f.loop, [&] {
    return f.Status("j").find("\"running\":2") != std::string::npos;
  });
  f.table.down = true;
  f.EndAll();
  const int started = f.event_clock;
  const MonotonicTime outage_end =
      base::MonotonicNow() + std::chrono::seconds(3);
  RunUntil(f.loop, [&] { return base::MonotonicNow() > outage_end; });
  CHECK(f.event_clock == started);
  for (const auto& [vm, worker] : f.workers) {
    CHECK(worker.report.tasks.size() == 1);  // The record is kept.
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

// Guards against an endless wait for a task whose worker has restarted and no
// longer has a record of it.
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
    const auto task_runs = f.Runs("j/" + std::to_string(i));
    runs += task_runs.size();
    CHECK(task_runs.back().ended > 0);
  }
  CHECK(runs == 9);
}

// Guards against a restart on another worker before the task lease of the
// removed VM's worker has expired and ended the task.
TEST_CASE("tasks of a removed VM restart only after the task lease") {
  LifecycleFixture f;
  f.options.task_lease = Milliseconds(2'000);
  f.options.lease_margin = Milliseconds(200);
  f.AddNode("a");
  f.AddJob("j", R"({"team":"t","tasks":2})");
  RunUntil(f.loop, [&] {
    return f.Status("j").find("\"running\":2") != std::string::npos;
  });
  const VmName removed_vm = f.vms.back().name;
  f.vms.pop_back();
  const MonotonicTime removed_at = base::MonotonicNow();
  RunUntil(f.loop,
           [&] { return f.workers.begin()->second.Running().size() == 2; });
  CHECK(base::MonotonicNow() - removed_at >= std::chrono::milliseconds(2'000));
}

// Guards against unlimited attempts and against rows that are never deleted.
TEST_CASE("a failing job ends after max_attempts and leaves one row") {
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

// Guards against a use of a job's name after the job was erased, after which a
// new job of the same name is not found; AddressSanitizer reports the access.
TEST_CASE("a job deleted before it has rows can be created again") {
  LifecycleFixture f(0);
  f.AddNode("a");
  // Exceeds the small-string buffer, so that the name is on the heap.
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

// Guards against a record that a scheduler writes after it has lost the role
// during a pause.
TEST_CASE("a scheduler that lost the role cannot store a task record") {
  LifecycleFixture f;
  const auto former_role =
      f.table.rows.Transact({{}, {{"role/scheduler/default", "a"}}});
  f.table.rows.Transact({{}, {{"role/scheduler/default", "b"}}});
  table::Writer writer(f.loop, f.table, "writer/a/1/tasks", f.writer_options);
  std::vector<std::string> failed_keys;
  scheduler::TaskRegistry registry(
      f.table, writer, {"role/scheduler/default", former_role.version},
      {[](auto&) {}, [](auto&) {},
       [&](const auto& keys) { failed_keys = keys; }, [](const auto&) {}});
  scheduler::Job& job = registry.AddJob(JobName("j"));
  registry.AddTasks(job);
  job.tasks[0]->record.state = scheduler::TaskState::kAssigned;
  registry.Save(*job.tasks[0]);
  RunUntil(f.loop, [&] { return writer.idle(); });
  CHECK(failed_keys == std::vector<std::string>{"role/scheduler/default"});
  CHECK(f.table.rows.Read({{"task/j/0"}, {}}).empty());
}

// Guards against commands of a scheduler that was paused during a takeover.
TEST_CASE("an owner refuses commands of a former scheduler") {
  LifecycleFixture f;
  f.AddNode("a");
  RunUntil(f.loop, [&] { return f.nodes.begin()->second->role.held(); });
  f.nodes.clear();
  auto& node_b = f.AddNode("b");
  RunUntil(f.loop, [&] { return node_b.role.held(); });
  rpc::TaskCall call;
  call.scheduler_epoch = Epoch(1);
  call.vm = f.vms[0].name;
  call.command.task = "j/0";
  call.command.attempt = Attempt(1);
  std::optional<Errc> error_code;
  f.agent.OnCommand(call, [&](const Result<TaskReport>& result) {
    error_code = result.ok() ? Errc::kOk : result.error().code;
  });
  RunUntil(f.loop, [&] { return error_code.has_value(); });
  CHECK(error_code == Errc::kStaleEpoch);
  CHECK(f.Runs("j/0").empty());
}

}  // namespace
}  // namespace mangospread::test
