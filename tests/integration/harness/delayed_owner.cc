#include "integration/harness/delayed_owner.hpp"

#include <doctest/doctest.h>

#include <utility>

#include "integration/harness/checks/ownership.hpp"

namespace mangospread::testing {
namespace {

ClusterOptions TwoNodes(std::vector<std::string> node_arguments) {
  ClusterOptions options;
  options.nodes = 2;
  options.workers = 1;
  options.proxy_rpc = true;
  options.node_arguments = std::move(node_arguments);
  return options;
}

}  // namespace

DelayedOwner::DelayedOwner(std::vector<std::string> node_arguments)
    : cluster_(TwoNodes(std::move(node_arguments))),
      owner_(AnyOwner(cluster_)) {
  REQUIRE(owner_ >= 0);
  cluster_.rpc_proxy(owner_).SetFaults(R"({"delay_ms":250})");
}

}  // namespace mangospread::testing
