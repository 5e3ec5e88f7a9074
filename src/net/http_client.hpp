/// @file
/// HTTP client connections to one peer, with the checks that evhttp lacks.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "mangospread/address.hpp"
#include "mangospread/error.hpp"
#include "net/http_message.hpp"

namespace mangospread::net {

namespace detail {
class ClientConnection;
struct PendingCall;
}  // namespace detail

/// Whether the peer may have received a failed request.
enum class SendState : unsigned char {
  kNotSent,    ///< No byte was sent.
  kMaybeSent,  ///< The peer may have read it.
};

/// Result of one Send.
struct CallResult {
  Result<Response> response;
  SendState sent = SendState::kMaybeSent;
};

/// Options of one Send.
struct CallOptions {
  Milliseconds timeout{1'000};
  /// A pooled connection is used only if its last response is not older than
  /// this.
  Milliseconds max_idle{30'000};
  /// Header that the peer may echo; an echo with another value is an error
  /// (kResponseMismatch).
  std::string_view echo_header{};
  /// Called when the request's bytes are about to be written, which on a new
  /// connection is later than Send: the process may have been paused in
  /// between. If it returns false, nothing is written and the error is
  /// kNotOwner.
  std::function<bool()> may_send{};
};

/// Limits of a pool and of its responses.
struct PoolLimits {
  std::size_t max_connections = 64;
  std::size_t max_body_bytes = 8 * 1024 * 1024 + 64 * 1024;
};

/// Connections to one address. Each carries one request at a time; a connection
/// that failed, timed out, has unread input or received a response whose end
/// could not be verified is closed.
class HttpClientPool : public std::enable_shared_from_this<HttpClientPool> {
 public:
  using Callback = std::function<void(CallResult)>;

  [[nodiscard]] static std::shared_ptr<HttpClientPool> Create(
      base::EventLoop& loop, Address address, PoolLimits limits);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  /// Sends a request. `done` is called exactly once, unless the pool is
  /// destroyed first, and never from within Send.
  /// @errors kConnectFailed, kConnectionLost (also in the middle of a body),
  ///   kTimeout, kMalformed (invalid header), kTooLarge, kBodyUnverifiable,
  ///   kResponseMismatch, kNoCapacity (all connections are busy), kNotOwner
  ///   (`may_send` returned false); with the address as subject.
  void Send(const Request& request, CallOptions options, Callback done) {
    Send(request, Headers(), std::move(options), std::move(done));
  }
  /// The same with additional header fields, so that a request that is sent
  /// several times is not copied for each send.
  void Send(const Request& request, const Headers& extra_headers,
            CallOptions options, Callback done);

  /// Closes the connections that have no request in progress.
  void CloseIdle();
  /// True while a request is in progress. Each ends by its timeout at the
  /// latest, so an owner that must have every result keeps the pool until then.
  [[nodiscard]] bool HasCallInProgress() const;

  [[nodiscard]] const Address& address() const noexcept { return address_; }
  /// True if a connection is in use, or is open and was not closed by the peer.
  /// Checks the sockets.
  [[nodiscard]] bool HasLiveConnection() const;
  [[nodiscard]] std::size_t open_connections() const noexcept {
    return connections_.size();
  }

 private:
  friend class detail::ClientConnection;

  HttpClientPool(base::EventLoop& loop, Address address, PoolLimits limits);
  std::shared_ptr<detail::ClientConnection> Acquire(Milliseconds max_idle);
  /// Closes the connections that have no request in progress and for which
  /// `predicate` returns true.
  void CloseIdleIf(
      const std::function<bool(const detail::ClientConnection&)>& predicate);
  void Remove(const detail::ClientConnection* connection);

  base::EventLoop& loop_;
  Address address_;
  PoolLimits limits_;
  std::vector<std::shared_ptr<detail::ClientConnection>> connections_;
};

}  // namespace mangospread::net
