// Guards against requests without an answer when a node stops and they take
// longer than it waits for them.
#include <doctest/doctest.h>

#include <future>
#include <nlohmann/json.hpp>
#include <vector>

#include "integration/harness/cluster.hpp"

namespace mangospread::testing {
namespace {

constexpr int kRequests = 40;

TEST_CASE("requests that outlast the limit of a stop have an outcome") {
  ClusterOptions options;
  options.nodes = 1;
  options.workers = 1;
  options.node_arguments = {"--drain-notice-ms=1000", "--stop-limit-ms=2500"};
  Cluster cluster(options);
  // More than the worker runs at a time, so that some wait in the queue.
  std::vector<std::future<Response>> replies;
  replies.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    replies.push_back(std::async(std::launch::async, [&cluster, i] {
      net::Request request;
      request.method = net::Method::kPost;
      request.target = kServicePath;
      request.headers.Add("X-Work-Ms", "15000");
      request.headers.Add("X-Run-Key", std::to_string(i));
      request.headers.Add("Mangospread-Timeout-Ms", "30000");
      return Fetch(cluster.http(0), request);
    }));
  }
  WaitUntil("requests run", kWaitTimeout,
            [&] { return !cluster.RunsByKey().empty(); });
  cluster.node(0).Terminate();
  int unknown = 0;
  for (int i = 0; i < kRequests; ++i) {
    CAPTURE(i);
    const Response reply = replies[static_cast<std::size_t>(i)].get();
    CHECK(reply.ok());
    if (reply.outcome() == "unknown") {
      ++unknown;
    } else {
      CHECK(reply.outcome() == "not-run");
      CHECK_FALSE(cluster.RunsByKey().contains(std::to_string(i)));
    }
  }
  MESSAGE(unknown << " of " << kRequests << " unknown");
  CHECK(unknown > 0);
  CHECK(cluster.node(0).Wait(kWaitTimeout) == 0);
}

}  // namespace
}  // namespace mangospread::testing
