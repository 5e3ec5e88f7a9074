/// @file
/// HTTP status codes that the system sends or handles.
#pragma once

namespace mangospread::net::status {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kForbidden = 403;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

}  // namespace mangospread::net::status
