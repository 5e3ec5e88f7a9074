#include "gateway/limits/limiter.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mangospread::gateway {
namespace {

/// When a request that exceeds a concurrency limit should come back.
constexpr Milliseconds kConcurrencyRetry{1'000};

/// A second's worth may arrive at once: callers are not evenly spaced.
double Burst(double rate) { return std::max(1.0, rate); }

}  // namespace

Limiter::Limiter(const config::Store& store, Clock now)
    : store_(store), now_(std::move(now)) {}

Limiter::Limits Limiter::ShareOf(const std::string& name, int max_rate,
                                 int max_concurrency) const {
  Limits limits;
  limits.rate = max_rate / static_cast<double>(share_.nodes);
  if (max_concurrency <= 0) return limits;
  // The name decides which nodes take the remainder, so that it is not always
  // the same ones.
  const std::uint64_t first = XXH64(name.data(), name.size(), 0);
  const std::size_t place = (share_.index + first) % share_.nodes;
  const auto limit = static_cast<std::size_t>(max_concurrency);
  const std::size_t extra = place < limit % share_.nodes ? 1 : 0;
  limits.concurrency = static_cast<int>(limit / share_.nodes + extra);
  return limits;
}

template <typename Map, typename Name>
Limiter::Usage& Limiter::Find(Map& usages, const Name& name, double rate) {
  const MonotonicTime now = now_();
  Usage& usage =
      usages.try_emplace(name, Usage{{Burst(rate), now}, 0}).first->second;
  usage.bucket.Refill(rate, Burst(rate), now);
  return usage;
}

Milliseconds Limiter::WaitFor(const Usage& usage, const Limits& limits) {
  if (limits.concurrency && usage.in_flight >= *limits.concurrency) {
    return kConcurrencyRetry;
  }
  if (limits.rate <= 0 || usage.bucket.tokens() >= 1) return Milliseconds(0);
  constexpr double kMsPerSecond = 1'000;
  const double wait = (1 - usage.bucket.tokens()) / limits.rate * kMsPerSecond;
  return Milliseconds(std::max(1, static_cast<int>(std::ceil(wait))));
}

Milliseconds Limiter::Enter(const ServiceName& name,
                            const ServiceSpec& service) {
  const TeamSpec* team = store_.FindTeam(service.team);
  const Limits own_limits =
      ShareOf(name.str(), service.max_rate, service.max_concurrency);
  const Limits team_limits =
      team == nullptr
          ? Limits{}
          : ShareOf(service.team.str(), team->max_rate, team->max_concurrency);
  Usage& own = Find(services_, name, own_limits.rate);
  Usage& shared = Find(teams_, service.team, team_limits.rate);
  const Milliseconds wait =
      std::max(WaitFor(own, own_limits), WaitFor(shared, team_limits));
  if (wait.count() > 0) {
    ++refused_;
    return wait;
  }
  if (own_limits.rate > 0) (void)own.bucket.Take();
  if (team_limits.rate > 0) (void)shared.bucket.Take();
  ++own.in_flight;
  ++shared.in_flight;
  return Milliseconds(0);
}

void Limiter::Leave(const ServiceName& name, const TeamName& team) {
  --services_.at(name).in_flight;
  --teams_.at(team).in_flight;
}

}  // namespace mangospread::gateway
