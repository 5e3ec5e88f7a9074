/// @file
/// One blocking HTTP request, for commands.
#pragma once

#include <string>

#include "mangospread/address.hpp"
#include "mangospread/error.hpp"
#include "mangospread/units.hpp"
#include "net/http_message.hpp"

namespace mangospread::cli {

/// Sends a request and waits for the response.
/// @errors those of net::HttpClientPool::Send.
[[nodiscard]] Result<net::Response> Call(const Address& server,
                                         const net::Request& request,
                                         Milliseconds timeout);

}  // namespace mangospread::cli
