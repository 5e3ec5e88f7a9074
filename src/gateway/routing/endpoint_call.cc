#include "gateway/routing/endpoint_call.hpp"

#include <string>
#include <utility>

#include "base/events.hpp"
#include "worker/codec.hpp"

namespace mangospread::gateway {
namespace {

constexpr int kConflict = 409;

/// Maximum time since the last response on a reused connection. It is shorter
/// for non-idempotent requests: on a connection that has become unresponsive,
/// such a request would end with an unknown outcome and could not be retried.
constexpr Milliseconds kMaxIdleNonIdempotent{1'000};
constexpr Milliseconds kMaxIdleIdempotent{10'000};

net::Headers FenceHeaders(const rpc::ForwardRequest& request,
                          const Fence& fence) {
  net::Headers out;
  out.Reserve(4);
  out.Add(worker::kServiceHeader, request.service.str());
  out.Add(worker::kOwnerHeader, fence.owner.str());
  out.Add(worker::kEpochHeader, std::to_string(fence.epoch.value()));
  out.Add(worker::kRequestIdHeader, request.request_id.str());
  return out;
}

rpc::ForwardReply NotRun(NotRunReason reason) {
  return {Outcome::kNotRun, reason, {}};
}

bool IsRefusal(const net::Response& response) {
  return response.status == kConflict &&
         response.headers.Has(worker::kRefusedHeader);
}

/// Updates the worker's state from a refusal. Without this, requests would be
/// refused for half a second until the next lease renewal, or new requests
/// would be sent to a leaving endpoint after its backoff of 200 ms.
void ApplyRefusal(ownership::OwnedWorker& worker,
                  const net::Response& response) {
  const auto refusal = response.headers.Get(worker::kRefusedHeader);
  if (refusal == "stale-epoch" || refusal == "no-owner") worker.OnFenced();
  if (refusal == "leaving") worker.OnLeaving();
}

/// Releases or keeps the worker's slot and converts the result of the call.
rpc::ForwardReply FinishCall(ownership::OwnedWorker& worker,
                             const RequestId& id, net::CallResult call) {
  if (call.response.ok()) {
    worker.Release(id);
    net::Response& response = call.response.value();
    if (IsRefusal(response)) {
      ApplyRefusal(worker, response);
      return NotRun(NotRunReason::kRefusedByEndpoint);
    }
    return {Outcome::kAnswered, NotRunReason::kNone, std::move(response)};
  }
  const Error& error = call.response.error();
  base::Log(base::Event::kConnectionDiscarded,
            {{"vm", worker.vm().name.str()},
             {"request", id.str()},
             {"error", ErrcName(error.code)},
             {"sent", call.sent == net::SendState::kMaybeSent}});
  if (call.sent == net::SendState::kNotSent) {
    worker.Release(id);
    return NotRun(error.code == Errc::kNoCapacity
                      ? NotRunReason::kNoCapacity
                      : NotRunReason::kConnectFailed);
  }
  worker.KeepOccupied(id);
  return {Outcome::kUnknown, NotRunReason::kNone, {}};
}

}  // namespace

bool SendToEndpoint(Router& router,
                    const std::shared_ptr<ownership::OwnedWorker>& worker,
                    const rpc::ForwardRequest& request,
                    std::function<void(rpc::ForwardReply)> done) {
  if (!worker->Acquire(request.request_id)) return false;
  router.OnSent(worker->vm().name);
  base::Log(base::Event::kRequestRouted,
            {{"request", request.request_id.str()},
             {"service", request.service.str()},
             {"vm", worker->vm().name.str()},
             {"occupied", worker->occupied_slots()}});
  net::CallOptions options;
  options.timeout = request.timeout;
  options.max_idle =
      request.idempotent ? kMaxIdleIdempotent : kMaxIdleNonIdempotent;
  options.echo_header = worker::kRequestIdHeader;
  options.may_send = [worker] { return worker->accepts_work(); };
  worker->requests().Send(
      request.request, FenceHeaders(request, worker->fence()),
      std::move(options),
      [&router, worker, id = request.request_id,
       done = std::move(done)](net::CallResult call) {
        auto reply = FinishCall(*worker, id, std::move(call));
        router.OnResult(worker->vm().name, reply);
        done(std::move(reply));
      });
  return true;
}

}  // namespace mangospread::gateway
