/// @file
/// Checks of ownership against the records of the workers and the status that
/// the nodes report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "integration/harness/cluster.hpp"

namespace mangospread::testing {

/// Fails the test if a worker granted a claim whose epoch was not higher than
/// that of the previous one, or served two owners in one epoch.
void CheckOwnershipRecords(const Cluster& cluster);

/// Number of requests that the worker accepted, from any owner.
[[nodiscard]] std::uint64_t ServedRequests(const Cluster& cluster, int worker);

/// Index of the first node that owns workers; -1 if there is none.
[[nodiscard]] int AnyOwner(const Cluster& cluster);

/// Number of workers that the nodes own according to their own status. A node
/// that does not respond counts as owning none.
[[nodiscard]] int TotalOwnedWorkers(const Cluster& cluster);

/// Waits until the nodes other than `except` own all workers.
void WaitUntilOwnedByOthers(const Cluster& cluster, int except);

/// Number of claims that the workers have granted so far. Each is a change of
/// owner or epoch.
[[nodiscard]] std::size_t CountGrantedClaims(const Cluster& cluster);

/// State of `peer` in the membership as reported by `node`; empty if it does
/// not list the peer.
[[nodiscard]] std::string ReportedLiveness(const Cluster& cluster, int node,
                                           int peer);

/// True if a request through the node gets the outcome "answered".
[[nodiscard]] bool CanServe(const Cluster& cluster, int node);

/// Describes why a node may not serve: its response to a request and to a
/// health check, the peers and workers that it knows, and the workers that each
/// node owns.
[[nodiscard]] std::string DescribeServing(const Cluster& cluster, int node);

}  // namespace mangospread::testing
