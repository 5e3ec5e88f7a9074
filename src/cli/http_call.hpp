/// @file
/// Blocking HTTP requests of the commands.
#pragma once

#include <string>

#include "mangospread/address.hpp"
#include "mangospread/error.hpp"
#include "mangospread/units.hpp"
#include "net/http_message.hpp"

namespace mangospread::cli {

/// Node to which the commands send their requests.
struct Server {
  Address address;
  std::string token;  ///< Empty: no Authorization header.
};

/// Value of the Authorization header; empty without a token.
[[nodiscard]] std::string AuthorizationHeader(const Server& server);

/// Sends a request and waits for the response, for at most `timeout`.
/// @errors those of net::HttpClientPool::Send.
[[nodiscard]] Result<net::Response> SendRequest(const Server& server,
                                                const net::Request& request,
                                                Milliseconds timeout);

}  // namespace mangospread::cli
