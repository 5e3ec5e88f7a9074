/// @file
/// Requests that wait for a slot.
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

/// A waiting request. Exactly one of `send` (returning true), `expired` and
/// `abandoned` ends the wait.
struct WaitEntry {
  ServiceName service;
  /// Waiting longer cannot succeed: the deadline less the usual service time.
  MonotonicTime leave_at{0};
  /// Tries to send the request; false when there is still no slot.
  std::function<bool()> send;
  /// True if the caller has closed its connection.
  std::function<bool()> caller_gone;
  std::function<void()> expired;
  std::function<void()> abandoned;
};

struct WaitQueueOptions {
  std::size_t max_per_service = 64;
  /// How often callers that have gone are looked for.
  Milliseconds check_period{100};
};

struct WaitCounters {
  std::uint64_t joined = 0;
  std::uint64_t sent = 0;
  std::uint64_t full = 0;
  std::uint64_t expired = 0;
  std::uint64_t abandoned = 0;
};

/// Bounded queue for each service, served in order of arrival. Services share
/// the slots of a pool, so one list holds all of them; a service without a
/// slot does not hold up the others.
class WaitQueue {
 public:
  WaitQueue(base::EventLoop& loop, WaitQueueOptions options);
  WaitQueue(const WaitQueue&) = delete;
  WaitQueue& operator=(const WaitQueue&) = delete;

  /// @return false when the service's queue is full; the entry is dropped.
  [[nodiscard]] bool Join(WaitEntry entry);

  /// Serves the queue after the present callback: a slot may be free.
  void Wake();

  [[nodiscard]] std::size_t waiting(const ServiceName& service) const;
  [[nodiscard]] std::size_t waiting() const noexcept { return entries_.size(); }
  [[nodiscard]] const WaitCounters& counters() const noexcept {
    return counters_;
  }

 private:
  using Entries = std::list<std::shared_ptr<WaitEntry>>;

  void Serve();
  /// Ends expired and abandoned waits and plans the next check.
  void Check();
  void Plan();
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
