/// @file
/// HTTP server on evhttp.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/loop/event_loop.hpp"
#include "mangospread/address.hpp"
#include "mangospread/error.hpp"
#include "net/connection_guard.hpp"
#include "net/http_message.hpp"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace mangospread::net {

namespace detail {

/// State that a server shares with its exchanges.
struct ServerState {
  bool alive = true;     ///< False after the server was destroyed.
  bool closing = false;  ///< Responses carry "Connection: close".
  /// Responses not yet completely written to their sockets.
  std::size_t unwritten_responses = 0;
  std::shared_ptr<ConnectionGuard> guard;  ///< Null without ClientLimits.
};

}  // namespace detail

/// One request and its response. Stays valid after the client has disconnected
/// or the server was destroyed: responses are then dropped. An exchange that is
/// destroyed without a response sends status 500.
class HttpExchange {
 public:
  /// @param server state of the server, which owns the requests of open
  ///   connections; may be null when `raw` is.
  HttpExchange(evhttp_request* raw, Request request,
               std::shared_ptr<detail::ServerState> server = nullptr);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  [[nodiscard]] const Request& request() const noexcept { return request_; }
  [[nodiscard]] Request& request() noexcept { return request_; }

  /// Sends the complete response. Only the first response is sent.
  void Reply(const Response& response);

  /// Sends a response in chunks: StartStream sends the status and the headers,
  /// SendChunk a part of the body, and EndStream ends the response.
  void StartStream(const Response& head);
  void SendChunk(std::string_view data);
  void EndStream();

  /// False after the client's connection has ended, the response was sent or
  /// the server was destroyed.
  [[nodiscard]] bool connected() const noexcept;
  /// True if the client has closed its connection before the response. evhttp
  /// does not read while a request is in progress, so this checks the socket.
  [[nodiscard]] bool caller_disconnected() const noexcept;
  /// True if the client's address is a loopback address.
  [[nodiscard]] bool from_loopback() const noexcept;
  /// True after Reply or EndStream.
  [[nodiscard]] bool replied() const noexcept { return raw_ == nullptr; }

 private:
  /// The request, or null after the response was sent or the server was
  /// destroyed.
  [[nodiscard]] evhttp_request* raw() const noexcept {
    return server_ == nullptr || server_->alive ? raw_ : nullptr;
  }

  evhttp_request* raw_;
  std::shared_ptr<detail::ServerState> server_;
  bool streaming_ = false;
  Request request_;
};

/// Limits of requests and connections.
struct HttpServerLimits {
  std::size_t max_header_bytes = 32 * 1024;
  std::size_t max_body_bytes = 8 * 1024 * 1024 + 64 * 1024;
  /// Idle and slow connections are closed after this time.
  std::chrono::seconds timeout{60};
  /// Of a server whose clients cannot be relied upon.
  std::optional<ClientLimits> clients = std::nullopt;
};

/// HTTP server on an event loop, which also calls the handler of requests.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(base::EventLoop& loop, HttpServerLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and listens; port 0 selects a free port.
  /// @return the address with the port that is in use.
  /// @errors kUnavailable with the address as subject.
  [[nodiscard]] Result<Address> Listen(const Address& address);

  /// Makes every later response ask its client to close the connection, also
  /// the responses to requests that were received earlier: a client that keeps
  /// its connection would send the next request to a process that is about to
  /// end.
  void CloseConnections() noexcept { state_->closing = true; }
  /// Number of responses that are not yet completely written to their sockets.
  /// They are truncated if the process ends earlier.
  [[nodiscard]] std::size_t unwritten_responses() const noexcept {
    return state_->unwritten_responses;
  }

  /// Closes the listening socket; open connections remain open.
  void StopListening();

  /// Sets the limits of requests, in bytes: on connections that are accepted
  /// from now on and, with ClientLimits, on the present ones.
  void SetRequestLimits(std::size_t max_header_bytes,
                        std::size_t max_body_bytes);

  /// Connections that were closed and requests that were refused by the
  /// ClientLimits; all 0 without them.
  [[nodiscard]] ClientRefusals refusals() const noexcept {
    return state_->guard ? state_->guard->refusals() : ClientRefusals{};
  }
  /// Bytes that clients have sent and that are not answered; 0 without
  /// ClientLimits.
  [[nodiscard]] std::size_t held_bytes() const noexcept {
    return state_->guard ? state_->guard->held_bytes() : 0;
  }

 private:
  void OnRequest(evhttp_request* raw);
  void SetAccepting(bool accepting);

  evhttp* http_;
  evhttp_bound_socket* socket_ = nullptr;
  Handler handler_;
  std::shared_ptr<detail::ServerState> state_ =
      std::make_shared<detail::ServerState>();
};

}  // namespace mangospread::net
