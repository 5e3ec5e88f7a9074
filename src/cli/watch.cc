#include "cli/watch.hpp"

#include <event2/buffer.h>
#include <event2/http.h>

#include <cstdio>
#include <string>

#include "base/loop/event_loop.hpp"

namespace mangospread::cli {
namespace {

constexpr MonotonicTime kIdleTimeout = std::chrono::seconds(5);
constexpr int kOk = 200;

class WatchStream {
 public:
  WatchStream(base::EventLoop& loop, const Server& server, Revision since)
      : loop_(loop),
        connection_(evhttp_connection_base_new(loop.raw(), nullptr,
                                               server.address.ip.c_str(),
                                               server.address.port)) {
    evhttp_request* request = evhttp_request_new(OnDone, this);
    evhttp_request_set_chunked_cb(request, OnChunk);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                      ToString(server.address).c_str());
    if (const auto value = AuthorizationHeader(server); !value.empty()) {
      evhttp_add_header(evhttp_request_get_output_headers(request),
                        "Authorization", value.c_str());
    }
    const std::string target =
        "/v1/watch?since=" + std::to_string(since.value());
    evhttp_make_request(connection_, request, EVHTTP_REQ_GET, target.c_str());
    RestartIdleTimer();
  }

  ~WatchStream() { evhttp_connection_free(connection_); }
  WatchStream(const WatchStream&) = delete;
  WatchStream& operator=(const WatchStream&) = delete;

  [[nodiscard]] bool closed_by_server() const noexcept {
    return closed_by_server_;
  }

 private:
  static void OnChunk(evhttp_request* request, void* arg) {
    auto* self = static_cast<WatchStream*>(arg);
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string data(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, data.data(), data.size());
    self->PrintLines(data);
    self->RestartIdleTimer();
  }

  static void OnDone(evhttp_request* request, void* arg) {
    auto* self = static_cast<WatchStream*>(arg);
    self->closed_by_server_ =
        request != nullptr && evhttp_request_get_response_code(request) == kOk;
    self->loop_.Stop();
  }

  /// Prints complete lines except heartbeats, which only show that the
  /// connection is alive.
  void PrintLines(const std::string& data) {
    partial_line_ += data;
    for (auto end = partial_line_.find('\n'); end != std::string::npos;
         end = partial_line_.find('\n')) {
      const std::string line = partial_line_.substr(0, end + 1);
      partial_line_.erase(0, end + 1);
      if (line.find(R"("type":"heartbeat")") == std::string::npos) {
        std::fputs(line.c_str(), stdout);
      }
    }
    std::fflush(stdout);
  }

  void RestartIdleTimer() {
    idle_timer_ = loop_.After(kIdleTimeout, [this] { loop_.Stop(); });
  }

  base::EventLoop& loop_;
  evhttp_connection* connection_;
  base::Timer idle_timer_;
  std::string partial_line_;
  bool closed_by_server_ = false;
};

}  // namespace

bool Watch(const Server& server, Revision since) {
  base::EventLoop loop;
  const WatchStream stream(loop, server, since);
  loop.Run();
  if (!stream.closed_by_server()) {
    std::fputs("error: connection lost or silent\n", stderr);
  }
  return stream.closed_by_server();
}

}  // namespace mangospread::cli
