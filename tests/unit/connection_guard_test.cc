// Limits of a server's clients together.
#include "net/connection_guard.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "net/http_server.hpp"
#include "unit/run_until.hpp"

namespace mangospread::net {
namespace {

/// A connection that sends what the test says and sees when it is closed.
class Client {
 public:
  explicit Client(const Address& address)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &peer.sin_addr);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) ==
            0);
  }
  ~Client() { close(fd_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(const std::string& bytes) const {
    REQUIRE(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }
  /// Reads what has arrived.
  void Read() {
    char buffer[4'096];  // NOLINT
    ssize_t n = 0;
    while ((n = recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
      received.append(buffer, static_cast<std::size_t>(n));
    }
    closed = closed || n == 0 || errno == ECONNRESET;
  }

  std::string received;
  bool closed = false;

 private:
  int fd_;
};

struct GuardFixture {
  explicit GuardFixture(ClientLimits limits) {
    HttpServerLimits server_limits;
    server_limits.clients = limits;
    server = std::make_unique<HttpServer>(
        loop, server_limits, [this](std::shared_ptr<HttpExchange> exchange) {
          exchanges.push_back(std::move(exchange));
        });
    const auto bound = server->Listen({"127.0.0.1", 0});
    REQUIRE(bound.ok());
    address = bound.value();
  }
  /// Runs until the client's connection is closed.
  void AwaitClosed(Client& client) {
    test::RunUntil(loop, [&] {
      client.Read();
      return client.closed;
    });
  }
  void AwaitRequests(std::size_t count) {
    test::RunUntil(loop, [&] { return exchanges.size() >= count; });
  }

  base::EventLoop loop;
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  std::unique_ptr<HttpServer> server;
  Address address;
};

std::string Post(std::size_t length, const std::string& body) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n" + body;
}

constexpr const char* kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

// Guards against a server that misses the rest of a body.
TEST_CASE("a body that arrives in several reads is complete") {
  GuardFixture fixture({});
  const Client client(fixture.address);
  client.Send(Post(6, "abc"));
  test::RunFor(fixture.loop, std::chrono::milliseconds(20));
  client.Send("def");
  fixture.AwaitRequests(1);
  CHECK(fixture.exchanges.front()->request().body == "abcdef");
  CHECK(fixture.server->held_bytes() > 0);
}

TEST_CASE("the connection with the least progress makes room for a new one") {
  ClientLimits limits;
  limits.max_connections = 2;
  GuardFixture fixture(limits);
  const Client handled(fixture.address);
  handled.Send(kGet);
  fixture.AwaitRequests(1);
  Client silent(fixture.address);
  test::RunFor(fixture.loop, std::chrono::milliseconds(20));
  const Client third(fixture.address);
  third.Send(kGet);
  fixture.AwaitRequests(2);
  fixture.AwaitClosed(silent);
  // The request that was handled before still has its connection.
  CHECK(fixture.exchanges.front()->connected());
  CHECK(fixture.server->refusals()[static_cast<std::size_t>(
            ClientRefusal::kConnections)] == 1);
}

TEST_CASE("the oldest unfinished body is given up when the budget is spent") {
  ClientLimits limits;
  limits.max_held_bytes = 100'000;
  GuardFixture fixture(limits);
  Client first(fixture.address);
  first.Send(Post(70'000, std::string(60'000, 'x')));
  test::RunFor(fixture.loop, std::chrono::milliseconds(20));
  Client second(fixture.address);
  second.Send(Post(30'000, std::string(25'000, 'x')));
  test::RunFor(fixture.loop, std::chrono::milliseconds(20));
  Client third(fixture.address);
  third.Send(Post(30'000, std::string(25'000, 'x')));
  fixture.AwaitClosed(first);
  second.Read();
  CHECK_FALSE(second.closed);
  CHECK(fixture.server->held_bytes() < 100'000);
}

// Guards against a refusal that says "not run" of a request that was passed on.
TEST_CASE("a request over the budget is refused before it is passed on") {
  ClientLimits limits;
  limits.max_held_bytes = 100'000;
  GuardFixture fixture(limits);
  const Client first(fixture.address);
  first.Send(Post(25'000, std::string(25'000, 'x')));
  fixture.AwaitRequests(1);
  Client second(fixture.address);
  second.Send(Post(10'000, std::string(10'000, 'x')));
  fixture.AwaitClosed(second);
  CHECK(second.received.starts_with("HTTP/1.1 503"));
  CHECK(second.received.find("Retry-After: 1") != std::string::npos);
  CHECK(fixture.exchanges.size() == 1);
  CHECK(fixture.exchanges.front()->connected());
}

// Guards against requests sent ahead that take the budget, so that other
// clients are closed for one that sends without end.
TEST_CASE("requests sent ahead are read up to a limit") {
  ClientLimits limits;
  limits.max_held_bytes = 400'000;
  limits.max_ahead_bytes = 20'000;
  GuardFixture fixture(limits);
  const Client pipelining(fixture.address);
  std::string requests;
  while (requests.size() < 150'000) requests += kGet;
  pipelining.Send(requests);
  fixture.AwaitRequests(1);
  Client other(fixture.address);
  other.Send(Post(10, "x"));
  test::RunFor(fixture.loop, std::chrono::milliseconds(50));
  other.Read();
  CHECK_FALSE(other.closed);
  // A request in progress counts three times.
  CHECK(fixture.server->held_bytes() < 3 * 60'000);
  for (int i = 0; i < 20; ++i) {
    fixture.AwaitRequests(1);
    const auto exchange = std::move(fixture.exchanges.front());
    fixture.exchanges.clear();
    exchange->Reply({200, {}, {}});
  }
  CHECK(fixture.server->held_bytes() < 3 * 60'000);
}

TEST_CASE("a head and a body have a time as a whole") {
  ClientLimits limits;
  limits.head_timeout = std::chrono::milliseconds(300);
  limits.body_timeout = std::chrono::milliseconds(300);
  GuardFixture fixture(limits);
  Client head(fixture.address);
  head.Send("GET /x HTT");
  Client body(fixture.address);
  body.Send(Post(10, "x"));
  Client idle(fixture.address);
  fixture.AwaitClosed(head);
  fixture.AwaitClosed(body);
  idle.Read();
  CHECK_FALSE(idle.closed);
}

}  // namespace
}  // namespace mangospread::net
