/// @file
/// Detects that a process cannot keep up with its work.
#pragma once

#include "mangospread/units.hpp"

namespace mangospread::dispatch {

/// Load pattern: a leader whose VM slows down, or whose load grows beyond its
/// share of a processor. It still renews its heartbeat, so nobody replaces it,
/// while callers wait until their deadlines.
///
/// Its loop then fires every timer late. A single late timer shows a pause
/// instead, after which the process keeps up again.
class OverloadDetector {
 public:
  /// A timer that fires later than this counts as late. Callers notice a delay
  /// of this size in each message.
  static constexpr MonotonicTime kLate = std::chrono::milliseconds(150);
  /// Timers have been late without interruption for this long on overload.
  static constexpr MonotonicTime kMinDuration = std::chrono::milliseconds(900);

  /// Records that a periodic timer fired `lateness` after it was due.
  void Observe(MonotonicTime now, MonotonicTime lateness) noexcept {
    if (lateness < kLate) {
      late_since_ = MonotonicTime(0);
      overloaded_ = false;
      return;
    }
    if (late_since_.count() == 0) late_since_ = now;
    overloaded_ = now - late_since_ >= kMinDuration;
  }

  [[nodiscard]] bool overloaded() const noexcept { return overloaded_; }

 private:
  MonotonicTime late_since_{0};  ///< 0 while timers fire in time.
  bool overloaded_ = false;
};

}  // namespace mangospread::dispatch
