#include "gateway/limits/limiter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mangospread::gateway {
namespace {

/// When a request that exceeds a concurrency limit should come back.
constexpr Milliseconds kConcurrencyRetry{1'000};

/// A second's worth may arrive at once: callers are not evenly spaced.
double Burst(int max_rate) { return std::max(1.0, double(max_rate)); }

/// @return zero when there is room.
Milliseconds WaitFor(const TokenBucket& bucket, int in_flight, int max_rate,
                     int max_concurrency) {
  if (max_concurrency > 0 && in_flight >= max_concurrency) {
    return kConcurrencyRetry;
  }
  if (max_rate <= 0 || bucket.tokens() >= 1) return Milliseconds(0);
  constexpr double kMsPerSecond = 1'000;
  const double wait = (1 - bucket.tokens()) / max_rate * kMsPerSecond;
  return Milliseconds(std::max(1, static_cast<int>(std::ceil(wait))));
}

}  // namespace

Limiter::Limiter(const config::Store& store, Clock now)
    : store_(store), now_(std::move(now)) {}

Limiter::Usage& Limiter::FindService(const ServiceName& name, int max_rate) {
  const MonotonicTime now = now_();
  Usage& usage = services_.try_emplace(name, Usage{{Burst(max_rate), now}, 0})
                     .first->second;
  usage.bucket.Refill(max_rate, Burst(max_rate), now);
  return usage;
}

Limiter::Usage& Limiter::FindTeam(const TeamName& name, int max_rate) {
  const MonotonicTime now = now_();
  Usage& usage =
      teams_.try_emplace(name, Usage{{Burst(max_rate), now}, 0}).first->second;
  usage.bucket.Refill(max_rate, Burst(max_rate), now);
  return usage;
}

Milliseconds Limiter::Enter(const ServiceName& name,
                            const ServiceSpec& service) {
  const TeamSpec* team = store_.FindTeam(service.team);
  const int team_rate = team == nullptr ? 0 : team->max_rate;
  const int team_concurrency = team == nullptr ? 0 : team->max_concurrency;
  Usage& own = FindService(name, service.max_rate);
  Usage& shared = FindTeam(service.team, team_rate);
  const Milliseconds wait = std::max(
      WaitFor(own.bucket, own.in_flight, service.max_rate,
              service.max_concurrency),
      WaitFor(shared.bucket, shared.in_flight, team_rate, team_concurrency));
  if (wait.count() > 0) {
    ++refused_;
    return wait;
  }
  if (service.max_rate > 0) (void)own.bucket.Take();
  if (team_rate > 0) (void)shared.bucket.Take();
  ++own.in_flight;
  ++shared.in_flight;
  return Milliseconds(0);
}

void Limiter::Leave(const ServiceName& name, const TeamName& team) {
  --services_.at(name).in_flight;
  --teams_.at(team).in_flight;
}

}  // namespace mangospread::gateway
