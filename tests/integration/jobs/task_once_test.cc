// Guards against a task that runs on two workers at once, under kills and
// pauses of the scheduler, the owners and the workers, cut and blocked
// connections, lost replies and table outages.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "integration/harness/checks/jobs.hpp"

namespace mangospread::testing {
namespace {

/// Exceeds the time after which peers consider an unreachable node dead.
constexpr Milliseconds kOutageDuration{4'000};
constexpr Milliseconds kFaultInterval{500};
constexpr int kFaults = 12;
constexpr int kTasks = 500;

class FaultInjector {
 public:
  FaultInjector(Cluster& cluster, unsigned seed)
      : cluster_(cluster), random_(seed) {}

  void InjectFault() {
    switch (RandomIndex(9)) {
      case 0:
        return KillScheduler();
      case 1:
        return PauseProcess(cluster_.node(SchedulerOrRandomNode()));
      case 2:
        return PauseProcess(cluster_.node(RandomIndex(cluster_.nodes())));
      case 3:
        return PauseProcess(cluster_.worker(RandomIndex(cluster_.workers())));
      case 4:
        return cluster_.RestartWorker(RandomIndex(cluster_.workers()));
      case 5:
        cluster_.worker_proxy(RandomIndex(cluster_.workers()))
            .CloseConnections();
        return cluster_.rpc_proxy(RandomIndex(cluster_.nodes()))
            .CloseConnections();
      case 6:
        cluster_.worker_proxy(RandomIndex(cluster_.workers())).Stall();
        return cluster_.rpc_proxy(RandomIndex(cluster_.nodes())).Stall();
      case 7:
        return LoseReplies();
      default:
        return InterruptTable();
    }
  }

 private:
  int RandomIndex(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }
  int SchedulerOrRandomNode() {
    const int node = SchedulerNode(cluster_);
    return node >= 0 ? node : RandomIndex(cluster_.nodes());
  }
  static void PauseProcess(Process& process) {
    process.Pause();
    std::this_thread::sleep_for(kOutageDuration);
    process.Resume();
  }
  void KillScheduler() { cluster_.RestartNode(SchedulerOrRandomNode()); }
  void LoseReplies() {
    cluster_.SetTableFaults(R"({"lose_replies":2})");
    for (int i = 0; i < cluster_.workers(); ++i) {
      cluster_.worker_proxy(i).SetFaults(R"({"lose_replies":3})");
    }
    for (int i = 0; i < cluster_.nodes(); ++i) {
      cluster_.rpc_proxy(i).SetFaults(R"({"cut_replies":3})");
    }
  }
  void InterruptTable() {
    cluster_.SetTableFaults(R"({"down":true})");
    std::this_thread::sleep_for(kOutageDuration);
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
  WaitUntil("tasks run", kWaitTimeout, [&cluster] {
    return CountTasksInState(JobStatus(cluster, "once"), "running") > 0;
  });
  FaultInjector fault_injector(cluster, seed);
  for (int i = 0; i < kFaults; ++i) {
    fault_injector.InjectFault();
    std::this_thread::sleep_for(kFaultInterval);
  }
  WaitForJob(cluster, "once");
  CheckRunsDoNotOverlap(cluster);
  CHECK(CountTasksInState(JobStatus(cluster, "once"), "done") == kTasks);
  CHECK(CollectRuns(cluster).size() == kTasks);
}

TEST_CASE("a task never runs on two workers at once, seed 1") { RunSeed(1); }
TEST_CASE("a task never runs on two workers at once, seed 2") { RunSeed(2); }

}  // namespace
}  // namespace mangospread::testing
