/// @file
/// A TCP server that sends fixed bytes, for responses that no HTTP library
/// would send.
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

/// Listens on a free port of the loopback address.
class RawServer {
 public:
  /// @param response sent once for each request (up to the first blank line).
  /// @param close_after_response whether the connection is closed after the
  ///   response.
  RawServer(base::EventLoop& loop, std::string response,
            bool close_after_response)
      : loop_(loop),
        response_(std::move(response)),
        close_after_response_(close_after_response) {
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
  /// All bytes that were received.
  std::string received;

 private:
  void Accept(evutil_socket_t fd) {
    bufferevent* connection =
        bufferevent_socket_new(loop_.raw(), fd, BEV_OPT_CLOSE_ON_FREE);
    connections_.push_back(connection);
    bufferevent_setcb(
        connection,
        [](bufferevent* source, void* arg) {
          static_cast<RawServer*>(arg)->Read(source);
        },
        [](bufferevent* source, void* arg) {
          auto* self = static_cast<RawServer*>(arg);
          if (!self->close_after_response_) return;
          // Delayed, so that the client reads the body and the close
          // separately.
          self->close_timer_ = self->loop_.After(
              std::chrono::milliseconds(5),
              [source] { shutdown(bufferevent_getfd(source), SHUT_RDWR); });
        },
        [](bufferevent*, short, void*) {}, this);  // NOLINT
    bufferevent_enable(connection, EV_READ | EV_WRITE);
  }

  void Read(bufferevent* source) {
    evbuffer* input = bufferevent_get_input(source);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    received += bytes;
    if (received.ends_with("\r\n\r\n")) {
      bufferevent_write(source, response_.data(), response_.size());
    }
  }

  base::EventLoop& loop_;
  std::string response_;
  bool close_after_response_;
  evconnlistener* listener_;
  std::uint16_t port_ = 0;
  std::vector<bufferevent*> connections_;
  base::Timer close_timer_;
};

}  // namespace mangospread::test
