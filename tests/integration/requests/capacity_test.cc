// Guards against a worker that gets more requests or connections than its
// capacity while its owner is killed, is paused beyond its lease or cannot
// reach the table.
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "integration/harness/cluster.hpp"
#include "integration/harness/load/load_generator.hpp"

namespace mangospread::testing {
namespace {

constexpr unsigned kSeed = 20'240'612;
constexpr int kOk = 200;
constexpr int kSlots = 8;
constexpr int kConnections = 64;

/// Longer than the worker's lease of 3 s, so that another node takes over.
constexpr Milliseconds kPauseBeyondLease{4'500};

int FindOwner(const Cluster& cluster) {
  for (int i = 0; i < cluster.nodes(); ++i) {
    if (cluster.OwnedWorkers(i) > 0) return i;
  }
  return 0;
}

net::Request RandomRequest(std::mt19937& random) {
  constexpr int kMaxWorkMs = 200;
  net::Request request;
  request.method = random() % 2 == 0 ? net::Method::kGet : net::Method::kPost;
  request.target = kServicePath;
  request.headers.Add("X-Work-Ms", std::to_string(random() % kMaxWorkMs));
  // Some requests reach their deadline before the work ends.
  if (random() % 4 == 0) {
    request.headers.Add("Mangospread-Timeout-Ms", "60");
  }
  return request;
}

void CheckCapacity(const Cluster& cluster) {
  for (int i = 0; i < cluster.workers(); ++i) {
    const auto record = cluster.WorkerRecord(i);
    MESSAGE("worker " << i << ": " << record.at("max_in_flight")
                      << " requests, " << record.at("max_connections")
                      << " connections, " << record.at("served") << " served, "
                      << record.at("stale_refused") << " stale");
    CHECK(record.at("max_in_flight") <= kSlots);
    // The stand-in refuses a ninth concurrent request; none may be sent to it.
    CHECK(record.at("full_refused") == 0);
    CHECK(record.at("max_connections") <= kConnections);
    CHECK(record.at("connections_refused") == 0);
  }
}

/// Sends requests to every node from more threads than there are slots.
class Overload {
 public:
  explicit Overload(Cluster& cluster) : addresses_(cluster.nodes()) {
    for (int i = 0; i < cluster.nodes(); ++i) Update(cluster, i);
    constexpr int kThreads = 40;
    load_ = std::make_unique<LoadGenerator>(
        kThreads, kSeed, LoadGenerator::kUntilStopped,
        [this](int thread, std::mt19937& random) { Step(thread, random); });
  }

  /// Updates the address of a node, which changes when the node restarts.
  void Update(const Cluster& cluster, int node) {
    addresses_[node].store(cluster.http(node).port);
  }
  void Stop() { load_->Stop(); }
  /// Number of requests with a response of status 200.
  [[nodiscard]] int answered() const { return answered_; }

 private:
  void Step(int thread, std::mt19937& random) {
    const auto& port = addresses_[thread % addresses_.size()];
    const Response reply =
        Fetch({"127.0.0.1", port.load()}, RandomRequest(random));
    if (reply.status == kOk) {
      ++answered_;
    } else {
      // A refused request is not repeated immediately.
      constexpr Milliseconds kBackoff{5};
      std::this_thread::sleep_for(kBackoff);
    }
  }

  std::vector<std::atomic<std::uint16_t>> addresses_;
  std::atomic<int> answered_{0};
  std::unique_ptr<LoadGenerator> load_;
};

void WaitForResponses(const Overload& overload) {
  constexpr int kMinResponses = 200;
  const int before = overload.answered();
  WaitUntil("requests are answered", kWaitTimeout, [&overload, before] {
    return overload.answered() > before + kMinResponses;
  });
}

TEST_CASE("workers never exceed their capacity") {
  ClusterOptions options;
  options.nodes = 4;
  options.workers = 3;
  Cluster cluster(options);
  Overload overload(cluster);
  WaitForResponses(overload);

  SUBCASE("owners are killed") {
    for (int round = 0; round < 3; ++round) {
      const int owner = FindOwner(cluster);
      cluster.node(owner).Kill();
      cluster.WaitUntilServing();
      WaitForResponses(overload);
      cluster.RestartNode(owner);
      overload.Update(cluster, owner);
      cluster.WaitUntilServing();
    }
  }
  SUBCASE("owners are paused beyond their lease") {
    for (int round = 0; round < 3; ++round) {
      const int owner = FindOwner(cluster);
      cluster.node(owner).Pause();
      std::this_thread::sleep_for(kPauseBeyondLease);
      WaitForResponses(overload);
      cluster.node(owner).Resume();
      cluster.WaitUntilServing();
      WaitForResponses(overload);
    }
  }
  SUBCASE("one owner is killed, another paused while the table is down") {
    const int killed = FindOwner(cluster);
    cluster.SetTableFaults(R"({"down":true})");
    cluster.node(killed).Kill();
    const int paused = (killed + 1) % cluster.nodes();
    cluster.node(paused).Pause();
    std::this_thread::sleep_for(kPauseBeyondLease);
    WaitForResponses(overload);
    cluster.node(paused).Resume();
    WaitForResponses(overload);
    cluster.SetTableFaults(R"({"down":false})");
    cluster.RestartNode(killed);
    overload.Update(cluster, killed);
    cluster.WaitUntilServing();
    WaitForResponses(overload);
  }
  overload.Stop();
  CheckCapacity(cluster);
}

}  // namespace
}  // namespace mangospread::testing
