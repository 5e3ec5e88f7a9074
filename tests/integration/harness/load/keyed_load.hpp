/// @file
/// Concurrent requests that the endpoints can distinguish by their keys.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "integration/harness/cluster.hpp"
#include "integration/harness/load/load_generator.hpp"

namespace mangospread::testing {

/// Sends POST requests, each with a unique key, to random nodes and records the
/// outcome of each.
class KeyedLoad {
 public:
  KeyedLoad(const Cluster& cluster, int threads, unsigned seed);

  /// Reads the address of a node again after its restart.
  void UpdateNodeAddress(const Cluster& cluster, int node);

  /// Waits until more than 100 further requests have the outcome "answered".
  void WaitForResponses();

  /// Stops the load and checks that no request ran twice, that no request with
  /// the outcome "not-run" ran, that every request with the outcome "answered"
  /// ran once, and that at least one request has that outcome.
  void StopAndCheck(const Cluster& cluster);

 private:
  void SendRequest(int thread, std::mt19937& random);

  std::vector<std::atomic<std::uint16_t>> http_ports_;
  std::atomic<int> last_key_number_{0};
  std::atomic<int> answered_{0};
  std::mutex mutex_;
  std::map<std::string, std::string> outcome_by_key_;
  std::unique_ptr<LoadGenerator> load_;
};

}  // namespace mangospread::testing
