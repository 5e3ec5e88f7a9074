#include "net/http_server.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "unit/run_until.hpp"

namespace mangospread::net {
namespace {

/// A client that sends one request and reads only when the test calls Read.
class SlowClient {
 public:
  explicit SlowClient(const Address& address)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &peer.sin_addr);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) ==
            0);
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    REQUIRE(write(fd_, request.data(), request.size()) ==
            static_cast<ssize_t>(request.size()));
  }
  ~SlowClient() { Close(); }
  SlowClient(const SlowClient&) = delete;
  SlowClient& operator=(const SlowClient&) = delete;

  /// Appends the received bytes; returns false after the server has closed the
  /// connection.
  bool Read(std::string& received) const {
    char buffer[65'536];  // NOLINT
    const ssize_t n = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (n > 0) received.append(buffer, static_cast<std::size_t>(n));
    return n != 0;
  }
  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }

 private:
  int fd_;
};

struct Fixture {
  Fixture() {
    const auto bound = server.Listen({"127.0.0.1", 0});
    REQUIRE(bound.ok());
    address = bound.value();
  }
  void WaitForRequest() {
    test::RunUntil(loop, [this] { return exchange != nullptr; });
  }

  base::EventLoop loop;
  std::shared_ptr<HttpExchange> exchange;
  HttpServer server{loop, {}, [this](std::shared_ptr<HttpExchange> incoming) {
                      exchange = std::move(incoming);
                    }};
  Address address;
};

/// A response larger than the buffers of the sockets.
Response LargeResponse() {
  return {200, {}, std::string(std::size_t{32} << 20U, 'x')};
}

// Guards against a graceful stop that ends the process while the response to a
// slow client is still being written.
TEST_CASE("a response counts as unwritten until its client has received it") {
  Fixture fixture;
  const SlowClient client(fixture.address);
  fixture.WaitForRequest();
  fixture.exchange->Reply(LargeResponse());
  for (int i = 0; i < 100; ++i) {
    event_base_loop(fixture.loop.raw(), EVLOOP_NONBLOCK);
  }
  CHECK(fixture.server.unwritten_responses() == 1);
  std::string received;
  test::RunUntil(fixture.loop, [&] {
    client.Read(received);
    return fixture.server.unwritten_responses() == 0;
  });
}

// Guards against a stop that waits for a disconnected client.
TEST_CASE("a response to a disconnected client is not waited for") {
  Fixture fixture;
  SlowClient client(fixture.address);
  fixture.WaitForRequest();
  fixture.exchange->Reply(LargeResponse());
  event_base_loop(fixture.loop.raw(), EVLOOP_NONBLOCK);
  CHECK(fixture.server.unwritten_responses() == 1);
  client.Close();
  test::RunUntil(fixture.loop,
                 [&] { return fixture.server.unwritten_responses() == 0; });
}

// Guards against a request on a persistent connection that reaches a process
// which is about to end: the response to a request that was received before the
// stop must close the connection as well.
TEST_CASE("a stop closes the connections of requests in progress") {
  Fixture fixture;
  const SlowClient client(fixture.address);
  fixture.WaitForRequest();
  fixture.server.CloseConnections();
  fixture.exchange->Reply({200, {}, "y"});
  std::string received;
  test::RunUntil(fixture.loop, [&] { return !client.Read(received); });
  CHECK(received.find("Connection: close") != std::string::npos);
}

}  // namespace
}  // namespace mangospread::net
