#include "gateway/routing/worker_backoff.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"

namespace mangospread::gateway {
namespace {

/// Weights of the latest result in the failure rate: two consecutive refusals
/// or four consecutive server errors exclude a worker, single failures do not.
constexpr double kErrorWeight = 0.2;
constexpr double kRefusedWeight = 0.35;
constexpr double kExcludeThreshold = 0.5;
/// Failure rate below which the state of a worker is removed.
constexpr double kRemoveThreshold = 0.05;
constexpr int kMaxBackoffShift = 12;
constexpr double kJitter = 0.25;

}  // namespace

WorkerBackoff::WorkerBackoff(WorkerBackoffOptions options, Clock now,
                             std::function<double()> random)
    : options_(options), now_(std::move(now)), random_(std::move(random)) {}

bool WorkerBackoff::MayUse(const VmName& vm) const {
  if (excluded_ == 0) return true;
  const auto it = states_.find(vm);
  if (it == states_.end() || !it->second.excluded) return true;
  return !it->second.probing && it->second.excluded_until <= now_();
}

void WorkerBackoff::OnSent(const VmName& vm) {
  if (excluded_ == 0) return;
  const auto it = states_.find(vm);
  if (it != states_.end() && it->second.excluded) it->second.probing = true;
}

void WorkerBackoff::OnResult(const VmName& vm, AttemptResult result,
                             std::size_t owned) {
  const bool success = result == AttemptResult::kSuccess;
  if (success && states_.empty()) return;
  const auto it = states_.find(vm);
  if (success && it == states_.end()) return;
  State& state = it == states_.end() ? states_[vm] : it->second;
  const double weight =
      result == AttemptResult::kRefused ? kRefusedWeight : kErrorWeight;
  state.failure_rate += weight * ((success ? 0.0 : 1.0) - state.failure_rate);
  if (state.excluded) {
    // Results of requests sent before the exclusion are ignored, as they do not
    // show whether the worker has recovered.
    if (!std::exchange(state.probing, false)) return;
    if (!success) return StartBackoff(vm, state);
    --excluded_;
    state = State();
    base::Log(base::Event::kWorkerBackInUse, {{"vm", vm.str()}});
  }
  if (state.failure_rate > kExcludeThreshold) {
    const double limit =
        options_.max_excluded_share * static_cast<double>(owned);
    if (static_cast<double>(excluded_ + 1) > limit) return;
    ++excluded_;
    state.excluded = true;
    StartBackoff(vm, state);
  } else if (success && state.failure_rate < kRemoveThreshold) {
    states_.erase(vm);
  }
}

void WorkerBackoff::StartBackoff(const VmName& vm, State& state) {
  const int shift = std::min(state.backoff_count++, kMaxBackoffShift);
  const MonotonicTime delay = std::min<MonotonicTime>(
      options_.max_delay, options_.initial_delay * (1 << shift));
  const double factor = 1 + kJitter * (2 * random_() - 1);
  state.excluded_until =
      now_() + MonotonicTime(static_cast<std::int64_t>(
                   static_cast<double>(delay.count()) * factor));
  base::Log(
      base::Event::kWorkerBackedOff,
      {{"vm", vm.str()},
       {"pauses", state.backoff_count},
       {"pause_ms", std::chrono::duration_cast<Milliseconds>(delay).count()}});
}

void WorkerBackoff::Prune(const std::function<bool(const VmName&)>& is_owned) {
  for (auto it = states_.begin(); it != states_.end();) {
    if (is_owned(it->first)) {
      ++it;
      continue;
    }
    if (it->second.excluded) --excluded_;
    it = states_.erase(it);
  }
}

}  // namespace mangospread::gateway
