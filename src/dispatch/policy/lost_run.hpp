/// @file
/// Runs of submissions that are lost with their worker; the decision about them
/// is shared with the job scheduler.
#pragma once

#include "crash/lost_run.hpp"
#include "dispatch/model/submission.hpp"

namespace mangospread::dispatch {

using crash::AssignSuspicion;
using crash::ClearsSuspicion;
using crash::CrashesWorkers;
using crash::IsCounted;
using crash::IsSuspected;
using crash::Suspicion;
using crash::SuspicionName;
using crash::TaskLoss;

struct LostRun : crash::LostRun {
  TaskName task;
};

}  // namespace mangospread::dispatch
