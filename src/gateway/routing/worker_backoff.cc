#include "gateway/routing/worker_backoff.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"

namespace mangospread::gateway {
namespace {

/// Weight of the latest result: two refusals or four errors in a row take a
/// worker out, single failures do not.
constexpr double kErrorWeight = 0.2;
constexpr double kRefusedWeight = 0.35;
constexpr double kOutAbove = 0.5;
constexpr double kForgetBelow = 0.05;
constexpr int kMaxShift = 12;
constexpr double kJitter = 0.25;

}  // namespace

WorkerBackoff::WorkerBackoff(WorkerBackoffOptions options, Clock now,
                             std::function<double()> random)
    : options_(options), now_(std::move(now)), random_(std::move(random)) {}

bool WorkerBackoff::MayUse(const VmName& vm) const {
  if (out_ == 0) return true;
  const auto it = states_.find(vm);
  if (it == states_.end() || !it->second.out) return true;
  return !it->second.probing && it->second.until <= now_();
}

void WorkerBackoff::OnSent(const VmName& vm) {
  if (out_ == 0) return;
  const auto it = states_.find(vm);
  if (it != states_.end() && it->second.out) it->second.probing = true;
}

void WorkerBackoff::OnResult(const VmName& vm, SendVerdict verdict,
                             std::size_t owned) {
  const bool good = verdict == SendVerdict::kGood;
  if (good && states_.empty()) return;
  const auto it = states_.find(vm);
  if (good && it == states_.end()) return;
  State& state = it == states_.end() ? states_[vm] : it->second;
  const double weight =
      verdict == SendVerdict::kRefused ? kRefusedWeight : kErrorWeight;
  state.failures += weight * ((good ? 0.0 : 1.0) - state.failures);
  if (state.out) {
    // Requests sent before it was taken out say nothing about its recovery.
    if (!std::exchange(state.probing, false)) return;
    if (!good) return Pause(vm, state);
    --out_;
    state = State();
    base::Log(base::Event::kWorkerBackInUse, {{"vm", vm.str()}});
  }
  if (state.failures > kOutAbove) {
    const double limit = options_.max_out * static_cast<double>(owned);
    if (static_cast<double>(out_ + 1) > limit) return;
    ++out_;
    state.out = true;
    Pause(vm, state);
  } else if (good && state.failures < kForgetBelow) {
    states_.erase(vm);
  }
}

void WorkerBackoff::Pause(const VmName& vm, State& state) {
  const int shift = std::min(state.pauses++, kMaxShift);
  const MonotonicTime pause =
      std::min<MonotonicTime>(options_.longest, options_.first * (1 << shift));
  const double factor = 1 + kJitter * (2 * random_() - 1);
  state.until = now_() + MonotonicTime(static_cast<std::int64_t>(
                             static_cast<double>(pause.count()) * factor));
  base::Log(
      base::Event::kWorkerBackedOff,
      {{"vm", vm.str()},
       {"pauses", state.pauses},
       {"pause_ms", std::chrono::duration_cast<Milliseconds>(pause).count()}});
}

void WorkerBackoff::Prune(const std::function<bool(const VmName&)>& owned) {
  for (auto it = states_.begin(); it != states_.end();) {
    if (owned(it->first)) {
      ++it;
      continue;
    }
    if (it->second.out) --out_;
    it = states_.erase(it);
  }
}

}  // namespace mangospread::gateway
