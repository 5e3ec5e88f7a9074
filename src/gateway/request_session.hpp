/// @file
/// The life of one caller's request at its entry node.
#pragma once

#include <memory>
#include <optional>
#include <set>

#include "gateway/gateway.hpp"

namespace mangospread::gateway {

/// Keeps itself alive until the caller has its outcome. This is the only layer
/// that sends a request again: after a definite refusal, or when the request
/// is idempotent.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
 public:
  RequestSession(Gateway& gateway, std::shared_ptr<net::HttpExchange> exchange);
  ~RequestSession();
  RequestSession(const RequestSession&) = delete;
  RequestSession& operator=(const RequestSession&) = delete;

  void Start();

 private:
  /// Reads service, deadline and idempotence from the caller's request.
  [[nodiscard]] NotRunReason Parse();
  void ClaimKey();
  void OnClaim(ClaimResult result);
  /// Sends the request, or lets it wait for a slot.
  void Route();
  /// Sends the request to a worker or a peer with a free slot.
  [[nodiscard]] bool TrySend();
  void Wait();
  /// Updates deadline and service before a send.
  /// @return false when the request was refused instead.
  [[nodiscard]] bool UpdateForSend();
  /// Whether the outcome of a send allows another; plans it if so.
  [[nodiscard]] bool Retry(const rpc::ForwardReply& reply);
  [[nodiscard]] bool SendLocal();
  [[nodiscard]] bool SendToPeer();
  void OnReply(rpc::ForwardReply reply);
  void Refuse(NotRunReason reason);
  /// Settles the key's claim, then tells the caller the outcome.
  void Finish(rpc::ForwardReply reply);
  void Answer(rpc::ForwardReply reply);

  Gateway& gateway_;
  std::shared_ptr<const bool> gateway_alive_;
  std::shared_ptr<net::HttpExchange> exchange_;
  rpc::ForwardRequest request_;
  const ServiceSpec* service_ = nullptr;
  MonotonicTime deadline_{0};
  std::set<NodeId> tried_;
  TeamName team_;  ///< Set while the request counts against limits.
  bool limited_ = false;
  Milliseconds retry_after_{1'000};
  MonotonicTime sent_at_{0};
  base::Timer retry_timer_;
  int sends_ = 0;
  bool maybe_run_ = false;
  std::optional<KeyUse> key_;
  bool key_claimed_ = false;
  bool replayed_ = false;
};

}  // namespace mangospread::gateway
