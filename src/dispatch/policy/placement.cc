#include "dispatch/policy/placement.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace mangospread::dispatch {
namespace {

constexpr double kSameImageCost = -0.3;
/// A best-effort task that adds less utilisation than this needs no headroom.
constexpr double kNegligibleEffect = 0.02;
/// A best-effort task that could only start at a lower speed starts paused.
constexpr int kMinPercent = 10;
/// Cost of running on another rack than the data, in shares of a worker's
/// processors.
constexpr double kRemoteDataCost = 2.0;

/// Cost of a worker whose data centre's evacuation has just ended, in shares of
/// its processors. It falls to 0 within kReturnTime, so that the data centre's
/// workers, which are all free and cold, get load by and by.
constexpr double kReturnCost = 1.0;
constexpr MonotonicTime kReturnTime = std::chrono::seconds(5);

bool Satisfies(const WorkerState& worker, const StepSpec& spec) {
  return LabelRejection(worker, spec) == Rejection::kNone;
}

/// Time until a run is expected to end. One that has exceeded its estimate is
/// expected to exceed it by as much again, so that capacity is not held for one
/// that never ends.
MonotonicTime ExpectedTimeLeft(const PlacedRun& placed, MonotonicTime now) {
  return std::chrono::abs(placed.started_at + placed.spec->estimate - now);
}

/// Time until a task fits on the worker if its runs end as expected and nothing
/// else starts there; empty if it never does.
std::optional<MonotonicTime> ExpectedTimeUntilFree(const WorkerState& worker,
                                                   const StepSpec& spec,
                                                   MonotonicTime now) {
  std::vector<std::pair<MonotonicTime, const StepSpec*>> ends;
  for (const auto& [name, placed] : worker.runs) {
    if (placed.spec->long_running) continue;
    ends.emplace_back(ExpectedTimeLeft(placed, now), placed.spec);
  }
  std::stable_sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) {
    return a.first < b.first;
  });
  Millicores cpu = worker.cpu_used + spec.cpu;
  Mebibytes memory = worker.memory_used + spec.memory;
  Accelerators accelerators = worker.accelerators_used + spec.accelerators;
  const WorkerCapacity& capacity = worker.info.capacity;
  const auto fits = [&] {
    return cpu <= capacity.cpu && memory <= capacity.memory &&
           accelerators <= capacity.accelerators;
  };
  MonotonicTime until_free{0};
  for (const auto& [time_left, ending] : ends) {
    if (fits()) break;
    until_free = time_left;
    if (!ending->best_effort) cpu -= ending->cpu;
    memory -= ending->memory;
    accelerators -= ending->accelerators;
  }
  if (!fits()) return std::nullopt;
  return until_free;
}

/// Number of latency-critical tasks of other images on the worker, minus a
/// share for each of the same image. A best-effort image slows down few
/// latency-critical images, so workers with a single latency-critical image can
/// run most best-effort tasks.
double ImageMismatch(const WorkerState& worker, const InterferenceModel& model,
                     const StepSpec& spec) {
  double mismatch = 0;
  for (const LatencyCriticalGroup& group :
       worker.LatencyCriticalGroups(model)) {
    const double cost = group.image == spec.image ? kSameImageCost : 1.0;
    mismatch += cost * group.tasks;
  }
  return mismatch;
}

/// Cost for a recently ended evacuation of the worker's data centre.
double ReturnCost(const WorkerState& worker, MonotonicTime now) {
  if (!worker.returned_at) return 0;
  const MonotonicTime left = *worker.returned_at + kReturnTime - now;
  if (left.count() <= 0) return 0;
  return kReturnCost * static_cast<double>(left.count()) /
         static_cast<double>(kReturnTime.count());
}

/// Lower is better.
double Cost(const WorkerState& worker, const InterferenceModel& model,
            const StepSpec& spec) {
  const auto capacity = static_cast<double>(
      std::max<std::int64_t>(worker.info.capacity.cpu.value(), 1));
  // Best-effort tasks prefer the most unused processor time, other tasks the
  // smallest reserved share.
  double cost = spec.best_effort
                    ? -UnusedMillicores(worker) / capacity
                    : static_cast<double>(worker.cpu_used.value()) / capacity;
  if (spec.long_running) cost += ImageMismatch(worker, model, spec);
  if (!spec.data_rack.empty() && worker.info.rack != spec.data_rack) {
    cost += kRemoteDataCost;
  }
  return cost;
}

/// Speed for a share of full speed, in per cent. A lower one than kMinPercent
/// would only prolong the effect, so the task waits for more headroom, paused.
int PercentOf(double speed_share) {
  const int percent = static_cast<int>(100 * std::clamp(speed_share, 0.0, 1.0));
  return percent < kMinPercent ? 0 : percent;
}

}  // namespace

double SpeedShare(const std::vector<LatencyCriticalGroup>& groups,
                  const std::function<double(const ImageName&)>& effect_on) {
  double share = 1;
  for (const LatencyCriticalGroup& group : groups) {
    if (group.target.count() == 0) continue;
    const double effect = effect_on(group.image);
    if (effect < kNegligibleEffect) continue;
    share = std::min(share, group.headroom / effect);
  }
  return share;
}

StepPlacer::StepPlacer(const WorkerRegistry& registry,
                       const InterferenceModel& model,
                       const ServiceName& service, const StepSpec& spec,
                       std::function<int(WorkerSlot)> tasks_of_step,
                       MonotonicTime now, PlacementGoal goal)
    : registry_(registry),
      model_(model),
      service_(service),
      spec_(spec),
      tasks_of_step_(std::move(tasks_of_step)),
      now_(now),
      goal_(goal) {
  const auto& slots = registry_.SlotsOf(service_);
  heap_.reserve(slots.size());
  for (const WorkerSlot slot : slots) {
    const WorkerState& worker = At(slot);
    if (!worker.CanStart(now_) || !Satisfies(worker, spec_)) continue;
    if (worker.Excluded(now_)) {
      excluded_.push_back(slot);
      continue;
    }
    reason_ = PlacementFailure::kNoCapacity;
    AddIfFree(slot);
  }
  std::make_heap(heap_.begin(), heap_.end(), ChosenAfter);
}

Placement StepPlacer::Next() {
  if (last_ != kNoWorker) {
    const std::size_t before = heap_.size();
    AddIfFree(last_);
    if (heap_.size() > before) {
      std::push_heap(heap_.begin(), heap_.end(), ChosenAfter);
    }
  }
  if (heap_.empty()) AddExcluded();
  if (heap_.empty()) {
    last_ = kNoWorker;
    return {kNoWorker, reason_};
  }
  std::pop_heap(heap_.begin(), heap_.end(), ChosenAfter);
  const Candidate chosen = heap_.back();
  heap_.pop_back();
  last_ = chosen.slot;
  return {last_, PlacementFailure::kNone, chosen.percent};
}

WorkerSlot StepPlacer::FreeSoonest() {
  if (!free_later_) {
    free_later_.emplace();
    for (const WorkerSlot slot : Sound()) AddIfFreeLater(slot);
  } else if (last_free_later_ != kNoWorker) {
    AddIfFreeLater(last_free_later_);
  }
  last_free_later_ = kNoWorker;
  if (free_later_->empty()) return kNoWorker;
  std::pop_heap(free_later_->begin(), free_later_->end(), FreeAfter);
  last_free_later_ = free_later_->back().slot;
  free_later_->pop_back();
  return last_free_later_;
}

void StepPlacer::AddIfFreeLater(WorkerSlot slot) {
  const WorkerState& worker = At(slot);
  if (!worker.UseIsKnown(now_) || !CouldRun(slot)) return;
  const auto until_free = ExpectedTimeUntilFree(worker, spec_, now_);
  if (!until_free) return;
  free_later_->push_back(
      {std::max(*until_free, worker.trial_until - now_), slot});
  std::push_heap(free_later_->begin(), free_later_->end(), FreeAfter);
}

bool StepPlacer::IsSuitable(const WorkerState& worker) const {
  return worker.Stays() && Satisfies(worker, spec_);
}

const std::vector<WorkerSlot>& StepPlacer::Sound() {
  if (sound_) return *sound_;
  sound_.emplace();
  for (const WorkerSlot slot : registry_.SlotsOf(service_)) {
    const WorkerState& worker = At(slot);
    if (IsSuitable(worker) && !worker.Excluded(now_)) sound_->push_back(slot);
  }
  return *sound_;
}

bool StepPlacer::CouldRun(WorkerSlot slot) const {
  const WorkerCapacity& capacity = At(slot).info.capacity;
  if (spec_.cpu > capacity.cpu || spec_.memory > capacity.memory ||
      spec_.accelerators > capacity.accelerators) {
    return false;
  }
  // Other tasks of the step there end, unless they are long-running or wait for
  // this one.
  if (!spec_.long_running && !spec_.gang) return true;
  return spec_.max_per_worker == 0 ||
         tasks_of_step_(slot) < spec_.max_per_worker;
}

void StepPlacer::AddExcluded() {
  if (excluded_.empty()) return;
  const auto& sound = Sound();
  if (std::any_of(sound.begin(), sound.end(),
                  [this](WorkerSlot slot) { return CouldRun(slot); })) {
    return;
  }
  reason_ = PlacementFailure::kNoCapacity;
  for (const WorkerSlot slot : excluded_) AddIfFree(slot);
  excluded_.clear();
  std::make_heap(heap_.begin(), heap_.end(), ChosenAfter);
}

Rejection StepPlacer::CapacityRejection(const WorkerState& worker,
                                        WorkerSlot slot) {
  const Rejection fit = FitRejection(worker, spec_);
  if (fit != Rejection::kNone) return fit;
  if (spec_.max_per_worker > 0 &&
      tasks_of_step_(slot) >= spec_.max_per_worker) {
    return Rejection::kSpread;
  }
  const bool lacks_headroom = spec_.best_effort &&
                              goal_ != PlacementGoal::kHighestSpeed &&
                              !LeavesHeadroom(worker);
  return lacks_headroom ? Rejection::kHeadroom : Rejection::kNone;
}

Rejection StepPlacer::RejectionBy(WorkerSlot slot) {
  const WorkerState& worker = At(slot);
  if (const Rejection start = StartRejection(worker, now_);
      start != Rejection::kNone) {
    return start;
  }
  const Rejection label = LabelRejection(worker, spec_);
  if (label != Rejection::kNone) return label;
  // A worker without capacity rejects the task whatever failed on it.
  const Rejection capacity = CapacityRejection(worker, slot);
  if (capacity != Rejection::kNone) return capacity;
  return worker.Excluded(now_) ? Rejection::kSuspected : Rejection::kNone;
}

ImageName StepPlacer::ScarcestImage(WorkerSlot slot) {
  const auto& groups = At(slot).LatencyCriticalGroups(model_);
  const auto left = [this](const LatencyCriticalGroup& group) {
    return group.headroom - EffectOn(group.image);
  };
  const auto scarcest = std::min_element(
      groups.begin(), groups.end(),
      [&](const auto& a, const auto& b) { return left(a) < left(b); });
  return scarcest == groups.end() ? ImageName() : scarcest->image;
}

void StepPlacer::AddIfFree(WorkerSlot slot) {
  const WorkerState& worker = At(slot);
  if (CapacityRejection(worker, slot) != Rejection::kNone) return;
  const int suspicion = worker.Excluded(now_) ? worker.suspicion : 0;
  if (goal_ == PlacementGoal::kHighestSpeed) {
    const double share = SpeedShareOn(worker);
    heap_.push_back({suspicion, -share, slot, PercentOf(share)});
    return;
  }
  const double cost =
      goal_ == PlacementGoal::kLongestQuiet
          ? static_cast<double>(worker.last_start.count())
          : Cost(worker, model_, spec_) + ReturnCost(worker, now_);
  heap_.push_back({suspicion, cost, slot});
}

double StepPlacer::SpeedShareOn(const WorkerState& worker) {
  return SpeedShare(worker.LatencyCriticalGroups(model_),
                    [this](const ImageName& image) { return EffectOn(image); });
}

bool StepPlacer::LeavesHeadroom(const WorkerState& worker) {
  const auto& groups = worker.LatencyCriticalGroups(model_);
  return std::all_of(
      groups.begin(), groups.end(), [this](const LatencyCriticalGroup& group) {
        const double effect = EffectOn(group.image);
        return effect < kNegligibleEffect || effect <= group.headroom;
      });
}

double StepPlacer::EffectOn(const ImageName& latency_critical_image) {
  for (const CachedEffect& cached : effects_) {
    if (cached.latency_critical_image == latency_critical_image) {
      return cached.utilisation;
    }
  }
  constexpr double kMillicoresPerCore = 1'000;
  const double cores =
      static_cast<double>(spec_.cpu.value()) / kMillicoresPerCore;
  const double utilisation =
      model_.Effect(spec_.image, latency_critical_image) * cores;
  effects_.push_back({latency_critical_image, utilisation});
  return utilisation;
}

}  // namespace mangospread::dispatch
