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
  void Route();
  [[nodiscard]] bool SendLocal();
  [[nodiscard]] bool SendToPeer();
  void OnReply(rpc::ForwardReply reply);
  void Refuse(NotRunReason reason);
  /// Settles the key's claim, then tells the caller the outcome.
  void Finish(rpc::ForwardReply reply);
  void Answer(const rpc::ForwardReply& reply);

  Gateway& gateway_;
  std::shared_ptr<net::HttpExchange> exchange_;
  rpc::ForwardRequest request_;
  const ServiceSpec* service_ = nullptr;
  MonotonicTime deadline_{0};
  std::set<NodeId> tried_;
  int sends_ = 0;
  bool maybe_run_ = false;
  std::optional<KeyUse> key_;
  bool key_claimed_ = false;
  bool replayed_ = false;
};

}  // namespace mangospread::gateway
