// Guards against a non-idempotent request that runs twice, or runs although its
// caller got the outcome not-run.
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>

#include "integration/harness/cluster.hpp"
#include "integration/harness/load/keyed_load.hpp"
#include "integration/harness/load/load_generator.hpp"

namespace mangospread::testing {
namespace {

constexpr unsigned kSeed = 20'240'613;

TEST_CASE("a request runs at most once and never after not-run") {
  ClusterOptions options;
  options.proxy_workers = true;
  options.proxy_rpc = true;
  Cluster cluster(options);
  constexpr int kThreads = 8;
  KeyedLoad load(cluster, kThreads, kSeed);
  load.WaitForResponses();
  const std::array<std::string, 6> faults = {
      R"({"cut_requests":5})",     R"({"cut_replies":5})",
      R"({"lose_replies":5})",     R"({"cut_after_up":4000})",
      R"({"cut_after_down":600})", R"({"refuse":true})"};
  std::mt19937 random(kSeed);
  for (const std::string& fault : faults) {
    for (int i = 0; i < cluster.workers(); ++i) {
      cluster.worker_proxy(i).SetFaults(fault);
    }
    const auto peer = static_cast<int>(random() % 3);
    cluster.rpc_proxy(peer).SetFaults(fault);
    cluster.rpc_proxy(peer).CloseConnections();
    // Long enough for requests to hit the faults, short enough that no lease
    // expires.
    std::this_thread::sleep_for(Milliseconds(300));
    for (int i = 0; i < cluster.workers(); ++i) {
      cluster.worker_proxy(i).CloseConnections();
      cluster.worker_proxy(i).SetFaults("{}");
    }
    cluster.rpc_proxy(peer).SetFaults("{}");
    load.WaitForResponses();
  }
  for (int round = 0; round < 2; ++round) {
    const auto victim = static_cast<int>(random() % 3);
    cluster.node(victim).Kill();
    cluster.WaitUntilServing();
    load.WaitForResponses();
    cluster.RestartNode(victim);
    load.UpdateNodeAddress(cluster, victim);
    cluster.WaitUntilServing();
  }
  load.StopAndCheck(cluster);
}

TEST_CASE("a key sent through two nodes at once runs once") {
  ClusterOptions options;
  options.nodes = 2;
  Cluster cluster(options);
  constexpr int kKeys = 50;
  std::atomic<int> answered{0};
  // Both threads send the same keys in the same order, each to its own node.
  std::array<std::atomic<int>, 2> next{};
  LoadGenerator load(
      2, kSeed, kKeys, [&](int thread, std::mt19937& /*random*/) {
        const int key_index = next.at(thread)++;
        // Waits for the other thread, so that both send this key at the same
        // time.
        WaitUntil("the other caller", kWaitTimeout,
                  [&] { return next.at(1 - thread) > key_index; });
        net::Request request;
        request.method = net::Method::kPost;
        request.target = kServicePath;
        request.headers.Add("Idempotency-Key",
                            "key-" + std::to_string(key_index));
        request.headers.Add("X-Work-Ms", "20");
        const Response reply = Fetch(cluster.http(thread), request);
        CHECK(reply.ok());
        if (reply.outcome() == "answered") ++answered;
      });
  load.Join();
  const auto runs = cluster.RunsByKey();
  int repeated = 0;
  for (const auto& [key, count] : runs.items()) {
    if (count.get<int>() > 1) ++repeated;
  }
  MESSAGE("answered " << answered.load() << " of " << 2 * kKeys << ", ran "
                      << runs.size());
  CHECK(repeated == 0);
  CHECK(runs.size() == kKeys);
}

}  // namespace
}  // namespace mangospread::testing
