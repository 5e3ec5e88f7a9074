#include "mangospread/outcome.hpp"

namespace mangospread {

std::string_view OutcomeName(Outcome outcome) noexcept {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view NotRunReasonName(NotRunReason reason) noexcept {
  switch (reason) {
    case NotRunReason::kNone:
      return "none";
    case NotRunReason::kBadRequest:
      return "bad-request";
    case NotRunReason::kUnknownService:
      return "unknown-service";
    case NotRunReason::kTooLarge:
      return "too-large";
    case NotRunReason::kLimitExceeded:
      return "limit-exceeded";
    case NotRunReason::kNoCapacity:
      return "no-capacity";
    case NotRunReason::kDeadline:
      return "deadline";
    case NotRunReason::kTableUnavailable:
      return "table-unavailable";
    case NotRunReason::kNodeNotReady:
      return "node-not-ready";
    case NotRunReason::kShuttingDown:
      return "shutting-down";
    case NotRunReason::kRefusedByEndpoint:
      return "refused-by-endpoint";
    case NotRunReason::kConnectFailed:
      return "connect-failed";
    case NotRunReason::kKeyMismatch:
      return "key-mismatch";
    case NotRunReason::kCallerDisconnected:
      return "caller-gone";
  }
  return "none";
}

int NotRunStatus(NotRunReason reason) noexcept {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  constexpr int kTooLarge = 413;
  constexpr int kUnprocessable = 422;
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  switch (reason) {
    case NotRunReason::kBadRequest:
      return kBadRequest;
    case NotRunReason::kUnknownService:
      return kNotFound;
    case NotRunReason::kTooLarge:
      return kTooLarge;
    case NotRunReason::kKeyMismatch:
      return kUnprocessable;
    case NotRunReason::kLimitExceeded:
      return kTooManyRequests;
    default:
      return kServiceUnavailable;
  }
}

}  // namespace mangospread
