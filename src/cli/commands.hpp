/// @file
/// Commands for operators: change, read and watch resources.
#pragma once

#include <string>
#include <vector>

namespace mangospread::cli {

/// Exit statuses of the commands.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;  ///< The command or request failed.
inline constexpr int kExitUsage = 2;    ///< The arguments are invalid.

/// True if `command` is the name of one of these commands.
[[nodiscard]] bool IsCommand(const std::string& command);

/// Runs a command; its output goes to standard output, errors to standard
/// error.
/// @param command name of a command, see IsCommand.
/// @return the process's exit status.
[[nodiscard]] int RunCommand(const std::string& command,
                             const std::vector<std::string>& arguments);

/// Help text with one line for each command.
[[nodiscard]] std::string CommandsHelp();

}  // namespace mangospread::cli
