/// @file
/// Rendezvous hashing of VMs to nodes.
#pragma once

#include <vector>

#include "mangospread/ids.hpp"

namespace mangospread::ownership {

struct Candidate {
  NodeId node;
  DataCenter data_center;
};

/// The node that should own a VM, by weighted rendezvous hashing: when a node
/// leaves, only its own VMs move. Nodes in the VM's data centre have a higher
/// weight, so that fewer requests cross a data centre boundary.
/// @return an empty id when there are no candidates.
[[nodiscard]] NodeId ProposeOwner(const VmName& vm,
                                  const DataCenter& data_center,
                                  const std::vector<Candidate>& candidates);

}  // namespace mangospread::ownership
