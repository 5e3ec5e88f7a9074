#include "gateway/request_session.hpp"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "gateway/routing/endpoint_call.hpp"
#include "gateway/routing/headers.hpp"

namespace mangospread::gateway {
namespace {

constexpr std::string_view kServicePrefix = "/svc/";
constexpr int kNotModified = 304;
constexpr int kGatewayTimeout = 504;
constexpr std::int64_t kMaxTimeoutMs = 600'000;

bool IsIdempotent(const net::Request& request) {
  switch (request.method) {
    case net::Method::kGet:
    case net::Method::kHead:
    case net::Method::kPut:
    case net::Method::kDelete:
    case net::Method::kOptions:
      return true;
    default:
      return request.headers.Get(kIdempotentHeader) == "true";
  }
}

/// Parses a timeout in milliseconds.
/// @return 0 when the text is not a number in [1, kMaxTimeoutMs].
std::int64_t ParseTimeout(std::string_view text) {
  std::int64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data(), last, value);
  const bool valid =
      ec == std::errc() && end == last && value > 0 && value <= kMaxTimeoutMs;
  return valid ? value : 0;
}

/// Whole seconds, rounded up.
std::string RetryAfterSeconds(Milliseconds wait) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
}

rpc::ForwardReply FailedForward(const Error& error) {
  const bool never_sent = error.code == Errc::kConnectFailed;
  return {never_sent ? Outcome::kNotRun : Outcome::kUnknown,
          NotRunReason::kConnectFailed,
          {}};
}

}  // namespace

RequestSession::RequestSession(Gateway& gateway,
                               std::shared_ptr<net::HttpExchange> exchange)
    : gateway_(gateway),
      gateway_alive_(gateway.alive_),
      exchange_(std::move(exchange)) {
  ++gateway_.in_flight_;
  gateway_.sessions_.insert(this);
}

RequestSession::~RequestSession() {
  if (!*gateway_alive_) return;
  if (admitted_) gateway_.limiter_.EndRequest(request_.service, team_);
  gateway_.sessions_.erase(this);
  --gateway_.in_flight_;
}

void RequestSession::Close() {
  if (responded_) return;
  retry_timer_.reset();
  // Its key is being released, so it has not run.
  if (finished_) {
    return Respond({Outcome::kNotRun, NotRunReason::kShuttingDown, {}});
  }
  if (attempt_in_flight_) may_have_run_ = true;
  Refuse(NotRunReason::kShuttingDown);
}

void RequestSession::Start() {
  const NotRunReason not_ready = gateway_.admission_();
  if (not_ready != NotRunReason::kNone) return Refuse(not_ready);
  const NotRunReason invalid = Parse();
  if (invalid != NotRunReason::kNone) return Refuse(invalid);
  const Milliseconds wait =
      gateway_.limiter_.Admit(request_.service, *service_);
  if (wait.count() > 0) {
    retry_after_ = wait;
    return Refuse(NotRunReason::kLimitExceeded);
  }
  admitted_ = true;
  team_ = service_->team;
  gateway_.StatsOf(request_.service).retry_budget.OnRequest();
  if (key_) return ClaimKey();
  Route();
}

void RequestSession::ClaimKey() {
  gateway_.keys_.Claim(*key_, deadline_,
                       [self = shared_from_this()](ClaimResult result) {
                         self->OnClaim(std::move(result));
                       });
}

void RequestSession::OnClaim(ClaimResult result) {
  if (finished_) {
    if (result.status == ClaimStatus::kGranted) {
      gateway_.keys_.Release(key_->row_key, [] {});
    }
    return;
  }
  switch (result.status) {
    case ClaimStatus::kGranted:
      key_claimed_ = true;
      return Route();
    case ClaimStatus::kStored:
      replayed_ = true;
      return Finish({Outcome::kAnswered, NotRunReason::kNone,
                     std::move(result.response)});
    case ClaimStatus::kUnknown:
      return Finish({Outcome::kUnknown, NotRunReason::kNone, {}});
    case ClaimStatus::kMismatch:
      return Refuse(NotRunReason::kKeyMismatch);
    case ClaimStatus::kUnavailable:
      return Refuse(NotRunReason::kTableUnavailable);
  }
}

NotRunReason RequestSession::Parse() {
  net::Request& incoming = exchange_->request();
  const std::string_view target = incoming.target;
  const auto rest = target.substr(kServicePrefix.size());
  const auto end = rest.find_first_of("/?");
  request_.service = ServiceName(std::string(rest.substr(0, end)));
  service_ = gateway_.store_.FindService(request_.service);
  if (service_ == nullptr) return NotRunReason::kUnknownService;
  if (incoming.body.size() > gateway_.options_.max_body_bytes) {
    return NotRunReason::kTooLarge;
  }
  Milliseconds timeout = service_->timeout;
  if (const auto header = incoming.headers.Get(kTimeoutHeader);
      !header.empty()) {
    timeout = Milliseconds(ParseTimeout(header));
    if (timeout.count() == 0) return NotRunReason::kBadRequest;
  }
  deadline_ = base::MonotonicNow() + timeout;
  request_.idempotent = IsIdempotent(incoming);
  std::string path =
      end == std::string_view::npos ? "/" : std::string(rest.substr(end));
  if (path.front() != '/') path.insert(0, 1, '/');
  request_.request.method = incoming.method;
  request_.request.headers = std::move(incoming.headers);
  FilterRequest(request_.request.headers);
  request_.request.body = std::move(incoming.body);
  request_.request.target = std::move(path);
  if (request_.request.headers.Has(kIdempotencyKeyHeader)) {
    const auto key = request_.request.headers.Get(kIdempotencyKeyHeader);
    if (key.empty() || key.size() > kMaxKeyBytes) {
      return NotRunReason::kBadRequest;
    }
    key_ = MakeKeyedRequest(request_.service, key, request_.request);
  }
  return NotRunReason::kNone;
}

void RequestSession::Route() {
  // Requests that arrived earlier are sent first.
  const bool others_queued = gateway_.queue_.waiting(request_.service) > 0;
  if (!UpdateForSend()) return;
  if (others_queued || !TrySend()) WaitForSlot();
}

bool RequestSession::UpdateForSend() {
  const MonotonicTime remaining = deadline_ - base::MonotonicNow();
  request_.timeout = std::chrono::duration_cast<Milliseconds>(remaining);
  // The configuration may have changed since the request arrived.
  service_ = gateway_.store_.FindService(request_.service);
  if (request_.timeout.count() <= 0) {
    Refuse(NotRunReason::kDeadline);
    return false;
  }
  if (service_ == nullptr) {
    Refuse(NotRunReason::kUnknownService);
    return false;
  }
  return true;
}

bool RequestSession::TrySend() { return SendLocal() || SendToPeer(); }

void RequestSession::WaitForSlot() {
  const MonotonicTime now = base::MonotonicNow();
  const MonotonicTime typical_time =
      gateway_.StatsOf(request_.service).median.value();
  const MonotonicTime expected_wait =
      gateway_.ExpectedWait(request_.service, *service_);
  if (now + expected_wait + typical_time >= deadline_) {
    ++gateway_.counters_.refused_early;
    retry_after_ = std::max(
        retry_after_, std::chrono::duration_cast<Milliseconds>(expected_wait));
    return Refuse(NotRunReason::kNoCapacity);
  }
  // A peer that refused may have free slots by its next advertisement. If it
  // stayed excluded, a request whose only peer refused would block all requests
  // queued behind it until its deadline.
  tried_peers_.clear();
  WaitEntry entry;
  entry.service = request_.service;
  entry.expires_at = deadline_ - typical_time;
  const auto self = shared_from_this();
  // A request that UpdateForSend has refused is finished, so it also leaves the
  // queue.
  entry.send = [self] {
    return self->finished_ || !self->UpdateForSend() || self->TrySend();
  };
  entry.is_disconnected = [self] {
    return self->exchange_->caller_disconnected();
  };
  entry.expired = [self] { self->Refuse(NotRunReason::kNoCapacity); };
  entry.abandoned = [self] { self->Refuse(NotRunReason::kCallerDisconnected); };
  if (!gateway_.queue_.Enqueue(std::move(entry))) {
    Refuse(NotRunReason::kNoCapacity);
  }
}

bool RequestSession::SendLocal() {
  const auto worker = gateway_.router_.PickLocal(*service_);
  if (worker == nullptr) return false;
  request_.request_id = gateway_.NextRequestId();
  attempt_in_flight_ = true;
  const bool sent =
      SendToEndpoint(gateway_.router_, worker, request_,
                     [self = shared_from_this()](rpc::ForwardReply reply) {
                       self->OnReply(std::move(reply));
                     });
  if (!sent) {
    attempt_in_flight_ = false;
    return false;
  }
  ++attempts_;
  sent_at_ = base::MonotonicNow();
  return true;
}

bool RequestSession::SendToPeer() {
  const auto peer = gateway_.router_.PickPeer(request_.service, tried_peers_);
  if (!peer) return false;
  request_.request_id = gateway_.NextRequestId();
  tried_peers_.insert(peer->node);
  gateway_.router_.OnForwardStarted(peer->node, request_.service);
  ++gateway_.counters_.forwarded;
  attempt_in_flight_ = true;
  ++attempts_;
  sent_at_ = base::MonotonicNow();
  base::Log(base::Event::kRequestForwarded,
            {{"request", request_.request_id.str()},
             {"service", request_.service.str()},
             {"peer", peer->node.str()}});
  gateway_.forward_(
      peer->address, request_,
      [self = shared_from_this(),
       node = peer->node](Result<rpc::ForwardReply> result) {
        self->gateway_.router_.OnForwardEnded(node, self->request_.service);
        if (!result.ok() || result.value().outcome == Outcome::kNotRun) {
          self->gateway_.router_.OnForwardFailed(node, self->request_.service);
        }
        self->OnReply(result.ok() ? std::move(result.value())
                                  : FailedForward(result.error()));
        // The slot at the peer is now free for a queued request.
        self->gateway_.OnSlotAvailable();
      });
  return true;
}

void RequestSession::OnReply(rpc::ForwardReply reply) {
  attempt_in_flight_ = false;
  if (finished_) return;
  if (reply.outcome == Outcome::kAnswered) {
    gateway_.StatsOf(request_.service)
        .median.Add(base::MonotonicNow() - sent_at_);
    return Finish(std::move(reply));
  }
  if (reply.outcome == Outcome::kUnknown) {
    may_have_run_ = true;
    if (!request_.idempotent) return Finish(std::move(reply));
  }
  if (!ScheduleRetry(reply)) Refuse(reply.reason);
}

bool RequestSession::ScheduleRetry(const rpc::ForwardReply& reply) {
  if (attempts_ >= gateway_.options_.max_attempts) return false;
  auto& budget = gateway_.StatsOf(request_.service).retry_budget;
  if (!budget.Take(base::MonotonicNow())) {
    ++gateway_.counters_.retries_denied;
    return false;
  }
  ++gateway_.counters_.retried;
  base::Log(base::Event::kRequestRetried,
            {{"request", request_.request_id.str()},
             {"service", request_.service.str()},
             {"outcome", OutcomeName(reply.outcome)}});
  retry_timer_ =
      gateway_.loop_.After(gateway_.RetryDelay(attempts_),
                           [self = shared_from_this()] { self->Route(); });
  return true;
}

void RequestSession::Refuse(NotRunReason reason) {
  if (may_have_run_) return Finish({Outcome::kUnknown, reason, {}});
  Finish({Outcome::kNotRun, reason, {}});
}

void RequestSession::Finish(rpc::ForwardReply reply) {
  if (std::exchange(finished_, true)) return;
  if (!std::exchange(key_claimed_, false)) return Respond(std::move(reply));
  KeyStore& keys = gateway_.keys_;
  switch (reply.outcome) {
    case Outcome::kAnswered:
      keys.Complete(key_->row_key, reply.response);
      return Respond(std::move(reply));
    case Outcome::kUnknown:
      keys.MarkUnknown(key_->row_key);
      return Respond(std::move(reply));
    case Outcome::kNotRun:
      keys.Release(key_->row_key, [self = shared_from_this(), reply] {
        self->Respond(reply);
      });
      return;
  }
}

void RequestSession::Respond(rpc::ForwardReply reply) {
  if (std::exchange(responded_, true)) return;
  net::Response out;
  switch (reply.outcome) {
    case Outcome::kAnswered:
      ++gateway_.counters_.answered;
      out = std::move(reply.response);
      FilterResponse(out.headers,
                     request_.request.method == net::Method::kHead ||
                         out.status == kNotModified);
      if (replayed_) out.headers.Add(kReplayedHeader, "true");
      break;
    case Outcome::kNotRun:
      ++gateway_.counters_.not_run;
      out.status = NotRunStatus(reply.reason);
      out.headers.Add(kReasonHeader,
                      std::string(NotRunReasonName(reply.reason)));
      if (out.status == NotRunStatus(NotRunReason::kNoCapacity) ||
          reply.reason == NotRunReason::kLimitExceeded) {
        out.headers.Add("Retry-After", RetryAfterSeconds(retry_after_));
      }
      base::Log(base::Event::kRequestRefused,
                {{"service", request_.service.str()},
                 {"reason", NotRunReasonName(reply.reason)}});
      break;
    case Outcome::kUnknown:
      ++gateway_.counters_.unknown;
      out.status = kGatewayTimeout;
      base::Log(base::Event::kRequestUnknown,
                {{"request", request_.request_id.str()},
                 {"service", request_.service.str()}});
      break;
  }
  out.headers.Add(kOutcomeHeader, std::string(OutcomeName(reply.outcome)));
  exchange_->Reply(out);
}

}  // namespace mangospread::gateway
