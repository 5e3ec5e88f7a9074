#include "cli/http_call.hpp"

#include <optional>
#include <utility>

#include "base/loop/event_loop.hpp"
#include "net/http_client.hpp"

namespace mangospread::cli {

std::string AuthorizationHeader(const Server& server) {
  return server.token.empty() ? "" : "Bearer " + server.token;
}

Result<net::Response> SendRequest(const Server& server,
                                  const net::Request& request,
                                  Milliseconds timeout) {
  net::Headers extra_headers;
  if (auto value = AuthorizationHeader(server); !value.empty()) {
    extra_headers.Add("Authorization", std::move(value));
  }
  base::EventLoop loop;
  const auto pool = net::HttpClientPool::Create(loop, server.address, {});
  std::optional<Result<net::Response>> result;
  net::CallOptions options;
  options.timeout = timeout;
  pool->Send(request, extra_headers, options, [&](net::CallResult call) {
    result = std::move(call.response);
    loop.Stop();
  });
  loop.Run();
  if (!result) return Error{Errc::kUnknown, ToString(server.address)};
  return *result;
}

}  // namespace mangospread::cli
