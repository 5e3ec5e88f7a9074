/// @file
/// Random faults against a managed site, in series and overlapping.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "integration/harness/managed.hpp"
#include "integration/soak/callers.hpp"

namespace mangospread::testing {

/// Draws faults from a seed, injects them from outside the nodes and ends them
/// after a while.
class FaultInjector {
 public:
  FaultInjector(ManagedSite& site, Callers& callers, int workers,
                std::uint64_t seed);

  /// Injects faults for so long.
  void Run(Milliseconds time);
  /// Ends all faults and starts the nodes that are down.
  void Heal();

  /// One line for each fault, with its time.
  [[nodiscard]] const std::vector<std::string>& log() const { return log_; }
  [[nodiscard]] const std::vector<std::string>& violations() const {
    return violations_;
  }
  [[nodiscard]] int config_version() const { return version_; }
  [[nodiscard]] bool extra_route() const { return extra_; }

 private:
  using Clock = std::chrono::steady_clock;

  void Inject();
  void DisturbNode();
  void DisturbStoreLink();
  void DisturbStore();
  void DisturbWorker();
  void Configure();
  void KillAll();

  /// Ends a node as `end` does and starts it again later.
  void Down(std::size_t node, Milliseconds time);
  void Restart(std::size_t node);
  void Stop(std::size_t node);
  /// A fault of a proxy as JSON.
  [[nodiscard]] std::string DrawLinkFault();
  void Later(Milliseconds time, std::function<void()> action);
  void RunDue(bool all);
  void Note(const std::string& what);
  [[nodiscard]] int Draw(int lowest, int highest);
  [[nodiscard]] std::size_t DrawNode();

  ManagedSite& site_;
  Callers& callers_;
  int workers_;
  std::mt19937_64 random_;
  Clock::time_point begun_ = Clock::now();
  std::multimap<Clock::time_point, std::function<void()>> due_;
  std::vector<bool> down_;
  std::vector<std::string> log_;
  std::vector<std::string> violations_;
  int version_ = 1;
  bool extra_ = false;
};

}  // namespace mangospread::testing
