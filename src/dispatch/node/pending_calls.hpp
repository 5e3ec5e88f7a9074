/// @file
/// Callers' calls that are not answered yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "base/loop/event_loop.hpp"
#include "dispatch/front/submission_service.hpp"

namespace mangospread::dispatch {

struct PendingCallsOptions {
  /// A call without a reply for this long may have taken effect or not.
  Milliseconds timeout{2'800};
  /// After the leader is lost, calls wait this long for the next one; the
  /// shortest Retry-After is a second.
  Milliseconds leader_wait{700};
  /// A call that waits again after it was forwarded is given up this long after
  /// it came, so that its caller has time for another try.
  Milliseconds longest_wait{1'200};
  /// More than this many waiting calls are refused at once.
  std::size_t max_waiting = 512;
};

/// Forwards calls to the leader. While there is none, calls wait for a short
/// time and those in flight are forwarded again to the next leader, which is
/// safe: calls name their submission and are idempotent.
class PendingCalls {
 public:
  /// Sends a call to the leader; its reply comes through Finish with the id.
  using Forward = std::function<void(std::uint64_t id, const ServiceCall&)>;

  PendingCalls(base::EventLoop& loop, PendingCallsOptions options,
               Forward forward);

  void Add(ServiceCall call, ServiceCallback done);
  /// Ignores ids of calls that were answered or forwarded again.
  void Finish(std::uint64_t id, ServiceReply reply);
  /// The leader can, or cannot, be reached.
  void SetServing(bool serving);

  [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

 private:
  struct Call {
    ServiceCall call;
    ServiceCallback done;
    bool in_flight = false;
    /// It reached an earlier leader, which may have carried it out.
    bool uncertain = false;
    MonotonicTime arrived_at{0};
    base::Timer timeout;
  };

  void Insert(Call call);
  void Send(std::uint64_t id, Call& call);
  /// The time of a call is over.
  void Expire(std::uint64_t id);
  /// Answers the waiting calls; later ones are refused until there is a leader.
  void RefuseWaiting();
  static void Refuse(const Call& call);

  base::EventLoop& loop_;
  PendingCallsOptions options_;
  Forward forward_;
  bool serving_ = false;
  bool may_wait_ = true;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Call> calls_;  ///< In order of arrival.
  base::Timer leader_wait_timer_;
};

}  // namespace mangospread::dispatch
