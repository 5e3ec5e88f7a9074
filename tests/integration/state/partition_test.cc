// Guards against live nodes that cannot reach each other and therefore claim
// each other's workers in turn, and against a node isolated from table and
// peers that keeps its workers or reports wrong outcomes to callers.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "integration/harness/checks/ownership.hpp"

namespace mangospread::testing {
namespace {

using nlohmann::json;

/// Breaks every link between nodes: connections are closed and refused, or stay
/// open without forwarding data. The table and the workers stay reachable.
void CutPeerLinks(Cluster& cluster, bool unresponsive) {
  for (int i = 0; i < cluster.nodes(); ++i) {
    FaultProxy& proxy = cluster.rpc_proxy(i);
    proxy.SetFaults(unresponsive ? R"({"drop_up":true,"drop_down":true})"
                                 : R"({"refuse":true})");
    unresponsive ? proxy.Stall() : proxy.CloseConnections();
  }
}

void RestorePeerLinks(Cluster& cluster) {
  for (int i = 0; i < cluster.nodes(); ++i) {
    cluster.rpc_proxy(i).SetFaults("{}");
    cluster.rpc_proxy(i).CloseConnections();
  }
}

bool AllPeersHaveLiveness(const Cluster& cluster, const std::string& liveness) {
  for (int i = 0; i < cluster.nodes(); ++i) {
    for (int j = 0; j < cluster.nodes(); ++j) {
      if (i != j && ReportedLiveness(cluster, i, j) != liveness) return false;
    }
  }
  return true;
}

/// Sends a request and checks that its caller gets one of the three outcomes.
/// @return true if the outcome is "answered".
bool SendAndCheck(const Cluster& cluster, int node) {
  const std::set<std::string> outcomes = {"answered", "not-run", "unknown"};
  const Response reply = Post(cluster.http(node), kServicePath, "x");
  CHECK(reply.failure == RequestFailure::kNone);
  CHECK_MESSAGE(outcomes.contains(reply.outcome()), reply.head);
  return reply.ok() && reply.outcome() == "answered";
}

TEST_CASE("nodes without a link do not claim each other's workers") {
  for (const bool unresponsive : {false, true}) {
    CAPTURE(unresponsive);
    ClusterOptions options;
    options.nodes = 2;
    options.workers = 6;
    options.proxy_rpc = true;
    Cluster cluster(options);
    for (int i = 0; i < cluster.nodes(); ++i) {
      REQUIRE(cluster.OwnedWorkers(i) > 0);
    }
    const std::size_t claims = CountGrantedClaims(cluster);
    CutPeerLinks(cluster, unresponsive);
    WaitUntil("each node considers the other dead", kWaitTimeout, [&] {
      for (int i = 0; i < cluster.nodes(); ++i) (void)SendAndCheck(cluster, i);
      return AllPeersHaveLiveness(cluster, "dead");
    });
    // The partition lasts for several worker leases of 3 s, so that nodes that
    // claim in turn raise the number of claims beyond the bound below.
    constexpr int kRounds = 100;
    constexpr Milliseconds kPause{100};
    int sent = 0;
    for (int round = 0; round < kRounds; ++round) {
      for (int i = 0; i < cluster.nodes(); ++i) {
        WaitUntil("a request answered without the link", kWaitTimeout, [&] {
          ++sent;
          return SendAndCheck(cluster, i);
        });
        CHECK(cluster.IsReady(i));
      }
      std::this_thread::sleep_for(kPause);
    }
    const std::size_t ownership_changes = CountGrantedClaims(cluster) - claims;
    MESSAGE("answered " << kRounds * cluster.nodes() << " of " << sent << ", "
                        << ownership_changes << " changes of ownership");
    CHECK(ownership_changes <= 2 * static_cast<std::size_t>(cluster.workers()));
    RestorePeerLinks(cluster);
    WaitUntil("the nodes receive each other's heartbeats again", kWaitTimeout,
              [&] { return AllPeersHaveLiveness(cluster, "alive"); });
    cluster.WaitUntilServing();
    CheckOwnershipRecords(cluster);
  }
}

// Guards against a node that stays in the load balancer although it can only
// refuse requests, since it owns no worker and cannot reach the owner.
TEST_CASE("a node without workers and peers is not ready") {
  ClusterOptions options;
  options.nodes = 2;
  options.workers = 1;
  options.proxy_rpc = true;
  Cluster cluster(options);
  const int owner = AnyOwner(cluster);
  REQUIRE(owner >= 0);
  const int idle_node = 1 - owner;
  CutPeerLinks(cluster, false);
  WaitUntil("the node without workers not ready", kWaitTimeout, [&] {
    (void)SendAndCheck(cluster, idle_node);
    return !cluster.IsReady(idle_node);
  });
  constexpr int kRounds = 4;
  for (int round = 0; round < kRounds; ++round) {
    CHECK_FALSE(SendAndCheck(cluster, idle_node));
    CHECK(cluster.IsReady(owner));
    WaitUntil("a request answered by the owner", kWaitTimeout,
              [&] { return SendAndCheck(cluster, owner); });
  }
  RestorePeerLinks(cluster);
  WaitUntil("both nodes ready and serving", kWaitTimeout, [&] {
    return cluster.IsReady(idle_node) && SendAndCheck(cluster, idle_node);
  });
  CheckOwnershipRecords(cluster);
}

TEST_CASE("a node isolated from table and peers refuses and is replaced") {
  ClusterOptions options;
  options.workers = 6;
  options.proxy_rpc = true;
  options.proxy_table = true;
  Cluster cluster(options);
  const int isolated = AnyOwner(cluster);
  REQUIRE(isolated >= 0);
  const std::string refuse_isolated =
      json{{"refuse_process", cluster.node(isolated).pid()}}.dump();
  cluster.table_proxy().SetFaults(refuse_isolated);
  for (int i = 0; i < cluster.nodes(); ++i) {
    cluster.rpc_proxy(i).SetFaults(i == isolated ? R"({"refuse":true})"
                                                 : refuse_isolated);
  }
  cluster.rpc_proxy(isolated).CloseConnections();
  WaitUntil("the isolated node fails its health check", kWaitTimeout, [&] {
    (void)SendAndCheck(cluster, isolated);
    return !cluster.IsReady(isolated);
  });
  WaitUntilOwnedByOthers(cluster, isolated);
  WaitUntil("the isolated node no longer owns workers", kWaitTimeout,
            [&] { return cluster.OwnedWorkers(isolated) == 0; });
  constexpr int kRounds = 30;
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 0; i < cluster.nodes(); ++i) {
      if (i == isolated) {
        const Response reply = Post(cluster.http(i), kServicePath, "x");
        CHECK(reply.outcome() == "not-run");
        CHECK_FALSE(cluster.IsReady(i));
      } else {
        WaitUntil("a request answered by the other nodes", kWaitTimeout,
                  [&] { return SendAndCheck(cluster, i); });
      }
    }
  }

  const std::size_t claims = CountGrantedClaims(cluster);
  cluster.table_proxy().SetFaults("{}");
  for (int i = 0; i < cluster.nodes(); ++i) {
    cluster.rpc_proxy(i).SetFaults("{}");
  }
  WaitUntil("the nodes receive each other's heartbeats again", kWaitTimeout,
            [&] { return AllPeersHaveLiveness(cluster, "alive"); });
  cluster.WaitUntilServing();
  for (int i = 0; i < cluster.nodes(); ++i) {
    WaitUntil("each node serves", kWaitTimeout,
              [&] { return SendAndCheck(cluster, i); });
  }
  // Rendezvous hashing may move each worker back once, by hand-over.
  WaitUntil("the reconnected node owns workers again", kWaitTimeout,
            [&] { return cluster.OwnedWorkers(isolated) > 0; });
  cluster.WaitUntilServing();
  CHECK(CountGrantedClaims(cluster) - claims <=
        static_cast<std::size_t>(cluster.workers()));
  CheckOwnershipRecords(cluster);
}

}  // namespace
}  // namespace mangospread::testing
