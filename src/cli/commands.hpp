/// @file
/// Commands for operators: changes, reads and watches.
#pragma once

#include <string>
#include <vector>

namespace mangospread::cli {

/// Exit statuses of the commands.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;  ///< The server refused or failed.
inline constexpr int kExitUsage = 2;

/// True if `command` is one of the commands here.
[[nodiscard]] bool IsCommand(const std::string& command);

/// Runs a command; its output goes to standard output, problems to standard
/// error.
[[nodiscard]] int RunCommand(const std::string& command,
                             const std::vector<std::string>& arguments);

/// One line of help for each command.
[[nodiscard]] std::string CommandsHelp();

}  // namespace mangospread::cli
