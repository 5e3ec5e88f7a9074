#include "host.hpp"

#include <event2/event.h>

#include <csignal>
#include <cstdio>
#include <utility>

namespace mangospread::standin {

int RunHost(base::EventLoop& loop, const Options& options,
            std::function<void(Exchange)> handler) {
  net::HttpServer server(loop, {}, std::move(handler));
  const auto address = ParseAddress(options.Text("listen", "127.0.0.1:0"));
  if (!address.ok()) return 2;
  const auto bound = server.Listen(address.value());
  if (!bound.ok()) return 1;
  std::printf("listening http=%s\n", ToString(bound.value()).c_str());
  std::fflush(stdout);
  RunUntilTerminated(loop);
  return 0;
}

void RunUntilTerminated(base::EventLoop& loop) {
  std::signal(SIGPIPE, SIG_IGN);
  event* term = evsignal_new(
      loop.raw(), SIGTERM,
      [](evutil_socket_t, short, void* arg) {  // NOLINT
        static_cast<base::EventLoop*>(arg)->Stop();
      },
      &loop);
  event_add(term, nullptr);
  loop.Run();
  event_free(term);
}

void ReplyText(net::HttpExchange& exchange, int status,
               const std::string& body) {
  net::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = body;
  exchange.Reply(response);
}

}  // namespace mangospread::standin
