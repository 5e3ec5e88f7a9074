/// @file
/// The serve command.
#pragma once

#include <string>
#include <vector>

namespace mangospread::app {

/// Runs a node until SIGTERM or SIGINT. Prints one line with its listen
/// addresses to standard output.
/// @param arguments those after the command's name.
/// @return the process's exit status: 0 after a graceful stop, 2 for invalid
///   settings, 1 otherwise.
[[nodiscard]] int Serve(const std::vector<std::string>& arguments);

}  // namespace mangospread::app
