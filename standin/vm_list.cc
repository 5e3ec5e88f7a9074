// VM list stand-in: a test replaces the list with PUT /standin/vms.
#include <string>

#include "host.hpp"

namespace mangospread::standin {

int RunVmList(const Options& options) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  base::EventLoop loop;
  std::string vms = R"({"vms":[]})";
  return RunHost(loop, options, [&vms](const Exchange& exchange) {
    const net::Request& request = exchange->request();
    if (request.target == "/standin/vms") {
      vms = request.body.str();
      return ReplyText(*exchange, kOk, "{}");
    }
    if (request.target == "/v1/vms") return ReplyText(*exchange, kOk, vms);
    ReplyText(*exchange, kNotFound, "{}");
  });
}

}  // namespace mangospread::standin
