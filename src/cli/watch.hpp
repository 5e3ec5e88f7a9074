/// @file
/// The watch command.
#pragma once

#include "cli/http_call.hpp"
#include "mangospread/ids.hpp"

namespace mangospread::cli {

/// Prints changes after `since` as JSON lines, one change a line, until the
/// server closes the watch or says nothing for 5 s. The server sends a line
/// each second, so silence means a dead connection.
/// @return true if the server closed the watch; the last line then holds the
///   revision to resume from.
[[nodiscard]] bool Watch(const Server& server, Revision since);

}  // namespace mangospread::cli
