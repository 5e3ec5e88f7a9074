/// @file
/// The watch command.
#pragma once

#include "cli/http_call.hpp"
#include "mangospread/ids.hpp"

namespace mangospread::cli {

/// Prints the changes after `since` as JSON lines, one change per line, until
/// the server closes the watch or sends no data for 5 s. The server sends a
/// line every second, so a longer gap means that the connection is broken.
/// @return true if the server closed the watch; the last line then contains the
///   revision to resume from.
[[nodiscard]] bool Watch(const Server& server, Revision since);

}  // namespace mangospread::cli
