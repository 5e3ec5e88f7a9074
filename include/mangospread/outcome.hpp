/// @file
/// What a caller learns about its request.
#pragma once

#include <string_view>

namespace mangospread {

/// The three outcomes of a request. There is no fourth.
enum class Outcome : unsigned char {
  kAnswered,  ///< The endpoint's whole answer.
  kNotRun,    ///< No endpoint ran any part of it; safe to retry.
  kUnknown,   ///< It may have run.
};

/// Why a request was not run.
enum class NotRunReason : unsigned char {
  kNone,
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
  kCallerGone,   ///< The caller closed its connection; nobody hears of it.
};

/// Value of the Mangospread-Outcome header: "answered", "not-run" or
/// "unknown".
[[nodiscard]] std::string_view OutcomeName(Outcome outcome) noexcept;

/// Value of the Mangospread-Reason header, for example "no-capacity".
[[nodiscard]] std::string_view NotRunReasonName(NotRunReason reason) noexcept;

/// HTTP status sent with a refused request: 400, 404, 413, 422, 429 or 503.
[[nodiscard]] int NotRunStatus(NotRunReason reason) noexcept;

}  // namespace mangospread
