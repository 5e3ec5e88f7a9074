/// @file
/// `mangospread serve --platform managed`: a node on the users' platform.
#pragma once

namespace mangospread::app {

/// Runs until SIGTERM. Returns the process's exit status.
[[nodiscard]] int ServeManaged(bool check_only);

}  // namespace mangospread::app
