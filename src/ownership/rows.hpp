/// @file
/// Key and value of the table rows that record owners.
#pragma once

#include <string>

#include "mangospread/ids.hpp"
#include "mangospread/platform/table.hpp"
#include "ownership/manager.hpp"

namespace mangospread::ownership {

inline constexpr char kOwnershipPrefix[] = "own/";

[[nodiscard]] std::string OwnershipRowKey(const VmName& vm);
[[nodiscard]] std::string EncodeOwnership(const OwnershipRow& row);
/// @errors kMalformed with the row's key as subject, and those of ObjectReader.
[[nodiscard]] Result<OwnershipRow> DecodeOwnership(const Row& row);

}  // namespace mangospread::ownership
