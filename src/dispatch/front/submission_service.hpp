/// @file
/// What callers can ask of submissions.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "dispatch/model/submission.hpp"

namespace mangospread::dispatch {

enum class ServiceVerb : unsigned char {
  kSubmit,
  kState,
  kCancel,
  kPending,
};

struct ServiceCall {
  ServiceVerb verb = ServiceVerb::kState;
  SubmissionId submission;
  QueuePolicy policy;   ///< For kSubmit; kPending uses the queue's name.
  std::string payload;  ///< For kSubmit: the hand-in as received.
};

enum class ServiceResult : unsigned char {
  kOk,
  kNotFound,
  /// Definitely without effect; a retry later may succeed.
  kRefused,
  /// The hand-in can never be accepted.
  kInvalid,
  /// May have taken effect.
  kUnknown,
};

[[nodiscard]] constexpr std::string_view ResultName(
    ServiceResult result) noexcept {
  switch (result) {
    case ServiceResult::kOk:
      return "ok";
    case ServiceResult::kNotFound:
      return "not_found";
    case ServiceResult::kRefused:
      return "refused";
    case ServiceResult::kInvalid:
      return "invalid";
    case ServiceResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

struct ServiceReply {
  ServiceResult result = ServiceResult::kUnknown;
  SubmissionState state = SubmissionState::kQueued;
  int pending = 0;
  Milliseconds retry_after{0};  ///< With kRefused; 0 for no advice.
};

using ServiceCallback = std::function<void(ServiceReply)>;

}  // namespace mangospread::dispatch
