/// @file
/// Answers of the endpoint stand-in, well-formed or not as the request asks.
#pragma once

#include <memory>
#include <string>

#include "endpoint/raw_server.hpp"

namespace mangospread::standin {

/// Headers by which a test controls one request.
///
/// X-Work-Ms: time from the request to its answer.
/// X-Reply-Bytes, X-Reply-Seed: the body, see MakeBody; without them the
///   request's body is sent back.
/// X-Framing: "length" (default), "chunked" or "close".
/// X-Misbehave: "surplus" (a second answer follows the first), "swapped" (the
///   answer of another request), "cut" (closed in the middle of the body),
///   "silent" (no reply after the work), "closed" (connection closed after the
///   work without a byte).
inline constexpr char kWorkHeader[] = "X-Work-Ms";
inline constexpr char kReplyBytesHeader[] = "X-Reply-Bytes";
inline constexpr char kReplySeedHeader[] = "X-Reply-Seed";
inline constexpr char kFramingHeader[] = "X-Framing";
inline constexpr char kMisbehaveHeader[] = "X-Misbehave";
/// The worker counts how often each value ran.
inline constexpr char kRunKeyHeader[] = "X-Run-Key";

/// A body in which every part tells to which request it belongs.
[[nodiscard]] std::string MakeBody(const std::string& seed, std::size_t bytes);

/// Answers the request that `id` names.
void SendAnswer(RawConnection& connection, const std::string& id);

}  // namespace mangospread::standin
