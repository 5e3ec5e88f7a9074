#include "dispatch/policy/lost_run.hpp"

#include <algorithm>

#include "dispatch/model/worker_types.hpp"

namespace mangospread::dispatch {
namespace {

/// A worker that crashes later than this after a start was not crashed by it.
constexpr MonotonicTime kMaxExposure = std::chrono::seconds(10);
/// Losses of one task, with any suspicion, after which it is given up.
constexpr int kMaxLosses = 4;

bool Present(const LostRun& lost) {
  return lost.exposure.count() >= 0 && lost.exposure < kMaxExposure;
}

}  // namespace

std::string_view SuspicionName(Suspicion suspicion) noexcept {
  switch (suspicion) {
    case Suspicion::kNone:
      return "none";
    case Suspicion::kPresent:
      return "present";
    case Suspicion::kShared:
      return "shared";
    case Suspicion::kSole:
      return "sole";
  }
  return "unknown";
}

void AssignSuspicion(std::vector<LostRun>& lost, bool process_ended) {
  const auto just_started = std::count_if(
      lost.begin(), lost.end(),
      [](const LostRun& run) { return JustStarted(run.exposure); });
  for (LostRun& run : lost) {
    run.suspicion = Suspicion::kNone;
    if (just_started == 0) {
      if (process_ended && Present(run)) run.suspicion = Suspicion::kPresent;
    } else if (JustStarted(run.exposure)) {
      const bool sole = just_started == 1 && process_ended;
      run.suspicion = sole ? Suspicion::kSole : Suspicion::kShared;
    }
  }
}

bool CrashesWorkers(const LostRun& lost) noexcept {
  if (lost.suspicion == Suspicion::kNone) return false;
  if (lost.suspicion == Suspicion::kSole && lost.earlier_suspicions > 0) {
    return true;
  }
  return lost.earlier_losses + 1 >= kMaxLosses;
}

bool ClearsSuspicion(const LostRun& lost) noexcept {
  return lost.exposure >= kMaxExposure;
}

}  // namespace mangospread::dispatch
