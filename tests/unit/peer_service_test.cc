#include "rpc/peer_service.hpp"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>

#include "base/clock.hpp"

namespace mangospread::rpc {
namespace {

constexpr std::size_t kBody = 8 << 20;

/// Listens without ever reading: connections open and stay silent.
class SilentListener {
 public:
  SilentListener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(fd_, raw, size) == 0);
    REQUIRE(listen(fd_, 8) == 0);
    REQUIRE(getsockname(fd_, raw, &size) == 0);
    address_ = {"127.0.0.1", ntohs(address.sin_port)};
  }
  ~SilentListener() { close(fd_); }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;
  [[nodiscard]] const Address& address() const { return address_; }

 private:
  int fd_;
  Address address_;
};

void RunUntil(base::EventLoop& loop, const std::function<bool()>& done) {
  const MonotonicTime until = base::MonotonicNow() + std::chrono::seconds(20);
  const auto timer = loop.Every(Milliseconds(2), 0, [&] {
    if (done() || base::MonotonicNow() > until) loop.Stop();
  });
  loop.Run();
}

ForwardRequest MakeForward(std::size_t body) {
  ForwardRequest request;
  request.service = ServiceName("s");
  request.request.body = std::string(body, 'x');
  request.timeout = Milliseconds(60'000);
  return request;
}

// Guards against forwarded requests that wait for their whole deadline on a
// data connection that went silent.
TEST_CASE("silent data connection ends its calls before their deadline") {
  base::EventLoop loop;
  const SilentListener peer;
  PeerService service(loop);
  std::optional<Result<ForwardReply>> reply;
  service.Forward(peer.address(), MakeForward(1'000),
                  [&](Result<ForwardReply> r) { reply = std::move(r); });
  RunUntil(loop, [&] { return reply.has_value(); });
  REQUIRE(reply.has_value());
  REQUIRE_FALSE(reply->ok());
  CHECK(reply->error().code == Errc::kConnectionLost);
}

// Guards against a reply that is cut off because the process ends after its
// last request was answered, and against heartbeats that wait for bodies.
TEST_CASE("flush waits for a large reply; heartbeats pass it") {
  base::EventLoop loop;
  PeerService client(loop);
  auto server = std::make_unique<PeerService>(loop);
  std::function<void(ForwardReply)> answer;
  PeerHandlers handlers;
  handlers.heartbeat = [](const NodeView& view) { return view; };
  handlers.forward = [&](ForwardRequest request, auto done) {
    CHECK(request.request.body.size() == kBody);
    answer = std::move(done);
  };
  const auto bound = server->Listen({"127.0.0.1", 0}, std::move(handlers));
  REQUIRE(bound.ok());
  std::optional<Result<ForwardReply>> reply;
  client.Forward(bound.value(), MakeForward(kBody),
                 [&](Result<ForwardReply> r) { reply = std::move(r); });
  RunUntil(loop, [&] { return answer != nullptr; });
  bool alive = false;
  client.Heartbeat(bound.value(), NodeView{}, Milliseconds(5'000),
                   [&](const Result<NodeView>& view) { alive = view.ok(); });
  RunUntil(loop, [&] { return alive; });
  CHECK(alive);
  ForwardReply made;
  made.outcome = Outcome::kAnswered;
  made.response.status = 200;
  made.response.body = std::string(kBody, 'y');
  answer(std::move(made));
  bool flushed = false;
  server->Flush(Milliseconds(15'000), [&] { flushed = true; });
  RunUntil(loop, [&] { return flushed; });
  server.reset();
  RunUntil(loop, [&] { return reply.has_value(); });
  REQUIRE(reply.has_value());
  REQUIRE(reply->ok());
  CHECK(reply->value().response.body.size() == kBody);
}

}  // namespace
}  // namespace mangospread::rpc
