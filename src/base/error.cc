#include "mangospread/error.hpp"

namespace mangospread {
namespace {

struct ErrcText {
  const char* name;
  const char* message;
};

constexpr ErrcText DescribeErrc(Errc code) noexcept {
  switch (code) {
    case Errc::kOk:
      return {"ok", "success"};
    case Errc::kInvalidArgument:
      return {"invalid_argument", "invalid argument"};
    case Errc::kUnknownField:
      return {"unknown_field", "unknown field"};
    case Errc::kMissingField:
      return {"missing_field", "required field is missing"};
    case Errc::kOutOfRange:
      return {"out_of_range", "value is out of range"};
    case Errc::kTooLarge:
      return {"too_large", "input is too large"};
    case Errc::kMalformed:
      return {"malformed", "input is malformed"};
    case Errc::kNotFound:
      return {"not_found", "not found"};
    case Errc::kUnauthenticated:
      return {"unauthenticated", "no valid token"};
    case Errc::kForbidden:
      return {"forbidden", "the token does not allow this"};
    case Errc::kConflict:
      return {"conflict", "changed by someone else"};
    case Errc::kUnavailable:
      return {"unavailable", "service is unavailable"};
    case Errc::kUnknown:
      return {"unknown", "result is unknown"};
    case Errc::kBudgetExhausted:
      return {"budget_exhausted", "budget is exhausted"};
    case Errc::kConnectFailed:
      return {"connect_failed", "connection could not be opened"};
    case Errc::kConnectionLost:
      return {"connection_lost", "connection was lost"};
    case Errc::kTimeout:
      return {"timeout", "timed out"};
    case Errc::kBodyIncomplete:
      return {"body_incomplete", "body was cut short"};
    case Errc::kBodyUnverifiable:
      return {"body_unverifiable", "end of body cannot be verified"};
    case Errc::kResponseMismatch:
      return {"answer_mismatch", "response belongs to another request"};
    case Errc::kNotOwner:
      return {"not_owner", "node does not own the worker"};
    case Errc::kStaleEpoch:
      return {"stale_epoch", "epoch is stale"};
    case Errc::kLeaseHeld:
      return {"lease_held", "lease is still held"};
    case Errc::kNoCapacity:
      return {"no_capacity", "no free capacity"};
    case Errc::kLeaving:
      return {"leaving", "endpoint is leaving"};
    case Errc::kLimitExceeded:
      return {"limit_exceeded", "limit is exceeded"};
    case Errc::kNoConfiguration:
      return {"no_configuration", "configuration is not loaded"};
    case Errc::kShuttingDown:
      return {"shutting_down", "node is shutting down"};
  }
  return {"unnamed", "unnamed error"};
}

class ErrorCategory final : public std::error_category {
 public:
  [[nodiscard]] const char* name() const noexcept override {
    return "mangospread";
  }
  [[nodiscard]] std::string message(int code) const override {
    return DescribeErrc(static_cast<Errc>(code)).message;
  }
};

}  // namespace

const std::error_category& error_category() noexcept {
  static const ErrorCategory kCategory;
  return kCategory;
}

std::error_code make_error_code(Errc code) noexcept {
  return {static_cast<int>(code), error_category()};
}

const char* ErrcName(Errc code) noexcept { return DescribeErrc(code).name; }

}  // namespace mangospread
