// Guards against request handling that depends on the table: while the table is
// down for the whole test, requests are answered, a restarted node serves, and
// a dead owner's workers are served by another node, never by two at once.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "base/loop/clock.hpp"
#include "integration/harness/checks/ownership.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 200;

/// Makes the table refuse requests, or leave them without a response.
void StartOutage(Cluster& cluster, bool unresponsive) {
  if (unresponsive) {
    cluster.table().Pause();
  } else {
    cluster.SetTableFaults(R"({"down":true})");
  }
}

void EndOutage(Cluster& cluster, bool unresponsive) {
  if (unresponsive) {
    cluster.table().Resume();
  } else {
    cluster.SetTableFaults(R"({"down":false})");
  }
}

TEST_CASE("requests, restarts and takeovers work without the table") {
  for (const bool unresponsive : {false, true}) {
    CAPTURE(unresponsive);
    ClusterOptions options;
    options.workers = 4;
    Cluster cluster(options);
    StartOutage(cluster, unresponsive);
    for (int round = 0; round < 20; ++round) {
      for (int i = 0; i < cluster.nodes(); ++i) {
        WaitUntil("a request answered during the outage", kWaitTimeout,
                  [&] { return CanServe(cluster, i); });
        CHECK(cluster.IsReady(i));
      }
    }

    const int restarted = AnyOwner(cluster);
    REQUIRE(restarted >= 0);
    cluster.RestartNode(restarted);
    WaitUntil("the restarted node ready and serving", kWaitTimeout, [&] {
      return cluster.IsReady(restarted) && CanServe(cluster, restarted);
    });
    WaitUntil("all workers owned after the restart", kWaitTimeout,
              [&] { return TotalOwnedWorkers(cluster) == cluster.workers(); });

    const int killed = AnyOwner(cluster);
    cluster.node(killed).Kill();
    WaitUntil("the killed owner's workers owned by others", kWaitTimeout,
              [&] { return TotalOwnedWorkers(cluster) == cluster.workers(); });
    const int survivor = killed == 0 ? 1 : 0;
    WaitUntil("a request answered after the takeover", kWaitTimeout,
              [&] { return CanServe(cluster, survivor); });
    CheckOwnershipRecords(cluster);

    EndOutage(cluster, unresponsive);
    WaitUntil("a change accepted after the outage", kWaitTimeout, [&] {
      return Put(cluster.http(survivor), "/v1/resources/team/branches", "{}")
                     .status /
                 100 ==
             kOk / 100;
    });
    WaitUntil("each worker owned by one node", kWaitTimeout,
              [&] { return TotalOwnedWorkers(cluster) == cluster.workers(); });
    CheckOwnershipRecords(cluster);
  }
}

// Guards against workers that wait for a stopped node's lease to expire.
TEST_CASE("a planned stop hands workers over without the table") {
  for (const bool unresponsive : {false, true}) {
    CAPTURE(unresponsive);
    ClusterOptions options;
    options.workers = 4;
    Cluster cluster(options);
    StartOutage(cluster, unresponsive);
    const int stopped = AnyOwner(cluster);
    REQUIRE(stopped >= 0);
    cluster.node(stopped).Terminate();
    CHECK(cluster.node(stopped).Wait(kWaitTimeout) == 0);
    const MonotonicTime exited = base::MonotonicNow();
    WaitUntilOwnedByOthers(cluster, stopped);
    const std::string name = "node-" + std::to_string(stopped) + "/";
    for (int i = 0; i < cluster.workers(); ++i) {
      const nlohmann::json record = cluster.WorkerRecord(i);
      const nlohmann::json& last = record.at("claims").back();
      CHECK_FALSE(last.at("owner").get<std::string>().starts_with(name));
      // The node waits for its successors' claims before it exits.
      CHECK(last.at("at_ns").get<std::int64_t>() < exited.count());
    }
    CheckOwnershipRecords(cluster);
    EndOutage(cluster, unresponsive);
  }
}

// Guards against a node that considers itself isolated, and refuses requests,
// because the table is down and it has no peers.
TEST_CASE("a cluster of one node keeps serving without the table") {
  ClusterOptions options;
  options.nodes = 1;
  Cluster cluster(options);
  cluster.SetTableFaults(R"({"down":true})");
  // Longer than the time after which an isolated node refuses requests.
  const MonotonicTime deadline =
      base::MonotonicNow() + std::chrono::milliseconds(4'500);
  while (base::MonotonicNow() < deadline) {
    CHECK(cluster.IsReady(0));
    CHECK(CanServe(cluster, 0));
  }
}

}  // namespace
}  // namespace mangospread::testing
