#include "gateway/routing/endpoint_call.hpp"

#include <string>
#include <utility>

#include "base/events.hpp"
#include "worker/codec.hpp"

namespace mangospread::gateway {
namespace {

constexpr int kConflict = 409;

/// A non-idempotent request uses only a connection that answered this
/// recently; a connection that went silent would leave its fate unknown.
constexpr Milliseconds kProvenAlive{1'000};
constexpr Milliseconds kMaxIdle{10'000};

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

/// Applies what a refusal says about the worker. Waiting for the next renewal
/// to say so would refuse the requests of half a second, or send new ones to
/// a leaving endpoint when its backoff of 200 ms ends.
void OnRefusal(ownership::OwnedWorker& worker, const net::Response& response) {
  const auto refusal = response.headers.Get(worker::kRefusedHeader);
  if (refusal == "stale-epoch" || refusal == "no-owner") worker.OnFenced();
  if (refusal == "leaving") worker.OnLeaving();
}

rpc::ForwardReply Settle(ownership::OwnedWorker& worker, const RequestId& id,
                         net::CallResult call) {
  if (call.response.ok()) {
    worker.Release(id);
    net::Response& response = call.response.value();
    if (IsRefusal(response)) {
      OnRefusal(worker, response);
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
  worker.Hold(id);
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
  options.max_idle = request.idempotent ? kMaxIdle : kProvenAlive;
  options.echo_header = worker::kRequestIdHeader;
  options.may_send = [worker] { return worker->accepts_work(); };
  worker->requests().Send(request.request,
                          FenceHeaders(request, worker->fence()),
                          std::move(options),
                          [&router, worker, id = request.request_id,
                           done = std::move(done)](net::CallResult call) {
                            auto reply = Settle(*worker, id, std::move(call));
                            router.OnResult(worker->vm().name, reply);
                            done(std::move(reply));
                          });
  return true;
}

}  // namespace mangospread::gateway
