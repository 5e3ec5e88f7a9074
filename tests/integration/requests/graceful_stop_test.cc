// Guards against a planned stop that aborts requests in flight.
#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

#include "integration/harness/cluster.hpp"
#include "integration/harness/load/load_generator.hpp"

namespace mangospread::testing {
namespace {

constexpr unsigned kSeed = 20'240'615;
constexpr int kOk = 200;

/// Simulates the platform's load balancer: selects only nodes whose last health
/// check succeeded.
class LoadBalancer {
 public:
  explicit LoadBalancer(const Cluster& cluster) : nodes_(cluster.nodes()) {
    for (int i = 0; i < cluster.nodes(); ++i) Update(cluster, i);
    checks_ = std::make_unique<LoadGenerator>(
        1, kSeed, LoadGenerator::kUntilStopped,
        [this](int /*thread*/, std::mt19937& /*random*/) { CheckAll(); });
  }

  /// Updates the address of a node, which changes when the node restarts. The
  /// node counts as unhealthy until its next health check.
  void Update(const Cluster& cluster, int node) {
    const std::lock_guard<std::mutex> lock(mutex_);
    nodes_[node] = {cluster.http(node), false};
  }

  [[nodiscard]] std::optional<Address> Pick(std::mt19937& random) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::size_t start = random() % nodes_.size();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const Node& node = nodes_[(start + i) % nodes_.size()];
      if (node.healthy) return node.address;
    }
    return std::nullopt;
  }

 private:
  struct Node {
    Address address;
    bool healthy = false;
  };

  void CheckAll() {
    for (Node& node : nodes_) {
      Address address;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        address = node.address;
      }
      const bool healthy = Get(address, "/healthz").status == kOk;
      const std::lock_guard<std::mutex> lock(mutex_);
      if (node.address == address) node.healthy = healthy;
    }
    constexpr Milliseconds kPeriod{100};
    std::this_thread::sleep_for(kPeriod);
  }

  std::mutex mutex_;
  std::vector<Node> nodes_;
  std::unique_ptr<LoadGenerator> checks_;
};

/// Numbers of answered requests, and of refused ones by reason.
class RequestCounts {
 public:
  std::atomic<int> answered{0};
  std::atomic<int> refusals{0};

  void CountRefusal(const std::string& reason) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++refused_[reason];
    ++refusals;
  }
  [[nodiscard]] std::string Refusals() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string text;
    for (const auto& [reason, count] : refused_) {
      text += ", " + reason + " " + std::to_string(count);
    }
    return text;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> refused_;
};

/// A caller that reuses its connection until the node closes it.
class Caller {
 public:
  Caller(LoadBalancer& balancer, RequestCounts& counts)
      : balancer_(balancer), counts_(counts) {}

  void Step(std::mt19937& random) {
    if (connection_ == nullptr || !connection_->reusable()) {
      const auto address = balancer_.Pick(random);
      if (!address) return std::this_thread::yield();
      connection_ = std::make_unique<HttpConnection>(*address);
    }
    net::Request request;
    // One request in eight takes longer than the drain notice of 2 s.
    const unsigned work_ms =
        random() % 8 == 0 ? 2'500 + random() % 1'000 : random() % 200;
    request.method = net::Method::kPost;
    request.target = kServicePath;
    request.headers.Add("X-Work-Ms", std::to_string(work_ms));
    request.body = MakeBody(std::to_string(random()), random() % 20'000);
    const Response reply = connection_->Send(request);
    CHECK(reply.failure == RequestFailure::kNone);
    CHECK(reply.outcome() != "unknown");
    if (reply.outcome() == "answered") {
      const bool same = reply.body == request.body;
      CHECK(same);
      ++counts_.answered;
    } else {
      counts_.CountRefusal(
          std::string(reply.headers.Get("Mangospread-Reason")));
    }
  }

 private:
  LoadBalancer& balancer_;
  RequestCounts& counts_;
  std::unique_ptr<HttpConnection> connection_;
};

TEST_CASE("ten rolling restarts abort no request") {
  ClusterOptions options;
  options.workers = 4;
  options.service =
      R"({"team":"branches","pool":"counter","timeout_ms":10000})";
  Cluster cluster(options);
  LoadBalancer balancer(cluster);
  RequestCounts counts;
  constexpr int kThreads = 8;
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    callers.push_back(std::make_unique<Caller>(balancer, counts));
  }
  LoadGenerator load(kThreads, kSeed, LoadGenerator::kUntilStopped,
                     [&callers](int thread, std::mt19937& random) {
                       callers[thread]->Step(random);
                     });
  constexpr int kRestarts = 10;
  for (int round = 0; round < kRestarts; ++round) {
    const int before = counts.answered;
    WaitUntil("requests are answered", kWaitTimeout, [&counts, before] {
      return counts.answered > before + kThreads;
    });
    const int index = round % cluster.nodes();
    cluster.node(index).Terminate();
    CHECK(cluster.node(index).Wait(kWaitTimeout) == 0);
    cluster.RestartNode(index);
    balancer.Update(cluster, index);
    cluster.WaitUntilServing();
  }
  load.Stop();
  MESSAGE("answered " << counts.answered.load() << counts.Refusals());
  // Most requests would be refused if a former owner continued to send to a
  // worker that it no longer owns.
  CHECK(counts.answered > counts.refusals);
}

}  // namespace
}  // namespace mangospread::testing
