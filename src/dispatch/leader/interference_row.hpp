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

inline constexpr const char* kInterferenceKey = "learned/sharing";

[[nodiscard]] std::string EncodeInterference(
    const std::vector<LearnedInterference>& learned);
/// @errors kMalformed.
[[nodiscard]] Result<std::vector<LearnedInterference>> DecodeInterference(
    std::string_view value);

}  // namespace mangospread::dispatch
