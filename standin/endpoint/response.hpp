/// @file
/// Responses of the endpoint stand-in, well-formed or malformed as requested.
#pragma once

#include <memory>
#include <string>

#include "endpoint/raw_server.hpp"

namespace mangospread::standin {

/// Request headers by which a test controls the response to one request.
///
/// X-Work-Ms: milliseconds from the request to its response.
/// X-Reply-Bytes, X-Reply-Seed: size and seed of the body, see MakeBody. The
///   request's body is echoed if no size is given.
/// X-Framing: "length" (default), "chunked" or "close".
/// X-Misbehave: "surplus" (a second response follows the first), "swapped" (the
///   response to another request), "cut" (connection closed in the middle of
///   the body), "silent" (no response after the work), "closed" (connection
///   closed after the work without a byte).
inline constexpr char kWorkHeader[] = "X-Work-Ms";
inline constexpr char kReplyBytesHeader[] = "X-Reply-Bytes";
inline constexpr char kReplySeedHeader[] = "X-Reply-Seed";
inline constexpr char kFramingHeader[] = "X-Framing";
inline constexpr char kMisbehaveHeader[] = "X-Misbehave";
/// The worker counts the runs for each value of this header.
inline constexpr char kRunKeyHeader[] = "X-Run-Key";

/// Creates a body in which every part identifies its request.
/// @param seed text that the body repeats, unique to the request.
/// @param bytes size of the body.
[[nodiscard]] std::string MakeBody(const std::string& seed, std::size_t bytes);

/// Responds to the current request of the connection as its headers demand.
/// @param id id of the request, which the response repeats.
void SendResponse(RawConnection& connection, const std::string& id);

}  // namespace mangospread::standin
