// Guards against a non-idempotent request that runs twice, or runs although
// its caller was told that it did not.
#include <doctest/doctest.h>

#include <array>
#include <random>
#include <string>
#include <thread>

#include "integration/harness/cluster.hpp"
#include "integration/harness/keyed_load.hpp"

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
  load.WaitForAnswers();
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
    cluster.rpc_proxy(peer).Cut();
    // Long enough for the faults to hit, short enough for the leases.
    std::this_thread::sleep_for(Milliseconds(300));
    for (int i = 0; i < cluster.workers(); ++i) {
      cluster.worker_proxy(i).Cut();
      cluster.worker_proxy(i).SetFaults("{}");
    }
    cluster.rpc_proxy(peer).SetFaults("{}");
    load.WaitForAnswers();
  }
  for (int round = 0; round < 2; ++round) {
    const auto victim = static_cast<int>(random() % 3);
    cluster.node(victim).Kill();
    cluster.WaitUntilServing();
    load.WaitForAnswers();
    cluster.RestartNode(victim);
    load.Update(cluster, victim);
    cluster.WaitUntilServing();
  }
  load.StopAndCheck(cluster);
}

}  // namespace
}  // namespace mangospread::testing
