/// @file
/// What a leader permits its agents for a limited time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// Each value includes those before it.
enum class Permission : std::uint8_t {
  kNone,
  kLeases,  ///< The leases of workers may be extended.
  kStarts,  ///< Runs may be started.
};

[[nodiscard]] constexpr std::string_view PermissionName(
    Permission permission) noexcept {
  switch (permission) {
    case Permission::kLeases:
      return "leases";
    case Permission::kStarts:
      return "starts";
    default:
      return "none";
  }
}

/// Time for which leaders of former versions let leases be extended.
inline constexpr Milliseconds kFormerVersionLeasePermission{3'000};

/// How long a leader permits what after it sent the last renewal of its
/// leadership that the table has confirmed. Another leader may have been
/// elected at any time since.
struct PermissionTimeouts {
  /// Runs may be started.
  Milliseconds starts{1'000};
  /// Leases may be extended. A new leader waits for these leases while it knows
  /// nothing of the former leader, a leader that the table refuses lets them
  /// expire.
  Milliseconds leases{1'200};
  /// Until then, a message that every agent of the stored row has confirmed
  /// counts as such a renewal: none of them had been elected.
  Milliseconds undivided{20'000};
};

/// @param confirmed_age time since that renewal was sent.
/// @param followed_age time since the leader sent the message that every agent
///   of the stored row has confirmed; nullopt if an agent is missing.
[[nodiscard]] constexpr Permission LeaderPermission(
    const PermissionTimeouts& timeouts, MonotonicTime confirmed_age,
    std::optional<MonotonicTime> followed_age) noexcept {
  const bool undivided = followed_age && confirmed_age <= timeouts.undivided;
  const MonotonicTime age =
      undivided ? std::min(confirmed_age, *followed_age) : confirmed_age;
  if (age <= timeouts.starts) return Permission::kStarts;
  return age <= timeouts.leases ? Permission::kLeases : Permission::kNone;
}

}  // namespace mangospread::dispatch
