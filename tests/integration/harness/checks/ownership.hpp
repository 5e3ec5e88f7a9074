/// @file
/// Checks of ownership from outside: what the workers recorded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "integration/harness/cluster.hpp"

namespace mangospread::testing {

/// Fails the test if a worker granted claims with an epoch that did not grow,
/// or served two owners in one epoch.
void CheckOwnershipRecords(const Cluster& cluster);

/// Requests that the worker accepted from anybody.
[[nodiscard]] std::uint64_t ServedBy(const Cluster& cluster, int worker);

/// Index of a node that owns workers.
[[nodiscard]] int AnyOwner(const Cluster& cluster);

/// Sum of the workers that the given nodes own; nodes that do not answer own
/// none.
[[nodiscard]] int OwnedByAll(const Cluster& cluster);

/// Waits until the running nodes other than `except` own all workers.
void WaitUntilOwnedByOthers(const Cluster& cluster, int except);

/// Claims that the workers granted so far; each is a change of owner or epoch.
[[nodiscard]] std::size_t Claims(const Cluster& cluster);

/// Liveness of `other` as the node reports it; empty when it does not know it.
[[nodiscard]] std::string Liveness(const Cluster& cluster, int node, int other);

/// True if a request through the node is answered.
[[nodiscard]] bool Serves(const Cluster& cluster, int node);

}  // namespace mangospread::testing
