/// @file
/// Row of the table that a leader renews.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dispatch/model/lease.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/units.hpp"

namespace mangospread::dispatch {

inline constexpr const char* kHeartbeatKey = "beat/leader";

/// Contents of the row.
struct HeartbeatRow {
  Epoch epoch;                 ///< Of the leader.
  std::uint64_t renewals = 0;  ///< Sent by the leader's process.
  /// Length of the longest leases that workers may hold.
  Milliseconds longest_lease{kWorkerLease};
};

[[nodiscard]] std::string EncodeHeartbeatRow(const HeartbeatRow& row);
/// @return nullopt for a malformed row, or one of a former version, which
///   stores the epoch alone.
[[nodiscard]] std::optional<HeartbeatRow> DecodeHeartbeatRow(
    std::string_view text);

}  // namespace mangospread::dispatch
