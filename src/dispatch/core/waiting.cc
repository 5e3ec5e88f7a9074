#include "dispatch/core/waiting.hpp"

#include <algorithm>

namespace mangospread::dispatch {

std::string_view WaitReasonName(WaitReason reason) noexcept {
  switch (reason) {
    case WaitReason::kTakeover:
      return "takeover";
    case WaitReason::kEarlierStep:
      return "earlier_step";
    case WaitReason::kDueLater:
      return "due_later";
    case WaitReason::kUnstoredLoss:
      return "unstored_loss";
    case WaitReason::kGang:
      return "gang";
    case WaitReason::kNoRoom:
      return "no_room";
    case WaitReason::kNoUsableWorker:
      return "no_usable_worker";
    case WaitReason::kScarceRoom:
      return "scarce_room";
    case WaitReason::kNotTried:
      return "not_tried";
    case WaitReason::kStartUnconfirmed:
      return "start_unconfirmed";
    case WaitReason::kRunUnconfirmed:
      return "run_unconfirmed";
    case WaitReason::kWorkerSilent:
      return "worker_silent";
    case WaitReason::kStopping:
      return "stopping";
    case WaitReason::kPaused:
      return "paused";
  }
  return "unknown";
}

WaitReason WaitReasonOf(PendingReason reason) noexcept {
  switch (reason) {
    case PendingReason::kNone:
      break;
    case PendingReason::kNoCapacity:
      return WaitReason::kNoRoom;
    case PendingReason::kNoUsableWorker:
      return WaitReason::kNoUsableWorker;
    case PendingReason::kScarceCapacity:
      return WaitReason::kScarceRoom;
  }
  return WaitReason::kNotTried;
}

std::size_t WaitAge(MonotonicTime waited) noexcept {
  const auto* const bound =
      std::upper_bound(kWaitAgeBounds.begin(), kWaitAgeBounds.end(), waited);
  return static_cast<std::size_t>(bound - kWaitAgeBounds.begin());
}

}  // namespace mangospread::dispatch
