/// @file
/// Row of the table that names the leader of a group.
#pragma once

#include <string>
#include <string_view>

#include "mangospread/address.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/outcome.hpp"

namespace mangospread::dispatch {

/// Contents of the leader's row in the table.
struct LeaderRecord {
  NodeId node;
  Incarnation incarnation;
  Address address;  ///< Address at which the leader accepts channels.
  Epoch epoch;
  RowVersion version;  ///< 0 if unknown.

  [[nodiscard]] bool IsProcess(const NodeId& other,
                               Incarnation process) const noexcept {
    return node == other && incarnation == process;
  }
};

[[nodiscard]] std::string EncodeLeader(const LeaderRecord& leader);
/// @errors kMalformed.
[[nodiscard]] Result<LeaderRecord> DecodeLeader(std::string_view value);

}  // namespace mangospread::dispatch
