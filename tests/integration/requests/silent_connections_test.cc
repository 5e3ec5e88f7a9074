// Guards against nodes that wait indefinitely for connections that have become
// unresponsive, although new connections work.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "integration/harness/cluster.hpp"
#include "integration/harness/load/keyed_load.hpp"

namespace mangospread::testing {
namespace {

constexpr unsigned kSeed = 20'240'614;
constexpr int kOk = 200;

/// Checks that every node serves requests, and that a configuration change is
/// accepted by one node and takes effect on all.
void CheckClusterServes(Cluster& cluster, int round) {
  cluster.WaitUntilServing();
  for (int i = 0; i < cluster.nodes(); ++i) {
    WaitUntil("a response through each node", kWaitTimeout, [&cluster, i] {
      return Get(cluster.http(i), kServicePath).status == kOk;
    });
  }
  const std::string service = "after-" + std::to_string(round);
  WaitUntil("a configuration change is accepted", kWaitTimeout, [&] {
    const Response reply =
        Put(cluster.http(round % cluster.nodes()),
            "/v1/resources/service/" + service,
            R"({"team":"branches","pool":"counter","timeout_ms":2000})");
    return reply.status / 100 == kOk / 100;
  });
  for (int i = 0; i < cluster.nodes(); ++i) {
    WaitUntil("the change is in force at each node", kWaitTimeout, [&] {
      return Get(cluster.http(i), "/v1/resources/service/" + service).status ==
             kOk;
    });
  }
}

TEST_CASE("cluster recovers when all open connections become unresponsive") {
  ClusterOptions options;
  options.proxy_table = true;
  options.proxy_workers = true;
  options.proxy_rpc = true;
  Cluster cluster(options);
  constexpr int kThreads = 8;
  KeyedLoad load(cluster, kThreads, kSeed);
  load.WaitForResponses();
  constexpr int kRounds = 3;
  for (int round = 0; round < kRounds; ++round) {
    cluster.table_proxy().Stall();
    for (int i = 0; i < cluster.workers(); ++i) {
      cluster.worker_proxy(i).Stall();
    }
    for (int i = 0; i < cluster.nodes(); ++i) cluster.rpc_proxy(i).Stall();
    CheckClusterServes(cluster, round);
    load.WaitForResponses();
  }
  CHECK(cluster.table_proxy().Record().at("silenced") > 0);
  for (int i = 0; i < cluster.nodes(); ++i) {
    CHECK(cluster.rpc_proxy(i).Record().at("silenced") > 0);
  }
  load.StopAndCheck(cluster);
}

}  // namespace
}  // namespace mangospread::testing
