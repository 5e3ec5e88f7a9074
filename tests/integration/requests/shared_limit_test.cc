// Guards against nodes that each admit a service's whole limit, and against a
// limit that stays divided among nodes that have terminated.
#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "integration/harness/cluster.hpp"

namespace mangospread::testing {
namespace {

constexpr int kLimit = 6;
constexpr int kOk = 200;

/// Sends concurrent requests to the given nodes in turn. Each runs longer than
/// it takes to send all of them.
/// @return the number of requests with a response of status 200.
int SendBurst(const Cluster& cluster, const std::vector<int>& nodes) {
  constexpr std::size_t kBurst = 24;
  std::vector<Response> replies(kBurst);
  std::vector<std::thread> threads;
  threads.reserve(kBurst);
  for (std::size_t i = 0; i < kBurst; ++i) {
    threads.emplace_back([&, i] {
      net::Request request;
      request.target = kServicePath;
      request.headers.Add("X-Work-Ms", "1500");
      request.headers.Add("Mangospread-Timeout-Ms", "15000");
      replies[i] = Fetch(cluster.http(nodes[i % nodes.size()]), request);
    });
  }
  for (auto& thread : threads) thread.join();
  return static_cast<int>(
      std::count_if(replies.begin(), replies.end(),
                    [](const Response& reply) { return reply.status == kOk; }));
}

/// Number of ready nodes that the given node reports, including itself.
int ReadyNodes(const Cluster& cluster, int node) {
  const auto status = cluster.GetJson(node, "/v1/status/nodes");
  if (!status.is_object()) return 0;
  const auto& nodes = status.at("nodes");
  return static_cast<int>(std::count_if(
      nodes.begin(), nodes.end(),
      [](const auto& item) { return item.at("state") == "ready"; }));
}

int TotalMaxInFlight(const Cluster& cluster) {
  int total = 0;
  for (int i = 0; i < cluster.workers(); ++i) {
    total += cluster.WorkerRecord(i).at("max_in_flight").get<int>();
  }
  return total;
}

TEST_CASE("the live nodes together admit the limit of a service") {
  ClusterOptions options;
  options.nodes = 3;
  options.workers = 1;
  options.service =
      R"({"team":"branches","pool":"counter","max_concurrency":6})";
  Cluster cluster(std::move(options));
  // Each node's share is correct once it has received heartbeats of the others.
  for (int i = 0; i < cluster.nodes(); ++i) {
    WaitUntil("the node reports all nodes as ready", kWaitTimeout,
              [&] { return ReadyNodes(cluster, i) == cluster.nodes(); });
  }
  WaitUntil("three nodes admit the limit of a burst", kWaitTimeout, [&] {
    return SendBurst(cluster, {0, 1, 2}) == kLimit;
  });
  CHECK(TotalMaxInFlight(cluster) <= kLimit);

  // The two other nodes take over the share of the terminated one.
  cluster.node(2).Kill();
  WaitUntil("two nodes admit the limit of a burst", kWaitTimeout, [&] {
    return SendBurst(cluster, {0, 1}) == kLimit;
  });
  CHECK(TotalMaxInFlight(cluster) <= kLimit);
}

}  // namespace
}  // namespace mangospread::testing
