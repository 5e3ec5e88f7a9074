/// @file
/// Encoding of the table row that stores the learned interference between
/// images that share workers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "dispatch/policy/sharing_model.hpp"
#include "mangospread/error.hpp"

namespace mangospread::dispatch {

inline constexpr const char* kSharingKey = "learned/sharing";

[[nodiscard]] std::string EncodeSharing(
    const std::vector<LearnedSharing>& learned);
/// @errors kMalformed.
[[nodiscard]] Result<std::vector<LearnedSharing>> DecodeSharing(
    std::string_view value);

}  // namespace mangospread::dispatch
