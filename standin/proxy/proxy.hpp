/// @file
/// TCP proxy that injects faults into the connections between two processes.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/loop/event_loop.hpp"
#include "mangospread/address.hpp"
#include "mangospread/error.hpp"

struct evconnlistener;

namespace mangospread::standin {

/// Faults that the proxy injects. "Up" is the direction from the client to the
/// target.
struct Faults {
  int delay_ms = 0;        ///< Delay before each chunk is forwarded.
  bool drop_up = false;    ///< Discards data from clients.
  bool drop_down = false;  ///< Discards data from the target.
  bool refuse = false;     ///< Closes the listener: connections are refused.
  /// Pid of a local process whose connections are closed, so that one of
  /// several clients loses its connection to the target. 0 means none.
  int refuse_process = 0;
  /// Number of bytes forwarded from the client after which a connection is
  /// closed; -1 means never.
  std::int64_t cut_after_up = -1;
  /// Number of bytes forwarded from the target after which a connection is
  /// closed; -1 means never.
  std::int64_t cut_after_down = -1;
  /// Number of replies to discard, each with all later bytes of its connection;
  /// the connection stays open.
  int lose_replies = 0;
  /// Number of replies to discard, each by closing its connection: the target
  /// has already processed the request.
  int cut_replies = 0;
  /// Number of requests to forward while closing the connection of the client
  /// at once; the connection to the target stays open until the target closes
  /// it.
  int cut_requests = 0;
};

/// Parses faults from JSON; the faults of absent fields keep their value, which
/// is off by default.
/// @return false if the text is malformed.
[[nodiscard]] bool ParseFaults(std::string_view text, Faults& faults);

/// Totals since the start of the proxy.
struct ProxyCounters {
  std::uint64_t accepted = 0;
  std::uint64_t bytes_up = 0;
  std::uint64_t bytes_down = 0;
  std::uint64_t dropped_bytes = 0;
  std::uint64_t cut = 0;       ///< Connections closed to inject a fault.
  std::uint64_t silenced = 0;  ///< Open connections that stopped forwarding.
  /// Replies discarded by `lose_replies` or `cut_replies`.
  std::uint64_t lost_replies = 0;
};

namespace detail {
class ProxyLink;
}  // namespace detail

/// Listens on one address and forwards each connection to the target.
class Proxy {
 public:
  explicit Proxy(base::EventLoop& loop);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// @return the bound address.
  /// @errors kUnavailable when the address is in use.
  [[nodiscard]] Result<Address> Listen(const Address& address);

  /// Forwards the connections that are accepted from now on to `target`.
  void SetTarget(const Address& target) { target_ = target; }

  /// Replaces all faults.
  void SetFaults(const Faults& faults);

  /// Closes all open connections.
  void CloseAll();

  /// Stops forwarding on all open connections and keeps them open.
  void StopForwardingAll();

  [[nodiscard]] const ProxyCounters& counters() const { return counters_; }
  [[nodiscard]] std::size_t open_links() const { return links_.size(); }

 private:
  friend class detail::ProxyLink;

  void Accept(int fd);
  void Remove(const std::shared_ptr<detail::ProxyLink>& link);

  base::EventLoop& loop_;
  evconnlistener* listener_ = nullptr;
  Address address_;
  Address target_;
  Faults faults_;
  ProxyCounters counters_;
  std::set<std::shared_ptr<detail::ProxyLink>> links_;
};

}  // namespace mangospread::standin
