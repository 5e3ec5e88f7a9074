/// @file
/// Order of the starts on one worker.
#pragma once

#include "crash/lost_run.hpp"

namespace mangospread::scheduler {

/// Keeps the starts of tasks that are suspected of crashing workers apart from
/// all other starts on their worker, so that a crash shows which task caused
/// it.
class StartSpacing {
 public:
  /// True if a start may be sent now; it then counts as sent. Otherwise the
  /// caller tries again at the worker's next report.
  [[nodiscard]] bool Admit(bool suspected, MonotonicTime now) noexcept {
    if (suspected && now < last_start_at_ + crash::kStartTrial) {
      closed_until_ = now + kMaxWait;
      return false;
    }
    if (!suspected && now < closed_until_) return false;
    if (suspected) closed_until_ = now + crash::kStartTrial;
    last_start_at_ = now;
    return true;
  }

 private:
  /// A suspected task that waits holds the other starts back for two report
  /// periods, in case it does not try again.
  static constexpr MonotonicTime kMaxWait = std::chrono::seconds(2);

  MonotonicTime last_start_at_{0};
  /// Starts of tasks that are not suspected wait until then.
  MonotonicTime closed_until_{0};
};

}  // namespace mangospread::scheduler
