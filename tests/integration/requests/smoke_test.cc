// Guards against failures of the request path, the configuration push or the
// shutdown between real processes.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "integration/harness/cluster.hpp"

namespace mangospread::testing {
namespace {

TEST_CASE("three nodes serve, agree on configuration and stop") {
  constexpr int kOk = 200;
  Cluster cluster({});
  for (int i = 0; i < cluster.nodes(); ++i) {
    WaitUntil("a response through each node", kWaitTimeout, [&cluster, i] {
      const Response reply = Post(cluster.http(i), kServicePath, "seven");
      return reply.status == kOk && reply.body == "seven" &&
             reply.outcome() == "answered";
    });
  }
  WaitUntil(
      "the configuration in force on all nodes", kWaitTimeout, [&cluster] {
        const auto status = cluster.GetJson(0, "/v1/status/config");
        return status.value("in_force", 0) == status.value("revision", -1) &&
               status.at("nodes").size() == 3;
      });
  for (int i = 0; i < cluster.nodes(); ++i) cluster.node(i).Terminate();
  for (int i = 0; i < cluster.nodes(); ++i) {
    CHECK(cluster.node(i).Wait(kWaitTimeout) == 0);
  }
}

}  // namespace
}  // namespace mangospread::testing
