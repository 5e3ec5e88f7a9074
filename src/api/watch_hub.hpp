/// @file
/// Watches: streams of changes to clients.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "config/store.hpp"
#include "net/http_server.hpp"

namespace mangospread::api {

struct WatchOptions {
  /// A line without a change is sent this often, so that a client notices a
  /// silent connection.
  Milliseconds heartbeat{1'000};
  std::size_t max_watches = 1'000;
};

/// Streams changes as JSON lines. Every line carries the revision from which
/// the client can resume.
class WatchHub {
 public:
  WatchHub(base::EventLoop& loop, config::Store& store, WatchOptions options);
  WatchHub(const WatchHub&) = delete;
  WatchHub& operator=(const WatchHub&) = delete;

  /// Answers with a stream of the changes after `since`. When they are no
  /// longer known, the stream starts with every resource.
  void Open(std::shared_ptr<net::HttpExchange> exchange, Revision since);

  /// Ends all streams with a line that holds the revision to resume from.
  void CloseAll();

  [[nodiscard]] std::size_t size() const noexcept { return watches_.size(); }

 private:
  void OnChange(const Change& change);
  void OnReplaced();
  void Heartbeat();
  void Broadcast(const std::string& line);
  void SendAll(net::HttpExchange& exchange) const;

  config::Store& store_;
  WatchOptions options_;
  std::vector<std::shared_ptr<net::HttpExchange>> watches_;
  base::Timer timer_;
};

}  // namespace mangospread::api
