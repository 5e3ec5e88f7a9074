#include "gateway/gateway.hpp"

#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "base/loop/clock.hpp"
#include "gateway/request_session.hpp"
#include "gateway/routing/endpoint_call.hpp"
#include "gateway/routing/headers.hpp"

namespace mangospread::gateway {

Gateway::Gateway(base::EventLoop& loop, GatewayOptions options,
                 const config::Store& store, Router& router, KeyStore& keys,
                 SendForward forward, std::function<NotRunReason()> admission)
    : loop_(loop),
      options_(std::move(options)),
      store_(store),
      router_(router),
      keys_(keys),
      forward_(std::move(forward)),
      admission_(std::move(admission)),
      limiter_(store, base::MonotonicNow),
      queue_(loop, options_.queue),
      random_(std::random_device{}()),
      request_id_prefix_(options_.node.str() + "-" +
                         std::to_string(options_.incarnation.value()) + "-") {}

void Gateway::Handle(std::shared_ptr<net::HttpExchange> exchange) {
  std::make_shared<RequestSession>(*this, std::move(exchange))->Start();
}

void Gateway::HandleForwarded(rpc::ForwardRequest request,
                              std::function<void(rpc::ForwardReply)> done) {
  if (forwards_stopped_) {
    return done({Outcome::kNotRun, NotRunReason::kShuttingDown, {}});
  }
  const ServiceSpec* service = store_.FindService(request.service);
  if (service == nullptr) {
    return done({Outcome::kNotRun, NotRunReason::kUnknownService, {}});
  }
  // Filtered again here, since the peer may not have removed all fields that
  // must not reach the endpoint.
  FilterRequest(request.request.headers);
  // Requests queued on this node arrived first. The peer forwarded this one
  // because of an outdated advertisement.
  const bool others_queued = queue_.waiting(request.service) > 0;
  const auto worker = others_queued ? nullptr : router_.PickLocal(*service);
  ++in_flight_;
  const bool sent = worker != nullptr &&
                    SendToEndpoint(router_, worker, request,
                                   [this, done](rpc::ForwardReply reply) {
                                     --in_flight_;
                                     done(std::move(reply));
                                   });
  if (sent) return;
  --in_flight_;
  done({Outcome::kNotRun, NotRunReason::kNoCapacity, {}});
}

void Gateway::CloseRequests() {
  std::vector<std::shared_ptr<RequestSession>> open;
  open.reserve(sessions_.size());
  for (RequestSession* session : sessions_) {
    open.push_back(session->shared_from_this());
  }
  // Whether a request that waits for its key has run depends on the request
  // that holds the key.
  keys_.ExpireClaims();
  for (const auto& session : open) session->Close();
}

RequestId Gateway::NextRequestId() {
  return RequestId(request_id_prefix_ + std::to_string(++next_request_));
}

ServiceStats& Gateway::StatsOf(const ServiceName& service) {
  const auto it = stats_.find(service);
  if (it != stats_.end()) return it->second;
  return stats_.try_emplace(service, base::MonotonicNow()).first->second;
}

MonotonicTime Gateway::ExpectedWait(const ServiceName& name,
                                    const ServiceSpec& service) {
  const int slots = router_.LocalSlots(service);
  if (slots == 0) return MonotonicTime(0);
  const auto ahead = static_cast<std::int64_t>(queue_.waiting(name)) + 1;
  return StatsOf(name).median.value() * ahead / slots;
}

MonotonicTime Gateway::RetryDelay(int attempts) {
  const double max_delay = static_cast<double>(
      MonotonicTime(options_.first_retry_delay).count() << (attempts - 1));
  return MonotonicTime(static_cast<std::int64_t>(
      std::uniform_real_distribution<double>(0, max_delay)(random_)));
}

}  // namespace mangospread::gateway
