#include "gateway/gateway.hpp"

#include <utility>

#include "gateway/endpoint_call.hpp"
#include "gateway/request_session.hpp"

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
      admission_(std::move(admission)) {}

void Gateway::Handle(std::shared_ptr<net::HttpExchange> exchange) {
  std::make_shared<RequestSession>(*this, std::move(exchange))->Start();
}

void Gateway::HandleForwarded(rpc::ForwardRequest request,
                              std::function<void(rpc::ForwardReply)> done) {
  const ServiceSpec* service = store_.FindService(request.service);
  if (service == nullptr) {
    return done({Outcome::kNotRun, NotRunReason::kUnknownService, {}});
  }
  const auto worker = router_.PickLocal(*service);
  ++in_flight_;
  const bool sent =
      worker != nullptr &&
      SendToEndpoint(worker, request, [this, done](rpc::ForwardReply reply) {
        --in_flight_;
        done(std::move(reply));
      });
  if (sent) return;
  --in_flight_;
  done({Outcome::kNotRun, NotRunReason::kNoCapacity, {}});
}

RequestId Gateway::NextRequestId() {
  return RequestId(options_.node.str() + "-" +
                   std::to_string(options_.incarnation.value()) + "-" +
                   std::to_string(++next_request_));
}

}  // namespace mangospread::gateway
