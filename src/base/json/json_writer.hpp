/// @file
/// Writing of JSON documents.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace mangospread::base {

/// The document's text. Bytes that are no valid UTF-8 are replaced; the
/// library's own dump() throws on them, and they reach us from request lines
/// and headers.
[[nodiscard]] std::string DumpJson(const nlohmann::json& json);

}  // namespace mangospread::base
