/// @file
/// A TCP server that sends fixed bytes, for responses that no HTTP library
/// would produce.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "mangospread/address.hpp"

namespace mangospread::test {

class RawServer {
 public:
  /// @param reply sent once for each request (up to the first blank line).
  /// @param close whether the connection is closed after the reply.
  RawServer(base::EventLoop& loop, std::string reply, bool close)
      : loop_(loop), reply_(std::move(reply)), close_(close) {
    std::signal(SIGPIPE, SIG_IGN);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(
        loop.raw(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
          static_cast<RawServer*>(arg)->Accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&address),
        sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~RawServer() {
    for (auto* connection : connections_) bufferevent_free(connection);
    evconnlistener_free(listener_);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  [[nodiscard]] Address address() const { return {"127.0.0.1", port_}; }
  [[nodiscard]] std::size_t accepted() const { return connections_.size(); }
  /// Everything that was received.
  std::string received;

 private:
  void Accept(evutil_socket_t fd) {
    bufferevent* connection =
        bufferevent_socket_new(loop_.raw(), fd, BEV_OPT_CLOSE_ON_FREE);
    connections_.push_back(connection);
    bufferevent_setcb(
        connection,
        [](bufferevent* from, void* arg) {
          static_cast<RawServer*>(arg)->Read(from);
        },
        [](bufferevent* from, void* arg) {
          auto* self = static_cast<RawServer*>(arg);
          if (!self->close_) return;
          // Later than the body, so that the client sees both apart.
          self->timer_ = self->loop_.After(
              std::chrono::milliseconds(5),
              [from] { shutdown(bufferevent_getfd(from), SHUT_RDWR); });
        },
        [](bufferevent*, short, void*) {}, this);  // NOLINT
    bufferevent_enable(connection, EV_READ | EV_WRITE);
  }

  void Read(bufferevent* from) {
    evbuffer* input = bufferevent_get_input(from);
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, text.data(), text.size());
    received += text;
    if (received.ends_with("\r\n\r\n")) {
      bufferevent_write(from, reply_.data(), reply_.size());
    }
  }

  base::EventLoop& loop_;
  std::string reply_;
  bool close_;
  evconnlistener* listener_;
  std::uint16_t port_ = 0;
  std::vector<bufferevent*> connections_;
  base::Timer timer_;
};

}  // namespace mangospread::test
