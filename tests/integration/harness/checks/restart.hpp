/// @file
/// Checks that long-running tasks run again in time after a fault.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/loop/clock.hpp"
#include "integration/harness/managed.hpp"

namespace mangospread::testing {

/// The pages allow 3 s in which a task does not run though there is capacity,
/// after 4 s without a fault.
inline constexpr MonotonicTime kMaxRestart = std::chrono::seconds(7);

/// Starts `tasks` long-running tasks once the workers are spread over the
/// agents, and waits until all of them run.
/// @return the index of the leader.
std::size_t StartLongRunning(ManagedCluster& site, int tasks);

/// Waits until `tasks` tasks run again, and checks that they do within
/// kMaxRestart of `from` and that no task was started while it
/// ran.
void CheckRestart(ManagedCluster& site, int tasks,
                  MonotonicTime from = base::MonotonicNow());

}  // namespace mangospread::testing
