/// @file
/// A node with little memory and few descriptors, and the promises that it
/// keeps whatever its clients send.
#pragma once

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "integration/harness/crowd.hpp"
#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {

/// A single node, which leads, beside two workers.
class CrowdedNode {
 public:
  explicit CrowdedNode(int memory_mb = 96)
      : limits_{memory_mb, kMaxFds}, site_(1, 2, kRunsPerWorker, limits_) {
    site_.WaitUntilReady();
  }

  [[nodiscard]] Address front() { return site_.node(0).address("front"); }
  [[nodiscard]] Address readiness() { return site_.node(0).address("ready"); }

  /// Checks that the node lives within its limits and that, with the crowd
  /// still there, it says that it is ready, takes a job and runs it.
  void CheckServes() {
    constexpr int kOk = 200;
    WaitUntil("the node is ready", kWaitTimeout,
              [this] { return site_.IsReady(0); });
    const int job = ++jobs_;
    WaitUntil("a job is accepted", kWaitTimeout,
              [&] { return site_.Submit(0, job, 2, 1).status == kOk; });
    WaitUntil("the job is complete", kWaitTimeout,
              [&] { return site_.GetState(0, job) == "complete"; });
    CheckWithinLimits();
  }

  void CheckWithinLimits() {
    constexpr std::size_t kBytesPerMebibyte = 1024 * 1024;
    CHECK(site_.node(0).running());
    const int pid = site_.node(0).pid();
    CHECK(PeakMemory(pid) / kBytesPerMebibyte <
          static_cast<std::size_t>(limits_.memory_mb));
    CHECK(OpenDescriptors(pid) < kMaxFds);
  }

 private:
  static constexpr int kMaxFds = 400;

  NodeLimits limits_;
  ManagedCluster site_;
  int jobs_ = 0;
};

/// Paths of the door: with a route, of another kind and without one.
inline const std::vector<std::string>& DoorPaths() {
  static const std::vector<std::string> kPaths = {"/jobs/00000000000000ff",
                                                  "/jobs/", "/none/x"};
  return kPaths;
}

}  // namespace mangospread::testing
