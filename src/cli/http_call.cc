#include "cli/http_call.hpp"

#include <optional>
#include <utility>

#include "base/loop/event_loop.hpp"
#include "net/http_client.hpp"

namespace mangospread::cli {

std::string Authorization(const Server& server) {
  return server.token.empty() ? "" : "Bearer " + server.token;
}

Result<net::Response> Call(const Server& server, const net::Request& request,
                           Milliseconds timeout) {
  net::Headers further;
  if (auto value = Authorization(server); !value.empty()) {
    further.Add("Authorization", std::move(value));
  }
  base::EventLoop loop;
  const auto pool = net::HttpClientPool::Create(loop, server.address, {});
  std::optional<Result<net::Response>> result;
  net::CallOptions options;
  options.timeout = timeout;
  pool->Send(request, further, options, [&](net::CallResult call) {
    result = std::move(call.response);
    loop.Stop();
  });
  loop.Run();
  if (!result) return Error{Errc::kUnknown, ToString(server.address)};
  return *result;
}

}  // namespace mangospread::cli
