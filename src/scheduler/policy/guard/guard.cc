#include "scheduler/policy/guard/guard.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace mangospread::scheduler::policy {
namespace {

constexpr double kSmoothing = 0.5;
/// Consecutive reports above the objective before an action; a single one can
/// be noise.
constexpr int kBreachesToAct = 2;
/// Time from a command until a report shows only its result: delivery of the
/// command and one whole measuring interval.
constexpr MonotonicTime kSettlingTime = std::chrono::seconds(4);
/// Reports after kSettlingTime from which the effect of a trial is computed.
constexpr int kMinTrialReports = 2;
constexpr int kThrottleSteps[] = {0, 50, 80};
constexpr int kFullThrottle = 80;
/// Share of the objective below which the p99 must stay before throttling is
/// reduced.
constexpr double kReleaseThreshold = 0.85;
/// Share of the objective that the predicted p99 must not exceed when
/// throttling is reduced.
constexpr double kReleaseTarget = 0.92;
/// Time for which the services must stay below kReleaseThreshold, without a
/// further action, before throttling is reduced; doubled up to kMaxBackoff
/// times by breaches that follow a reduction.
constexpr MonotonicTime kReleaseDelay = std::chrono::seconds(30);
constexpr int kMaxBackoff = 4;
/// A breach within this time after throttling was reduced is attributed to the
/// reduction.
constexpr MonotonicTime kRepeatedBreachWindow = std::chrono::seconds(60);
/// Time without an action after which the release delay is kReleaseDelay again.
constexpr MonotonicTime kBackoffReset = std::chrono::minutes(10);
/// Added to the score, in ln(p99), of a task placed shortly before the breach.
constexpr double kRecentPlacementScore = 0.05;
constexpr MonotonicTime kRecentPlacementWindow = std::chrono::seconds(20);
constexpr double kUrgentScoreFactor = 0.5;
/// Ratio of p99 to the objective at which several tasks are throttled at once.
constexpr double kSevereRatio = 1.5;
constexpr int kSevereThrottles = 3;

/// Maximum number of workers evaluated in one call; the others follow in the
/// next calls. After a change of the scheduler all 5,600 workers of the largest
/// supported fleet report at once; evaluating them together takes 1.4 ms.
constexpr std::size_t kMaxWorkersPerCall = 1'000;

int NextThrottle(int throttle) {
  for (const int step : kThrottleSteps) {
    if (step > throttle) return step;
  }
  return throttle;
}

int PreviousThrottle(int throttle) {
  int previous = 0;
  for (const int step : kThrottleSteps) {
    if (step < throttle) previous = step;
  }
  return previous;
}

double RunningShare(int throttle) { return 1.0 - throttle / 100.0; }

double Objective(const ServiceSlot& slot) {
  return static_cast<double>(slot.load.objective_p99.count());
}

bool IsGuarded(const ServiceSlot& slot) {
  return slot.load.guard && slot.load.objective_p99.count() > 0;
}

std::string Describe(const char* reason, const ServiceSlot& slot,
                     double smoothed) {
  char text[200];
  std::snprintf(text, sizeof(text),
                "%s: service %s p99 %.1f ms, objective %.0f", reason,
                slot.load.service.str().c_str(), smoothed, Objective(slot));
  return text;
}

}  // namespace

void Guard::Observe(std::size_t worker) {
  WorkerGuard& guard = states_[worker];
  const WorkerEntry& entry = registry_.entries()[worker];
  for (const ServiceSlot& slot : entry.services) {
    if (!IsGuarded(slot) || !(slot.load.p99_ms > 0)) continue;
    ObserveService(entry, slot, guard.services[slot.load.service]);
  }
  if (!guard.has_new_report) new_reports_.push_back(worker);
  guard.has_new_report = true;
}

void Guard::ObserveService(const WorkerEntry& entry, const ServiceSlot& slot,
                           ServiceState& state) {
  const double p99 = slot.load.p99_ms;
  // A report measured before the last action took effect carries no information
  // about it.
  const bool acted = state.last_action_at.count() > 0;
  if (acted && entry.report_at < state.last_action_at + kSettlingTime) return;
  if (state.reports == 0) {
    state.smoothed = p99;
    state.breaches = 0;
  }
  ++state.reports;
  state.smoothed += kSmoothing * (p99 - state.smoothed);
  const bool above = p99 > Objective(slot) && state.smoothed > Objective(slot);
  state.breaches = above ? state.breaches + 1 : 0;
  if (state.smoothed >= kReleaseThreshold * Objective(slot)) {
    state.last_above_threshold_at = entry.report_at;
  }
  if (state.trial.pending && state.reports >= kMinTrialReports) {
    FinishTrial(slot, state, entry.report_at);
  }
}

void Guard::FinishTrial(const ServiceSlot& slot, ServiceState& state,
                        MonotonicTime measured_at) {
  state.trial.pending = false;
  model_.LearnChange(state.trial.task_class, slot.service_class,
                     slot.load_level, state.trial.amount_change,
                     std::log(state.smoothed) - state.trial.ln_before,
                     measured_at);
}

double Guard::AttributionScore(const WorkerEntry& entry,
                               const ResidentTask& resident,
                               const ServiceSlot& slot) const {
  const Effect effect =
      model_.Predict(resident.task_class, slot.service_class, slot.load_level);
  double score = effect.mean + 0.5 * std::sqrt(effect.variance);
  if (entry.report_at - resident.placed_at < kRecentPlacementWindow) {
    score += kRecentPlacementScore;
  }
  // Tasks also slow services by the processor time that they use.
  score += 0.01 * static_cast<double>(resident.cpu_used.value()) / 1000.0;
  if (resident.demand.urgent) score *= kUrgentScoreFactor;
  return score;
}

void Guard::HandleBreach(WorkerEntry& entry, const ServiceSlot& slot,
                         ServiceState& state, const Tuning& tuning,
                         MonotonicTime now, std::vector<Decision>& decisions) {
  if (state.released_at.count() > 0 &&
      now - state.released_at < kRepeatedBreachWindow) {
    state.release_backoff = std::min(state.release_backoff + 1, kMaxBackoff);
    state.released_at = MonotonicTime{0};
  }
  const bool throttling_timed_out =
      state.throttling_since.count() > 0 &&
      now - state.throttling_since >= tuning.eviction_delay;
  if (throttling_timed_out) {
    EvictWorst(entry, slot, state, now, decisions);
    return;
  }
  std::vector<std::pair<double, ResidentTask*>> candidates;
  for (ResidentTask& resident : entry.residents) {
    if (resident.evicting || resident.commanded_throttle >= kFullThrottle) {
      continue;
    }
    candidates.emplace_back(AttributionScore(entry, resident, slot) *
                                RunningShare(resident.commanded_throttle),
                            &resident);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  const bool severe = state.smoothed > kSevereRatio * Objective(slot);
  const std::size_t count =
      std::min<std::size_t>(candidates.size(), severe ? kSevereThrottles : 1);
  for (std::size_t i = 0; i < count; ++i) {
    Throttle(entry, slot, state, *candidates[i].second, now, decisions);
  }
  // Only the effect of a single action can be attributed.
  state.trial.pending = count == 1;
}

void Guard::Throttle(WorkerEntry& entry, const ServiceSlot& slot,
                     ServiceState& state, ResidentTask& target,
                     MonotonicTime now, std::vector<Decision>& decisions) {
  const int before = target.commanded_throttle;
  target.commanded_throttle = NextThrottle(before);
  target.throttled_at = now;
  decisions.emplace_back(
      ThrottleDecision{target.demand.id, entry.vm, target.commanded_throttle,
                       Describe("likeliest culprit", slot, state.smoothed)});
  state.trial =
      Trial{target.task_class,
            RunningShare(target.commanded_throttle) - RunningShare(before),
            std::log(state.smoothed), now, true};
  if (state.throttling_since.count() == 0) state.throttling_since = now;
  state.last_action_at = now;
  state.reports = 0;
  state.breaches = 0;
}

void Guard::EvictWorst(WorkerEntry& entry, const ServiceSlot& slot,
                       ServiceState& state, MonotonicTime now,
                       std::vector<Decision>& decisions) {
  ResidentTask* worst = nullptr;
  double worst_score = 0;
  for (ResidentTask& resident : entry.residents) {
    if (resident.evicting || resident.commanded_throttle == 0) continue;
    const double score = AttributionScore(entry, resident, slot);
    if (worst == nullptr || score > worst_score) {
      worst = &resident;
      worst_score = score;
    }
  }
  state.throttling_since = MonotonicTime{0};
  if (worst == nullptr) return;
  worst->evicting = true;
  decisions.emplace_back(EvictDecision{
      worst->demand.id, entry.vm,
      Describe("throttling did not help in time", slot, state.smoothed)});
  state.last_action_at = now;
  state.reports = 0;
  state.breaches = 0;
  state.trial.pending = false;
}

bool Guard::ReleaseIsSafe(const WorkerEntry& entry, const WorkerGuard& guard,
                          const ResidentTask& resident, int throttle) const {
  const double change =
      RunningShare(throttle) - RunningShare(resident.commanded_throttle);
  for (const ServiceSlot& slot : entry.services) {
    if (!IsGuarded(slot)) continue;
    const auto found = guard.services.find(slot.load.service);
    if (found == guard.services.end()) continue;
    const Effect effect = model_.Predict(resident.task_class,
                                         slot.service_class, slot.load_level);
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
    if (!IsGuarded(slot)) continue;
    const auto found = guard.services.find(slot.load.service);
    if (found == guard.services.end()) continue;
    ServiceState& state = found->second;
    const MonotonicTime wait = kReleaseDelay * (1 << state.release_backoff);
    if (entry.report_at -
            std::max(state.last_above_threshold_at, state.last_action_at) <
        wait) {
      return;
    }
  }
  for (ResidentTask& resident : entry.residents) {
    if (resident.commanded_throttle == 0 || resident.evicting) continue;
    const int throttle = PreviousThrottle(resident.commanded_throttle);
    if (!ReleaseIsSafe(entry, guard, resident, throttle)) continue;
    resident.commanded_throttle = throttle;
    decisions.emplace_back(
        ThrottleDecision{resident.demand.id, entry.vm, throttle,
                         "services stayed below their objectives"});
    for (auto& [name, state] : guard.services) {
      state.last_action_at = now;
      state.released_at = now;
      state.reports = 0;
      state.throttling_since = MonotonicTime{0};
    }
    return;
  }
}

void Guard::Act(const Tuning& tuning, MonotonicTime now,
                std::vector<Decision>& decisions) {
  const std::size_t count = std::min(new_reports_.size(), kMaxWorkersPerCall);
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t worker = new_reports_[i];
    const auto found = states_.find(worker);
    if (found == states_.end() || !found->second.has_new_report) continue;
    WorkerGuard& guard = found->second;
    guard.has_new_report = false;
    WorkerEntry& entry = registry_.entries()[worker];
    bool throttled = false;
    bool breached = false;
    for (const ResidentTask& resident : entry.residents) {
      throttled = throttled || resident.commanded_throttle > 0;
    }
    for (const ServiceSlot& slot : entry.services) {
      const auto state = guard.services.find(slot.load.service);
      if (!IsGuarded(slot) || state == guard.services.end()) continue;
      if (now - state->second.last_action_at > kBackoffReset) {
        state->second.release_backoff = 0;
      }
      if (state->second.breaches < kBreachesToAct) continue;
      breached = true;
      HandleBreach(entry, slot, state->second, tuning, now, decisions);
    }
    if (throttled && !breached) Release(entry, guard, now, decisions);
  }
  new_reports_.erase(new_reports_.begin(),
                     new_reports_.begin() + static_cast<std::ptrdiff_t>(count));
}

}  // namespace mangospread::scheduler::policy
