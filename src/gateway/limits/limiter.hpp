/// @file
/// Limits of teams and services.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "config/store.hpp"
#include "gateway/limits/token_bucket.hpp"

namespace mangospread::gateway {

/// This node's place among the live nodes.
struct NodeShare {
  std::size_t index = 0;  ///< Below `nodes`, different on every node.
  std::size_t nodes = 1;
};

/// Rate and concurrency per service and per team, as configured at the time of
/// the request. Limits are for the deployment; each node admits its share, so
/// that the shares of nodes with the same view add up to the limit.
class Limiter {
 public:
  using Clock = std::function<MonotonicTime()>;

  Limiter(const config::Store& store, Clock now);

  /// Sets the share for the requests to come. Requests in flight stay, so a
  /// node whose share shrinks admits none until it is below the new one.
  void SetShare(NodeShare share) noexcept { share_ = share; }

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

  /// What this node may admit of a team or service.
  struct Limits {
    double rate = 0;  ///< 0 is unlimited.
    std::optional<int> concurrency;
  };

  [[nodiscard]] Limits ShareOf(const std::string& name, int max_rate,
                               int max_concurrency) const;
  template <typename Map, typename Name>
  Usage& Find(Map& usages, const Name& name, double rate);
  /// @return zero when there is room.
  [[nodiscard]] static Milliseconds WaitFor(const Usage& usage,
                                            const Limits& limits);

  const config::Store& store_;
  Clock now_;
  NodeShare share_;
  std::map<ServiceName, Usage> services_;
  std::map<TeamName, Usage> teams_;
  std::uint64_t refused_ = 0;
};

}  // namespace mangospread::gateway
