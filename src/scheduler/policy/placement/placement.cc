#include "scheduler/policy/placement/placement.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace mangospread::scheduler::policy {
namespace {

/// Placements made on purpose to learn about an uncertain pair, as a share of
/// all placements, and the most that can be saved up.
constexpr double kExplorationShare = 0.05;
constexpr double kMostExplorations = 5;
/// Variance above which a pair is worth exploring.
constexpr double kUncertain = 0.02 * 0.02;
constexpr double kRackCost = 0.05;
constexpr double kFailureCost = 1.0;
constexpr double kCpuCost = 0.1;
constexpr double kExcessCost = 4.0;
/// Weight of interference with a service whose guard is off.
constexpr double kUnguardedWeight = 0.25;
constexpr double kTaskInterferenceCost = 0.2;
/// Share of the objective that a placement may plan to use.
constexpr double kObjectiveShare = 0.95;
/// Cost of the price of harm, which decides between workers of equal harm.
constexpr double kChargeCost = 0.01;
constexpr std::size_t kRunnersUp = 3;

std::size_t StrideFor(std::size_t count) {
  // A prime that does not divide the count visits every worker once. Racks
  // have neighbouring indexes, so that a stride also mixes racks.
  for (const std::size_t prime : {127U, 131U, 137U, 139U, 149U}) {
    if (count % prime != 0) return prime;
  }
  return 1;
}

}  // namespace

bool Placement::Fits(std::size_t worker, const Need& need) const {
  const Room& room = book_.rooms()[worker];
  return room.starts > 0 && need.cpu.value() <= room.cpu &&
         need.memory.value() <= room.memory &&
         need.accelerators.value() <= room.accelerators;
}

void Placement::Collect(const PlacementRequest& request) {
  candidates_.clear();
  const std::size_t count = book_.rooms().size();
  if (count == 0) return;
  const std::size_t stride = StrideFor(count);
  std::size_t index = random_() % count;
  for (std::size_t i = 0; i < count; ++i) {
    // An urgent task must not be the trial of a worker that failed others.
    const bool allowed =
        !request.demand->urgent || book_.rooms()[index].starts > 1;
    if (allowed && Fits(index, request.need)) {
      candidates_.push_back(index);
      if (candidates_.size() == kCandidates) return;
    }
    index = (index + stride) % count;
  }
}

double Placement::ServiceCost(const WorkerEntry& entry,
                              const PlacementRequest& request,
                              const Tuning& tuning, Scored& scored) {
  double cost = 0;
  const double capacity =
      std::max(1.0, static_cast<double>(entry.capacity.cpu.value()));
  const double before =
      CpuPressure(static_cast<double>(entry.cpu_used.value()) / capacity);
  const double added_pressure =
      std::max(0.0, CpuPressure(scored.cpu_share) - before);
  const double cores =
      std::max(0.25, static_cast<double>(request.need.cpu.value()) / 1000.0);
  // Of the work that waits, what costs the services least for each core runs
  // first. Processor use counts as harm too: above 70% a core slows every
  // service of the worker more than most tasks do by interference.
  double charge = 0;
  for (const ServiceSlot& slot : entry.services) {
    const Effect effect =
        CachedEffect(request.task_class, slot.service_class).At(slot.level);
    const double added = effect.mean +
                         tuning.pessimism * std::sqrt(effect.variance) +
                         slot.pressure_slope * added_pressure;
    const double total = slot.predicted + slot.pressure_slope * before + added;
    double excess = std::max(0.0, total - tuning.interference_limit);
    if (slot.load.guard) {
      charge += prices_.At(slot.service_class) * slot.level *
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
  for (const Resident& resident : entry.residents) {
    cost += CachedEffect(request.task_class, resident.task_class).At(0).mean +
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

Placement::Scored Placement::Score(std::size_t worker,
                                   const PlacementRequest& request,
                                   const Tuning& tuning) {
  const WorkerEntry& entry = book_.entries()[worker];
  const Room& room = book_.rooms()[worker];
  Scored scored;
  scored.worker = worker;
  const auto capacity = static_cast<double>(entry.capacity.cpu.value());
  const double free_after =
      static_cast<double>(room.cpu - request.need.cpu.value());
  scored.cpu_share =
      capacity > 0 ? tuning.cpu_bound - free_after / capacity : 1.0;
  scored.cost +=
      tuning.latency_cost * ServiceCost(entry, request, tuning, scored);
  scored.cost +=
      tuning.throughput_cost * kTaskInterferenceCost * TaskCost(entry, request);
  scored.cost += kCpuCost * scored.cpu_share * scored.cpu_share;
  scored.cost += kRackCost * RackShare(request.demand->job, entry.rack_index);
  scored.cost += kFailureCost * quarantine_.FailureRate(entry.vm);
  return scored;
}

bool Placement::TakeExploration(const Scored& scored) {
  if (scored.uncertainty < kUncertain || exploration_tokens_ < 1) return false;
  exploration_tokens_ -= 1;
  return true;
}

Choice Placement::Finish(const PlacementRequest& request, std::size_t chosen,
                         const char* note) const {
  const Scored& best = scored_[chosen];
  Choice choice;
  choice.refusal = Refusal::kNone;
  choice.worker = best.worker;
  choice.cost = best.cost;
  for (std::size_t i = 0;
       i < scored_.size() && choice.runners_up.size() < kRunnersUp; ++i) {
    if (i == chosen) continue;
    choice.runners_up.push_back(
        {book_.entries()[scored_[i].worker].vm, scored_[i].cost});
  }
  char text[192];
  std::snprintf(text, sizeof(text),
                "%s of %zu with room: predicted p99 x%.2f, cpu %.0f%% after, "
                "%.0f%% of the job on the rack",
                note, scored_.size(), std::exp(best.predicted),
                100 * best.cpu_share,
                100 * RackShare(request.demand->job,
                                book_.entries()[best.worker].rack_index));
  choice.why = text;
  return choice;
}

Choice Placement::Choose(const PlacementRequest& request,
                         const Tuning& tuning) {
  Collect(request);
  if (candidates_.empty()) return Choice{};
  ++decision_;
  scored_.clear();
  for (const std::size_t worker : candidates_) {
    scored_.push_back(Score(worker, request, tuning));
  }
  const std::size_t sorted = std::min(scored_.size(), kRunnersUp + 1);
  std::partial_sort(scored_.begin(),
                    scored_.begin() + static_cast<std::ptrdiff_t>(sorted),
                    scored_.end(), [](const Scored& a, const Scored& b) {
                      if (a.acceptable != b.acceptable) return a.acceptable;
                      return a.cost < b.cost;
                    });
  exploration_tokens_ =
      std::min(kMostExplorations, exploration_tokens_ + kExplorationShare);
  if (scored_.front().acceptable) {
    return Finish(request, 0, "lowest cost");
  }
  if (request.any_interference) {
    return Finish(request, 0, "urgent, lowest cost");
  }
  if (TakeExploration(scored_.front())) {
    return Finish(request, 0, "exploring an uncertain pair, best");
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

void Placement::OnDeparted(const JobName& job, std::uint32_t rack) {
  const auto found = spread_.find(job);
  if (found == spread_.end()) return;
  if (--found->second.by_rack[rack] <= 0) found->second.by_rack.erase(rack);
  if (--found->second.total <= 0) spread_.erase(found);
}

}  // namespace mangospread::scheduler::policy
