/// @file
/// Handles one request of a caller on its entry node.
#pragma once

#include <memory>
#include <optional>
#include <set>

#include "gateway/gateway.hpp"

namespace mangospread::gateway {

/// State of a request from its arrival to its outcome. The pending callbacks
/// keep the session alive until then. This is the only layer that retries a
/// request: after a definite refusal, or when the request is idempotent.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
 public:
  RequestSession(Gateway& gateway, std::shared_ptr<net::HttpExchange> exchange);
  ~RequestSession();
  RequestSession(const RequestSession&) = delete;
  RequestSession& operator=(const RequestSession&) = delete;

  void Start();
  /// Responds to the caller at once, if there is no response yet: the outcome
  /// is unknown if the request was sent. Late replies are ignored.
  void Close();

 private:
  /// Reads service, deadline, idempotence and idempotency key from the caller's
  /// request.
  /// @return kNone, or the reason for which the request is invalid.
  [[nodiscard]] NotRunReason Parse();
  void ClaimKey();
  void OnClaim(ClaimResult result);
  /// Sends the request, or queues it until a slot is free.
  void Route();
  /// Sends the request to a worker or a peer with a free slot.
  /// @return false when there is none.
  [[nodiscard]] bool TrySend();
  /// Queues the request, or refuses it if it would miss its deadline.
  void WaitForSlot();
  /// Updates the remaining time and the service before the request is sent.
  /// @return false when the request was refused instead.
  [[nodiscard]] bool UpdateForSend();
  /// Schedules another attempt if the number of attempts and the retry budget
  /// allow it.
  /// @return false if they do not.
  [[nodiscard]] bool ScheduleRetry(const rpc::ForwardReply& reply);
  [[nodiscard]] bool SendLocal();
  [[nodiscard]] bool SendToPeer();
  void OnReply(rpc::ForwardReply reply);
  /// Finishes the request without a response of an endpoint. The outcome is
  /// unknown if an earlier attempt may have run, else not-run.
  void Refuse(NotRunReason reason);
  /// Records the outcome for the claimed key, if there is one, or releases the
  /// key if the request did not run, and responds to the caller. Has no effect
  /// on a request that is finished.
  void Finish(rpc::ForwardReply reply);
  /// Sends the outcome, and the response if there is one, to the caller.
  void Respond(rpc::ForwardReply reply);

  Gateway& gateway_;
  std::shared_ptr<const bool> gateway_alive_;
  std::shared_ptr<net::HttpExchange> exchange_;
  rpc::ForwardRequest request_;
  const ServiceSpec* service_ = nullptr;
  MonotonicTime deadline_{0};
  /// Peers already tried since the request arrived or was last queued.
  std::set<NodeId> tried_peers_;
  TeamName team_;  ///< Team that the request was admitted for.
  bool admitted_ = false;
  /// Value of the Retry-After field of a refusal.
  Milliseconds retry_after_{1'000};
  MonotonicTime sent_at_{0};  ///< Time of the last attempt.
  base::Timer retry_timer_;
  int attempts_ = 0;
  bool attempt_in_flight_ = false;
  bool finished_ = false;   ///< The outcome is known.
  bool responded_ = false;  ///< It was sent to the caller.
  /// An attempt has ended with an unknown outcome.
  bool may_have_run_ = false;
  std::optional<KeyedRequest> key_;
  bool key_claimed_ = false;
  bool replayed_ = false;
};

}  // namespace mangospread::gateway
