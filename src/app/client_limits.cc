#include "app/client_limits.hpp"

#include <algorithm>

namespace mangospread::app {
namespace {

constexpr double kBytesPerMebibyte = 1024.0 * 1024.0;
/// A node without a limit in its settings takes that of a VM of 256 MB.
constexpr double kDefaultMemoryMb = 256;
constexpr double kCallersShareOfMemory = 0.25;
constexpr double kWorkShareOfMemory = 0.4;
/// Descriptors that the platform reserves for files.
constexpr double kFileDescriptors = 200;
constexpr double kDefaultMaxFds = 4'100;
constexpr double kCallersShareOfSockets = 0.5;
constexpr double kPeersShareOfSockets = 0.25;
constexpr double kMinConnections = 16;

constexpr std::size_t kProbeConnections = 32;
constexpr std::size_t kProbeBytes = std::size_t{1} * 1024 * 1024;

/// Descriptors that the platform leaves for sockets.
double SocketsOf(const platform::ManagedSettings& settings) {
  const double max_fds =
      settings.max_fds > 0 ? settings.max_fds : kDefaultMaxFds;
  return max_fds - kFileDescriptors;
}

double MemoryBytesOf(const platform::ManagedSettings& settings) {
  const double memory_mb =
      settings.memory_mb > 0 ? settings.memory_mb : kDefaultMemoryMb;
  return memory_mb * kBytesPerMebibyte;
}

}  // namespace

net::ClientLimits CallerLimits(const platform::ManagedSettings& settings) {
  net::ClientLimits limits;
  limits.max_held_bytes =
      static_cast<std::size_t>(MemoryBytesOf(settings) * kCallersShareOfMemory);
  limits.max_connections = static_cast<std::size_t>(
      std::max(kMinConnections, SocketsOf(settings) * kCallersShareOfSockets));
  return limits;
}

std::size_t MaxPeers(const platform::ManagedSettings& settings) {
  return static_cast<std::size_t>(
      std::max(kMinConnections, SocketsOf(settings) * kPeersShareOfSockets));
}

std::size_t MaxWorkBytes(const platform::ManagedSettings& settings) {
  return static_cast<std::size_t>(MemoryBytesOf(settings) * kWorkShareOfMemory);
}

net::ClientLimits ProbeLimits() {
  net::ClientLimits limits;
  limits.max_connections = kProbeConnections;
  limits.max_held_bytes = kProbeBytes;
  return limits;
}

}  // namespace mangospread::app
