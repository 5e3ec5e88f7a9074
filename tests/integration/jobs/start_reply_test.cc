// Guards against a second attempt after the reply to a start command was lost.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "integration/harness/checks/jobs.hpp"

namespace mangospread::testing {
namespace {

TEST_CASE("tasks whose start replies are lost run only once") {
  ClusterOptions options;
  options.workers = 4;
  options.proxy_workers = true;
  options.proxy_rpc = true;
  Cluster cluster(options);
  WaitUntil("a scheduler is active", kWaitTimeout,
            [&cluster] { return SchedulerNode(cluster) >= 0; });
  CreateJob(cluster, 0, "lost",
            R"({"team":"night","tasks":120,"run_time_ms":8000})");
  WaitUntil("tasks start", kWaitTimeout,
            [&cluster] { return !CollectRuns(cluster).empty(); });
  for (int i = 0; i < cluster.workers(); ++i) {
    cluster.worker_proxy(i).SetFaults(R"({"cut_replies":12})");
  }
  WaitForJob(cluster, "lost");
  CheckRunsDoNotOverlap(cluster);
  const auto runs = CollectRuns(cluster);
  CHECK(runs.size() == 120);
  for (const auto& entry : runs) {
    INFO("task ", entry.first);
    CHECK(entry.second.size() == 1);
  }
}

}  // namespace
}  // namespace mangospread::testing
