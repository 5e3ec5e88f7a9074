/// @file
/// Queue of requests that wait for a slot.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>

#include "base/loop/event_loop.hpp"
#include "mangospread/ids.hpp"

namespace mangospread::gateway {

/// A queued request. Exactly one of `send` (returning true), `expired` and
/// `abandoned` removes it from the queue.
struct WaitEntry {
  ServiceName service;
  /// The deadline minus the typical service time; a request sent later would
  /// miss its deadline.
  MonotonicTime expires_at{0};
  /// Tries to send the request; returns false when there is still no slot.
  std::function<bool()> send;
  /// True if the caller has closed its connection.
  std::function<bool()> is_disconnected;
  /// Called when `expires_at` has passed.
  std::function<void()> expired;
  /// Called when the caller has closed its connection.
  std::function<void()> abandoned;
};

struct WaitQueueOptions {
  std::size_t max_per_service = 64;
  /// Interval of the check for callers that have disconnected.
  Milliseconds check_interval{100};
};

struct WaitCounters {
  std::uint64_t enqueued = 0;
  std::uint64_t sent = 0;
  /// Requests rejected because the queue of their service was full.
  std::uint64_t full = 0;
  std::uint64_t expired = 0;
  std::uint64_t abandoned = 0;
};

/// Bounded FIFO queue per service. Services share the slots of a pool, so the
/// requests of all services are kept in one list in order of arrival. A service
/// without a free slot does not block the others.
class WaitQueue {
 public:
  WaitQueue(base::EventLoop& loop, WaitQueueOptions options);
  WaitQueue(const WaitQueue&) = delete;
  WaitQueue& operator=(const WaitQueue&) = delete;

  /// Appends a request.
  /// @return false when the queue of its service is full; the entry is then
  ///   dropped and none of its functions is called.
  [[nodiscard]] bool Enqueue(WaitEntry entry);

  /// Posts an attempt to send the queued requests, after a slot may have become
  /// free. They are sent after the current callback of the event loop.
  void Wake();

  [[nodiscard]] std::size_t waiting(const ServiceName& service) const;
  [[nodiscard]] std::size_t waiting() const noexcept { return entries_.size(); }
  [[nodiscard]] const WaitCounters& counters() const noexcept {
    return counters_;
  }

 private:
  using Entries = std::list<std::shared_ptr<WaitEntry>>;

  /// Tries to send queued requests in order of arrival.
  void SendQueued();
  /// Removes expired and abandoned requests and schedules the next check.
  void RemoveEnded();
  void ScheduleCheck();
  Entries::iterator Erase(Entries::iterator it);

  base::EventLoop& loop_;
  WaitQueueOptions options_;
  WaitCounters counters_;
  Entries entries_;
  std::map<ServiceName, std::size_t> sizes_;
  bool wake_posted_ = false;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::gateway
