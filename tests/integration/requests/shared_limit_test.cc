// Guards against nodes that each admit a service's whole limit, and against a
// limit that stays divided among nodes that are gone.
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

/// Sends requests at once, in turn to the given nodes, that run longer than it
/// takes to send them all.
/// @return how many were answered.
int SendBurst(const Cluster& cluster, const std::vector<int>& nodes) {
  constexpr std::size_t kBurst = 24;
  std::vector<Reply> replies(kBurst);
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
                    [](const Reply& reply) { return reply.status == kOk; }));
}

/// Ready nodes that the given one knows, itself included.
int ReadyNodes(const Cluster& cluster, int node) {
  const auto status = cluster.Status(node, "/v1/status/nodes");
  if (!status.is_object()) return 0;
  const auto& nodes = status.at("nodes");
  return static_cast<int>(std::count_if(
      nodes.begin(), nodes.end(),
      [](const auto& item) { return item.at("state") == "ready"; }));
}

int MostInFlight(const Cluster& cluster) {
  int most = 0;
  for (int i = 0; i < cluster.workers(); ++i) {
    most += cluster.WorkerRecord(i).at("max_in_flight").get<int>();
  }
  return most;
}

TEST_CASE("the live nodes together admit a service's limit") {
  ClusterOptions options;
  options.nodes = 3;
  options.workers = 1;
  options.service =
      R"({"team":"branches","pool":"counter","max_concurrency":6})";
  Cluster cluster(std::move(options));
  // Each node's share is right once it has heard of the others.
  for (int i = 0; i < cluster.nodes(); ++i) {
    WaitUntil("the node knows all nodes", kWaitDeadline,
              [&] { return ReadyNodes(cluster, i) == cluster.nodes(); });
  }
  WaitUntil("a burst at three nodes gets the limit", kWaitDeadline, [&] {
    return SendBurst(cluster, {0, 1, 2}) == kLimit;
  });
  CHECK(MostInFlight(cluster) <= kLimit);

  // The two others take over the dead node's share.
  cluster.node(2).Kill();
  WaitUntil("a burst at two nodes gets the limit", kWaitDeadline, [&] {
    return SendBurst(cluster, {0, 1}) == kLimit;
  });
  CHECK(MostInFlight(cluster) <= kLimit);
}

}  // namespace
}  // namespace mangospread::testing
