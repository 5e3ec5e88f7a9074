/// @file
/// Rate and concurrency limits of teams and services.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/token_bucket.hpp"
#include "config/store.hpp"

namespace mangospread::gateway {

/// Position of this node among the live nodes.
struct NodeShare {
  std::size_t index = 0;  ///< Less than `nodes`, unique per node.
  std::size_t nodes = 1;  ///< Number of live nodes, including this one.
};

/// Limits rate and concurrency per service and per team, as configured at the
/// time of the request. Limits apply to the whole deployment. Each node admits
/// its share; the shares of nodes with the same view of the live nodes add up
/// to the limit.
class Limiter {
 public:
  using Clock = std::function<MonotonicTime()>;

  Limiter(const config::Store& store, Clock now);

  /// Sets the share for subsequent requests. Requests in flight are not
  /// affected, so a node whose share shrinks admits no request until its
  /// concurrency is below the new share.
  void SetShare(NodeShare share) noexcept { share_ = share; }

  /// Admits a request if the limits of its service and team allow it.
  /// @return zero when the request is admitted, else the delay after which it
  ///   may be retried. A refused request does not count against any limit.
  [[nodiscard]] Milliseconds Admit(const ServiceName& name,
                                   const ServiceSpec& service);
  /// Ends an admitted request.
  /// @param team the team that the request was admitted for; the service's team
  ///   may have changed since.
  void EndRequest(const ServiceName& name, const TeamName& team);

  /// Number of requests refused so far.
  [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

 private:
  /// Current use of the limits of a team or service on this node.
  struct Usage {
    base::TokenBucket bucket;
    int in_flight = 0;
  };

  /// This node's share of the limits of a team or service.
  struct Limits {
    double rate = 0;  ///< Requests per second; 0 is unlimited.
    /// Requests in flight at the same time; empty is unlimited.
    std::optional<int> concurrency;
  };

  [[nodiscard]] Limits LocalLimits(const std::string& name, int max_rate,
                                   int max_concurrency) const;
  /// Finds or creates the usage of a team or service and refills its bucket.
  template <typename Map, typename Name>
  Usage& RefilledUsage(Map& usages, const Name& name, double rate);
  /// @return the delay after which a request may be retried; zero when the
  ///   limits admit it now.
  [[nodiscard]] static Milliseconds RetryAfter(const Usage& usage,
                                               const Limits& limits);

  const config::Store& store_;
  Clock now_;
  NodeShare share_;
  std::map<ServiceName, Usage> services_;
  std::map<TeamName, Usage> teams_;
  std::uint64_t refused_ = 0;
};

}  // namespace mangospread::gateway
