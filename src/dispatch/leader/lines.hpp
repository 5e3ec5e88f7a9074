/// @file
/// Rows that hold one name in each line.
#pragma once

#include <algorithm>
#include <string_view>

namespace mangospread::dispatch::detail {

/// Removes the first line from `text` and returns it without its end.
[[nodiscard]] inline std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find('\n'), text.size());
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return line;
}

}  // namespace mangospread::dispatch::detail
