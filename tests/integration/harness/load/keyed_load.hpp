/// @file
/// Callers whose requests can be told apart by the endpoints.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "integration/harness/cluster.hpp"
#include "integration/harness/load/load.hpp"

namespace mangospread::testing {

/// POSTs with a key of their own each, and what their callers were told.
class KeyedLoad {
 public:
  KeyedLoad(const Cluster& cluster, int threads, unsigned seed);

  /// Tells the callers a node's new address.
  void Update(const Cluster& cluster, int node);

  /// Waits until a number of further requests is answered.
  void WaitForAnswers();

  /// Ends the load and checks that no key ran twice, that none ran whose
  /// caller was told "not-run", and that every answered one ran.
  void StopAndCheck(const Cluster& cluster);

 private:
  void Step(int thread, std::mt19937& random);

  std::vector<std::atomic<std::uint16_t>> ports_;
  std::atomic<int> next_{0};
  std::atomic<int> answered_{0};
  std::mutex mutex_;
  std::map<std::string, std::string> outcomes_;
  std::unique_ptr<Load> load_;
};

}  // namespace mangospread::testing
