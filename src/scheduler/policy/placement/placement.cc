#include "scheduler/policy/placement/placement.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace mangospread::scheduler::policy {
namespace {

/// Share of all placements that may be made only to measure an uncertain pair,
/// and the maximum number of unused ones that may accumulate.
constexpr double kExplorationShare = 0.05;
constexpr double kMaxExplorationTokens = 5;
/// Variance above which a pair is worth exploring.
constexpr double kMinVariance = 0.02 * 0.02;
constexpr double kRackCost = 0.05;
constexpr double kFailureCost = 1.0;
constexpr double kCpuCost = 0.1;
constexpr double kExcessCost = 4.0;
/// Weight of interference with a service that is not guarded.
constexpr double kUnguardedWeight = 0.25;
constexpr double kTaskInterferenceCost = 0.2;
/// Share of the objective that the predicted p99 may reach after a placement.
constexpr double kObjectiveShare = 0.95;
/// Weight of the interference price in the cost, which decides between workers
/// with equal interference.
constexpr double kChargeCost = 0.01;
constexpr std::size_t kMaxRunnersUp = 3;

std::size_t StrideFor(std::size_t count) {
  // A prime that does not divide the count visits every worker once. Racks have
  // neighbouring indexes, so that a stride also alternates between racks.
  for (const std::size_t prime : {127U, 131U, 137U, 139U, 149U}) {
    if (count % prime != 0) return prime;
  }
  return 1;
}

}  // namespace

bool Placement::Fits(std::size_t worker, const Resources& required) const {
  const FreeCapacity& available = registry_.free_capacity()[worker];
  return available.starts > 0 && required.cpu.value() <= available.cpu &&
         required.memory.value() <= available.memory &&
         required.accelerators.value() <= available.accelerators;
}

void Placement::CollectCandidates(const PlacementRequest& request) {
  candidates_.clear();
  const std::size_t count = registry_.free_capacity().size();
  if (count == 0) return;
  const std::size_t stride = StrideFor(count);
  std::size_t index = random_() % count;
  for (std::size_t i = 0; i < count; ++i) {
    // An urgent task must not be used to probe a worker with recent failures.
    const bool allowed =
        !request.demand->urgent || registry_.free_capacity()[index].starts > 1;
    if (allowed && Fits(index, request.required)) {
      candidates_.push_back(index);
      if (candidates_.size() == kMaxCandidates) return;
    }
    index = (index + stride) % count;
  }
}

double Placement::ServiceCost(const WorkerEntry& entry,
                              const PlacementRequest& request,
                              const Tuning& tuning, ScoredWorker& scored) {
  double cost = 0;
  const double capacity =
      std::max(1.0, static_cast<double>(entry.capacity.cpu.value()));
  const double before =
      CpuPressure(static_cast<double>(entry.cpu_used.value()) / capacity);
  const double added_pressure =
      std::max(0.0, CpuPressure(scored.cpu_share) - before);
  const double cores = std::max(
      0.25, static_cast<double>(request.required.cpu.value()) / 1000.0);
  // Of the queued tasks, those that slow the services least for each core run
  // first. Processor use is included, because above 70% a core slows every
  // service of the worker more than most tasks do by interference.
  double charge = 0;
  for (const ServiceSlot& slot : entry.services) {
    const Effect effect = CachedEffect(request.task_class, slot.service_class)
                              .AtLoad(slot.load_level);
    const double added =
        effect.mean + tuning.uncertainty_margin * std::sqrt(effect.variance) +
        slot.pressure_slope * added_pressure;
    const double total = slot.predicted + slot.pressure_slope * before + added;
    double excess = std::max(0.0, total - tuning.interference_limit);
    if (slot.load.guard) {
      charge += prices_.PriceOf(slot.service_class) * slot.load_level *
                (effect.mean + slot.pressure_slope * added_pressure);
    }
    const auto objective = static_cast<double>(slot.load.objective_p99.count());
    if (objective > 0) {
      excess = std::max(
          excess, slot.alone + total - std::log(kObjectiveShare * objective));
    }
    if (slot.load.guard && excess > 0) scored.acceptable = false;
    cost += (slot.load.guard ? 1.0 : kUnguardedWeight) *
            (added + kExcessCost * excess);
    scored.predicted = std::max(scored.predicted, total);
    scored.uncertainty = std::max(scored.uncertainty, effect.variance);
  }
  if (charge > tuning.price_factor * cores) {
    price_refusal_ = price_refusal_ || scored.acceptable;
    scored.acceptable = false;
  }
  return cost + kChargeCost * charge;
}

const PairEffect& Placement::CachedEffect(ClassIndex aggressor,
                                          ClassIndex victim) {
  if (victim >= effects_.size()) effects_.resize(victim + std::size_t{1});
  CachedPair& cached = effects_[victim];
  if (cached.decision != decision_) {
    cached.decision = decision_;
    cached.effect = model_.Find(aggressor, victim);
  }
  return cached.effect;
}

double Placement::TaskCost(const WorkerEntry& entry,
                           const PlacementRequest& request) {
  double cost = 0;
  for (const ResidentTask& resident : entry.residents) {
    cost +=
        CachedEffect(request.task_class, resident.task_class).AtLoad(0).mean +
        model_.Predict(resident.task_class, request.task_class, 0).mean;
  }
  return cost;
}

double Placement::RackShare(const JobName& job, std::uint32_t rack) const {
  const auto found = spread_.find(job);
  if (found == spread_.end() || found->second.total == 0) return 0;
  const auto on_rack = found->second.by_rack.find(rack);
  if (on_rack == found->second.by_rack.end()) return 0;
  return static_cast<double>(on_rack->second) / found->second.total;
}

Placement::ScoredWorker Placement::Score(std::size_t worker,
                                         const PlacementRequest& request,
                                         const Tuning& tuning) {
  const WorkerEntry& entry = registry_.entries()[worker];
  const FreeCapacity& available = registry_.free_capacity()[worker];
  ScoredWorker scored;
  scored.worker = worker;
  const auto capacity = static_cast<double>(entry.capacity.cpu.value());
  const double free_after =
      static_cast<double>(available.cpu - request.required.cpu.value());
  scored.cpu_share =
      capacity > 0 ? tuning.max_cpu_share - free_after / capacity : 1.0;
  scored.cost +=
      tuning.latency_cost * ServiceCost(entry, request, tuning, scored);
  scored.cost +=
      tuning.throughput_cost * kTaskInterferenceCost * TaskCost(entry, request);
  scored.cost += kCpuCost * scored.cpu_share * scored.cpu_share;
  scored.cost += kRackCost * RackShare(request.demand->job, entry.rack_index);
  scored.cost += kFailureCost * quarantine_.FailureRate(entry.vm);
  return scored;
}

bool Placement::UseExplorationToken(const ScoredWorker& best) {
  if (best.uncertainty < kMinVariance || exploration_tokens_ < 1) return false;
  exploration_tokens_ -= 1;
  return true;
}

Choice Placement::MakeChoice(const PlacementRequest& request,
                             std::size_t chosen, const char* label) const {
  const ScoredWorker& best = scored_workers_[chosen];
  Choice choice;
  choice.refusal = Refusal::kNone;
  choice.worker = best.worker;
  choice.cost = best.cost;
  for (std::size_t i = 0;
       i < scored_workers_.size() && choice.runners_up.size() < kMaxRunnersUp;
       ++i) {
    if (i == chosen) continue;
    choice.runners_up.push_back(
        {registry_.entries()[scored_workers_[i].worker].vm,
         scored_workers_[i].cost});
  }
  char text[192];
  std::snprintf(text, sizeof(text),
                "%s of %zu with room: predicted p99 x%.2f, cpu %.0f%% after, "
                "%.0f%% of the job on the rack",
                label, scored_workers_.size(), std::exp(best.predicted),
                100 * best.cpu_share,
                100 * RackShare(request.demand->job,
                                registry_.entries()[best.worker].rack_index));
  choice.reason = text;
  return choice;
}

Choice Placement::Choose(const PlacementRequest& request,
                         const Tuning& tuning) {
  CollectCandidates(request);
  if (candidates_.empty()) return Choice{};
  ++decision_;
  scored_workers_.clear();
  for (const std::size_t worker : candidates_) {
    scored_workers_.push_back(Score(worker, request, tuning));
  }
  const std::size_t sorted =
      std::min(scored_workers_.size(), kMaxRunnersUp + 1);
  std::partial_sort(
      scored_workers_.begin(),
      scored_workers_.begin() + static_cast<std::ptrdiff_t>(sorted),
      scored_workers_.end(), [](const ScoredWorker& a, const ScoredWorker& b) {
        if (a.acceptable != b.acceptable) return a.acceptable;
        return a.cost < b.cost;
      });
  exploration_tokens_ =
      std::min(kMaxExplorationTokens, exploration_tokens_ + kExplorationShare);
  if (scored_workers_.front().acceptable) {
    return MakeChoice(request, 0, "lowest cost");
  }
  if (request.ignore_interference) {
    return MakeChoice(request, 0, "urgent, lowest cost");
  }
  if (UseExplorationToken(scored_workers_.front())) {
    return MakeChoice(request, 0, "exploring an uncertain pair, best");
  }
  Choice choice;
  choice.refusal = Refusal::kInterference;
  return choice;
}

void Placement::OnPlaced(const JobName& job, std::uint32_t rack) {
  JobSpread& spread = spread_[job];
  ++spread.by_rack[rack];
  ++spread.total;
}

void Placement::OnRemoved(const JobName& job, std::uint32_t rack) {
  const auto found = spread_.find(job);
  if (found == spread_.end()) return;
  if (--found->second.by_rack[rack] <= 0) found->second.by_rack.erase(rack);
  if (--found->second.total <= 0) spread_.erase(found);
}

}  // namespace mangospread::scheduler::policy
