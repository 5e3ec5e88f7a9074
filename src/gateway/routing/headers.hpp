/// @file
/// Filters the header fields passed between callers and endpoints.
#pragma once

#include "net/http_message.hpp"

namespace mangospread::gateway {

/// Removes the fields of a caller's request that must not reach the endpoint:
/// hop-by-hop fields, those listed in `Connection`, `Expect` (handled by this
/// server) and every Mangospread-* field. A caller that could send fencing
/// fields could run work that bypasses the owner's fencing token.
void FilterRequest(net::Headers& headers);

/// Removes the fields of an endpoint's response that must not reach the caller.
/// Mangospread-* fields report the outcome and are set by the system only,
/// except for the request id, which is passed on.
/// @param keep_length true for a response whose Content-Length describes a body
///   that is not sent (HEAD, 304).
void FilterResponse(net::Headers& headers, bool keep_length);

}  // namespace mangospread::gateway
