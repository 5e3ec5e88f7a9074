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

/// How far a failed request got.
enum class SendState : unsigned char {
  kNotSent,    ///< No byte left this process.
  kMaybeSent,  ///< The peer may have read it.
};

struct CallResult {
  Result<Response> response;
  SendState sent = SendState::kMaybeSent;
};

struct CallOptions {
  Milliseconds timeout{1'000};
  /// Use a pooled connection only if it gave an answer this recently.
  Milliseconds max_idle{30'000};
  /// Header that the peer may echo; an echo with another value is an error.
  std::string_view echo_header{};
  /// Asked again when the request's bytes are about to be written, which on a
  /// new connection is later than Send: the process may have been paused since.
  /// When it says no, nothing is written and the error is kNotOwner.
  std::function<bool()> may_send{};
};

struct PoolLimits {
  std::size_t max_connections = 64;
  std::size_t max_body_bytes = 8 * 1024 * 1024 + 64 * 1024;
};

/// Connections to one address. One request at a time per connection; a
/// connection that failed, timed out, has unread input or gave an answer whose
/// end could not be verified is closed.
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
  /// @errors kConnectFailed, kConnectionLost, kTimeout, kBodyIncomplete,
  ///   kBodyUnverifiable, kAnswerMismatch, kNoCapacity (all connections busy).
  void Send(const Request& request, CallOptions options, Callback done) {
    Send(request, Headers(), std::move(options), std::move(done));
  }
  /// The same with further fields, so that a request sent several times need
  /// not be copied for each.
  void Send(const Request& request, const Headers& further, CallOptions options,
            Callback done);

  /// Closes the connections that carry no request.
  void CloseIdle();

  [[nodiscard]] const Address& address() const noexcept { return address_; }
  /// True if a connection is in use, or open and not closed by the peer. Asks
  /// the sockets.
  [[nodiscard]] bool HasLiveConnection() const;
  [[nodiscard]] std::size_t open_connections() const noexcept {
    return connections_.size();
  }

 private:
  friend class detail::ClientConnection;

  HttpClientPool(base::EventLoop& loop, Address address, PoolLimits limits);
  std::shared_ptr<detail::ClientConnection> Acquire(Milliseconds max_idle);
  /// Closes the connections without a request that `select` accepts.
  void Retire(
      const std::function<bool(const detail::ClientConnection&)>& select);
  void Remove(const detail::ClientConnection* connection);

  base::EventLoop& loop_;
  Address address_;
  PoolLimits limits_;
  std::vector<std::shared_ptr<detail::ClientConnection>> connections_;
};

}  // namespace mangospread::net
