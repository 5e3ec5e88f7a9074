// Stand-in for the VM list; a test replaces the list with PUT /standin/vms.
#include <string>

#include "host.hpp"

namespace mangospread::standin {

int RunVmList(const Options& options) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  base::EventLoop loop;
  std::string vms = R"({"vms":[]})";
  return RunHttpStandin(loop, options, [&vms](const Exchange& exchange) {
    const net::Request& request = exchange->request();
    if (request.target == "/standin/vms") {
      vms = request.body.str();
      return ReplyJson(*exchange, kOk, "{}");
    }
    if (request.target == "/v1/vms") return ReplyJson(*exchange, kOk, vms);
    ReplyJson(*exchange, kNotFound, "{}");
  });
}

}  // namespace mangospread::standin
