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

/// One request and its reply. Keeps itself usable when the client or the
/// server has gone: replies are then dropped. An exchange destroyed without a
/// reply sends 500.
class HttpExchange {
 public:
  /// @param server_alive becomes false when the server, which owns the requests
  ///   of open connections, is destroyed.
  HttpExchange(evhttp_request* raw, Request request,
               std::shared_ptr<const bool> server_alive = nullptr);
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

  /// Asks the client to close the connection after this reply.
  void CloseAfterReply() noexcept { close_ = true; }

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
    return server_alive_ == nullptr || *server_alive_ ? raw_ : nullptr;
  }

  evhttp_request* raw_;
  std::shared_ptr<const bool> server_alive_;
  bool streaming_ = false;
  bool close_ = false;
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

  /// Closes the listening socket; open connections go on.
  void StopListening();

 private:
  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  Handler handler_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::net
