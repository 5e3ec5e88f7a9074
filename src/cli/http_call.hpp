/// @file
/// One blocking HTTP request, for commands.
#pragma once

#include <string>

#include "mangospread/address.hpp"
#include "mangospread/error.hpp"
#include "mangospread/units.hpp"
#include "net/http_message.hpp"

namespace mangospread::cli {

/// The node that commands talk to.
struct Server {
  Address address;
  std::string token;  ///< Empty: no Authorization header.
};

/// Value of the Authorization header, empty without a token.
[[nodiscard]] std::string Authorization(const Server& server);

/// Sends a request and waits for the response.
/// @errors those of net::HttpClientPool::Send.
[[nodiscard]] Result<net::Response> Call(const Server& server,
                                         const net::Request& request,
                                         Milliseconds timeout);

}  // namespace mangospread::cli
