// Guards against lost jobs, cancelled tasks that keep running, and jobs that
// can never run and block others.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "integration/harness/checks/jobs.hpp"

namespace mangospread::testing {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

/// Returns the sum of the task counts of all states.
int TotalCount(const json& status) {
  int total = 0;
  if (!status.is_object()) return total;
  for (const auto& [state, count] : status.at("counts").items()) {
    total += count.get<int>();
  }
  return total;
}

/// Checks that each task with this prefix that ran was stopped and did not run
/// again. Returns the number of these tasks.
std::size_t CheckStoppedOnce(const Cluster& cluster,
                             const std::string& prefix) {
  std::size_t tasks = 0;
  for (const auto& entry : CollectRuns(cluster)) {
    if (!entry.first.starts_with(prefix)) continue;
    INFO("task ", entry.first);
    CHECK(entry.second.size() == 1);
    CHECK(entry.second.back().phase == "stopped");
    ++tasks;
  }
  return tasks;
}

TEST_CASE("every task of every accepted job ends and is counted once") {
  ClusterOptions options;
  options.workers = 4;
  Cluster cluster(options);
  CreateJob(cluster, 0, "reconcile",
            R"({"team":"night","tasks":120,"run_time_ms":200})");
  CreateJob(cluster, 1, "impossible",
            R"({"team":"night","tasks":2,"cpu_millis":900000})");
  CreateJob(cluster, 2, "restock",
            R"({"team":"day","tasks":30,"run_time_ms":100})");
  WaitForJob(cluster, "impossible");
  const json impossible = JobStatus(cluster, "impossible");
  CHECK(CountTasksInState(impossible, "cannot_run") == 2);
  CHECK_FALSE(impossible.at("reason").get<std::string>().empty());
  WaitForJob(cluster, "reconcile");
  WaitForJob(cluster, "restock");
  CHECK(CountTasksInState(JobStatus(cluster, "reconcile"), "done") == 120);
  CHECK(CountTasksInState(JobStatus(cluster, "restock"), "done") == 30);
  const auto runs = CollectRuns(cluster);
  CHECK(runs.size() == 150);
  for (const auto& entry : runs) {
    INFO("task ", entry.first);
    CHECK(entry.second.size() == 1);
  }
  // The workers delete their records once the ends are stored in the table.
  WaitUntil("records of ended tasks are deleted", kWaitTimeout, [&cluster] {
    for (int i = 0; i < cluster.workers(); ++i) {
      if (cluster.WorkerRecord(i).at("running_tasks") != 0) return false;
    }
    return true;
  });
}

TEST_CASE("cancelled tasks stop and stay stopped") {
  ClusterOptions options;
  options.workers = 4;
  Cluster cluster(options);
  constexpr int kTasks = 400;
  CreateJob(cluster, 0, "wave",
            R"({"team":"night","tasks":400,"run_time_ms":600000})");
  WaitUntil("some tasks run", kWaitTimeout, [&cluster] {
    const json status = JobStatus(cluster, "wave");
    CHECK((status.is_null() || TotalCount(status) == kTasks));
    return CountTasksInState(status, "running") >= 20;
  });
  REQUIRE(Put(cluster.direct_http(1), "/v1/resources/job/wave",
              R"({"team":"night","tasks":400,"run_time_ms":600000,)"
              R"("cancelled":true})")
              .status == kOk);
  WaitForJob(cluster, "wave");
  CHECK(CountTasksInState(JobStatus(cluster, "wave"), "cancelled") == kTasks);
  const std::size_t stopped = CheckStoppedOnce(cluster, "wave/");
  // A restarted scheduler must not start them again.
  const int active = SchedulerNode(cluster);
  REQUIRE(active >= 0);
  cluster.RestartNode(active);
  WaitUntil("a scheduler is active", kWaitTimeout,
            [&cluster] { return SchedulerNode(cluster) >= 0; });
  CreateJob(cluster, 1, "after",
            R"({"team":"night","tasks":4,"run_time_ms":50})");
  WaitForJob(cluster, "after");
  // A task that had not run before counts too.
  CHECK(CheckStoppedOnce(cluster, "wave/") == stopped);
  CHECK(CountTasksInState(JobStatus(cluster, "wave"), "cancelled") == kTasks);
}

}  // namespace
}  // namespace mangospread::testing
