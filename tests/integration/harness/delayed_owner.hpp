/// @file
/// Two nodes, one of which forwards requests to the other over a slow link.
#pragma once

#include <string>
#include <vector>

#include "integration/harness/cluster.hpp"
#include "mangospread/address.hpp"

namespace mangospread::testing {

/// One worker and two nodes. What the other node sends to the worker's owner
/// is delayed by 250 ms: longer than the end of a node without requests takes,
/// and shorter than the timeouts of heartbeats and probes.
class DelayedOwner {
 public:
  explicit DelayedOwner(std::vector<std::string> node_arguments = {});

  [[nodiscard]] Cluster& cluster() { return cluster_; }
  /// The process of the node that owns the worker.
  [[nodiscard]] Process& owner() { return cluster_.node(owner_); }
  /// HTTP address of the node that forwards requests.
  [[nodiscard]] Address forwarder() const { return cluster_.http(1 - owner_); }

 private:
  Cluster cluster_;
  int owner_;
};

}  // namespace mangospread::testing
