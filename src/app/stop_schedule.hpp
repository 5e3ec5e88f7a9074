/// @file
/// Decides what a stopping process does with requests, and when it ends.
#pragma once

#include <algorithm>

#include "mangospread/units.hpp"

namespace mangospread::app {

enum class StopPhase : unsigned char {
  /// Requests are processed, since callers may still connect.
  kServe,
  /// Each request gets an answer at once, whether it is in flight or new.
  kAnswer,
  /// The process ends.
  kEnd,
};

/// Schedule of a planned stop within the grace time. The process ends when no
/// request is in flight and no further connections are expected. If some remain
/// in flight, they are answered before the end, early enough that a process
/// with little processor time writes the answers.
class StopSchedule {
 public:
  /// The load balancer stops sending connections after two failed probes, which
  /// are one second apart.
  static constexpr Milliseconds kDrainNotice{2'300};
  /// The process ends at least this long before its grace time does.
  static constexpr Milliseconds kEndMargin{700};
  /// Time for the answers, before the process ends.
  static constexpr Milliseconds kAnswerTime{800};

  /// @param begun_at time of the signal.
  /// @param grace time from the signal until the process is killed.
  StopSchedule(MonotonicTime begun_at, Milliseconds grace)
      : end_at_(begun_at + grace - kEndMargin),
        answer_from_(end_at_ - kAnswerTime),
        notice_until_(
            std::min<MonotonicTime>(begun_at + kDrainNotice, answer_from_)) {}

  /// Returns the phase at `now`. Before it returns kEnd with requests in
  /// flight, it has returned kAnswer at least once, also if a check is late.
  /// @param idle no request is in flight and each response is written.
  [[nodiscard]] StopPhase Check(MonotonicTime now, bool idle) {
    // A request that arrived before the former check has been read by now, also
    // on a connection that was accepted only then.
    const bool stays_idle = idle && was_idle_;
    was_idle_ = idle;
    if (now >= notice_until_ && stays_idle) return StopPhase::kEnd;
    if (now < answer_from_) return StopPhase::kServe;
    if (now >= end_at_ && answers_) return StopPhase::kEnd;
    answers_ = true;
    return StopPhase::kAnswer;
  }

 private:
  MonotonicTime end_at_;
  MonotonicTime answer_from_;
  MonotonicTime notice_until_;
  bool was_idle_ = false;
  bool answers_ = false;
};

}  // namespace mangospread::app
