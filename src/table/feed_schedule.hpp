/// @file
/// Times of the calls that follow the changes of a table.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "mangospread/units.hpp"

namespace mangospread::table {

/// One call for the changes after a version.
struct FeedCall {
  std::uint64_t id = 0;
  std::uint64_t after = 0;  ///< Version after which changes are requested.
  /// Longest time for which the store may delay its answer while there are no
  /// changes.
  Milliseconds wait{0};
  Milliseconds timeout{0};
  /// Time from this call to the next one, unless this one ends before. The call
  /// stays in progress beside the next one.
  MonotonicTime next{0};
};

/// What to do with an answer.
struct FeedAnswer {
  bool use = false;   ///< Its changes continue those received so far.
  bool send = false;  ///< The next call is sent now.
};

/// Decides when to call for the changes of a table and which answers to use.
///
/// While the store answers, one call at a time waits there for changes. An
/// answer may be lost without a sign, so a call that is late is not waited for:
/// calls that the store answers at once are sent beside it, at a short period,
/// until one of the calls is answered. The time for which the return of the
/// store stays unnoticed is thus bounded by the wait of one call and its margin
/// (1.3 s), and after longer outages by the period of these calls (0.5 s).
class FeedSchedule {
 public:
  /// @param random returns values uniform in [0, 1), so that nodes do not act
  ///   in step when the store returns.
  explicit FeedSchedule(std::function<double()> random);

  /// Starts anew after a version. Calls that are in progress are not awaited
  /// any more.
  void Reset(std::uint64_t version);

  /// The call to send now. The caller sends the next one after its `next`,
  /// unless OnAnswer or OnFailure say otherwise.
  [[nodiscard]] FeedCall Start();

  /// Records the answer to a call, which holds all changes up to `version`.
  [[nodiscard]] FeedAnswer OnAnswer(const FeedCall& call,
                                    std::uint64_t version);

  /// Records that a call failed or timed out.
  /// @return the time until the next call if it differs from the planned one.
  [[nodiscard]] std::optional<MonotonicTime> OnFailure(const FeedCall& call);

  /// False for a call that was sent before the last Reset.
  [[nodiscard]] bool IsAwaited(const FeedCall& call) const noexcept {
    return call.id >= first_id_;
  }
  /// False if a call failed and none that was sent later was answered.
  [[nodiscard]] bool reachable() const noexcept { return reachable_; }
  /// Version up to which all changes were received.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  /// Time until a failed call is sent again.
  [[nodiscard]] MonotonicTime RetryDelay() const;

 private:
  std::function<double()> random_;
  std::uint64_t version_ = 0;
  std::uint64_t first_id_ = 1;  ///< Of the calls since the last Reset.
  std::uint64_t last_id_ = 0;
  std::uint64_t last_answered_id_ = 0;
  bool last_waits_ = false;  ///< The last call waits at the store for changes.
  bool may_wait_ = true;     ///< The store answered after the last call began.
  bool reachable_ = true;
};

}  // namespace mangospread::table
