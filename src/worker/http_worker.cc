#include "worker/http_worker.hpp"

#include <utility>

#include "worker/codec.hpp"

namespace mangospread::worker {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

/// Bound on the idle time of a connection that is used again: if the worker has
/// become unreachable over it meanwhile, a renewal fails only at its timeout.
constexpr Milliseconds kMaxIdle{3'000};

/// Error for the reason given in a response with status 409. Every other reason
/// means that the fence is stale.
Errc RefusalToErrc(std::string_view reason) {
  if (reason == "lease-held") return Errc::kLeaseHeld;
  if (reason == "full") return Errc::kNoCapacity;
  if (reason == "leaving") return Errc::kLeaving;
  if (reason == "unknown-task") return Errc::kNotFound;
  return Errc::kStaleEpoch;
}

}  // namespace

HttpWorker::HttpWorker(std::shared_ptr<net::HttpClientPool> pool,
                       Milliseconds timeout)
    : pool_(std::move(pool)), timeout_(timeout) {}

void HttpWorker::Post(const char* target, std::string body,
                      std::function<void(Result<net::Response>)> done) {
  net::Request request;
  request.method = net::Method::kPost;
  request.target = target;
  request.headers.Add("Content-Type", "application/json");
  request.body = std::move(body);
  net::CallOptions options;
  options.timeout = timeout_;
  options.max_idle = kMaxIdle;
  pool_->Send(
      request, options, [done = std::move(done)](const net::CallResult& call) {
        if (!call.response.ok()) return done(call.response.error());
        const net::Response& response = call.response.value();
        if (response.status == kConflict) {
          const auto reason = response.headers.Get(kRefusedHeader);
          return done(Error{RefusalToErrc(reason),
                            std::string(response.headers.Get(kEpochHeader))});
        }
        if (response.status != kOk) {
          return done(Error{Errc::kMalformed, "worker"});
        }
        done(response);
      });
}

void HttpWorker::PostLease(const char* target, std::string body,
                           ReportCallback done) {
  Post(target, std::move(body),
       [done = std::move(done)](const Result<net::Response>& response) {
         if (!response.ok()) return done(response.error());
         done(DecodeReport(response.value().body));
       });
}

void HttpWorker::Claim(Fence fence, ClaimBasis basis, Milliseconds lease,
                       ReportCallback done) {
  PostLease("/v1/worker/claim", EncodeLease({std::move(fence), basis, lease}),
            std::move(done));
}

void HttpWorker::Renew(Fence fence, Milliseconds lease, ReportCallback done) {
  PostLease("/v1/worker/renew",
            EncodeLease({std::move(fence), ClaimBasis::kTable, lease}),
            std::move(done));
}

void HttpWorker::Release(Fence fence, ReportCallback done) {
  PostLease(
      "/v1/worker/release",
      EncodeLease({std::move(fence), ClaimBasis::kTable, Milliseconds(0)}),
      std::move(done));
}

void HttpWorker::Command(Fence fence, TaskCommand command,
                         std::function<void(Result<TaskReport>)> done) {
  Post("/v1/worker/task", EncodeTask({std::move(fence), std::move(command)}),
       [done = std::move(done)](const Result<net::Response>& response) {
         if (!response.ok()) return done(response.error());
         done(DecodeTaskReport(response.value().body));
       });
}

HttpVmList::HttpVmList(std::shared_ptr<net::HttpClientPool> pool,
                       Milliseconds timeout)
    : pool_(std::move(pool)), timeout_(timeout) {}

void HttpVmList::Fetch(std::function<void(Result<std::vector<VmInfo>>)> done) {
  net::Request request;
  request.target = "/v1/vms";
  net::CallOptions options;
  options.timeout = timeout_;
  options.max_idle = kMaxIdle;
  pool_->Send(request, options,
              [done = std::move(done)](const net::CallResult& call) {
                if (!call.response.ok()) return done(call.response.error());
                if (call.response.value().status != kOk) {
                  return done(Error{Errc::kUnavailable, "vm list"});
                }
                done(DecodeVms(call.response.value().body));
              });
}

}  // namespace mangospread::worker
