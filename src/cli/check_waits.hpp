/// @file
/// `mangospread check-waits`: submissions that had nothing running for too long
/// although there was room for their tasks.
#pragma once

#include <cstddef>
#include <istream>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangospread::cli {

/// A time during which a submission had nothing running although a step was
/// ready, its tasks fitted at least twice, and less than half of the service's
/// processors were reserved.
struct IdleSpan {
  std::string submission;
  double begin_ms = 0;    ///< Unix time.
  double end_ms = 0;      ///< Time of the last line; it may have lasted longer.
  std::string last_time;  ///< The same, as logged.
  std::map<std::string, int> reasons;  ///< Number of lines by reason.
  std::set<std::string> nodes;         ///< The leaders that logged it.
  int unconfirmed = 0;  ///< Lines of a leader that could start nothing.
  int fits = 0;         ///< Lowest.
  double reserved = 0;  ///< Highest.
  int paused = 0;       ///< Highest.

  [[nodiscard]] double duration_ms() const noexcept {
    return end_ms - begin_ms;
  }
};

/// What logs say of the waits of submissions.
struct WaitCheck {
  std::vector<IdleSpan> spans;  ///< Those that are too long, by begin.
  std::size_t lines = 0;        ///< Lines of event 1826 that were judged.
  std::size_t unknown = 0;      ///< Lines without the fields it takes.
  std::size_t left_out = 0;     ///< Lines that leaders left out.
};

/// Finds the submissions that were idle for 3 s or longer. A leader logs one
/// each second, from 1 s on; the lines of a next leader continue a span, and
/// 2 s without a line end it. So a span is found that lasts for 4 s, and none
/// that lasts for less than 3 s.
/// @param lines logs of any number of nodes, in any order.
[[nodiscard]] WaitCheck CheckWaits(std::istream& lines);

/// The result as text.
[[nodiscard]] std::string FormatWaitCheck(const WaitCheck& check);

/// Prints the result of CheckWaits for the logs in the files; "-" is standard
/// input.
/// @return the process's exit status: kExitFailure if a submission was idle for
///   too long, or if lines could not be judged.
[[nodiscard]] int RunCheckWaits(const std::vector<std::string>& files);

}  // namespace mangospread::cli
