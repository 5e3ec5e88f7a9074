/// @file
/// `mangospread serve --platform managed`: a node on the users' platform.
#pragma once

#include <string>

namespace mangospread::app {

/// Runs until SIGTERM. Returns the process's exit status.
/// @param settings_path of the settings file; empty for the one that the
///   environment names.
[[nodiscard]] int ServeManaged(std::string settings_path, bool check_only);

}  // namespace mangospread::app
