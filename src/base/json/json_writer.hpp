/// @file
/// Writing of JSON documents.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace mangospread::base {

/// Serializes a document as compact JSON. Bytes that are not valid UTF-8 are
/// replaced; the library's own dump() throws on them, and request lines and
/// headers can contain them.
[[nodiscard]] std::string DumpJson(const nlohmann::json& json);

}  // namespace mangospread::base
