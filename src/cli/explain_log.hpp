/// @file
/// `mangospread explain-log`: what the logs of all nodes say of one request.
#pragma once

#include <istream>
#include <string>
#include <string_view>

namespace mangospread::cli {

/// Lines about a submission in order of time, each with its milliseconds since
/// the first, the node and the event. Empty if no line names it.
[[nodiscard]] std::string ExplainLog(std::istream& lines, std::string_view id);

/// Reads standard input. Returns the process's exit status.
[[nodiscard]] int RunExplainLog(const std::string& id);

}  // namespace mangospread::cli
