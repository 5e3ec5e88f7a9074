/// @file
/// Error codes and the result type used by every fallible interface.
#pragma once

#include <cassert>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace mangospread {

/// Error codes of all interfaces.
enum class Errc : int {
  kOk = 0,
  // Input.
  kInvalidArgument,
  kUnknownField,
  kMissingField,
  kOutOfRange,
  kTooLarge,
  kMalformed,
  kNotFound,
  kUnauthenticated,
  kForbidden,
  // Table.
  kConflict,
  kUnavailable,  ///< The operation had no effect.
  kUnknown,      ///< The operation may have taken effect.
  kBudgetExhausted,
  // Connections.
  kConnectFailed,
  kConnectionLost,
  kTimeout,
  kBodyIncomplete,
  kBodyUnverifiable,
  kResponseMismatch,
  // Ownership and routing.
  kNotOwner,
  kStaleEpoch,
  kLeaseHeld,
  kNoCapacity,
  kLeaving,
  kLimitExceeded,
  kNoConfiguration,
  kShuttingDown,
};

/// Category named "mangospread" whose messages are short English phrases.
[[nodiscard]] const std::error_category& error_category() noexcept;

[[nodiscard]] std::error_code make_error_code(Errc code) noexcept;

/// Stable lower-case identifier of a code, as used in API responses and logs,
/// for example "stale_epoch".
[[nodiscard]] const char* ErrcName(Errc code) noexcept;

/// A failure: its code and its subject, such as the path of a field, the key of
/// a row or an address. The subject is meant for human readers and may be
/// empty.
struct Error {
  Errc code = Errc::kUnknown;
  std::string subject;

  [[nodiscard]] std::error_code error_code() const noexcept {
    return make_error_code(code);
  }
};

/// Either a value or an Error.
///
/// @code
/// Result<int> r = ParsePort("80");
/// if (!r.ok()) return r.error();
/// Listen(r.value());
/// @endcode
template <typename T>
class [[nodiscard]] Result {
 public:
  // Implicit, so that functions can return either alternative directly.
  Result(T value) : state_(std::move(value)) {}      // NOLINT
  Result(Error error) : state_(std::move(error)) {}  // NOLINT

  [[nodiscard]] bool ok() const noexcept { return state_.index() == 0; }
  [[nodiscard]] T& value() noexcept {
    assert(ok());
    return *std::get_if<0>(&state_);
  }
  [[nodiscard]] const T& value() const noexcept {
    assert(ok());
    return *std::get_if<0>(&state_);
  }
  [[nodiscard]] const Error& error() const noexcept {
    assert(!ok());
    return *std::get_if<1>(&state_);
  }

 private:
  std::variant<T, Error> state_;
};

/// Value type of a Result that has no value on success.
struct Done {};

}  // namespace mangospread

template <>
struct std::is_error_code_enum<mangospread::Errc> : std::true_type {};
