#include "scheduler/policy/engine.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "scheduler/policy/engine_impl.hpp"

namespace mangospread::scheduler {
namespace policy {
namespace {

/// A task is called impossible only after the set of workers has been stable
/// for this long: a scheduler that starts learns of its workers one by one.
constexpr MonotonicTime kFleetStable = std::chrono::seconds(5);
/// Groups of tasks that may fail to be placed in one call; the others are
/// tried in the next calls, because a failed group backs off.
constexpr std::size_t kMostFailures = 16;
/// After this, urgent work takes any interference.
constexpr MonotonicTime kUrgentPatience = std::chrono::seconds(1);
/// An eviction that has not freed room by then is planned elsewhere; twice
/// this and a report's lag stay within the 8.7 s of urgent work.
constexpr MonotonicTime kEvictionTime = std::chrono::seconds(3);
/// Processor time that may be short when an eviction has made room: load that
/// rose meanwhile must not make an urgent task wait for another eviction.
constexpr Millicores kUrgentCpuSlack{3'000};
/// After this, a batch task of an unknown class is tried with its declared
/// size.
constexpr MonotonicTime kCautionLimit = std::chrono::seconds(30);
/// After this, a worker is kept free for a large task, and for how long.
constexpr MonotonicTime kHoldAfter = std::chrono::minutes(2);
constexpr MonotonicTime kHoldTime = std::chrono::minutes(10);
constexpr std::size_t kMostHeldLarge = 2;
/// Waiting time that adds once the limits of harm to them.
constexpr double kRelaxSeconds = 600;
constexpr double kMostRelaxed = 3.0;
/// Blame of a worker for a task that could not be started at all; the cause
/// may be elsewhere.
constexpr double kNotStartedBlame = 0.5;

}  // namespace

Engine::Engine(const Weights& weights, std::uint64_t seed)
    : random_(seed),
      tuning_(DeriveTuning(weights)),
      model_(classes_),
      book_(
          classes_,
          [this](Resident& resident, const WorkerEntry& entry) {
            OnResidentAdded(resident, entry);
          },
          [this](Resident& resident, const WorkerEntry& entry) {
            OnResidentRemoved(resident, entry);
          }),
      placement_(book_, model_, quarantine_, prices_, random_),
      guard_(book_, model_) {
  book_.set_cpu_bound(tuning_.cpu_bound);
}

void Engine::SetWeights(const Weights& weights) {
  tuning_ = DeriveTuning(weights);
  book_.set_cpu_bound(tuning_.cpu_bound);
  RefreshAll();
}

void Engine::SetQuotas(const std::vector<TeamQuota>& quotas) {
  queue_.SetQuotas(quotas);
}

void Engine::UpdateWorker(const WorkerState& worker) {
  const std::size_t known = book_.Find(worker.vm);
  const MonotonicTime last = known == WorkerBook::kNone
                                 ? MonotonicTime{-1}
                                 : book_.entries()[known].report_at;
  const std::size_t index = book_.Update(worker);
  if (worker.report_at > last) {
    LearnFromReport(index);
    guard_.Observe(index);
  }
  Refresh(index);
}

void Engine::RemoveWorker(const VmName& vm) {
  const std::size_t index = book_.Find(vm);
  if (index == WorkerBook::kNone) return;
  for (auto it = held_.begin(); it != held_.end();) {
    if (it->second.worker != index) {
      ++it;
      continue;
    }
    queue_.Add(it->second.demand, it->second.enqueued_at);
    it = held_.erase(it);
  }
  guard_.Forget(index);
  prices_.Set(index, {});
  quarantine_.OnWorkerGone(vm);
  book_.Remove(vm);
}

void Engine::Enqueue(const TaskDemand& task, MonotonicTime now) {
  Dequeue(task.id);
  queue_.Add(task, now);
}

void Engine::Dequeue(const TaskId& task) {
  queue_.Remove(task);
  const auto found = held_.find(task);
  if (found == held_.end()) return;
  ReleaseHeld(found->second);
  held_.erase(found);
}

std::size_t Engine::queued() const { return queue_.size() + held_.size(); }

std::string Engine::WaitReason(const TaskId& task) const {
  if (held_.contains(task)) return "a worker is kept free for it";
  const Queue::Refused refused = queue_.FindRefused(task);
  if (refused.demand == nullptr) return {};
  if (refused.over_quota) return "its team is over its quota";
  if (refused.refusal == Refusal::kNone) return {};
  if (refused.refusal == Refusal::kInterference) {
    return "would slow the services of every worker with room";
  }
  const ClassIndex task_class = classes_.FindTask(*refused.demand);
  if (!book_.FitsBesideServices(
          book_.NeedOf(*refused.demand, task_class, false))) {
    return "fits no worker beside its services";
  }
  return "no worker has room now";
}

std::vector<Decision> Engine::Decide(MonotonicTime now, std::size_t limit) {
  now_ = now;
  if (book_.arrivals() != seen_arrivals_) {
    seen_arrivals_ = book_.arrivals();
    fleet_changed_at_ = now;
  }
  // Allowances change with time, and end when a worker is healthy again.
  std::vector<VmName> limited = quarantine_.Limited();
  limited_.insert(limited_.end(), limited.begin(), limited.end());
  for (const VmName& vm : limited_) {
    const std::size_t index = book_.Find(vm);
    if (index != WorkerBook::kNone) Refresh(index);
  }
  limited_ = std::move(limited);
  std::vector<Decision> decisions = std::exchange(quarantined_, {});
  prices_.Update(now, placement_.TakePriceRefusal(), tuning_.harm_target);
  guard_.Act(tuning_, now, decisions);
  DecideHeld(decisions);
  DecideQueued(limit, decisions);
  return decisions;
}

bool Engine::PlaceHeld(const Held& held, std::vector<Decision>& decisions) {
  const ClassIndex task_class = classes_.ForTask(held.demand);
  Need need = held.need;
  if (held.demand.urgent) need.cpu -= kUrgentCpuSlack;
  if (placement_.Fits(held.worker, need)) {
    Choice choice;
    choice.worker = held.worker;
    choice.why = held.demand.urgent ? "room made by eviction"
                                    : "room kept until it was large enough";
    PlaceOn(held.demand, task_class, std::move(choice), decisions);
    return true;
  }
  if (!held.demand.urgent) return false;
  const PlacementRequest request{&held.demand, task_class, held.need, true};
  Choice choice = placement_.Choose(request, tuning_);
  if (choice.refusal != Refusal::kNone) return false;
  PlaceOn(held.demand, task_class, std::move(choice), decisions);
  return true;
}

void Engine::DecideHeld(std::vector<Decision>& decisions) {
  for (auto it = held_.begin(); it != held_.end();) {
    const Held& held = it->second;
    ReleaseHeld(held);
    if (PlaceHeld(held, decisions)) {
      it = held_.erase(it);
    } else if (now_ >= held.expires_at) {
      queue_.Add(held.demand, held.enqueued_at);
      it = held_.erase(it);
    } else {
      book_.Hold(held.worker, held.need, 1);
      Refresh(held.worker);
      ++it;
    }
  }
}

void Engine::DecideQueued(std::size_t limit, std::vector<Decision>& decisions) {
  queue_.BeginRound(now_, {book_.total_cpu(), book_.total_accelerators()});
  refused_.clear();
  attempts_ = 0;
  std::size_t placed = 0;
  while (placed < limit && attempts_ < placed + kMostFailures) {
    const Queue::Offer* offer = queue_.Next();
    if (offer == nullptr) return;
    if (DropImpossible(*offer, decisions)) continue;
    const Refusal refusal = TryPlace(*offer, decisions);
    if (refusal == Refusal::kNone) {
      ++placed;
    } else {
      queue_.Skip(refusal);
    }
  }
}

bool Engine::DropImpossible(const Queue::Offer& offer,
                            std::vector<Decision>& decisions) {
  const TaskDemand& demand = offer.demand;
  if (queue_.ExceedsQuota(demand)) {
    decisions.emplace_back(CannotRunDecision{
        demand.id, "larger than the quota of team " + demand.team.str()});
    queue_.Take();
    return true;
  }
  if (book_.live() == 0 || now_ - fleet_changed_at_ < kFleetStable ||
      book_.CouldEverFit(demand)) {
    return false;
  }
  decisions.emplace_back(
      CannotRunDecision{demand.id, "larger than any worker"});
  queue_.Take();
  return true;
}

Refusal Engine::TryPlace(const Queue::Offer& offer,
                         std::vector<Decision>& decisions) {
  // Taking the task from the queue does not change the offer's content.
  const TaskDemand& demand = offer.demand;
  const ClassIndex task_class = classes_.ForTask(demand);
  const MonotonicTime waited = now_ - offer.enqueued_at;
  const bool cautious = !demand.urgent && waited < kCautionLimit;
  const Need need = book_.NeedOf(demand, task_class, cautious);
  const PlacementRequest request{&demand, task_class, need,
                                 demand.urgent && waited >= kUrgentPatience};
  Tuning tuning = tuning_;
  tuning.price_factor = std::min(
      kMostRelaxed,
      1.0 + std::chrono::duration<double>(waited).count() / kRelaxSeconds);
  tuning.interference_limit *= tuning.price_factor;
  const Refusal before = RefusedBefore(request, tuning.price_factor);
  if (before != Refusal::kNone) return before;
  ++attempts_;
  Choice choice = placement_.Choose(request, tuning);
  if (choice.refusal == Refusal::kNone) {
    queue_.Take();
    PlaceOn(demand, task_class, std::move(choice), decisions);
    return Refusal::kNone;
  }
  const bool no_room = choice.refusal == Refusal::kNoRoom;
  if (no_room && demand.urgent) {
    return HoldForUrgent(offer, need, decisions) ? Refusal::kNone
                                                 : Refusal::kNoRoom;
  }
  if (no_room && waited >= kHoldAfter && HoldForLarge(offer, need)) {
    return Refusal::kNone;
  }
  refused_.push_back({task_class, need, no_room ? -1.0 : tuning.price_factor});
  return choice.refusal;
}

Refusal Engine::RefusedBefore(const PlacementRequest& request,
                              double factor) const {
  if (request.demand->urgent) return Refusal::kNone;
  const auto found = std::find_if(
      refused_.begin(), refused_.end(), [&](const Refused& refused) {
        return refused.task_class == request.task_class &&
               (refused.factor < 0 || factor <= refused.factor) &&
               refused.need.cpu <= request.need.cpu &&
               refused.need.memory <= request.need.memory &&
               refused.need.accelerators <= request.need.accelerators;
      });
  if (found == refused_.end()) return Refusal::kNone;
  return found->factor < 0 ? Refusal::kNoRoom : Refusal::kInterference;
}

bool Engine::HoldForUrgent(const Queue::Offer& offer, const Need& need,
                           std::vector<Decision>& decisions) {
  const EvictionPlan plan =
      PlanEviction(book_, classes_, need, tuning_, now_, random_);
  if (plan.worker == WorkerBook::kNone) return false;
  const VmName& vm = book_.entries()[plan.worker].vm;
  for (const TaskId& victim : plan.victims) {
    book_.FindResident(plan.worker, victim)->evicting = true;
    decisions.emplace_back(EvictDecision{
        victim, vm,
        "cheapest eviction for urgent task " + offer.demand.id.str()});
  }
  AddHeld(offer, need, plan.worker, now_ + kEvictionTime);
  return true;
}

bool Engine::HoldForLarge(const Queue::Offer& offer, const Need& need) {
  const auto large = static_cast<std::size_t>(std::count_if(
      held_.begin(), held_.end(),
      [](const auto& entry) { return !entry.second.demand.urgent; }));
  if (large >= kMostHeldLarge) return false;
  // The worker that is short of the least once its tasks have ended.
  std::size_t best = WorkerBook::kNone;
  double best_missing = 0;
  for (std::size_t i = 0; i < book_.entries().size(); ++i) {
    const Room& room = book_.rooms()[i];
    if (room.starts <= 0) continue;
    const double missing =
        std::max(0.0,
                 static_cast<double>(need.cpu.value() - room.cpu) / 1000.0) +
        std::max(0.0, static_cast<double>(need.memory.value() - room.memory) /
                          4000.0);
    const Need free = book_.RoomWithoutTasks(i);
    if (free.cpu < need.cpu || free.memory < need.memory ||
        free.accelerators < need.accelerators) {
      continue;
    }
    if (best == WorkerBook::kNone || missing < best_missing) {
      best = i;
      best_missing = missing;
    }
  }
  if (best == WorkerBook::kNone) return false;
  AddHeld(offer, need, best, now_ + kHoldTime);
  return true;
}

void Engine::AddHeld(const Queue::Offer& offer, const Need& need,
                     std::size_t worker, MonotonicTime expires_at) {
  held_[offer.demand.id] =
      Held{offer.demand, offer.enqueued_at, worker, need, expires_at};
  queue_.Take();
  book_.Hold(worker, need, 1);
  Refresh(worker);
}

void Engine::ReleaseHeld(const Held& held) {
  book_.Hold(held.worker, held.need, -1);
  Refresh(held.worker);
}

void Engine::PlaceOn(const TaskDemand& demand, ClassIndex task_class,
                     Choice choice, std::vector<Decision>& decisions) {
  Resident resident;
  resident.demand = demand;
  resident.task_class = task_class;
  resident.placed_at = now_;
  book_.Place(choice.worker, std::move(resident));
  const VmName& vm = book_.entries()[choice.worker].vm;
  quarantine_.OnPlaced(vm);
  decisions.emplace_back(PlaceDecision{demand.id, vm, choice.cost,
                                       std::move(choice.runners_up),
                                       std::move(choice.why)});
  Refresh(choice.worker);
}

void Engine::Refresh(std::size_t worker) {
  WorkerEntry& entry = book_.entries()[worker];
  book_.Refresh(worker, quarantine_.StartsAllowed(entry.vm, now_));
  Predict(entry);
  CountHarm(worker);
}

void Engine::CountHarm(std::size_t worker) {
  const WorkerEntry& entry = book_.entries()[worker];
  const double pressure = CpuPressure(
      static_cast<double>(entry.cpu_used.value()) /
      std::max(1.0, static_cast<double>(entry.capacity.cpu.value())));
  shares_.clear();
  for (const ServiceSlot& slot : entry.services) {
    if (!slot.load.guard) continue;
    shares_.push_back({slot.service_class, slot.level,
                       slot.predicted + slot.pressure_slope * pressure});
  }
  prices_.Set(worker, shares_);
}

void Engine::RefreshAll() {
  for (std::size_t i = 0; i < book_.entries().size(); ++i) {
    if (book_.entries()[i].known) Refresh(i);
  }
}

void Engine::Predict(WorkerEntry& entry) const {
  for (ServiceSlot& slot : entry.services) {
    slot.predicted = 0;
    slot.pressure_slope = model_.PressureSlope(slot.service_class);
    slot.alone = model_.PredictAlone(slot.service_class, slot.level);
    for (const Resident& resident : entry.residents) {
      const double running = 1.0 - resident.ordered_throttle / 100.0;
      slot.predicted +=
          running *
          model_.Predict(resident.task_class, slot.service_class, slot.level)
              .mean;
    }
  }
}

void Engine::OnResidentAdded(Resident& resident, const WorkerEntry& entry) {
  // A team pays for what its tasks use when they declared less.
  resident.charged_cpu =
      std::max(resident.demand.cpu,
               classes_.ExpectedCpu(resident.task_class, resident.demand.cpu));
  queue_.AddCharge(resident.demand.team,
                   {resident.charged_cpu, resident.demand.accelerators});
  placement_.OnPlaced(resident.demand.job, entry.rack_index);
}

void Engine::OnResidentRemoved(const Resident& resident,
                               const WorkerEntry& entry) {
  queue_.RemoveCharge(resident.demand.team,
                      {resident.charged_cpu, resident.demand.accelerators});
  placement_.OnDeparted(resident.demand.job, entry.rack_index);
}

void Engine::NoteFailure(const VmName& vm, double blame, MonotonicTime now) {
  if (!quarantine_.OnFailure(vm, blame, book_.live(), now)) return;
  const double share = 100 * quarantine_.FailureRate(vm);
  quarantined_.emplace_back(
      QuarantineDecision{vm, "failed " + std::to_string(std::lround(share)) +
                                 "% of its recent attempts"});
}

void Engine::OnNotStarted(const TaskId& task, const VmName& vm) {
  const std::size_t index = book_.Find(vm);
  if (index == WorkerBook::kNone ||
      book_.FindResident(index, task) == nullptr) {
    return;
  }
  book_.Depart(index, task, false, now_);
  NoteFailure(vm, kNotStartedBlame, now_);
  Refresh(index);
}

void Engine::OnEnded(const TaskId& task, const VmName& vm, AttemptEnd end,
                     MonotonicTime now) {
  now_ = std::max(now_, now);
  const std::size_t index = book_.Find(vm);
  if (index == WorkerBook::kNone) return;
  const Resident* resident = book_.FindResident(index, task);
  if (resident == nullptr) return;
  const ClassIndex task_class = resident->task_class;
  if (end == AttemptEnd::kDone) {
    LearnRunTime(index, *resident, now);
    classes_.RecordSuccess(
        task_class,
        std::chrono::duration<double>(now - resident->placed_at).count());
    quarantine_.OnSuccess(vm);
  } else if (end == AttemptEnd::kFailed) {
    const double blame = 1.0 - classes_.use(task_class).failures;
    classes_.RecordFailure(task_class, 1.0 - quarantine_.FailureRate(vm));
    NoteFailure(vm, blame, now);
  } else {
    quarantine_.OnEnded(vm);
  }
  book_.Depart(index, task, true, now);
  Refresh(index);
}

}  // namespace policy

std::unique_ptr<DecisionEngine> MakeEngine(const Weights& weights,
                                           std::uint64_t seed) {
  return std::make_unique<policy::Engine>(weights, seed);
}

}  // namespace mangospread::scheduler
