/// @file
/// Bounds what the connections of an HTTP server use together.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>

#include "base/loop/event_loop.hpp"
#include "net/memory_budget.hpp"

struct bufferevent;
struct evhttp_connection;

namespace mangospread::net {

/// Limits of all connections of a server together, and of the time that one
/// request may take. Load pattern: clients that send much at once and stop just
/// short of the end, or that send or read very slowly.
struct ClientLimits {
  /// Connections at a time; the one with the least progress is closed for a
  /// new one.
  std::size_t max_connections = 1'000;
  /// Bytes sent and not answered, of all connections.
  std::size_t max_held_bytes = std::size_t{64} * 1024 * 1024;
  /// Bytes that are read ahead while a request of the client is handled. A
  /// client that has sent twice as many is closed.
  std::size_t max_ahead_bytes = std::size_t{512} * 1024;
  /// From the first byte of a head to its end.
  std::chrono::milliseconds head_timeout{10'000};
  /// From the end of a head to the end of the body.
  std::chrono::milliseconds body_timeout{30'000};
  /// From the response to its last byte taken by the client.
  std::chrono::milliseconds answer_timeout{30'000};
};

/// Why a connection was closed or a request was refused.
enum class ClientRefusal : unsigned char {
  kMemory,
  kConnections,
  kTime,
  kAhead,  ///< Requests sent ahead without reading the answers.
};
inline constexpr std::size_t kClientRefusalCount =
    static_cast<std::size_t>(ClientRefusal::kAhead) + 1;

/// Name for logs and metrics.
[[nodiscard]] const char* ClientRefusalName(ClientRefusal refusal) noexcept;

/// Number of connections that were closed and requests that were refused, by
/// reason.
using ClientRefusals = std::array<std::uint64_t, kClientRefusalCount>;

namespace detail {

/// Counts what each connection holds and closes those with the least progress
/// when a limit is exceeded: the one whose unfinished request began first. A
/// request that was passed to the server's handler is never closed for another
/// one. Not for servers that stream responses.
class ConnectionGuard {
 public:
  /// @param set_accepting starts or stops accepting connections.
  ConnectionGuard(base::EventLoop& loop, ClientLimits limits,
                  std::function<void(bool)> set_accepting);
  ~ConnectionGuard() { Detach(); }
  ConnectionGuard(const ConnectionGuard&) = delete;
  ConnectionGuard& operator=(const ConnectionGuard&) = delete;

  /// Creates the bufferevent of a connection that is about to be accepted.
  [[nodiscard]] bufferevent* MakeConnection();
  /// Sets the limits of requests on the present connections, in bytes.
  void SetRequestLimits(std::size_t max_header_bytes,
                        std::size_t max_body_bytes);
  /// Handles a complete request. Returns false if it has to be refused, since
  /// the requests in progress hold too much.
  [[nodiscard]] bool OnRequest(bufferevent* connection);
  /// Handles the response to that request.
  void OnResponse(bufferevent* connection);
  /// Handles the end of that response, which the client has taken.
  void OnResponseTaken(bufferevent* connection);
  /// Releases all connections, which evhttp has freed, since the server is
  /// being destroyed.
  void Detach();

  [[nodiscard]] std::size_t connections() const noexcept {
    return connections_.size();
  }
  [[nodiscard]] std::size_t held_bytes() const noexcept {
    return budget_.used();
  }
  [[nodiscard]] const ClientRefusals& refusals() const noexcept {
    return refusals_;
  }

 private:
  enum class Phase : unsigned char {
    kIdle,      ///< No byte of a request has arrived.
    kHead,      ///< The head is incomplete.
    kBody,      ///< The head is complete; the body may not be.
    kHandled,   ///< The server's handler has the request.
    kAnswered,  ///< The client has not taken the whole response.
  };
  struct Connection {
    ConnectionGuard* guard = nullptr;
    /// Holds a reference, so that it stays valid after evhttp has freed it.
    bufferevent* socket = nullptr;
    Phase phase = Phase::kIdle;
    MonotonicTime since{0};      ///< Begin of the phase.
    std::size_t received = 0;    ///< Bytes since the last response was taken.
    std::size_t reads = 0;       ///< Reads since then.
    std::size_t head_lines = 0;  ///< Lines of the head so far.
    bool line_empty = false;     ///< No character yet in the present line.
    std::size_t charged = 0;     ///< Share of the budget.
    std::size_t handled = 0;     ///< Share of handled_bytes_.
    bool closing = false;
  };
  using Connections = std::list<Connection>;

  /// Handles bytes that were added to the end of the connection's input.
  void OnInput(Connections::iterator connection, std::size_t size);
  /// Counts them, and notes the end of a head.
  void Count(Connections::iterator connection, std::size_t size);
  static void ScanHead(Connection& connection, const char* bytes,
                       std::size_t size);
  void Begin(Connections::iterator connection, Phase phase);
  void Charge(Connection& connection);
  /// Closes connections until the budget holds.
  void KeepBudget();
  /// Bytes of the budget for the connection in its present state.
  [[nodiscard]] static std::size_t HeldBy(const Connection& connection);
  /// The oldest connection without a request in progress; end if there is none.
  /// @param unfinished only one that has sent something to which no response
  ///   was begun.
  [[nodiscard]] Connections::iterator LeastProgress(bool unfinished);
  /// evhttp's connection; null once it is freed.
  [[nodiscard]] static evhttp_connection* HttpConnectionOf(
      const Connection& connection);
  /// Closes the connection when the present callback has returned.
  void Close(Connection& connection, ClientRefusal reason);
  /// Frees the closed connections.
  void FreeClosed();
  /// Releases the connections that evhttp has freed.
  void ReleaseFreed();
  void Release(Connections::iterator connection);
  /// Closes the connections whose time is over.
  void CloseOverdue();
  void SetAccepting(bool accepting);
  [[nodiscard]] Connections::iterator Find(bufferevent* connection);

  base::EventLoop& loop_;
  ClientLimits limits_;
  std::function<void(bool)> set_accepting_;
  MemoryBudget budget_;
  /// Ordered by the begin of the present request, the oldest first.
  Connections connections_;
  std::unordered_map<bufferevent*, Connections::iterator> by_socket_;
  std::size_t handled_bytes_ = 0;  ///< Held by the requests in progress.
  std::size_t closing_ = 0;  ///< Connections that are closed but not freed.
  bool accepting_ = true;
  ClientRefusals refusals_{};
  base::Timer check_timer_;
  base::Timer free_timer_;  ///< Active while connections are being closed.
};

}  // namespace detail
}  // namespace mangospread::net
