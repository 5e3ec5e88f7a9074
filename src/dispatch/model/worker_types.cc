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
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kBroken:
      return "broken";
    case RunEnd::kAlone:
      return "alone";
  }
  return "unknown";
}

std::string_view CommandOutcomeName(OrderOutcome outcome) noexcept {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kStaleFence:
      return "stale_fence";
    case OrderOutcome::kSuperseded:
      return "superseded";
    case OrderOutcome::kLeaseOver:
      return "lease_over";
    case OrderOutcome::kNoRoom:
      return "no_room";
    case OrderOutcome::kInvalid:
      return "invalid";
    case OrderOutcome::kUnhealthy:
      return "unhealthy";
    case OrderOutcome::kOtherIncarnation:
      return "other_incarnation";
    case OrderOutcome::kNotSent:
      return "not_sent";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace mangospread::dispatch
