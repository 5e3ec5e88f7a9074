/// @file
/// HTTP server on evhttp.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/loop/event_loop.hpp"
#include "mangospread/address.hpp"
#include "mangospread/error.hpp"
#include "net/http_message.hpp"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace mangospread::net {

namespace detail {

/// What the exchanges of a server share with it.
struct ServerState {
  bool alive = true;
  bool closing = false;       ///< Replies ask clients to close.
  std::size_t unwritten = 0;  ///< Replies that the sockets have not taken.
};

}  // namespace detail

/// One request and its reply. Keeps itself usable when the client or the
/// server has gone: replies are then dropped. An exchange destroyed without a
/// reply sends 500.
class HttpExchange {
 public:
  /// @param server of the server, which owns the requests of open connections;
  ///   may be null when `raw` is.
  HttpExchange(evhttp_request* raw, Request request,
               std::shared_ptr<detail::ServerState> server = nullptr);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  [[nodiscard]] const Request& request() const noexcept { return request_; }
  [[nodiscard]] Request& request() noexcept { return request_; }

  /// Sends the whole reply. Only the first reply counts.
  void Reply(const Response& response);

  /// Starts a chunked reply, adds to it and ends it.
  void StartStream(const Response& head);
  void SendChunk(std::string_view data);
  void EndStream();

  /// False once the client's connection is gone.
  [[nodiscard]] bool connected() const noexcept;
  /// True if the client has closed its connection before the reply. evhttp
  /// does not read while a request is served, so this asks the socket.
  [[nodiscard]] bool caller_gone() const noexcept;
  /// True if the client's address is a loopback address.
  [[nodiscard]] bool from_loopback() const noexcept;
  [[nodiscard]] bool replied() const noexcept { return raw_ == nullptr; }

 private:
  /// The request, or null when it was answered or freed with its server.
  [[nodiscard]] evhttp_request* raw() const noexcept {
    return server_ == nullptr || server_->alive ? raw_ : nullptr;
  }

  evhttp_request* raw_;
  std::shared_ptr<detail::ServerState> server_;
  bool streaming_ = false;
  Request request_;
};

struct HttpServerLimits {
  std::size_t max_header_bytes = 32 * 1024;
  std::size_t max_body_bytes = 8 * 1024 * 1024 + 64 * 1024;
  /// Idle and slow connections are closed after this time.
  std::chrono::seconds timeout{60};
};

class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(base::EventLoop& loop, HttpServerLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and listens; port 0 picks a free one.
  /// @errors kUnavailable with the address as subject.
  [[nodiscard]] Result<Address> Listen(const Address& address);

  /// From now on every reply asks its client to close the connection, also
  /// replies to requests that came earlier: a client that keeps its connection
  /// would send the next request to a process that is about to end.
  void CloseConnections() noexcept { state_->closing = true; }
  /// Replies that were given but not yet taken by their sockets. A process
  /// that ends before cuts them off.
  [[nodiscard]] std::size_t unwritten() const noexcept {
    return state_->unwritten;
  }

  /// Closes the listening socket; open connections go on.
  void StopListening();

 private:
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  Handler handler_;
  std::shared_ptr<detail::ServerState> state_ =
      std::make_shared<detail::ServerState>();
};

}  // namespace mangospread::net
