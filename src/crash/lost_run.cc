#include "crash/lost_run.hpp"

namespace mangospread::crash {
namespace {

/// A worker that crashes later than this after a start was not crashed by it.
constexpr MonotonicTime kMaxExposure = std::chrono::seconds(10);
/// A task under which this many processes have certainly ended may be given up.
constexpr int kMinCertainLosses = 2;
/// Losses as the only run that had just started after which a task is given up
/// even if no start had a reply.
constexpr int kMaxSoleLosses = 3;
/// Losses after which a task is given up without being the only suspect.
constexpr int kMaxLosses = 4;

bool Present(const LostRun& lost) {
  return lost.exposure.count() >= 0 && lost.exposure < kMaxExposure;
}

/// @param just_started number of runs on the worker that had just started.
Suspicion SuspicionOf(const LostRun& run, int just_started) {
  if (just_started == 0) {
    return Present(run) ? Suspicion::kPresent : Suspicion::kNone;
  }
  if (!JustStarted(run.exposure)) return Suspicion::kNone;
  return just_started == 1 ? Suspicion::kSole : Suspicion::kShared;
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

void detail::AssignSuspicion(LostRun& run, int just_started,
                             bool process_ended) {
  run.suspicion = SuspicionOf(run, just_started);
  if (!process_ended) {  // A crash is possible, but not certain.
    run.suspicion =
        JustStarted(run.exposure) ? Suspicion::kPresent : Suspicion::kNone;
  }
  run.certain = process_ended && run.start_confirmed;
}

bool IsCounted(const std::vector<TaskLoss>& losses,
               std::uint32_t run) noexcept {
  return std::any_of(losses.begin(), losses.end(),
                     [run](const TaskLoss& loss) { return loss.run == run; });
}

bool IsSuspected(const std::vector<TaskLoss>& losses) noexcept {
  return std::any_of(losses.begin(), losses.end(), [](const TaskLoss& loss) {
    return loss.suspicion >= Suspicion::kShared;
  });
}

bool CrashesWorkers(const LostRun& lost) noexcept {
  if (lost.suspicion == Suspicion::kNone) return false;
  const bool sole = lost.suspicion == Suspicion::kSole;
  int certain_losses = lost.certain ? 1 : 0;
  int sole_losses = sole ? 1 : 0;
  for (const TaskLoss& loss : lost.earlier) {
    certain_losses += loss.certain ? 1 : 0;
    sole_losses += loss.suspicion == Suspicion::kSole ? 1 : 0;
  }
  if (sole_losses >= kMaxSoleLosses) return true;
  const auto losses = static_cast<int>(lost.earlier.size()) + 1;
  return certain_losses >= kMinCertainLosses && (sole || losses >= kMaxLosses);
}

bool ClearsSuspicion(const LostRun& lost) noexcept {
  return lost.exposure >= kMaxExposure;
}

}  // namespace mangospread::crash
