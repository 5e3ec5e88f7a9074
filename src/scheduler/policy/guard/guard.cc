#include "scheduler/policy/guard/guard.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace mangospread::scheduler::policy {
namespace {

constexpr double kSmoothing = 0.5;
/// One report above the objective can be noise.
constexpr int kBreachesToAct = 2;
/// From an order until a report shows only its result: delivery of the
/// command and one whole measuring interval.
constexpr MonotonicTime kSettle = std::chrono::seconds(4);
/// Reports after kSettle that judge a trial.
constexpr int kTrialReports = 2;
constexpr int kThrottleSteps[] = {0, 50, 80};
constexpr int kFullThrottle = 80;
/// Release only below this share of the objective.
constexpr double kReleaseBelow = 0.85;
/// A release is allowed if the predicted p99 stays below this share.
constexpr double kReleaseTarget = 0.92;
constexpr MonotonicTime kReleaseAfter = std::chrono::seconds(30);
constexpr int kMostBackoff = 4;
/// A breach this soon after a release counts as caused by it.
constexpr MonotonicTime kRelapse = std::chrono::seconds(60);
constexpr MonotonicTime kBackoffDecay = std::chrono::minutes(10);
/// Added suspicion, in ln(p99), of a task placed shortly before the breach.
constexpr double kRecentSuspicion = 0.05;
constexpr MonotonicTime kRecent = std::chrono::seconds(20);
constexpr double kUrgentSuspicion = 0.5;
/// p99 relative to the objective at which several tasks are throttled at once.
constexpr double kSevere = 1.5;
constexpr int kSevereThrottles = 3;

/// Workers looked at in one call; the others follow in the next ones. All
/// 5,600 at once, as after a change of the scheduler, take 1.4 ms.
constexpr std::size_t kMostLooks = 1'000;

int NextStep(int throttle) {
  for (const int step : kThrottleSteps) {
    if (step > throttle) return step;
  }
  return throttle;
}

int PreviousStep(int throttle) {
  int previous = 0;
  for (const int step : kThrottleSteps) {
    if (step < throttle) previous = step;
  }
  return previous;
}

double Running(int throttle) { return 1.0 - throttle / 100.0; }

double Objective(const ServiceSlot& slot) {
  return static_cast<double>(slot.load.objective_p99.count());
}

bool Guarded(const ServiceSlot& slot) {
  return slot.load.guard && slot.load.objective_p99.count() > 0;
}

std::string Describe(const char* what, const ServiceSlot& slot,
                     double smoothed) {
  char text[200];
  std::snprintf(text, sizeof(text),
                "%s: service %s p99 %.1f ms, objective %.0f", what,
                slot.load.service.str().c_str(), smoothed, Objective(slot));
  return text;
}

}  // namespace

void Guard::Observe(std::size_t worker) {
  WorkerGuard& guard = states_[worker];
  const WorkerEntry& entry = book_.entries()[worker];
  for (const ServiceSlot& slot : entry.services) {
    if (!Guarded(slot) || !(slot.load.p99_ms > 0)) continue;
    ObserveService(entry, slot, guard.services[slot.load.service]);
  }
  if (!guard.fresh) fresh_.push_back(worker);
  guard.fresh = true;
}

void Guard::ObserveService(const WorkerEntry& entry, const ServiceSlot& slot,
                           ServiceState& state) {
  const double p99 = slot.load.p99_ms;
  // A report measured before the last action had settled says nothing of it.
  const bool acted = state.acted_at.count() > 0;
  if (acted && entry.report_at < state.acted_at + kSettle) return;
  if (state.reports == 0) {
    state.smoothed = p99;
    state.breaches = 0;
  }
  ++state.reports;
  state.smoothed += kSmoothing * (p99 - state.smoothed);
  const bool above = p99 > Objective(slot) && state.smoothed > Objective(slot);
  state.breaches = above ? state.breaches + 1 : 0;
  if (state.smoothed >= kReleaseBelow * Objective(slot)) {
    state.calm_since = entry.report_at;
  }
  if (state.trial.pending && state.reports >= kTrialReports) {
    FinishTrial(slot, state, entry.report_at);
  }
}

void Guard::FinishTrial(const ServiceSlot& slot, ServiceState& state,
                        MonotonicTime at) {
  state.trial.pending = false;
  model_.LearnChange(state.trial.task_class, slot.service_class, slot.level,
                     state.trial.amount_change,
                     std::log(state.smoothed) - state.trial.ln_before, at);
}

double Guard::Suspicion(const WorkerEntry& entry, const Resident& resident,
                        const ServiceSlot& slot) const {
  const Effect effect =
      model_.Predict(resident.task_class, slot.service_class, slot.level);
  double suspicion = effect.mean + 0.5 * std::sqrt(effect.variance);
  if (entry.report_at - resident.placed_at < kRecent) {
    suspicion += kRecentSuspicion;
  }
  // Tasks also slow services by the processor time that they take.
  suspicion += 0.01 * static_cast<double>(resident.cpu_used.value()) / 1000.0;
  if (resident.demand.urgent) suspicion *= kUrgentSuspicion;
  return suspicion;
}

void Guard::Breach(WorkerEntry& entry, const ServiceSlot& slot,
                   ServiceState& state, const Tuning& tuning, MonotonicTime now,
                   std::vector<Decision>& decisions) {
  if (state.released_at.count() > 0 && now - state.released_at < kRelapse) {
    state.release_backoff = std::min(state.release_backoff + 1, kMostBackoff);
    state.released_at = MonotonicTime{0};
  }
  const bool out_of_patience =
      state.throttling_since.count() > 0 &&
      now - state.throttling_since >= tuning.eviction_patience;
  if (out_of_patience) {
    EvictWorst(entry, slot, state, now, decisions);
    return;
  }
  std::vector<std::pair<double, Resident*>> suspects;
  for (Resident& resident : entry.residents) {
    if (resident.evicting || resident.ordered_throttle >= kFullThrottle) {
      continue;
    }
    suspects.emplace_back(
        Suspicion(entry, resident, slot) * Running(resident.ordered_throttle),
        &resident);
  }
  std::sort(suspects.begin(), suspects.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  const bool severe = state.smoothed > kSevere * Objective(slot);
  const std::size_t count =
      std::min<std::size_t>(suspects.size(), severe ? kSevereThrottles : 1);
  for (std::size_t i = 0; i < count; ++i) {
    Throttle(entry, slot, state, *suspects[i].second, now, decisions);
  }
  // Only the effect of a single action can be attributed.
  state.trial.pending = count == 1;
}

void Guard::Throttle(WorkerEntry& entry, const ServiceSlot& slot,
                     ServiceState& state, Resident& culprit, MonotonicTime now,
                     std::vector<Decision>& decisions) {
  const int before = culprit.ordered_throttle;
  culprit.ordered_throttle = NextStep(before);
  culprit.throttled_at = now;
  decisions.emplace_back(
      ThrottleDecision{culprit.demand.id, entry.vm, culprit.ordered_throttle,
                       Describe("likeliest culprit", slot, state.smoothed)});
  state.trial = Trial{culprit.task_class,
                      Running(culprit.ordered_throttle) - Running(before),
                      std::log(state.smoothed), now, true};
  if (state.throttling_since.count() == 0) state.throttling_since = now;
  state.acted_at = now;
  state.reports = 0;
  state.breaches = 0;
}

void Guard::EvictWorst(WorkerEntry& entry, const ServiceSlot& slot,
                       ServiceState& state, MonotonicTime now,
                       std::vector<Decision>& decisions) {
  Resident* worst = nullptr;
  double worst_suspicion = 0;
  for (Resident& resident : entry.residents) {
    if (resident.evicting || resident.ordered_throttle == 0) continue;
    const double suspicion = Suspicion(entry, resident, slot);
    if (worst == nullptr || suspicion > worst_suspicion) {
      worst = &resident;
      worst_suspicion = suspicion;
    }
  }
  state.throttling_since = MonotonicTime{0};
  if (worst == nullptr) return;
  worst->evicting = true;
  decisions.emplace_back(EvictDecision{
      worst->demand.id, entry.vm,
      Describe("throttling did not help in time", slot, state.smoothed)});
  state.acted_at = now;
  state.reports = 0;
  state.breaches = 0;
  state.trial.pending = false;
}

bool Guard::ReleaseIsSafe(const WorkerEntry& entry, const WorkerGuard& guard,
                          const Resident& resident, int throttle) const {
  const double change = Running(throttle) - Running(resident.ordered_throttle);
  for (const ServiceSlot& slot : entry.services) {
    if (!Guarded(slot)) continue;
    const auto found = guard.services.find(slot.load.service);
    if (found == guard.services.end()) continue;
    const Effect effect =
        model_.Predict(resident.task_class, slot.service_class, slot.level);
    if (found->second.smoothed * std::exp(change * effect.mean) >
        kReleaseTarget * Objective(slot)) {
      return false;
    }
  }
  return true;
}

void Guard::Release(WorkerEntry& entry, WorkerGuard& guard, MonotonicTime now,
                    std::vector<Decision>& decisions) {
  for (const ServiceSlot& slot : entry.services) {
    if (!Guarded(slot)) continue;
    const auto found = guard.services.find(slot.load.service);
    if (found == guard.services.end()) continue;
    ServiceState& state = found->second;
    const MonotonicTime wait = kReleaseAfter * (1 << state.release_backoff);
    if (entry.report_at - std::max(state.calm_since, state.acted_at) < wait) {
      return;
    }
  }
  for (Resident& resident : entry.residents) {
    if (resident.ordered_throttle == 0 || resident.evicting) continue;
    const int throttle = PreviousStep(resident.ordered_throttle);
    if (!ReleaseIsSafe(entry, guard, resident, throttle)) continue;
    resident.ordered_throttle = throttle;
    decisions.emplace_back(
        ThrottleDecision{resident.demand.id, entry.vm, throttle,
                         "services stayed below their objectives"});
    for (auto& [name, state] : guard.services) {
      state.acted_at = now;
      state.released_at = now;
      state.reports = 0;
      state.throttling_since = MonotonicTime{0};
    }
    return;
  }
}

void Guard::Act(const Tuning& tuning, MonotonicTime now,
                std::vector<Decision>& decisions) {
  const std::size_t count = std::min(fresh_.size(), kMostLooks);
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t worker = fresh_[i];
    const auto found = states_.find(worker);
    if (found == states_.end() || !found->second.fresh) continue;
    WorkerGuard& guard = found->second;
    guard.fresh = false;
    WorkerEntry& entry = book_.entries()[worker];
    bool throttled = false;
    bool breached = false;
    for (const Resident& resident : entry.residents) {
      throttled = throttled || resident.ordered_throttle > 0;
    }
    for (const ServiceSlot& slot : entry.services) {
      const auto state = guard.services.find(slot.load.service);
      if (!Guarded(slot) || state == guard.services.end()) continue;
      if (now - state->second.acted_at > kBackoffDecay) {
        state->second.release_backoff = 0;
      }
      if (state->second.breaches < kBreachesToAct) continue;
      breached = true;
      Breach(entry, slot, state->second, tuning, now, decisions);
    }
    if (throttled && !breached) Release(entry, guard, now, decisions);
  }
  fresh_.erase(fresh_.begin(),
               fresh_.begin() + static_cast<std::ptrdiff_t>(count));
}

}  // namespace mangospread::scheduler::policy
