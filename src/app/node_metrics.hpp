/// @file
/// Metrics of a managed node.
#pragma once

#include <vector>

#include "api/metrics.hpp"
#include "dispatch/leader/group_leader.hpp"
#include "net/connection_guard.hpp"

namespace mangospread::app {

/// Adds the counts of callers' connections that were closed and of requests
/// that were refused by the limits of clients.
void AppendRefusals(const net::ClientRefusals& refusals,
                    std::vector<api::Sample>& samples);

/// Adds what the leader counts.
void AppendLeaderSamples(const dispatch::GroupLeader& leader,
                         std::vector<api::Sample>& samples);

}  // namespace mangospread::app
