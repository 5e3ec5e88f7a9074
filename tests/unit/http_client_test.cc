#include "net/http_client.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>

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
      request.headers.Add(options.echo_header, "mine");
    }
    pool->Send(request, options,
               [&](CallResult r) { result.emplace(std::move(r)); });
    test::RunUntil(loop, [&] { return result.has_value(); });
    return std::move(*result);
  }
  Errc CallError(const std::string& reply, bool close,
                 CallOptions options = {}) {
    test::RawServer server(loop, reply, close);
    pool.reset();
    const CallResult result = Call(server, Method::kGet, std::move(options));
    CHECK(pool->open_connections() == 0);
    return result.response.ok() ? Errc::kOk : result.response.error().code;
  }

  base::EventLoop loop;
  std::shared_ptr<HttpClientPool> pool;
};

// Guards against part of a response, or another request's response, passed on
// as the complete answer.
TEST_CASE_FIXTURE(Fixture, "response that cannot be verified is an error") {
  // The code depends on whether the close is read together with the body.
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
                  false, options) == Errc::kAnswerMismatch);
}

// Guards against a wait for a body that responses of these kinds never have.
TEST_CASE_FIXTURE(Fixture, "HEAD, 204, 304 and 100 end without a body") {
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
  for (const char* reply :
       {"HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
    test::RawServer server(loop, reply, false);
    pool.reset();
    const auto result = Call(server);
    REQUIRE(result.response.ok());
    CHECK(result.response.value().body.empty());
    CHECK(pool->open_connections() == 1);
  }
}

// Guards against a send under a lease that ran out while the process was
// paused between the routing decision and the end of the connect.
TEST_CASE_FIXTURE(Fixture, "nothing is sent when the right to send is gone") {
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

}  // namespace
}  // namespace mangospread::net
