/// @file
/// Options of a node that a test runs in its own process.
#pragma once

#include "dispatch/node/node.hpp"

namespace mangospread::dispatch::test {

/// A node on a free port that contends without a delay.
[[nodiscard]] inline NodeOptions LocalNode(const char* name) {
  NodeOptions options;
  options.node = NodeId(name);
  options.incarnation = Incarnation(1);
  options.data_center = DataCenter("d");
  options.peer_address = {"127.0.0.1", 0};
  options.leadership.contend_delay = Milliseconds(0);
  return options;
}

}  // namespace mangospread::dispatch::test
