/// @file
/// The load command: sends requests and reports outcomes and latencies.
#pragma once

#include <string>
#include <vector>

namespace mangospread::cli {

/// Sends requests to one or more nodes and prints one JSON object with the
/// count of each outcome, the requests per second and latency quantiles in
/// milliseconds. With a rate, requests follow a fixed schedule and latency is
/// measured from the scheduled time, so that a stall is not hidden (coordinated
/// omission).
/// @param arguments command-line options; --help prints them.
/// @return the process's exit status.
[[nodiscard]] int RunLoad(const std::vector<std::string>& arguments);

}  // namespace mangospread::cli
