// The proxy process; its control address accepts faults as JSON.
#include <cstdio>
#include <nlohmann/json.hpp>

#include "host.hpp"
#include "proxy/proxy.hpp"

namespace mangospread::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

std::string EncodeState(const Proxy& proxy) {
  const ProxyCounters& counters = proxy.counters();
  return json{{"accepted", counters.accepted},
              {"open", proxy.open_links()},
              {"bytes_up", counters.bytes_up},
              {"bytes_down", counters.bytes_down},
              {"dropped_bytes", counters.dropped_bytes},
              {"cut", counters.cut},
              {"silenced", counters.silenced},
              {"lost_replies", counters.lost_replies}}
      .dump();
}

void HandleControl(Proxy& proxy, net::HttpExchange& exchange) {
  const net::Request& request = exchange.request();
  if (request.target == "/standin/record") {
    return ReplyJson(exchange, kOk, EncodeState(proxy));
  }
  Log(request.target + " " + request.body.str() + " at " + EncodeState(proxy));
  if (request.target == "/standin/cut") {
    proxy.CloseAll();
  } else if (request.target == "/standin/silence") {
    proxy.StopForwardingAll();
  } else if (request.target == "/standin/target") {
    const auto target = ParseAddress(request.body);
    if (!target.ok()) return ReplyJson(exchange, kBadRequest, "{}");
    proxy.SetTarget(target.value());
  } else if (request.target == "/standin/faults") {
    Faults faults;
    if (!ParseFaults(request.body, faults)) {
      return ReplyJson(exchange, kBadRequest, "{}");
    }
    proxy.SetFaults(faults);
  } else {
    return ReplyJson(exchange, kBadRequest, "{}");
  }
  ReplyJson(exchange, kOk, "{}");
}

}  // namespace

int RunProxy(const Options& options) {
  base::EventLoop loop;
  Proxy proxy(loop);
  const auto listen = ParseAddress(options.Text("listen", "127.0.0.1:0"));
  const auto target = ParseAddress(options.Text("target", "127.0.0.1:1"));
  const auto control = ParseAddress(options.Text("control", "127.0.0.1:0"));
  if (!listen.ok() || !target.ok() || !control.ok()) return 2;
  proxy.SetTarget(target.value());
  net::HttpServer server(loop, {}, [&proxy](const Exchange& exchange) {
    HandleControl(proxy, *exchange);
  });
  const auto bound = proxy.Listen(listen.value());
  const auto control_bound = server.Listen(control.value());
  if (!bound.ok() || !control_bound.ok()) return 1;
  AnnounceAddresses("proxy=" + ToString(bound.value()) +
                    " control=" + ToString(control_bound.value()));
  RunUntilTerminated(loop);
  return 0;
}

}  // namespace mangospread::standin
