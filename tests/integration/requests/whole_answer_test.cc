// Guards against a caller that gets the response of another request or only
// part of its own, when endpoints respond late, twice, incorrectly or
// incompletely.
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "integration/harness/cluster.hpp"
#include "integration/harness/load/load_generator.hpp"

namespace mangospread::testing {
namespace {

constexpr unsigned kSeed = 20'240'611;
constexpr int kOk = 200;
constexpr std::size_t kKiB = 1'024;

/// A randomly generated request and the expected response.
struct Exchange {
  net::Request request;
  std::string expected_body;
  bool may_be_answered = true;
  std::string description;
};

template <typename T, std::size_t N>
const T& Pick(std::mt19937& random, const std::array<T, N>& values) {
  return values[random() % N];
}

Exchange MakeExchange(std::mt19937& random) {
  static const std::array<std::string, 8> kBehaviours = {
      "", "", "late", "surplus", "swapped", "cut", "silent", "closed"};
  static const std::array<std::string, 4> kFramings = {"", "length", "chunked",
                                                       "close"};
  // Large bodies are rarer, so that most connections are used for many
  // requests.
  static const std::array<std::size_t, 8> kSizes = {
      kKiB,      kKiB,       4 * kKiB,    16 * kKiB,
      64 * kKiB, 256 * kKiB, 1024 * kKiB, 8192 * kKiB};
  Exchange exchange;
  const std::string behaviour = Pick(random, kBehaviours);
  const std::string framing = Pick(random, kFramings);
  const std::size_t size = Pick(random, kSizes);
  const std::string seed = std::to_string(random());
  net::Request& request = exchange.request;
  request.method = random() % 2 == 0 ? net::Method::kGet : net::Method::kPost;
  request.target = kServicePath;
  auto& headers = request.headers;
  headers.Add("X-Framing", framing);
  exchange.expected_body = MakeBody(seed, size);
  // The stand-in generates half of the bodies and echoes the other half.
  if (request.method == net::Method::kGet) {
    headers.Add("X-Reply-Bytes", std::to_string(size));
    headers.Add("X-Reply-Seed", seed);
  } else {
    request.body = exchange.expected_body;
  }
  if (behaviour == "late" || behaviour == "silent") {
    headers.Add("Mangospread-Timeout-Ms", "300");
  }
  if (behaviour == "late") {
    headers.Add("X-Work-Ms", "600");
  } else if (!behaviour.empty()) {
    headers.Add("X-Misbehave", behaviour);
  }
  // The end of a close-delimited body cannot be verified.
  exchange.may_be_answered =
      (behaviour.empty() || behaviour == "surplus") && framing != "close";
  exchange.description = behaviour + "/" + framing + "/" + std::to_string(size);
  return exchange;
}

TEST_CASE("a caller gets its own whole response or a typed outcome") {
  constexpr int kThreads = 6;
  constexpr int kRounds = 50;
  ClusterOptions options;
  options.workers = 4;
  Cluster cluster(options);
  std::mutex mutex;
  std::map<std::string, int> outcomes;
  std::atomic<int> large_answered{0};
  LoadGenerator load(
      kThreads, kSeed, kRounds, [&](int thread, std::mt19937& random) {
        const Exchange exchange = MakeExchange(random);
        Response reply;
        // Failed exchanges occupy their slots for some time.
        WaitUntil("a free slot", kWaitTimeout, [&] {
          reply =
              Fetch(cluster.http(thread % cluster.nodes()), exchange.request);
          return reply.outcome() != "not-run";
        });
        INFO(exchange.description);
        CHECK(reply.ok());
        const std::string outcome = reply.outcome();
        const std::lock_guard<std::mutex> lock(mutex);
        ++outcomes[outcome];
        if (outcome == "answered") {
          CHECK(exchange.may_be_answered);
          CHECK(reply.status == kOk);
          // Compared outside CHECK, which would print megabytes on failure.
          const bool same = reply.body == exchange.expected_body;
          CHECK(same);
          if (exchange.expected_body.size() == 8192 * kKiB) ++large_answered;
        } else {
          CHECK(outcome == "unknown");
        }
      });
  load.Join();
  MESSAGE("answered " << outcomes["answered"] << ", unknown "
                      << outcomes["unknown"]);
  CHECK(outcomes["answered"] > 0);
  CHECK(outcomes["unknown"] > 0);
  CHECK(large_answered > 0);
}

net::Request KeyedPost(const std::string& key) {
  net::Request request;
  request.method = net::Method::kPost;
  request.target = kServicePath;
  request.headers.Add("X-Run-Key", key);
  request.body = key;
  return request;
}

// Guards against a retry of a POST that the endpoint has read: the endpoint
// closes the connection without a response, so the request may have run.
TEST_CASE("a POST is sent once although the endpoint closes its connection") {
  ClusterOptions options;
  options.nodes = 1;
  options.workers = 1;
  Cluster cluster(options);
  constexpr int kRounds = 20;
  for (int i = 0; i < kRounds; ++i) {
    const std::string key = "cut-" + std::to_string(i);
    // Leaves an open connection in the pool, which the next request reuses.
    CHECK(Fetch(cluster.http(0), KeyedPost("warm-" + key)).status == kOk);
    net::Request request = KeyedPost(key);
    request.headers.Add("X-Misbehave", "closed");
    CHECK(Fetch(cluster.http(0), request).outcome() == "unknown");
    WaitUntil("the slot of the cut request is free again", kWaitTimeout,
              [&cluster] {
                const auto status = cluster.GetJson(0, "/v1/status/workers");
                return status.at("workers").at(0).at("occupied") == 0;
              });
    CHECK(cluster.RunsByKey().value(key, 0) == 1);
  }
}

}  // namespace
}  // namespace mangospread::testing
