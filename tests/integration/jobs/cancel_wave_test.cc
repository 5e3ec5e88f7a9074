// Guards against cancelled tasks that go on or start again, and against
// accepted work that is lost or runs twice, when thousands of tasks of several
// jobs are deleted at once and the scheduler's node dies meanwhile.
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
constexpr int kKept = 200;
/// Enough that the wave meets tasks in every state: running, being started and
/// queued.
constexpr int kRunningBefore = 300;

std::string WaveJob(int index) { return "wave-" + std::to_string(index); }

bool IsWave(const std::string& task) { return task.starts_with("wave-"); }

/// Recorded runs of the wave, and how many of them have not ended.
struct WaveRuns {
  std::size_t all = 0;
  int running = 0;
};

WaveRuns CountWave(const Cluster& cluster) {
  WaveRuns count;
  for (const auto& [task, runs] : CollectRuns(cluster)) {
    if (!IsWave(task)) continue;
    count.all += runs.size();
    for (const TaskRun& run : runs) count.running += run.phase == "running";
  }
  return count;
}

/// The node's answer about the job; 0 without one.
int JobStatusCode(const Cluster& cluster, int node, const std::string& name) {
  return Get(cluster.direct_http(node), "/v1/jobs/" + name).status;
}

/// Deletes all jobs of the wave at once, through nodes that stay alive, and
/// kills the scheduler's node once the first is accepted.
void DeleteWaveAndKillScheduler(Cluster& cluster) {
  const int active = SchedulerNode(cluster);
  REQUIRE(active >= 0);
  std::vector<Address> alive;
  for (int i = 0; i < cluster.nodes(); ++i) {
    if (i != active) alive.push_back(cluster.direct_http(i));
  }
  std::atomic<int> accepted{0};
  std::atomic<bool> gave_up{false};
  std::vector<std::thread> operators;
  operators.reserve(kWaveJobs);
  for (int i = 0; i < kWaveJobs; ++i) {
    operators.emplace_back([&, i] {
      net::Request request;
      request.method = net::Method::kDelete;
      request.target = "/v1/resources/job/" + WaveJob(i);
      // An operator repeats a change whose outcome is an error; one that took
      // effect although its reply was lost is "not found" then.
      constexpr int kTries = 100;
      for (int n = 0; n < kTries; ++n) {
        const Reply reply = Fetch(alive[i % alive.size()], request);
        if (reply.status / 100 == 2 || reply.status == kNotFound) {
          ++accepted;
          return;
        }
        std::this_thread::sleep_for(Milliseconds(100));
      }
      gave_up = true;
    });
  }
  while (accepted == 0 && !gave_up) std::this_thread::yield();
  cluster.RestartNode(active);
  for (std::thread& each : operators) each.join();
  CHECK_FALSE(gave_up);
}

void CheckKeptRanOnce(const Cluster& cluster) {
  int kept = 0;
  for (const auto& entry : CollectRuns(cluster)) {
    if (IsWave(entry.first)) continue;
    INFO("task ", entry.first);
    CHECK(entry.second.size() == 1);
    CHECK(entry.second.back().phase == "done");
    ++kept;
  }
  CHECK(kept == kKept);
}

void CheckWaveStopped(const Cluster& cluster, std::size_t runs) {
  CHECK(CountWave(cluster).all == runs);
  for (const auto& entry : CollectRuns(cluster)) {
    if (!IsWave(entry.first)) continue;
    INFO("task ", entry.first);
    CHECK(entry.second.back().phase == "stopped");
  }
}

TEST_CASE("a wave of cancellations stops for good, other work runs once") {
  ClusterOptions options;
  options.workers = 4;
  Cluster cluster(options);
  for (int i = 0; i < kWaveJobs; ++i) {
    CreateJob(cluster, i % cluster.nodes(), WaveJob(i),
              R"({"team":"night","tasks":500,"run_time_ms":600000,)"
              R"("cpu_millis":200,"memory_mb":100})");
  }
  WaitUntil("many tasks of the wave run", kWaitDeadline, [&cluster] {
    return CountWave(cluster).running >= kRunningBefore;
  });
  CreateJob(cluster, 0, "kept",
            R"({"team":"day","tasks":200,"run_time_ms":2000,)"
            R"("cpu_millis":200,"memory_mb":100})");
  WaitUntil("kept tasks run", kWaitDeadline, [&cluster] {
    return CountIn(JobStatus(cluster, "kept"), "running") > 0;
  });
  DeleteWaveAndKillScheduler(cluster);
  WaitForJob(cluster, "kept");
  CHECK(CountIn(JobStatus(cluster, "kept"), "done") == kKept);
  constexpr Milliseconds kDeadline{120'000};
  for (int i = 0; i < kWaveJobs; ++i) {
    WaitUntil("job " + WaveJob(i) + " gone", kDeadline, [&cluster, i] {
      return JobStatusCode(cluster, 0, WaveJob(i)) == kNotFound;
    });
  }
  WaitUntil("the wave has stopped", kDeadline,
            [&cluster] { return CountWave(cluster).running == 0; });
  CheckRunsDoNotOverlap(cluster);
  CheckKeptRanOnce(cluster);
  const std::size_t stopped = CountWave(cluster).all;
  CHECK(stopped >= kRunningBefore);
  // A scheduler that starts afresh must not start them again, also not in
  // place of new work.
  const int active = SchedulerNode(cluster);
  REQUIRE(active >= 0);
  cluster.RestartNode(active);
  CreateJob(cluster, (active + 1) % cluster.nodes(), "kept-after",
            R"({"team":"night","tasks":20,"run_time_ms":50})");
  WaitForJob(cluster, "kept-after");
  CheckWaveStopped(cluster, stopped);
}

}  // namespace
}  // namespace mangospread::testing
