// Guards against a task that runs in two places: under kills and pauses of
// scheduler, owners and workers, cut and silent links, lost replies and table
// outages.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "integration/harness/checks/jobs.hpp"

namespace mangospread::testing {
namespace {

/// Longer than the time after which peers take a silent node for dead.
constexpr Milliseconds kPause{4'000};
constexpr Milliseconds kBetween{500};
constexpr int kSteps = 12;
constexpr int kTasks = 500;

class Chaos {
 public:
  Chaos(Cluster& cluster, unsigned seed) : cluster_(cluster), random_(seed) {}

  void Step() {
    switch (Pick(9)) {
      case 0:
        return KillScheduler();
      case 1:
        return PauseProcess(cluster_.node(Scheduler()));
      case 2:
        return PauseProcess(cluster_.node(Pick(cluster_.nodes())));
      case 3:
        return PauseProcess(cluster_.worker(Pick(cluster_.workers())));
      case 4:
        return cluster_.RestartWorker(Pick(cluster_.workers()));
      case 5:
        cluster_.worker_proxy(Pick(cluster_.workers())).Cut();
        return cluster_.rpc_proxy(Pick(cluster_.nodes())).Cut();
      case 6:
        cluster_.worker_proxy(Pick(cluster_.workers())).Silence();
        return cluster_.rpc_proxy(Pick(cluster_.nodes())).Silence();
      case 7:
        return LoseReplies();
      default:
        return StopTable();
    }
  }

 private:
  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }
  int Scheduler() {
    const int node = SchedulerNode(cluster_);
    return node >= 0 ? node : Pick(cluster_.nodes());
  }
  static void PauseProcess(Process& process) {
    process.Pause();
    std::this_thread::sleep_for(kPause);
    process.Resume();
  }
  void KillScheduler() { cluster_.RestartNode(Scheduler()); }
  void LoseReplies() {
    cluster_.SetTableFaults(R"({"lose_replies":2})");
    for (int i = 0; i < cluster_.workers(); ++i) {
      cluster_.worker_proxy(i).SetFaults(R"({"lose_replies":3})");
    }
    for (int i = 0; i < cluster_.nodes(); ++i) {
      cluster_.rpc_proxy(i).SetFaults(R"({"cut_replies":3})");
    }
  }
  void StopTable() {
    cluster_.SetTableFaults(R"({"down":true})");
    std::this_thread::sleep_for(kPause);
    cluster_.SetTableFaults(R"({"down":false})");
  }

  Cluster& cluster_;
  std::mt19937 random_;
};

void RunSeed(unsigned seed) {
  INFO("seed ", seed);
  ClusterOptions options;
  options.workers = 4;
  options.proxy_workers = true;
  options.proxy_rpc = true;
  Cluster cluster(options);
  CreateJob(cluster, 0, "once",
            R"({"team":"night","tasks":500,"run_time_ms":4000})");
  WaitUntil("tasks run", kWaitDeadline, [&cluster] {
    return CountIn(JobStatus(cluster, "once"), "running") > 0;
  });
  Chaos chaos(cluster, seed);
  for (int i = 0; i < kSteps; ++i) {
    chaos.Step();
    std::this_thread::sleep_for(kBetween);
  }
  WaitForJob(cluster, "once");
  CheckRunsDoNotOverlap(cluster);
  CHECK(CountIn(JobStatus(cluster, "once"), "done") == kTasks);
  CHECK(CollectRuns(cluster).size() == kTasks);
}

TEST_CASE("a task never runs in two places, seed 1") { RunSeed(1); }
TEST_CASE("a task never runs in two places, seed 2") { RunSeed(2); }

}  // namespace
}  // namespace mangospread::testing
