/// @file
/// Calls that have not received a reply yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "base/loop/event_loop.hpp"
#include "dispatch/front/submission_service.hpp"

namespace mangospread::dispatch {

struct PendingCallsOptions {
  /// After this time without a reply a call completes with kUnknown, since it
  /// may have taken effect.
  Milliseconds timeout{2'800};
  /// Time for which calls wait for a new leader after the former one is lost.
  /// It is below one second, the shortest Retry-After.
  Milliseconds leader_wait{700};
  /// A call that waits again after it was forwarded completes this long after
  /// its arrival, so that its caller has time to retry.
  Milliseconds max_total_wait{1'200};
  /// Limit of waiting calls; calls beyond it are refused immediately.
  std::size_t max_waiting = 512;
};

/// Forwards calls to the leader. While there is none, calls wait for a short
/// time. Calls in flight are forwarded again to the next leader, which is safe
/// because each call names its submission and is idempotent.
class PendingCalls {
 public:
  /// Sends a call to the leader; the reply is passed to Finish with the same
  /// id.
  using Forward = std::function<void(std::uint64_t id, const ServiceCall&)>;

  PendingCalls(base::EventLoop& loop, PendingCallsOptions options,
               Forward forward);

  /// Forwards the call or lets it wait for a leader. `done` is called once,
  /// possibly from within Add.
  void Add(ServiceCall call, ServiceCallback done);
  /// Completes a call. Ignores ids of calls that have completed or were
  /// forwarded again.
  void Finish(std::uint64_t id, ServiceReply reply);
  /// Completes all calls: those that were forwarded, now or earlier, with
  /// kUnknown, the others with kRefused. Refuses later ones immediately, except
  /// that copies of submissions whose outcome is unknown get kUnknown, too.
  /// Ignores late replies.
  void Close();
  /// Reports whether a leader can be reached.
  void SetLeaderAvailable(bool available);

  [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

 private:
  struct Call {
    ServiceCall call;
    ServiceCallback done;
    bool in_flight = false;
    /// It was forwarded and may have been executed, so it must not be reported
    /// as refused.
    bool uncertain = false;
    MonotonicTime arrived_at{0};
    base::Timer timeout;
  };

  void Insert(Call call);
  void Send(std::uint64_t id, Call& call);
  /// Completes a call whose timeout has expired.
  void Expire(std::uint64_t id);
  /// Refuses the waiting calls, and later ones until there is a leader.
  void RefuseWaiting();
  static void Refuse(const Call& call);

  base::EventLoop& loop_;
  PendingCallsOptions options_;
  Forward forward_;
  bool leader_available_ = false;
  bool may_wait_ = true;  ///< False after leader_wait without a leader.
  bool closed_ = false;
  /// Submissions whose calls Close has completed with kUnknown.
  std::set<SubmissionId> unknown_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Call> calls_;  ///< In order of arrival.
  base::Timer leader_wait_timer_;
};

}  // namespace mangospread::dispatch
