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
    ProxyControl& proxy = cluster.rpc_proxy(i);
    proxy.SetFaults(unresponsive ? R"({"drop_up":true,"drop_down":true})"
                                 : R"({"refuse":true})");
    unresponsive ? proxy.Silence() : proxy.Cut();
  }
}

void RestorePeerLinks(Cluster& cluster) {
  for (int i = 0; i < cluster.nodes(); ++i) {
    cluster.rpc_proxy(i).SetFaults("{}");
    cluster.rpc_proxy(i).Cut();
  }
}

bool AllPeersHaveLiveness(const Cluster& cluster, const std::string& liveness) {
  for (int i = 0; i < cluster.nodes(); ++i) {
    for (int j = 0; j < cluster.nodes(); ++j) {
      if (i != j && Liveness(cluster, i, j) != liveness) return false;
    }
  }
  return true;
}

/// Sends a request and checks that its caller gets one of the three outcomes.
/// @return true if the outcome is "answered".
bool SendAndCheck(const Cluster& cluster, int node) {
  const std::set<std::string> outcomes = {"answered", "not-run", "unknown"};
  const Reply reply = Post(cluster.http(node), kServicePath, "x");
  CHECK(reply.failure == Failure::kNone);
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
    const std::size_t claims = Claims(cluster);
    CutPeerLinks(cluster, unresponsive);
    WaitUntil("each node considers the other dead", kWaitDeadline, [&] {
      for (int i = 0; i < cluster.nodes(); ++i) (void)SendAndCheck(cluster, i);
      return AllPeersHaveLiveness(cluster, "dead");
    });
    // The partition lasts for several worker leases of 3 s, so that claims in
    // turn would be observed; the checks below only count.
    constexpr int kRounds = 100;
    constexpr Milliseconds kPause{100};
    int sent = 0;
    for (int round = 0; round < kRounds; ++round) {
      for (int i = 0; i < cluster.nodes(); ++i) {
        WaitUntil("a request answered without the link", kWaitDeadline, [&] {
          ++sent;
          return SendAndCheck(cluster, i);
        });
        CHECK(cluster.Ready(i));
      }
      std::this_thread::sleep_for(kPause);
    }
    const std::size_t ownership_changes = Claims(cluster) - claims;
    MESSAGE("answered " << kRounds * cluster.nodes() << " of " << sent << ", "
                        << ownership_changes << " changes of ownership");
    CHECK(ownership_changes <= 2 * static_cast<std::size_t>(cluster.workers()));
    RestorePeerLinks(cluster);
    WaitUntil("the nodes receive each other's heartbeats again", kWaitDeadline,
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
  WaitUntil("the node without workers not ready", kWaitDeadline, [&] {
    (void)SendAndCheck(cluster, idle_node);
    return !cluster.Ready(idle_node);
  });
  constexpr int kRounds = 4;
  for (int round = 0; round < kRounds; ++round) {
    CHECK_FALSE(SendAndCheck(cluster, idle_node));
    CHECK(cluster.Ready(owner));
    WaitUntil("a request answered by the owner", kWaitDeadline,
              [&] { return SendAndCheck(cluster, owner); });
  }
  RestorePeerLinks(cluster);
  WaitUntil("both nodes ready and serving", kWaitDeadline, [&] {
    return cluster.Ready(idle_node) && SendAndCheck(cluster, idle_node);
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
  cluster.rpc_proxy(isolated).Cut();
  WaitUntil("the isolated node fails its health check", kWaitDeadline, [&] {
    (void)SendAndCheck(cluster, isolated);
    return !cluster.Ready(isolated);
  });
  WaitUntilOwnedByOthers(cluster, isolated);
  WaitUntil("the isolated node no longer owns workers", kWaitDeadline,
            [&] { return cluster.OwnedWorkers(isolated) == 0; });
  constexpr int kRounds = 30;
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 0; i < cluster.nodes(); ++i) {
      if (i == isolated) {
        const Reply reply = Post(cluster.http(i), kServicePath, "x");
        CHECK(reply.outcome() == "not-run");
        CHECK_FALSE(cluster.Ready(i));
      } else {
        WaitUntil("a request answered by the other nodes", kWaitDeadline,
                  [&] { return SendAndCheck(cluster, i); });
      }
    }
  }

  const std::size_t claims = Claims(cluster);
  cluster.table_proxy().SetFaults("{}");
  for (int i = 0; i < cluster.nodes(); ++i) {
    cluster.rpc_proxy(i).SetFaults("{}");
  }
  WaitUntil("the nodes receive each other's heartbeats again", kWaitDeadline,
            [&] { return AllPeersHaveLiveness(cluster, "alive"); });
  cluster.WaitUntilServing();
  for (int i = 0; i < cluster.nodes(); ++i) {
    WaitUntil("each node serves", kWaitDeadline,
              [&] { return SendAndCheck(cluster, i); });
  }
  // Rendezvous hashing may move each worker back once, by hand-over.
  WaitUntil("the reconnected node owns workers again", kWaitDeadline,
            [&] { return cluster.OwnedWorkers(isolated) > 0; });
  cluster.WaitUntilServing();
  CHECK(Claims(cluster) - claims <=
        static_cast<std::size_t>(cluster.workers()));
  CheckOwnershipRecords(cluster);
}

}  // namespace
}  // namespace mangospread::testing
