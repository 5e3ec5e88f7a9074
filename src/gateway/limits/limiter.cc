#include "gateway/limits/limiter.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mangospread::gateway {
namespace {

/// Delay after which a request that exceeds a concurrency limit may be retried.
constexpr Milliseconds kConcurrencyRetryDelay{1'000};

/// Allows bursts of one second's worth of requests, since callers do not send
/// at even intervals.
double Burst(double rate) { return std::max(1.0, rate); }

}  // namespace

Limiter::Limiter(const config::Store& store, Clock now)
    : store_(store), now_(std::move(now)) {}

Limiter::Limits Limiter::LocalLimits(const std::string& name, int max_rate,
                                     int max_concurrency) const {
  Limits limits;
  limits.rate = max_rate / static_cast<double>(share_.nodes);
  if (max_concurrency <= 0) return limits;
  // The remainder of the division is assigned to nodes by a hash of the name,
  // so that it does not always go to the same nodes.
  const std::uint64_t offset = XXH64(name.data(), name.size(), 0);
  const std::size_t position = (share_.index + offset) % share_.nodes;
  const auto limit = static_cast<std::size_t>(max_concurrency);
  const std::size_t remainder = position < limit % share_.nodes ? 1 : 0;
  limits.concurrency = static_cast<int>(limit / share_.nodes + remainder);
  return limits;
}

template <typename Map, typename Name>
Limiter::Usage& Limiter::RefilledUsage(Map& usages, const Name& name,
                                       double rate) {
  const MonotonicTime now = now_();
  Usage& usage =
      usages.try_emplace(name, Usage{{Burst(rate), now}, 0}).first->second;
  usage.bucket.Refill(rate, Burst(rate), now);
  return usage;
}

Milliseconds Limiter::RetryAfter(const Usage& usage, const Limits& limits) {
  if (limits.concurrency && usage.in_flight >= *limits.concurrency) {
    return kConcurrencyRetryDelay;
  }
  if (limits.rate <= 0 || usage.bucket.tokens() >= 1) return Milliseconds(0);
  constexpr double kMsPerSecond = 1'000;
  const double wait = (1 - usage.bucket.tokens()) / limits.rate * kMsPerSecond;
  return Milliseconds(std::max(1, static_cast<int>(std::ceil(wait))));
}

Milliseconds Limiter::Admit(const ServiceName& name,
                            const ServiceSpec& service) {
  const TeamSpec* team = store_.FindTeam(service.team);
  const Limits service_limits =
      LocalLimits(name.str(), service.max_rate, service.max_concurrency);
  const Limits team_limits =
      team == nullptr ? Limits{}
                      : LocalLimits(service.team.str(), team->max_rate,
                                    team->max_concurrency);
  Usage& service_usage = RefilledUsage(services_, name, service_limits.rate);
  Usage& team_usage = RefilledUsage(teams_, service.team, team_limits.rate);
  const Milliseconds wait = std::max(RetryAfter(service_usage, service_limits),
                                     RetryAfter(team_usage, team_limits));
  if (wait.count() > 0) {
    ++refused_;
    return wait;
  }
  if (service_limits.rate > 0) (void)service_usage.bucket.Take();
  if (team_limits.rate > 0) (void)team_usage.bucket.Take();
  ++service_usage.in_flight;
  ++team_usage.in_flight;
  return Milliseconds(0);
}

void Limiter::EndRequest(const ServiceName& name, const TeamName& team) {
  --services_.at(name).in_flight;
  --teams_.at(team).in_flight;
}

}  // namespace mangospread::gateway
