/// @file
/// Watches: streams of resource changes to clients.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "config/store.hpp"
#include "net/http_server.hpp"

namespace mangospread::api {

struct WatchOptions {
  /// Interval between heartbeat lines, which carry no change and let a client
  /// detect a connection that no longer delivers data.
  Milliseconds heartbeat_interval{1'000};
  /// Further watches are rejected with status 503.
  std::size_t max_watches = 1'000;
};

/// Streams changes as JSON lines. Every line carries a revision, from which the
/// client can resume. The lines of a snapshot are in the order of their
/// revisions, so that this also holds within a snapshot.
class WatchHub {
 public:
  WatchHub(base::EventLoop& loop, config::Store& store, WatchOptions options);
  WatchHub(const WatchHub&) = delete;
  WatchHub& operator=(const WatchHub&) = delete;

  /// Responds with a stream of the changes after `since`. If these are no
  /// longer available, the stream starts with a "reset" line and a snapshot of
  /// all resources. A "synced" line follows the changes made so far. A snapshot
  /// that replaces the store's resources later is sent in the same way.
  void Open(std::shared_ptr<net::HttpExchange> exchange, Revision since);

  /// Ends all streams with a line that contains the revision to resume from.
  void CloseAll();

  [[nodiscard]] std::size_t size() const noexcept { return watches_.size(); }

 private:
  void OnChange(const Change& change);
  void OnReplaced();
  void SendHeartbeats();
  void Broadcast(const std::string& line);
  /// Sends all resources between a "reset" and a "synced" line.
  void SendSnapshot(net::HttpExchange& exchange) const;

  config::Store& store_;
  WatchOptions options_;
  std::vector<std::shared_ptr<net::HttpExchange>> watches_;
  base::Timer timer_;
};

}  // namespace mangospread::api
