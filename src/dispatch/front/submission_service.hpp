/// @file
/// Interface for calls on submissions: submit, query, cancel and count.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "dispatch/model/submission.hpp"

namespace mangospread::dispatch {

/// Operation that a call requests.
enum class ServiceVerb : unsigned char {
  kSubmit,
  kState,
  kCancel,
  kPending,
};

/// Name of a verb in logs.
[[nodiscard]] constexpr std::string_view VerbName(ServiceVerb verb) noexcept {
  switch (verb) {
    case ServiceVerb::kSubmit:
      return "submit";
    case ServiceVerb::kState:
      return "state";
    case ServiceVerb::kCancel:
      return "cancel";
    case ServiceVerb::kPending:
      return "pending";
  }
  return "unknown";
}

/// A caller's request.
struct ServiceCall {
  ServiceVerb verb = ServiceVerb::kState;
  SubmissionId submission;
  QueuePolicy policy;   ///< For kSubmit; kPending uses only the queue name.
  std::string payload;  ///< For kSubmit: the request body as received.
};

enum class ServiceResult : unsigned char {
  kOk,
  kNotFound,
  /// The call had no effect; a later retry may succeed.
  kRefused,
  /// The request is malformed; a retry cannot succeed.
  kInvalid,
  /// The call may or may not have taken effect.
  kUnknown,
};

/// Name of a result in logs.
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

/// Reply to a ServiceCall.
struct ServiceReply {
  ServiceResult result = ServiceResult::kUnknown;
  SubmissionState state = SubmissionState::kQueued;  ///< For kState.
  /// For kPending: the queue's submissions of which no task has begun.
  int pending = 0;
  Milliseconds retry_after{0};  ///< For kRefused; 0 if unspecified.
};

[[nodiscard]] inline ServiceReply MakeReply(ServiceResult result) {
  ServiceReply reply;
  reply.result = result;
  return reply;
}

[[nodiscard]] inline ServiceReply MakeRefusal(Milliseconds retry_after) {
  ServiceReply reply = MakeReply(ServiceResult::kRefused);
  reply.retry_after = retry_after;
  return reply;
}

using ServiceCallback = std::function<void(ServiceReply)>;

}  // namespace mangospread::dispatch
