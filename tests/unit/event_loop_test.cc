// Exceptions that leave a callback of the event loop.
#include "base/loop/event_loop.hpp"

#include <doctest/doctest.h>
#include <event2/event.h>

#include <new>
#include <stdexcept>

#include "dispatch/peer/channel.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "unit/run_until.hpp"

namespace mangospread::base {
namespace {

using dispatch::Channel;
using dispatch::ChannelListener;
using test::RunUntil;

[[noreturn]] void Throw() { throw std::out_of_range("unexpected"); }

// Guards against an unexpected error in one timer or posted function that ends
// the process, or that drops the functions posted with it.
TEST_CASE("the loop survives exceptions of timers and posted functions") {
  EventLoop loop;
  int runs = 0;
  loop.Post([&] { Throw(); });
  loop.Post([&] { ++runs; });
  const Timer once = loop.After(MonotonicTime(0), [&] { Throw(); });
  const Timer periodic = loop.Every(Milliseconds(1), 0, [&] {
    ++runs;
    throw std::bad_alloc();
  });
  CHECK_NOTHROW(RunUntil(loop, [&] { return runs >= 4; }));
  CHECK(runs >= 4);
}

// Guards against a request that ends the process: the handler's error is the
// response to this request only.
TEST_CASE("a request whose handler throws gets status 500") {
  EventLoop loop;
  net::HttpServer server(loop, {},
                         [](const std::shared_ptr<net::HttpExchange>& request) {
                           if (request->request().target == "/bad") Throw();
                           request->Reply({200, {}, {}});
                         });
  const auto bound = server.Listen({"127.0.0.1", 0});
  REQUIRE(bound.ok());
  const auto pool = net::HttpClientPool::Create(loop, bound.value(), {});
  const auto get = [&](const char* target) {
    int status = 0;
    net::Request request;
    request.target = target;
    pool->Send(request, {}, [&](const net::CallResult& call) {
      status = call.response.ok() ? call.response.value().status : -1;
    });
    RunUntil(loop, [&] { return status != 0; });
    return status;
  };
  CHECK(get("/bad") == 500);
  CHECK(get("/good") == 200);
}

// Guards against a response that ends the process, and against a connection
// that is not used again after it.
TEST_CASE("the client survives a callback that throws") {
  EventLoop loop;
  net::HttpServer server(loop, {},
                         [](const std::shared_ptr<net::HttpExchange>& request) {
                           request->Reply({200, {}, std::string("{}")});
                         });
  const auto bound = server.Listen({"127.0.0.1", 0});
  REQUIRE(bound.ok());
  const auto pool = net::HttpClientPool::Create(loop, bound.value(), {});
  int responses = 0;
  for (int i = 0; i < 3; ++i) {
    bool done = false;
    net::Request request;
    request.target = "/x";
    pool->Send(request, {}, [&](const net::CallResult& call) {
      responses += call.response.ok() ? 1 : 0;
      done = true;
      Throw();
    });
    CHECK_NOTHROW(RunUntil(loop, [&] { return done; }));
  }
  CHECK(responses == 3);
  CHECK(pool->open_connections() == 1);
}

// Guards against a frame that ends the process, and against the loss of the
// frames that follow it.
TEST_CASE("a channel survives a frame whose handler throws") {
  EventLoop loop;
  int frames = 0;
  std::shared_ptr<Channel> accepted;
  ChannelListener listener(loop, {}, [&](std::shared_ptr<Channel> channel) {
    dispatch::ChannelHooks hooks;
    hooks.on_frame = [&](const dispatch::Frame& frame) {
      if (!std::holds_alternative<dispatch::Hello>(frame)) return;
      if (++frames == 1) Throw();
    };
    channel->SetHooks(std::move(hooks));
    accepted = std::move(channel);
  });
  const auto bound = listener.Listen({"127.0.0.1", 0});
  REQUIRE(bound.ok());
  const auto sender = Channel::Connect(loop, bound.value(), {}, {});
  sender->Send(dispatch::Hello());
  sender->Send(dispatch::Hello());
  CHECK_NOTHROW(RunUntil(loop, [&] { return frames == 2; }));
  CHECK(sender->open());
  sender->Close();
  if (accepted) accepted->Close();
  RunUntil(loop, [&] { return !sender->open(); });
}

// Guards against a listener whose handler ends the process.
TEST_CASE("a listener survives a handler that throws") {
  EventLoop loop;
  int accepted = 0;
  ChannelListener listener(loop, {}, [&](const std::shared_ptr<Channel>& peer) {
    peer->Close();
    if (++accepted == 1) Throw();
  });
  const auto bound = listener.Listen({"127.0.0.1", 0});
  REQUIRE(bound.ok());
  for (int i = 1; i <= 2; ++i) {
    const auto peer = Channel::Connect(loop, bound.value(), {}, {});
    CHECK_NOTHROW(RunUntil(loop, [&] { return accepted == i; }));
    peer->Close();
  }
}

// Guards against an address of an odd entry that throws, blocks the loop or is
// never reported as failed.
TEST_CASE("calls to unusable addresses fail without blocking") {
  EventLoop loop;
  for (const Address& address :
       {Address{"127.0.0.1", 0}, Address{"255.255.255.255", 80},
        Address{"224.0.0.1", 80}, Address{"0.0.0.0", 0}, Address{"", 80},
        Address{"not an address", 80}}) {
    CAPTURE(address.ip);
    const auto pool = net::HttpClientPool::Create(loop, address, {});
    bool failed = false;
    net::CallOptions options;
    options.timeout = Milliseconds(50);
    pool->Send({}, options, [&](const net::CallResult& call) {
      failed = !call.response.ok();
    });
    RunUntil(loop, [&] { return failed; });
    bool closed = false;
    dispatch::ChannelHooks hooks;
    hooks.on_closed = [&](Errc) { closed = true; };
    dispatch::ChannelTimeouts timeouts;
    timeouts.ping_period = Milliseconds(10);
    timeouts.receive_timeout = Milliseconds(50);
    const auto channel =
        Channel::Connect(loop, address, timeouts, std::move(hooks));
    RunUntil(loop, [&] { return closed; });
  }
}

}  // namespace
}  // namespace mangospread::base
