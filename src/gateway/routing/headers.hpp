/// @file
/// Which header fields pass between callers and endpoints.
#pragma once

#include "net/http_message.hpp"

namespace mangospread::gateway {

/// Fields of a caller's request for the endpoint: without connection-level
/// fields, those that `Connection` lists, `Expect` (answered here) and every
/// Mangospread-* field. A caller that could send fencing fields could run work
/// past the owner's fence.
[[nodiscard]] net::Headers RequestHeaders(const net::Headers& received);

/// Fields of an endpoint's response for the caller. Mangospread-* fields say
/// what the system did and are set by it alone; the request id is passed on.
/// @param keep_length for a response whose length describes a body that is not
///   sent (HEAD, 304).
[[nodiscard]] net::Headers ResponseHeaders(const net::Headers& received,
                                           bool keep_length);

}  // namespace mangospread::gateway
