// The proxy process: its control address takes faults as JSON.
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string_view>

#include "base/json/json_reader.hpp"
#include "host.hpp"
#include "proxy/proxy.hpp"

namespace mangospread::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMaxDelayMs = 60'000;
constexpr int kMaxCount = 1'000'000;
constexpr std::int64_t kMaxBytes = 1'000'000'000;

/// Fields that are not given are off.
bool ReadFaults(std::string_view text, Faults& faults) {
  const auto parsed = base::ParseJson(text, "faults");
  if (!parsed.ok()) return false;
  base::ObjectReader reader(parsed.value(), "faults");
  reader.Integer("delay_ms", 0, kMaxDelayMs, faults.delay_ms);
  reader.Boolean("drop_up", faults.drop_up);
  reader.Boolean("drop_down", faults.drop_down);
  reader.Boolean("refuse", faults.refuse);
  reader.Integer("refuse_process", 0, INT32_MAX, faults.refuse_process);
  reader.Integer("cut_after_up", -1, kMaxBytes, faults.cut_after_up);
  reader.Integer("cut_after_down", -1, kMaxBytes, faults.cut_after_down);
  reader.Integer("lose_replies", 0, kMaxCount, faults.lose_replies);
  reader.Integer("cut_replies", 0, kMaxCount, faults.cut_replies);
  reader.Integer("cut_requests", 0, kMaxCount, faults.cut_requests);
  return !reader.Finish();
}

std::string Describe(const Proxy& proxy) {
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

void Control(Proxy& proxy, net::HttpExchange& exchange) {
  const net::Request& request = exchange.request();
  if (request.target == "/standin/record") {
    return ReplyText(exchange, kOk, Describe(proxy));
  }
  Log(request.target + " " + request.body.str() + " at " + Describe(proxy));
  if (request.target == "/standin/cut") {
    proxy.CutAll();
  } else if (request.target == "/standin/silence") {
    proxy.SilenceAll();
  } else if (request.target == "/standin/target") {
    const auto target = ParseAddress(request.body);
    if (!target.ok()) return ReplyText(exchange, kBadRequest, "{}");
    proxy.SetTarget(target.value());
  } else if (request.target == "/standin/faults") {
    Faults faults;
    if (!ReadFaults(request.body, faults)) {
      return ReplyText(exchange, kBadRequest, "{}");
    }
    proxy.SetFaults(faults);
  } else {
    return ReplyText(exchange, kBadRequest, "{}");
  }
  ReplyText(exchange, kOk, "{}");
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
    Control(proxy, *exchange);
  });
  const auto bound = proxy.Listen(listen.value());
  const auto control_bound = server.Listen(control.value());
  if (!bound.ok() || !control_bound.ok()) return 1;
  Announce("proxy=" + ToString(bound.value()) +
           " control=" + ToString(control_bound.value()));
  RunUntilTerminated(loop);
  return 0;
}

}  // namespace mangospread::standin
