/// @file
/// Keys and values of the table rows that hold resources and changes.
#pragma once

#include <string>

#include "mangospread/platform/table.hpp"
#include "mangospread/resource.hpp"

namespace mangospread::config {

inline constexpr char kRevisionKey[] = "cfg_revision";
inline constexpr char kResourcePrefix[] = "cfg/";
inline constexpr char kLogPrefix[] = "cfg_log/";

[[nodiscard]] std::string ResourceRowKey(const ResourceKey& key);
/// Padded to a fixed width, so that key order is revision order.
[[nodiscard]] std::string LogRowKey(Revision revision);

[[nodiscard]] std::string EncodeResource(const Resource& resource);
[[nodiscard]] Result<Resource> DecodeResource(const Row& row);

[[nodiscard]] std::string EncodeChange(const Change& change);
[[nodiscard]] Result<Change> DecodeChange(const Row& row);

/// Value of the kRevisionKey row; an absent row is revision 0.
/// @errors kMalformed.
[[nodiscard]] Result<Revision> DecodeRevision(const Row* row);

/// The row with the given key, or null.
[[nodiscard]] const Row* FindRow(const std::vector<Row>& rows,
                                 std::string_view key);

}  // namespace mangospread::config
