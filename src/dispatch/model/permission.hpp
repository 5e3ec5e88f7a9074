/// @file
/// What a leader permits its agents for a limited time.
#pragma once

#include <cstdint>
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

/// How long a leader permits what after it sent the last renewal of its
/// leadership that the table has confirmed. Another leader may have been
/// elected at any time since.
struct PermissionTimeouts {
  /// Runs may be started.
  Milliseconds starts{1'000};
  /// Leases may be extended. A new leader waits for these leases while it knows
  /// nothing of the former leader, a leader that the table refuses lets them
  /// expire.
  Milliseconds leases{3'000};
  /// Both, while every agent that the stored row names is connected.
  Milliseconds undivided{20'000};
};

/// @param confirmed_age time since that renewal was sent.
/// @param undivided every agent that the stored row names is connected.
[[nodiscard]] constexpr Permission LeaderPermission(
    const PermissionTimeouts& timeouts, MonotonicTime confirmed_age,
    bool undivided) noexcept {
  if (confirmed_age <= timeouts.starts) return Permission::kStarts;
  if (undivided && confirmed_age <= timeouts.undivided) {
    return Permission::kStarts;
  }
  return confirmed_age <= timeouts.leases ? Permission::kLeases
                                          : Permission::kNone;
}

}  // namespace mangospread::dispatch
