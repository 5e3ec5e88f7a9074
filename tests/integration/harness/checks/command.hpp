/// @file
/// Runs commands of the mangospread program.
#pragma once

#include <string>
#include <vector>

namespace mangospread::testing {

struct CommandResult {
  int status = -1;     ///< Exit status.
  std::string output;  ///< Text on standard output.
  std::string errors;  ///< Text on standard error.
};

/// Runs `mangospread <arguments>` and waits for it to exit.
[[nodiscard]] CommandResult RunCommand(
    const std::vector<std::string>& arguments);

}  // namespace mangospread::testing
