#include "dispatch/model/worker_types.hpp"

namespace mangospread::dispatch {

std::string_view RunEndName(RunEnd end) noexcept {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kExpired:
      return "lapsed";
    case RunEnd::kGangMemberEnded:
      return "broken";
    case RunEnd::kGangIncomplete:
      return "alone";
  }
  return "unknown";
}

std::string_view CommandOutcomeName(CommandOutcome outcome) noexcept {
  switch (outcome) {
    case CommandOutcome::kAccepted:
      return "accepted";
    case CommandOutcome::kStaleFence:
      return "stale_fence";
    case CommandOutcome::kSuperseded:
      return "superseded";
    case CommandOutcome::kLeaseExpired:
      return "lease_over";
    case CommandOutcome::kNoCapacity:
      return "no_room";
    case CommandOutcome::kInvalid:
      return "invalid";
    case CommandOutcome::kUnhealthy:
      return "unhealthy";
    case CommandOutcome::kOtherIncarnation:
      return "other_incarnation";
    case CommandOutcome::kNotSent:
      return "not_sent";
    case CommandOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

bool MayRetry(CommandOutcome outcome) noexcept {
  return outcome == CommandOutcome::kUnknown ||
         outcome == CommandOutcome::kNotSent ||
         outcome == CommandOutcome::kUnhealthy ||
         outcome == CommandOutcome::kStaleFence;
}

}  // namespace mangospread::dispatch
