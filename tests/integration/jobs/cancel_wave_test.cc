// Guards against cancelled tasks that keep running or start again, and against
// accepted tasks that are lost or run twice, when several jobs with thousands
// of tasks (the "wave") are deleted at once and the scheduler's node is killed
// during the deletion.
#include <doctest/doctest.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "integration/harness/checks/jobs.hpp"

namespace mangospread::testing {
namespace {

using nlohmann::json;

constexpr int kNotFound = 404;
constexpr int kWaveJobs = 4;
constexpr int kKeptTasks = 200;
/// Enough that the deletion affects tasks in every state: running, starting and
/// queued.
constexpr int kMinRunningTasks = 300;

std::string WaveJobName(int index) { return "wave-" + std::to_string(index); }

bool IsWaveTask(const std::string& task) { return task.starts_with("wave-"); }

/// Recorded runs of the wave's tasks, and how many of them have not ended.
struct WaveRuns {
  std::size_t total = 0;
  int running = 0;
};

WaveRuns CountWaveRuns(const Cluster& cluster) {
  WaveRuns count;
  for (const auto& [task, runs] : CollectRuns(cluster)) {
    if (!IsWaveTask(task)) continue;
    count.total += runs.size();
    for (const TaskRun& run : runs) count.running += run.phase == "running";
  }
  return count;
}

/// Status code of the node's response for the job; 0 without a response.
int JobStatusCode(const Cluster& cluster, int node, const std::string& name) {
  return Get(cluster.direct_http(node), "/v1/jobs/" + name).status;
}

/// Deletes all jobs of the wave concurrently, through nodes that stay alive,
/// and kills the scheduler's node once the first deletion is accepted.
void DeleteWaveAndKillScheduler(Cluster& cluster) {
  const int active = SchedulerNode(cluster);
  REQUIRE(active >= 0);
  std::vector<Address> surviving_nodes;
  for (int i = 0; i < cluster.nodes(); ++i) {
    if (i != active) surviving_nodes.push_back(cluster.direct_http(i));
  }
  std::atomic<int> accepted{0};
  std::atomic<bool> retries_exhausted{false};
  std::vector<std::thread> operator_threads;
  operator_threads.reserve(kWaveJobs);
  for (int i = 0; i < kWaveJobs; ++i) {
    operator_threads.emplace_back([&, i] {
      net::Request request;
      request.method = net::Method::kDelete;
      request.target = "/v1/resources/job/" + WaveJobName(i);
      // A failed deletion is retried; one that took effect although its
      // response was lost then returns "not found".
      constexpr int kMaxAttempts = 100;
      for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
        const Response reply =
            Fetch(surviving_nodes[i % surviving_nodes.size()], request);
        if (reply.status / 100 == 2 || reply.status == kNotFound) {
          ++accepted;
          return;
        }
        std::this_thread::sleep_for(Milliseconds(100));
      }
      retries_exhausted = true;
    });
  }
  while (accepted == 0 && !retries_exhausted) std::this_thread::yield();
  cluster.RestartNode(active);
  for (std::thread& thread : operator_threads) thread.join();
  CHECK_FALSE(retries_exhausted);
}

void CheckKeptTasksRanOnce(const Cluster& cluster) {
  int kept_tasks = 0;
  for (const auto& entry : CollectRuns(cluster)) {
    if (IsWaveTask(entry.first)) continue;
    INFO("task ", entry.first);
    CHECK(entry.second.size() == 1);
    CHECK(entry.second.back().phase == "done");
    ++kept_tasks;
  }
  CHECK(kept_tasks == kKeptTasks);
}

void CheckWaveStopped(const Cluster& cluster, std::size_t expected_runs) {
  CHECK(CountWaveRuns(cluster).total == expected_runs);
  for (const auto& entry : CollectRuns(cluster)) {
    if (!IsWaveTask(entry.first)) continue;
    INFO("task ", entry.first);
    CHECK(entry.second.back().phase == "stopped");
  }
}

TEST_CASE("tasks of jobs deleted at once stay stopped, others run once") {
  ClusterOptions options;
  options.workers = 4;
  Cluster cluster(options);
  for (int i = 0; i < kWaveJobs; ++i) {
    CreateJob(cluster, i % cluster.nodes(), WaveJobName(i),
              R"({"team":"night","tasks":500,"run_time_ms":600000,)"
              R"("cpu_millis":200,"memory_mb":100})");
  }
  WaitUntil("many wave tasks run", kWaitTimeout, [&cluster] {
    return CountWaveRuns(cluster).running >= kMinRunningTasks;
  });
  CreateJob(cluster, 0, "kept",
            R"({"team":"day","tasks":200,"run_time_ms":2000,)"
            R"("cpu_millis":200,"memory_mb":100})");
  WaitUntil("kept tasks run", kWaitTimeout, [&cluster] {
    return CountTasksInState(JobStatus(cluster, "kept"), "running") > 0;
  });
  DeleteWaveAndKillScheduler(cluster);
  WaitForJob(cluster, "kept");
  CHECK(CountTasksInState(JobStatus(cluster, "kept"), "done") == kKeptTasks);
  constexpr Milliseconds kDeadline{120'000};
  for (int i = 0; i < kWaveJobs; ++i) {
    WaitUntil("job " + WaveJobName(i) + " is removed", kDeadline,
              [&cluster, i] {
                return JobStatusCode(cluster, 0, WaveJobName(i)) == kNotFound;
              });
  }
  WaitUntil("all wave tasks have stopped", kDeadline,
            [&cluster] { return CountWaveRuns(cluster).running == 0; });
  CheckRunsDoNotOverlap(cluster);
  CheckKeptTasksRanOnce(cluster);
  const std::size_t stopped_runs = CountWaveRuns(cluster).total;
  CHECK(stopped_runs >= kMinRunningTasks);
  // A restarted scheduler must not start the cancelled tasks again, also not
  // instead of new tasks.
  const int active = SchedulerNode(cluster);
  REQUIRE(active >= 0);
  cluster.RestartNode(active);
  CreateJob(cluster, (active + 1) % cluster.nodes(), "kept-after",
            R"({"team":"night","tasks":20,"run_time_ms":50})");
  WaitForJob(cluster, "kept-after");
  CheckWaveStopped(cluster, stopped_runs);
}

}  // namespace
}  // namespace mangospread::testing
