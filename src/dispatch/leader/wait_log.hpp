/// @file
/// Chooses the waiting tasks that get a log line.
#pragma once

#include <map>
#include <tuple>
#include <vector>

#include "base/token_bucket.hpp"
#include "dispatch/core/waiting.hpp"

namespace mangospread::dispatch {

/// A line is due for the tasks of a step that wait for the same reason when one
/// of them has waited for kFirstLine, and every kNextLine after. At most
/// kLinesPerSecond are written: long-running tasks go first, tasks that wait
/// for their time or for an earlier step last, and of each kind those without a
/// line for the longest time.
class WaitLog {
 public:
  static constexpr MonotonicTime kFirstLine = std::chrono::seconds(5);
  static constexpr MonotonicTime kNextLine = std::chrono::seconds(10);
  static constexpr double kLinesPerSecond = 5;

  /// The tasks whose line is to be written now.
  struct Lines {
    std::vector<WaitingTasks> due;
    std::size_t left_out = 0;  ///< Number of further ones, beyond the limit.
  };
  /// @param waiting all that wait now.
  [[nodiscard]] Lines Take(std::vector<WaitingTasks> waiting,
                           MonotonicTime now);

 private:
  using Key = std::tuple<SubmissionId, int, WaitReason>;
  static Key KeyOf(const WaitingTasks& waiting);

  /// Time of the last line; 0 before the first one.
  [[nodiscard]] MonotonicTime LastLine(const WaitingTasks& waiting) const;

  std::map<Key, MonotonicTime> last_lines_;
  base::TokenBucket tokens_{kLinesPerSecond, MonotonicTime{0}};
};

}  // namespace mangospread::dispatch
