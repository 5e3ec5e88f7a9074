// Guards against a system that waits for connections that have gone silent for
// good although new ones work.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "integration/harness/cluster.hpp"
#include "integration/harness/load/keyed_load.hpp"

namespace mangospread::testing {
namespace {

constexpr unsigned kSeed = 20'240'614;
constexpr int kOk = 200;

/// Every node answers requests itself and takes part in configuration.
void CheckService(Cluster& cluster, int round) {
  cluster.WaitUntilServing();
  for (int i = 0; i < cluster.nodes(); ++i) {
    WaitUntil("an answer through each node", kWaitDeadline, [&cluster, i] {
      return Get(cluster.http(i), kServicePath).status == kOk;
    });
  }
  const std::string service = "after-" + std::to_string(round);
  WaitUntil("a configuration change is accepted", kWaitDeadline, [&] {
    const Reply reply =
        Put(cluster.http(round % cluster.nodes()),
            "/v1/resources/service/" + service,
            R"({"team":"branches","pool":"counter","timeout_ms":2000})");
    return reply.status / 100 == kOk / 100;
  });
  for (int i = 0; i < cluster.nodes(); ++i) {
    WaitUntil("the change is in force at each node", kWaitDeadline, [&] {
      return Get(cluster.http(i), "/v1/resources/service/" + service).status ==
             kOk;
    });
  }
}

TEST_CASE("service returns when all open connections go silent") {
  ClusterOptions options;
  options.proxy_table = true;
  options.proxy_workers = true;
  options.proxy_rpc = true;
  Cluster cluster(options);
  constexpr int kThreads = 8;
  KeyedLoad load(cluster, kThreads, kSeed);
  load.WaitForAnswers();
  constexpr int kRounds = 3;
  for (int round = 0; round < kRounds; ++round) {
    cluster.table_proxy().Silence();
    for (int i = 0; i < cluster.workers(); ++i) {
      cluster.worker_proxy(i).Silence();
    }
    for (int i = 0; i < cluster.nodes(); ++i) cluster.rpc_proxy(i).Silence();
    CheckService(cluster, round);
    load.WaitForAnswers();
  }
  CHECK(cluster.table_proxy().Record().at("silenced") > 0);
  for (int i = 0; i < cluster.nodes(); ++i) {
    CHECK(cluster.rpc_proxy(i).Record().at("silenced") > 0);
  }
  load.StopAndCheck(cluster);
}

}  // namespace
}  // namespace mangospread::testing
