/// @file
/// Slows down the filling tasks that push a serving task beyond its target.
#pragma once

#include <string>
#include <vector>

#include "dispatch/policy/sharing_model.hpp"

namespace mangospread::dispatch {

/// A serving task on a worker as last measured.
struct ServingSample {
  ImageName image;
  double tail_ms = 0;
  Milliseconds target{0};
  MonotonicTime over_for{0};  ///< Time that it has been over its target.
  /// Utilisation that it is expected to gain until a new speed takes effect.
  double rise = 0;
};

/// A filling task on a worker.
struct FillSample {
  std::string task;
  ImageName image;
  double requested_cores = 0;
  double used_cores = 0;
  int percent = 100;  ///< Speed that it is set to.
};

/// The speed that a filling task should run at.
struct FillSpeed {
  std::string task;
  int percent = 100;
};

/// Returns the filling tasks whose speed should change. Of those beside a
/// serving task that is close to its target or about to be, the ones with the
/// largest learned effect are slowed first; a slowed one is sped up again as
/// far as all serving tasks have room.
[[nodiscard]] std::vector<FillSpeed> AdjustFills(
    const SharingModel& model, const std::vector<ServingSample>& serving,
    const std::vector<FillSample>& fills);

}  // namespace mangospread::dispatch
