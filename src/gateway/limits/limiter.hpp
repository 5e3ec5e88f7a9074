/// @file
/// Limits of teams and services.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "config/store.hpp"
#include "gateway/limits/token_bucket.hpp"

namespace mangospread::gateway {

/// Rate and concurrency per service and per team, as configured at the time of
/// the request. Limits are per node.
class Limiter {
 public:
  using Clock = std::function<MonotonicTime()>;

  Limiter(const config::Store& store, Clock now);

  /// Counts a request of the service and its team.
  /// @return zero when it is admitted, else after how long a retry may be.
  ///   A refused request is not counted anywhere.
  [[nodiscard]] Milliseconds Enter(const ServiceName& name,
                                   const ServiceSpec& service);
  /// Ends an admitted request. The team is the one it was admitted for.
  void Leave(const ServiceName& name, const TeamName& team);

  [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

 private:
  struct Usage {
    TokenBucket bucket;
    int in_flight = 0;
  };

  Usage& FindService(const ServiceName& name, int max_rate);
  Usage& FindTeam(const TeamName& name, int max_rate);

  const config::Store& store_;
  Clock now_;
  std::map<ServiceName, Usage> services_;
  std::map<TeamName, Usage> teams_;
  std::uint64_t refused_ = 0;
};

}  // namespace mangospread::gateway
