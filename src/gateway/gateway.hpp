/// @file
/// Entry point of callers' requests.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/event_loop.hpp"
#include "config/store.hpp"
#include "gateway/keys/key_store.hpp"
#include "gateway/router.hpp"
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
};

struct GatewayCounters {
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t retried = 0;
};

class Gateway {
 public:
  Gateway(base::EventLoop& loop, GatewayOptions options,
          const config::Store& store, Router& router, KeyStore& keys,
          SendForward forward, std::function<NotRunReason()> admission);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Serves /svc/<service>/<path>.
  void Handle(std::shared_ptr<net::HttpExchange> exchange);

  /// Serves a request that a peer passed on. It is sent once, to a worker of
  /// this node, or refused.
  void HandleForwarded(rpc::ForwardRequest request,
                       std::function<void(rpc::ForwardReply)> done);

  /// Requests that have not been answered yet.
  [[nodiscard]] int in_flight() const noexcept { return in_flight_; }
  [[nodiscard]] const GatewayCounters& counters() const noexcept {
    return counters_;
  }

 private:
  friend class RequestSession;

  [[nodiscard]] RequestId NextRequestId();

  base::EventLoop& loop_;
  GatewayOptions options_;
  const config::Store& store_;
  Router& router_;
  KeyStore& keys_;
  SendForward forward_;
  std::function<NotRunReason()> admission_;
  GatewayCounters counters_;
  std::uint64_t next_request_ = 0;
  int in_flight_ = 0;
};

}  // namespace mangospread::gateway
