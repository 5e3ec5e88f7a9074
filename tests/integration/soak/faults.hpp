/// @file
/// Injects random faults into a managed cluster, in sequence and overlapping.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "integration/harness/managed.hpp"
#include "integration/soak/callers.hpp"

namespace mangospread::testing {

/// The longest faults that are drawn.
struct FaultLimits {
  Milliseconds node_pause{4'000};
  Milliseconds table_outage{3'500};
  /// Of the connections of a worker.
  Milliseconds worker_fault{4'000};
  /// Nodes are paused several at a time, or starved of processor time, and
  /// workers are silent for everybody.
  bool stalls = false;
};

/// Longer than a lease, and than the time after which another node leads.
inline constexpr FaultLimits kLongFaults{
    Milliseconds(12'000), Milliseconds(6'000), Milliseconds(15'000), true};

/// Draws faults from a seed, injects them from outside the nodes, and ends
/// those that last after a random time.
class FaultInjector {
 public:
  FaultInjector(ManagedCluster& cluster, Callers& callers, int workers,
                std::uint64_t seed, FaultLimits limits = FaultLimits());

  /// Injects faults for the given duration.
  void Run(Milliseconds duration);
  /// Ends all faults and starts the nodes that are down.
  void EndFaults();

  /// One line for each fault, with the milliseconds since the construction.
  [[nodiscard]] const std::vector<std::string>& log() const { return log_; }
  /// Graceful stops that failed, one line each.
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  /// Version of the configuration that was published last.
  [[nodiscard]] int config_version() const { return config_version_; }
  /// True if that configuration contains the route /extra/.
  [[nodiscard]] bool extra_route() const { return extra_route_; }

 private:
  using Clock = std::chrono::steady_clock;

  /// Draws a kind of fault and injects one of it.
  void InjectFault();
  void InjectNodeFault();
  /// Pauses up to two nodes, the leader among them in half of the cases.
  void PauseNodes();
  void PauseNode(std::size_t node, Milliseconds duration);
  /// The node that leads, among those that can respond.
  [[nodiscard]] std::optional<std::size_t> FindLeader();
  /// Discards all data of up to three workers.
  void SilenceWorkers();
  /// Lets a node run for a fifth of the time only.
  void StarveNode(std::size_t node, Clock::time_point until);
  void InjectTableConnectionFault();
  void InjectTableFault();
  void InjectWorkerFault();
  void PublishConfiguration();
  void KillAllNodes();

  /// Marks a node that was killed as down and schedules its restart.
  void ScheduleRestart(std::size_t node, Milliseconds delay);
  /// Starts a node again and passes its new address to the callers.
  void RestartIfDown(std::size_t node);
  /// Sends SIGTERM to a node and schedules the check of its exit status and its
  /// restart.
  void StopNode(std::size_t node);
  /// Draws a fault of a proxy, as JSON.
  [[nodiscard]] std::string DrawProxyFault();
  void Schedule(Milliseconds delay, std::function<void()> action);
  /// Runs the scheduled actions that are due, or all of them.
  void RunScheduled(bool all);
  void LogFault(const std::string& description);
  /// Draws an integer from the range [`lower`, `upper`].
  [[nodiscard]] int Draw(int lower, int upper);
  [[nodiscard]] std::size_t DrawNode();
  /// Draws a duration up to a limit.
  [[nodiscard]] Milliseconds DrawDuration(Milliseconds lower,
                                          Milliseconds upper);

  ManagedCluster& cluster_;
  Callers& callers_;
  int worker_count_;
  std::mt19937_64 random_;
  FaultLimits limits_;
  Clock::time_point start_time_ = Clock::now();
  std::multimap<Clock::time_point, std::function<void()>> scheduled_actions_;
  std::vector<bool> is_down_;
  std::vector<Clock::time_point> paused_until_;
  std::vector<std::string> log_;
  std::vector<std::string> violations_;
  int config_version_ = 1;
  bool extra_route_ = false;
  bool ending_ = false;
};

}  // namespace mangospread::testing
