/// @file
/// TCP proxy that injects faults between two processes.
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

/// What the proxy does to connections. "Up" is from the client to the target.
struct Faults {
  int delay_ms = 0;        ///< Each chunk is forwarded this much later.
  bool drop_up = false;    ///< Discards what clients send.
  bool drop_down = false;  ///< Discards what the target sends.
  bool refuse = false;     ///< Nothing listens: connections are refused.
  /// Connections from this local process are closed, so that one of several
  /// clients loses the target. 0 means none.
  int refuse_process = 0;
  std::int64_t cut_after_up = -1;    ///< Closes after this many bytes.
  std::int64_t cut_after_down = -1;  ///< Closes after this many bytes.
  /// The next replies are discarded, each with all later bytes of its
  /// connection; the connection stays open.
  int lose_replies = 0;
  /// The next replies are discarded and their connections closed: the target
  /// has done the work.
  int cut_replies = 0;
  /// The next requests are forwarded and their client connections closed at
  /// once; the target's connection stays open until it closes.
  int cut_requests = 0;
};

/// Reads faults from JSON; fields that are not given are off. False when the
/// text is malformed.
[[nodiscard]] bool ReadFaults(std::string_view text, Faults& faults);

struct ProxyCounters {
  std::uint64_t accepted = 0;
  std::uint64_t bytes_up = 0;
  std::uint64_t bytes_down = 0;
  std::uint64_t dropped_bytes = 0;
  std::uint64_t cut = 0;
  std::uint64_t silenced = 0;
  std::uint64_t lost_replies = 0;
};

namespace detail {
class ProxyLink;
}  // namespace detail

class Proxy {
 public:
  explicit Proxy(base::EventLoop& loop);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  [[nodiscard]] Result<Address> Listen(const Address& address);

  /// Connections accepted from now on go to `target`.
  void SetTarget(const Address& target) { target_ = target; }

  /// Replaces all faults.
  void SetFaults(const Faults& faults);

  /// Closes all open connections.
  void CutAll();

  /// All open connections stay open and carry nothing any more.
  void SilenceAll();

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
