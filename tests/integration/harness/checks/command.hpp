/// @file
/// Runs the program's commands.
#pragma once

#include <string>
#include <vector>

namespace mangospread::testing {

struct CommandResult {
  int status = -1;
  std::string output;
  std::string errors;
};

/// Runs `mangospread <arguments>` to its end.
[[nodiscard]] CommandResult RunCommand(
    const std::vector<std::string>& arguments);

}  // namespace mangospread::testing
