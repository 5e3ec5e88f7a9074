#include "dispatch/node/pending_calls.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::dispatch {
namespace {

constexpr Milliseconds kNoLeaderRetryAfter{1'000};
constexpr MonotonicTime kMinTimeout = std::chrono::milliseconds(1);

bool ChangesState(ServiceVerb verb) {
  return verb == ServiceVerb::kSubmit || verb == ServiceVerb::kCancel;
}

}  // namespace

PendingCalls::PendingCalls(base::EventLoop& loop, PendingCallsOptions options,
                           Forward forward)
    : loop_(loop),
      options_(options),
      forward_(std::move(forward)),
      leader_wait_timer_(
          loop.After(options.leader_wait, [this] { RefuseWaiting(); })) {}

void PendingCalls::Refuse(const Call& call) {
  call.done(call.uncertain ? MakeReply(ServiceResult::kUnknown)
                           : MakeRefusal(kNoLeaderRetryAfter));
}

void PendingCalls::Add(ServiceCall call, ServiceCallback done) {
  Call entry;
  entry.arrived_at = base::MonotonicNow();
  entry.call = std::move(call);
  entry.done = std::move(done);
  // An earlier copy of the submission may still be carried out.
  entry.uncertain = unknown_.contains(entry.call.submission);
  const bool may_wait = may_wait_ && calls_.size() < options_.max_waiting;
  if (closed_ || (!leader_available_ && !may_wait)) return Refuse(entry);
  Insert(std::move(entry));
}

void PendingCalls::Insert(Call call) {
  const std::uint64_t id = ++last_id_;
  call.in_flight = false;
  const MonotonicTime limit =
      leader_available_ ? options_.timeout : options_.max_total_wait;
  const MonotonicTime left =
      std::max(call.arrived_at + limit - base::MonotonicNow(), kMinTimeout);
  call.timeout = loop_.After(left, [this, id] { Expire(id); });
  Call& entry = calls_.emplace(id, std::move(call)).first->second;
  if (leader_available_) Send(id, entry);
}

void PendingCalls::Expire(std::uint64_t id) {
  const auto node = calls_.extract(id);
  if (node.empty()) return;
  Call& call = node.mapped();
  if (call.in_flight) call.uncertain = true;
  Refuse(call);
}

void PendingCalls::Send(std::uint64_t id, Call& call) {
  call.in_flight = true;
  forward_(id, call.call);
}

void PendingCalls::Finish(std::uint64_t id, ServiceReply reply) {
  const auto node = calls_.extract(id);
  if (node.empty()) return;
  const Call& call = node.mapped();
  // The refusal does not cover a former leader, which may have executed the
  // call.
  if (reply.result == ServiceResult::kRefused && call.uncertain) {
    reply = ServiceReply();
  }
  call.done(reply);
}

void PendingCalls::Close() {
  if (closed_) return;
  closed_ = true;
  std::size_t forwarded = 0;
  for (auto& [id, call] : calls_) {
    if (call.in_flight) call.uncertain = true;
    if (!call.uncertain) continue;
    ++forwarded;
    if (ChangesState(call.call.verb)) unknown_.insert(call.call.submission);
  }
  base::Log(base::Event::kCallsClosed,
            {{"forwarded", forwarded}, {"waiting", calls_.size() - forwarded}});
  for (const auto& [id, call] : std::exchange(calls_, {})) Refuse(call);
}

void PendingCalls::SetLeaderAvailable(bool available) {
  if (leader_available_ == available) return;
  leader_available_ = available;
  may_wait_ = true;
  if (!available) {
    leader_wait_timer_ =
        loop_.After(options_.leader_wait, [this] { RefuseWaiting(); });
  } else {
    leader_wait_timer_.reset();
  }
  // The calls get new ids, so replies to the former ids are ignored.
  for (auto& [id, call] : std::exchange(calls_, {})) {
    if (call.in_flight && ChangesState(call.call.verb)) call.uncertain = true;
    Insert(std::move(call));
  }
}

void PendingCalls::RefuseWaiting() {
  may_wait_ = false;
  for (const auto& [id, call] : std::exchange(calls_, {})) Refuse(call);
}

}  // namespace mangospread::dispatch
