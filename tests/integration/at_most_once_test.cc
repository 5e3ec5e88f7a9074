// Guards against a non-idempotent request that runs twice, or runs although
// its caller was told that it did not.
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "integration/harness/cluster.hpp"
#include "integration/harness/load.hpp"

namespace mangospread::testing {
namespace {

constexpr unsigned kSeed = 20'240'613;

/// POSTs with a key of their own each, and what their callers were told.
class KeyedLoad {
 public:
  KeyedLoad(const Cluster& cluster, int threads) : ports_(cluster.nodes()) {
    for (int i = 0; i < cluster.nodes(); ++i) Update(cluster, i);
    load_ = std::make_unique<Load>(
        threads, kSeed, Load::kUntilStopped,
        [this](int thread, std::mt19937& random) { Step(thread, random); });
  }

  void Update(const Cluster& cluster, int node) {
    ports_[node].store(cluster.http(node).port);
  }

  void WaitForAnswers() {
    constexpr int kEnough = 100;
    const int before = answered_;
    WaitUntil("requests are answered", kWaitDeadline,
              [this, before] { return answered_ > before + kEnough; });
  }

  /// Ends the load and compares what callers were told with what ran.
  void StopAndCheck(const Cluster& cluster) {
    load_->Stop();
    const auto runs = cluster.RunsByKey();
    int twice = 0;
    int ran_though_not_run = 0;
    int answered_without_run = 0;
    std::map<std::string, int> told;
    for (const auto& [key, outcome] : outcomes_) {
      ++told[outcome];
      const int count = runs.value(key, 0);
      if (count > 1) ++twice;
      if (outcome == "not-run" && count > 0) ++ran_though_not_run;
      if (outcome == "answered" && count != 1) ++answered_without_run;
    }
    MESSAGE("answered " << told["answered"] << ", not-run " << told["not-run"]
                        << ", unknown " << told["unknown"] << ", broken "
                        << told["broken"]);
    CHECK(twice == 0);
    CHECK(ran_though_not_run == 0);
    CHECK(answered_without_run == 0);
    CHECK(told["answered"] > 0);
  }

 private:
  void Step(int thread, std::mt19937& random) {
    const std::string key =
        std::to_string(thread) + "-" + std::to_string(++next_);
    net::Request request;
    request.method = net::Method::kPost;
    request.target = kServicePath;
    request.headers.Add("X-Run-Key", key);
    request.headers.Add("X-Work-Ms", std::to_string(random() % 20));
    request.body = key;
    const std::size_t node = random() % ports_.size();
    const Reply reply = Fetch({"127.0.0.1", ports_[node].load()}, request);
    if (reply.outcome() == "answered") {
      CHECK(reply.body == key);
      ++answered_;
    } else {
      // A refused caller does not come back at once.
      std::this_thread::sleep_for(Milliseconds(5));
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    // Without a reply the caller knows nothing.
    outcomes_[key] = reply.ok() ? reply.outcome() : "broken";
  }

  std::vector<std::atomic<std::uint16_t>> ports_;
  std::atomic<int> next_{0};
  std::atomic<int> answered_{0};
  std::mutex mutex_;
  std::map<std::string, std::string> outcomes_;
  std::unique_ptr<Load> load_;
};

TEST_CASE("a request runs at most once and never after not-run") {
  ClusterOptions options;
  options.proxy_workers = true;
  options.proxy_rpc = true;
  Cluster cluster(options);
  constexpr int kThreads = 8;
  KeyedLoad load(cluster, kThreads);
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
