/// @file
/// Outcome of a request as reported to its caller.
#pragma once

#include <string_view>

namespace mangospread {

/// Outcome of a request. Every request has exactly one of these three.
enum class Outcome : unsigned char {
  kAnswered,  ///< The endpoint's complete response.
  kNotRun,    ///< No endpoint ran any part of it; safe to retry.
  kUnknown,   ///< An endpoint may have run it.
};

/// Reason for which a request was not run.
enum class NotRunReason : unsigned char {
  kNone,  ///< The request was not refused.
  kBadRequest,
  kUnknownService,
  kTooLarge,
  kLimitExceeded,
  kNoCapacity,
  kDeadline,
  kTableUnavailable,
  kNodeNotReady,
  kShuttingDown,
  kRefusedByEndpoint,
  kConnectFailed,
  kKeyMismatch,  ///< The idempotency key was used for another request.
  /// The caller closed its connection; the outcome is not sent to anyone.
  kCallerDisconnected,
};

/// Value of the Mangospread-Outcome header: "answered", "not-run" or
/// "unknown".
[[nodiscard]] std::string_view OutcomeName(Outcome outcome) noexcept;

/// Value of the Mangospread-Reason header, for example "no-capacity".
[[nodiscard]] std::string_view NotRunReasonName(NotRunReason reason) noexcept;

/// HTTP status of the response to a request that was not run: 400, 404, 413,
/// 422, 429 or 503.
[[nodiscard]] int NotRunStatus(NotRunReason reason) noexcept;

}  // namespace mangospread
