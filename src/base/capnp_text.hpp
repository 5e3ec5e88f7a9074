/// @file
/// Conversion between strings and texts of Cap'n Proto messages.
#pragma once

#include <capnp/blob.h>

#include <string>

namespace mangospread::base {

/// Copies a text.
[[nodiscard]] inline std::string FromText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

/// Refers to a text of any bytes. The implicit conversion of a std::string ends
/// at its first zero byte.
[[nodiscard]] inline capnp::Text::Reader ToText(const std::string& text) {
  return {text.c_str(), text.size()};
}

}  // namespace mangospread::base
