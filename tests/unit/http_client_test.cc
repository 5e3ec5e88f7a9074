#include "net/http_client.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/http_server.hpp"
#include "unit/raw_server.hpp"
#include "unit/run_until.hpp"

namespace mangospread::net {
namespace {

struct Fixture {
  CallResult Call(test::RawServer& server, Method method = Method::kGet,
                  CallOptions options = {}) {
    if (pool == nullptr) {
      pool = HttpClientPool::Create(loop, server.address(), {});
    }
    options.timeout = Milliseconds(60'000);
    std::optional<CallResult> result;
    Request request;
    request.method = method;
    request.target = "/a%20b?c=%2F";
    if (!options.echo_header.empty()) {
      request.headers.Add(std::string(options.echo_header), "mine");
    }
    pool->Send(request, options,
               [&](CallResult r) { result.emplace(std::move(r)); });
    test::RunUntil(loop, [&] { return result.has_value(); });
    return std::move(*result);
  }
  Errc CallError(const std::string& response_bytes, bool close_after_response,
                 CallOptions options = {}) {
    test::RawServer server(loop, response_bytes, close_after_response);
    pool.reset();
    const CallResult result = Call(server, Method::kGet, std::move(options));
    CHECK(pool->open_connections() == 0);
    return result.response.ok() ? Errc::kOk : result.response.error().code;
  }

  base::EventLoop loop;
  std::shared_ptr<HttpClientPool> pool;
};

// Guards against a part of a response, or the response to another request, that
// is returned as the complete response.
TEST_CASE_FIXTURE(Fixture, "a response that cannot be verified is an error") {
  // The error code depends on whether the close is read together with the body.
  CHECK(CallError("HTTP/1.1 200 OK\r\n\r\npart", true) != Errc::kOk);
  CHECK(CallError("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", true) ==
        Errc::kConnectionLost);
  CHECK(CallError("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "9\r\npart",
                  true) == Errc::kConnectionLost);
  CHECK(CallError("HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                  false) == Errc::kBodyUnverifiable);
  CallOptions options;
  options.echo_header = "X-Id";
  CHECK(CallError("HTTP/1.1 200 OK\r\nX-Id: other\r\n"
                  "Content-Length: 0\r\n\r\n",
                  false, options) == Errc::kResponseMismatch);
}

// Guards against waiting for a body that responses of these kinds never have.
TEST_CASE_FIXTURE(
    Fixture,
    "responses to HEAD and with status 100, 204 and 304 have no body") {
  test::RawServer head(loop, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n",
                       false);
  for (int i = 0; i < 2; ++i) {
    const auto result = Call(head, Method::kHead);
    REQUIRE(result.response.ok());
    CHECK(result.response.value().body.empty());
    CHECK(result.response.value().headers.Get("content-length") == "500");
  }
  CHECK(head.accepted() == 1);
  CHECK(head.received.starts_with("HEAD /a%20b?c=%2F HTTP/1.1\r\n"));
  for (const char* response_bytes :
       {"HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
    test::RawServer server(loop, response_bytes, false);
    pool.reset();
    const auto result = Call(server);
    REQUIRE(result.response.ok());
    CHECK(result.response.value().body.empty());
    CHECK(pool->open_connections() == 1);
  }
}

// Guards against a send under a lease that expired while the process was paused
// between the routing decision and the end of the connect.
TEST_CASE_FIXTURE(Fixture, "nothing is sent when may_send returns false") {
  test::RawServer server(loop, "HTTP/1.1 204 No Content\r\n\r\n", false);
  bool allowed = false;
  CallOptions options;
  options.may_send = [&] { return allowed; };
  const CallResult refused = Call(server, Method::kPost, options);
  REQUIRE_FALSE(refused.response.ok());
  CHECK(refused.sent == SendState::kNotSent);
  CHECK(server.accepted() == 1);
  allowed = true;
  REQUIRE(Call(server, Method::kHead, options).response.ok());
  CHECK(server.received.starts_with("HEAD"));
  allowed = false;
  CHECK(Call(server, Method::kPost, options).sent == SendState::kNotSent);
  CHECK(server.received.find("POST") == std::string::npos);
}

// Guards against a connection that uses its pool after the pool was destroyed;
// the address sanitizer reports the access.
TEST_CASE_FIXTURE(Fixture, "a pool may be destroyed during a call") {
  test::RawServer server(loop, "HTTP/1.1 204 No Content\r\n\r\n", false);
  REQUIRE(Call(server).response.ok());
  // The connection posts its failure after may_send has returned false, so the
  // pool is destroyed before that failure is handled.
  CallOptions options;
  options.may_send = [this] {
    loop.Post([this] { pool.reset(); });
    return false;
  };
  bool called = false;
  pool->Send(Request{Method::kPost, "/", {}, ""}, options,
             [&](const CallResult&) { called = true; });
  bool drained = false;
  loop.Post([&] { drained = true; });
  test::RunUntil(loop, [&] { return drained; });
  CHECK(pool == nullptr);
  CHECK_FALSE(called);
}

/// Posts a function to the loop on its destruction, as a closing connection
/// does.
class PostsOnDestruction {
 public:
  PostsOnDestruction(base::EventLoop& loop, std::shared_ptr<base::Timer> timer)
      : loop_(loop), timer_(std::move(timer)) {}
  ~PostsOnDestruction() {
    loop_.Post([timer = std::move(timer_)] {});
  }
  PostsOnDestruction(const PostsOnDestruction&) = delete;
  PostsOnDestruction& operator=(const PostsOnDestruction&) = delete;

 private:
  base::EventLoop& loop_;
  std::shared_ptr<base::Timer> timer_;
};

// Guards against connections and timers that are freed after their loop, or
// never, because a posted function that was not run owns them.
TEST_CASE("a loop destroys posted functions before its events") {
  auto loop = std::make_unique<base::EventLoop>();
  auto timer =
      std::make_shared<base::Timer>(loop->After(std::chrono::hours(1), [] {}));
  const std::weak_ptr<base::Timer> weak_timer = timer;
  {
    auto poster = std::make_shared<PostsOnDestruction>(*loop, std::move(timer));
    loop->Post([poster = std::move(poster)] {});
  }
  {
    test::RawServer server(*loop, "HTTP/1.1 204 No Content\r\n\r\n", false);
    const auto pool = HttpClientPool::Create(*loop, server.address(), {});
    pool->Send(Request{Method::kGet, "/", {}, ""}, {}, [](const auto&) {});
  }
  CHECK_FALSE(weak_timer.expired());
  loop.reset();
  CHECK(weak_timer.expired());
}

// Guards against a response on a request that was freed with its server, as
// when a process ends while requests are in progress; the address sanitizer
// reports the access.
TEST_CASE_FIXTURE(Fixture,
                  "a response after the destruction of the server is dropped") {
  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  auto server = std::make_unique<HttpServer>(
      loop, HttpServerLimits{}, [&](std::shared_ptr<HttpExchange> exchange) {
        exchanges.push_back(std::move(exchange));
      });
  const auto bound = server->Listen({"127.0.0.1", 0});
  REQUIRE(bound.ok());
  pool = HttpClientPool::Create(loop, bound.value(), {});
  CallOptions options;
  options.timeout = Milliseconds(60'000);
  for (int i = 0; i < 3; ++i) {
    pool->Send(Request{Method::kGet, "/", {}, ""}, options,
               [](const CallResult&) {});
  }
  test::RunUntil(loop, [&] { return exchanges.size() == 3; });
  exchanges[1]->StartStream({200, {}, ""});
  CHECK(exchanges[1]->connected());
  server.reset();
  CHECK_FALSE(exchanges[1]->connected());
  exchanges[0]->Reply({200, {}, ""});
  exchanges[1]->SendChunk("x");
  exchanges.clear();
}

}  // namespace
}  // namespace mangospread::net
