/// @file
/// Limits of the clients of a managed node, from what its VM bears.
#pragma once

#include "net/connection_guard.hpp"
#include "platform/settings.hpp"

namespace mangospread::app {

/// Limits of callers' connections: a quarter of the memory, and half of the
/// descriptors that the platform leaves for sockets.
[[nodiscard]] net::ClientLimits CallerLimits(
    const platform::ManagedSettings& settings);

/// Limits of the connections to the readiness address, which are apart from
/// those of callers.
[[nodiscard]] net::ClientLimits ProbeLimits();

/// Most connections of peers: a quarter of the sockets.
[[nodiscard]] std::size_t MaxPeers(const platform::ManagedSettings& settings);

/// Most memory of accepted submissions on a leader, in bytes: two fifths of
/// its memory.
[[nodiscard]] std::size_t MaxWorkBytes(
    const platform::ManagedSettings& settings);

}  // namespace mangospread::app
