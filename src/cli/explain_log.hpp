/// @file
/// `mangospread explain-log`: log lines of all nodes about one submission.
#pragma once

#include <istream>
#include <string>
#include <string_view>

namespace mangospread::cli {

/// Extracts the log lines about a submission, ordered by time. Each line of the
/// result has the milliseconds since the first one, the node, and the event
/// with its fields.
/// @param lines logs of any number of nodes, in any order.
/// @param id id of the submission.
/// @return an empty string if no line refers to `id`.
[[nodiscard]] std::string ExplainLog(std::istream& lines, std::string_view id);

/// Prints the result of ExplainLog for the logs on standard input.
/// @return the process's exit status.
[[nodiscard]] int RunExplainLog(const std::string& id);

}  // namespace mangospread::cli
