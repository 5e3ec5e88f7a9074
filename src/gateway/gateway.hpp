/// @file
/// Entry point of callers' requests.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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

/// Passes a request on to a peer. Production code uses
/// rpc::PeerService::Forward.
using SendForward =
    std::function<void(const Address& peer, rpc::ForwardRequest request,
                       std::function<void(Result<rpc::ForwardReply>)> done)>;

struct GatewayOptions {
  NodeId node;
  Incarnation incarnation;
  std::size_t max_body_bytes = 8 * 1024 * 1024;
  /// Sends of one request to different places, the first included.
  int max_sends = 3;
  /// Longest pause before the second send; it doubles with each further one.
  /// The pause itself is random, so that requests that failed together do not
  /// come back together.
  Milliseconds retry_pause{10};
  WaitQueueOptions queue{};
};

struct GatewayCounters {
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t retried = 0;
  std::uint64_t retries_denied = 0;  ///< The retry budget was used up.
  std::uint64_t hopeless = 0;        ///< Refused since a wait was too long.
};

class Gateway {
 public:
  Gateway(base::EventLoop& loop, GatewayOptions options,
          const config::Store& store, Router& router, KeyStore& keys,
          SendForward forward, std::function<NotRunReason()> admission);
  ~Gateway() { *alive_ = false; }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Serves /svc/<service>/<path>.
  void Handle(std::shared_ptr<net::HttpExchange> exchange);

  /// Serves a request that a peer passed on. It is sent once, to a worker of
  /// this node, or refused.
  void HandleForwarded(rpc::ForwardRequest request,
                       std::function<void(rpc::ForwardReply)> done);

  /// A slot may have become free, here or at a peer.
  void OnCapacity() { queue_.Wake(); }

  /// Sets the node's share of the limits of teams and services.
  void SetLimitShare(NodeShare share) noexcept { limiter_.SetShare(share); }

  /// Requests that have not been answered yet.
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
  /// How long one more waiting request would wait, judged by the queue and the
  /// slots of this node; zero when that cannot be judged.
  [[nodiscard]] MonotonicTime ExpectedWait(const ServiceName& name,
                                           const ServiceSpec& service);
  [[nodiscard]] MonotonicTime RetryPause(int sends);

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
  /// Calls that never end may keep a session beyond this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::gateway
