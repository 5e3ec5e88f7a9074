#include "cli/http_call.hpp"

#include <optional>

#include "base/event_loop.hpp"
#include "net/http_client.hpp"

namespace mangospread::cli {

Result<net::Response> Call(const Address& server, const net::Request& request,
                           Milliseconds timeout) {
  base::EventLoop loop;
  const auto pool = net::HttpClientPool::Create(loop, server, {});
  std::optional<Result<net::Response>> result;
  net::CallOptions options;
  options.timeout = timeout;
  pool->Send(request, options, [&](net::CallResult call) {
    result = std::move(call.response);
    loop.Stop();
  });
  loop.Run();
  if (!result) return Error{Errc::kUnknown, ToString(server)};
  return *result;
}

}  // namespace mangospread::cli
