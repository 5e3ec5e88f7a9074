#include "gateway/routing/endpoint_call.hpp"

#include <string>
#include <utility>

#include "base/events.hpp"
#include "gateway/routing/headers.hpp"
#include "worker/codec.hpp"

namespace mangospread::gateway {
namespace {

constexpr int kConflict = 409;

/// A non-idempotent request uses only a connection that answered this
/// recently; a connection that went silent would leave its fate unknown.
constexpr Milliseconds kProvenAlive{1'000};
constexpr Milliseconds kMaxIdle{10'000};

net::Request MakeEndpointRequest(const rpc::ForwardRequest& request,
                                 const Fence& fence) {
  net::Request out;
  out.method = request.request.method;
  out.target = request.request.target;
  out.body = request.request.body;
  // A forwarded request is filtered here as well: this is the last point
  // before the endpoint.
  out.headers = RequestHeaders(request.request.headers);
  out.headers.Add(worker::kServiceHeader, request.service.str());
  out.headers.Add(worker::kOwnerHeader, fence.owner.str());
  out.headers.Add(worker::kEpochHeader, std::to_string(fence.epoch.value()));
  out.headers.Add(worker::kRequestIdHeader, request.request_id.str());
  return out;
}

rpc::ForwardReply NotRun(NotRunReason reason) {
  return {Outcome::kNotRun, reason, {}};
}

bool IsRefusal(const net::Response& response) {
  return response.status == kConflict &&
         response.headers.Has(worker::kRefusedHeader);
}

rpc::ForwardReply Settle(ownership::OwnedWorker& worker, const RequestId& id,
                         net::CallResult call) {
  if (call.response.ok()) {
    worker.Release(id);
    net::Response& response = call.response.value();
    if (IsRefusal(response)) return NotRun(NotRunReason::kRefusedByEndpoint);
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
  worker->requests().Send(MakeEndpointRequest(request, worker->fence()),
                          options,
                          [&router, worker, id = request.request_id,
                           done = std::move(done)](net::CallResult call) {
                            auto reply = Settle(*worker, id, std::move(call));
                            router.OnResult(worker->vm().name, reply);
                            done(std::move(reply));
                          });
  return true;
}

}  // namespace mangospread::gateway
