/// @file
/// Reads a file of lines that another process may be appending to.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace mangospread::testing {

/// The lines of `input` up to the last line end. What follows it is left out,
/// since it may be a part of a line that is being written.
[[nodiscard]] inline std::vector<std::string> ReadCompleteLines(
    std::istream& input) {
  std::vector<std::string> lines;
  for (std::string line; std::getline(input, line) && !input.eof();) {
    lines.push_back(line);
  }
  return lines;
}

}  // namespace mangospread::testing
