/// @file
/// Throttles best-effort tasks that make a latency-critical task miss its
/// target.
#pragma once

#include <string>
#include <vector>

#include "dispatch/policy/sharing_model.hpp"

namespace mangospread::dispatch {

/// Latest measurement of a latency-critical task on a worker.
struct LatencySample {
  ImageName image;
  double tail_ms = 0;
  Milliseconds target{0};
  /// Time for which it has exceeded its target.
  MonotonicTime above_target_for{0};
  /// Expected gain of utilisation until a new speed takes effect.
  double expected_rise = 0;
};

/// Latest measurement of a best-effort task on a worker.
struct BestEffortSample {
  std::string task;
  ImageName image;
  double requested_cores = 0;
  double used_cores = 0;
  int percent = 100;  ///< Speed that was last set, in per cent of full speed.
};

/// New speed of a best-effort task.
struct SpeedLimit {
  std::string task;
  int percent = 100;  ///< Of full speed; 0 pauses the task.
};

/// Returns the best-effort tasks whose speed should change. Beside a
/// latency-critical task that is close to its target or about to be, tasks with
/// the largest learned effect are throttled first. If a latency-critical task
/// has missed its target for too long, all tasks beside it are paused. A
/// throttled task speeds up again as far as all latency-critical tasks have
/// headroom.
[[nodiscard]] std::vector<SpeedLimit> AdjustSpeeds(
    const InterferenceModel& model,
    const std::vector<LatencySample>& latency_critical,
    const std::vector<BestEffortSample>& tasks);

}  // namespace mangospread::dispatch
