/// @file
/// Why a node contends for the leader's role.
#pragma once

#include <cstdint>
#include <string_view>

namespace mangospread::dispatch {

enum class ContendReason : std::uint8_t {
  kNoLeader,          ///< No leader has been elected yet.
  kHeartbeatStopped,  ///< The leader, which is not connected, renews no more.
  kDenied,            ///< The process at the leader's address does not lead.
  kYielding,          ///< The connected leader lets others take over.
  kRestarted,         ///< The leader is an earlier process of this node.
};

[[nodiscard]] constexpr std::string_view ContendReasonName(
    ContendReason reason) noexcept {
  switch (reason) {
    case ContendReason::kNoLeader:
      return "no_leader";
    case ContendReason::kHeartbeatStopped:
      return "heartbeat_stopped";
    case ContendReason::kDenied:
      return "denied";
    case ContendReason::kYielding:
      return "yielding";
    default:
      return "restarted";
  }
}

}  // namespace mangospread::dispatch
