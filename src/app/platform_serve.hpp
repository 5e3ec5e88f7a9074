/// @file
/// The command `mangospread serve --managed`, which runs a node under the
/// platform's control.
#pragma once

#include <string>

namespace mangospread::app {

/// Runs a node until SIGTERM or SIGINT.
/// @param settings_path of the settings file; empty for the path in the
///   environment variable platform::kSettingsPathVariable.
/// @param check_only validates the settings and returns.
/// @return the process's exit status: 0 after a graceful stop, 2 for invalid
///   settings, 1 otherwise.
[[nodiscard]] int ServeManaged(std::string settings_path, bool check_only);

}  // namespace mangospread::app
