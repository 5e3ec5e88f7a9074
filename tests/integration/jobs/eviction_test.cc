// Guards against evicted tasks that are lost, resumed twice or not resumed from
// their last checkpoint, also if the scheduler is killed during the eviction.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "integration/harness/checks/jobs.hpp"

namespace mangospread::testing {
namespace {

/// Number of the job's runs that ended by a stop.
int CountStopped(const Cluster& cluster, const std::string& job) {
  int stopped = 0;
  for (const auto& [task, runs] : CollectRuns(cluster)) {
    for (const TaskRun& run : runs) {
      if (task.starts_with(job) && run.phase == "stopped") ++stopped;
    }
  }
  return stopped;
}

void CheckResumedFromCheckpoint(const Cluster& cluster) {
  for (const auto& entry : CollectRuns(cluster)) {
    const std::vector<TaskRun>& runs = entry.second;
    INFO("task ", entry.first);
    CHECK(runs.front().from_checkpoint == 0);
    for (std::size_t i = 1; i < runs.size(); ++i) {
      CHECK(runs[i].from_checkpoint == runs[i - 1].checkpoint);
    }
    CHECK(runs.back().phase == "done");
  }
}

/// Fills the workers with batch tasks, which are then evicted for urgent tasks.
void EvictByUrgentWork(bool kill_scheduler) {
  constexpr int kBatch = 16;
  constexpr int kUrgent = 6;
  Cluster cluster({});
  CreateJob(cluster, 0, "batch",
            R"({"team":"night","tasks":16,"cpu_millis":4000,)"
            R"("memory_mb":8000,"run_time_ms":15000})");
  WaitUntil("the workers are full", kWaitTimeout, [&cluster] {
    return CountTasksInState(JobStatus(cluster, "batch"), "running") >= 12;
  });
  CreateJob(cluster, 1, "urgent",
            R"({"team":"day","tasks":6,"cpu_millis":4000,"urgent":true,)"
            R"("memory_mb":8000,"run_time_ms":1000})");
  WaitUntil("a batch task was evicted", kWaitTimeout,
            [&cluster] { return CountStopped(cluster, "batch/") > 0; });
  if (kill_scheduler) {
    const int active = SchedulerNode(cluster);
    REQUIRE(active >= 0);
    cluster.RestartNode(active);
  }
  WaitForJob(cluster, "urgent");
  WaitForJob(cluster, "batch");
  CheckRunsDoNotOverlap(cluster);
  CheckResumedFromCheckpoint(cluster);
  CHECK(CountTasksInState(JobStatus(cluster, "batch"), "done") == kBatch);
  CHECK(CountTasksInState(JobStatus(cluster, "urgent"), "done") == kUrgent);
}

TEST_CASE("evicted tasks resume once from their checkpoints") {
  EvictByUrgentWork(false);
}

TEST_CASE("evicted tasks resume once when the scheduler is killed") {
  EvictByUrgentWork(true);
}

}  // namespace
}  // namespace mangospread::testing
