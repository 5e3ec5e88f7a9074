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
/// @errors kMalformed with the row's key as subject, and those of ObjectReader.
[[nodiscard]] Result<Resource> DecodeResource(const Row& row);

/// Encodes a change without its revision, which is in the row's key.
[[nodiscard]] std::string EncodeChange(const Change& change);
/// @errors kMalformed with the row's key as subject, and those of ObjectReader.
[[nodiscard]] Result<Change> DecodeChange(const Row& row);

/// Parses the revision in the kRevisionKey row.
/// @param row null if the row does not exist, which means revision 0.
/// @errors kMalformed with kRevisionKey as subject.
[[nodiscard]] Result<Revision> DecodeRevision(const Row* row);

/// The row with the given key, or null.
[[nodiscard]] const Row* FindRow(const std::vector<Row>& rows,
                                 std::string_view key);

}  // namespace mangospread::config
