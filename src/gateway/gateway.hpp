/// @file
/// Entry point for requests from callers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/loop/event_loop.hpp"
#include "config/store.hpp"
#include "gateway/keys/key_store.hpp"
#include "gateway/limits/limiter.hpp"
#include "gateway/limits/service_stats.hpp"
#include "gateway/limits/wait_queue.hpp"
#include "gateway/routing/router.hpp"
#include "net/http_server.hpp"
#include "rpc/messages.hpp"

namespace mangospread::gateway {

class RequestSession;

/// Forwards a request to a peer. Production code uses
/// rpc::PeerService::Forward.
using SendForward =
    std::function<void(const Address& peer, rpc::ForwardRequest request,
                       std::function<void(Result<rpc::ForwardReply>)> done)>;

struct GatewayOptions {
  NodeId node;
  Incarnation incarnation;
  std::size_t max_body_bytes = 8 * 1024 * 1024;
  /// Maximum number of times one request is sent, including the first attempt.
  int max_attempts = 3;
  /// Upper bound of the delay before the second attempt; it doubles with each
  /// further attempt. The delay is chosen at random below the bound, so that
  /// requests that failed at the same time are not retried at the same time.
  Milliseconds first_retry_delay{10};
  WaitQueueOptions queue{};
};

struct GatewayCounters {
  /// Requests of callers by outcome.
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  /// Attempts sent to a peer.
  std::uint64_t forwarded = 0;
  std::uint64_t retried = 0;
  /// Retries not made because the retry budget was exhausted.
  std::uint64_t retries_denied = 0;
  /// Requests refused because they were expected to miss their deadline.
  std::uint64_t refused_early = 0;
};

/// Sends requests to owned workers or to peers, and queues them while no slot
/// is free.
class Gateway {
 public:
  /// @param admission returns kNone while this node accepts requests, else the
  ///   reason for which it refuses them.
  Gateway(base::EventLoop& loop, GatewayOptions options,
          const config::Store& store, Router& router, KeyStore& keys,
          SendForward forward, std::function<NotRunReason()> admission);
  ~Gateway() { *alive_ = false; }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Serves /svc/<service>/<path>.
  void Handle(std::shared_ptr<net::HttpExchange> exchange);

  /// Handles a request forwarded by a peer. It is sent once, to a worker owned
  /// by this node, or refused; it is neither queued nor forwarded again.
  void HandleForwarded(rpc::ForwardRequest request,
                       std::function<void(rpc::ForwardReply)> done);

  /// Refuses the requests that peers forward from now on, since the process
  /// could end before they do.
  void StopForwards() noexcept { forwards_stopped_ = true; }
  [[nodiscard]] bool forwards_stopped() const noexcept {
    return forwards_stopped_;
  }

  /// Responds to all requests of callers at once, since the process is about to
  /// end: the outcome is unknown for those that were sent.
  void CloseRequests();

  /// Retries queued requests after a slot may have become free, on this node or
  /// on a peer.
  void OnSlotAvailable() { queue_.Wake(); }

  /// Sets this node's share of the team and service limits.
  void SetLimitShare(NodeShare share) noexcept { limiter_.SetShare(share); }

  /// Requests without an outcome yet, including those forwarded by peers.
  [[nodiscard]] int in_flight() const noexcept { return in_flight_; }
  [[nodiscard]] const GatewayCounters& counters() const noexcept {
    return counters_;
  }
  [[nodiscard]] const WaitQueue& queue() const noexcept { return queue_; }
  [[nodiscard]] const Limiter& limiter() const noexcept { return limiter_; }

 private:
  friend class RequestSession;

  [[nodiscard]] RequestId NextRequestId();
  [[nodiscard]] ServiceStats& StatsOf(const ServiceName& service);
  /// Estimates how long another queued request would wait, from the queue
  /// length, the median service time and the slots of this node.
  /// @return zero when this node owns no slots or has no median yet.
  [[nodiscard]] MonotonicTime ExpectedWait(const ServiceName& name,
                                           const ServiceSpec& service);
  /// Random delay before the next attempt.
  /// @param attempts number of attempts made so far, at least 1.
  [[nodiscard]] MonotonicTime RetryDelay(int attempts);

  base::EventLoop& loop_;
  GatewayOptions options_;
  const config::Store& store_;
  Router& router_;
  KeyStore& keys_;
  SendForward forward_;
  std::function<NotRunReason()> admission_;
  GatewayCounters counters_;
  Limiter limiter_;
  WaitQueue queue_;
  std::map<ServiceName, ServiceStats> stats_;
  std::minstd_rand random_;
  std::string request_id_prefix_;
  std::uint64_t next_request_ = 0;
  int in_flight_ = 0;
  std::set<RequestSession*> sessions_;  ///< Requests of callers.
  bool forwards_stopped_ = false;
  /// Set to false on destruction. Sessions check it, because a call that never
  /// completes may keep a session alive longer than this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::gateway
