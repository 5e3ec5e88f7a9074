#include "scheduler/policy/engine.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "scheduler/policy/engine_impl.hpp"

namespace mangospread::scheduler {
namespace policy {
namespace {

/// A task is reported as impossible only after the set of workers has been
/// stable for this long, because a scheduler that starts discovers its workers
/// one by one.
constexpr MonotonicTime kFleetStableTime = std::chrono::seconds(5);
/// Groups of tasks whose placement may fail in one call. The other groups are
/// tried in the next calls, because a group backs off after a failure.
constexpr std::size_t kMaxFailuresPerCall = 16;
/// Waiting time after which an urgent task is placed despite any predicted
/// interference.
constexpr MonotonicTime kIgnoreInterferenceAfter = std::chrono::seconds(1);
/// Time after which an eviction that has not freed capacity is planned on
/// another worker. Urgent work must start within 8.7 s, which leaves time for
/// two evictions and the lag of a report.
constexpr MonotonicTime kEvictionTimeout = std::chrono::seconds(3);
/// Processor capacity that may be missing on a worker once an eviction has
/// freed capacity. Without it, a rise of the load in the meantime would make an
/// urgent task wait for another eviction.
constexpr Millicores kUrgentCpuSlack{3'000};
/// Waiting time after which a batch task of an unknown class is tried with its
/// declared size.
constexpr MonotonicTime kCautionTime = std::chrono::seconds(30);
/// Waiting time after which a worker is reserved for a large task, and duration
/// of the reservation.
constexpr MonotonicTime kReserveAfter = std::chrono::minutes(2);
constexpr MonotonicTime kReservationTime = std::chrono::minutes(10);
constexpr std::size_t kMaxLargeReservations = 2;
/// Waiting time that raises the interference limits of a task by their initial
/// value.
constexpr double kRelaxSeconds = 600;
constexpr double kMaxRelaxation = 3.0;
/// Share of the fault attributed to a worker for a task that could not be
/// started at all; the cause may be outside the worker.
constexpr double kNotStartedFaultShare = 0.5;

}  // namespace

Engine::Engine(const Weights& weights, std::uint64_t seed)
    : random_(seed),
      tuning_(DeriveTuning(weights)),
      model_(classes_),
      registry_(
          classes_,
          [this](ResidentTask& resident, const WorkerEntry& entry) {
            OnResidentAdded(resident, entry);
          },
          [this](ResidentTask& resident, const WorkerEntry& entry) {
            OnResidentRemoved(resident, entry);
          }),
      placement_(registry_, model_, quarantine_, prices_, random_),
      guard_(registry_, model_) {
  registry_.set_max_cpu_share(tuning_.max_cpu_share);
}

void Engine::SetWeights(const Weights& weights) {
  tuning_ = DeriveTuning(weights);
  registry_.set_max_cpu_share(tuning_.max_cpu_share);
  RefreshAll();
}

void Engine::SetQuotas(const std::vector<TeamQuota>& quotas) {
  queue_.SetQuotas(quotas);
}

void Engine::UpdateWorker(const WorkerState& worker) {
  const std::size_t known_index = registry_.Find(worker.vm);
  const MonotonicTime last_report_at =
      known_index == WorkerRegistry::kNone
          ? MonotonicTime{-1}
          : registry_.entries()[known_index].report_at;
  const std::size_t index = registry_.Update(worker);
  if (worker.report_at > last_report_at) {
    LearnFromReport(index);
    guard_.Observe(index);
  }
  Refresh(index);
}

void Engine::RemoveWorker(const VmName& vm) {
  const std::size_t index = registry_.Find(vm);
  if (index == WorkerRegistry::kNone) return;
  for (auto it = reservations_.begin(); it != reservations_.end();) {
    if (it->second.worker != index) {
      ++it;
      continue;
    }
    queue_.Add(it->second.demand, it->second.enqueued_at);
    it = reservations_.erase(it);
  }
  guard_.Erase(index);
  prices_.Set(index, {});
  quarantine_.OnWorkerRemoved(vm);
  registry_.Remove(vm);
}

void Engine::Enqueue(const TaskDemand& task, MonotonicTime now) {
  Dequeue(task.id);
  queue_.Add(task, now);
}

void Engine::Dequeue(const TaskId& task) {
  queue_.Remove(task);
  const auto found = reservations_.find(task);
  if (found == reservations_.end()) return;
  ReleaseReservation(found->second);
  reservations_.erase(found);
}

std::size_t Engine::queued() const {
  return queue_.size() + reservations_.size();
}

std::string Engine::WaitReason(const TaskId& task) const {
  if (reservations_.contains(task)) return "a worker is kept free for it";
  const Queue::LastRefusal refused = queue_.FindLastRefusal(task);
  if (refused.demand == nullptr) return {};
  if (refused.over_quota) return "its team is over its quota";
  if (refused.refusal == Refusal::kNone) return {};
  if (refused.refusal == Refusal::kInterference) {
    return "would slow the services of every worker with room";
  }
  const ClassIndex task_class = classes_.FindTask(*refused.demand);
  if (!registry_.FitsBesideServices(
          registry_.RequiredFor(*refused.demand, task_class, false))) {
    return "fits no worker beside its services";
  }
  return "no worker has room now";
}

std::vector<Decision> Engine::Decide(MonotonicTime now, std::size_t limit) {
  now_ = now;
  if (registry_.registrations() != seen_registrations_) {
    seen_registrations_ = registry_.registrations();
    fleet_changed_at_ = now;
  }
  // Refreshes the workers whose starts were or are limited: the limit changes
  // with time and ends when a worker is healthy again.
  std::vector<VmName> limited = quarantine_.LimitedWorkers();
  limited_workers_.insert(limited_workers_.end(), limited.begin(),
                          limited.end());
  for (const VmName& vm : limited_workers_) {
    const std::size_t index = registry_.Find(vm);
    if (index != WorkerRegistry::kNone) Refresh(index);
  }
  limited_workers_ = std::move(limited);
  std::vector<Decision> decisions = std::exchange(quarantine_decisions_, {});
  prices_.Update(now, placement_.TakePriceRefusal(),
                 tuning_.interference_target);
  guard_.Act(tuning_, now, decisions);
  DecideReserved(decisions);
  DecideQueued(limit, decisions);
  return decisions;
}

bool Engine::PlaceReserved(const Reservation& reservation,
                           std::vector<Decision>& decisions) {
  const ClassIndex task_class = classes_.ForTask(reservation.demand);
  Resources required = reservation.required;
  if (reservation.demand.urgent) required.cpu -= kUrgentCpuSlack;
  if (placement_.Fits(reservation.worker, required)) {
    Choice choice;
    choice.worker = reservation.worker;
    choice.reason = reservation.demand.urgent
                        ? "room made by eviction"
                        : "room kept until it was large enough";
    PlaceOnWorker(reservation.demand, task_class, std::move(choice), decisions);
    return true;
  }
  if (!reservation.demand.urgent) return false;
  const PlacementRequest request{&reservation.demand, task_class,
                                 reservation.required, true};
  Choice choice = placement_.Choose(request, tuning_);
  if (choice.refusal != Refusal::kNone) return false;
  PlaceOnWorker(reservation.demand, task_class, std::move(choice), decisions);
  return true;
}

void Engine::DecideReserved(std::vector<Decision>& decisions) {
  for (auto it = reservations_.begin(); it != reservations_.end();) {
    const Reservation& reservation = it->second;
    ReleaseReservation(reservation);
    if (PlaceReserved(reservation, decisions)) {
      it = reservations_.erase(it);
    } else if (now_ >= reservation.expires_at) {
      queue_.Add(reservation.demand, reservation.enqueued_at);
      it = reservations_.erase(it);
    } else {
      registry_.AdjustReservation(reservation.worker, reservation.required, 1);
      Refresh(reservation.worker);
      ++it;
    }
  }
}

void Engine::DecideQueued(std::size_t limit, std::vector<Decision>& decisions) {
  queue_.BeginRound(now_,
                    {registry_.total_cpu(), registry_.total_accelerators()});
  refused_requests_.clear();
  attempts_ = 0;
  std::size_t placed = 0;
  while (placed < limit && attempts_ < placed + kMaxFailuresPerCall) {
    const Queue::Offer* offer = queue_.Next();
    if (offer == nullptr) return;
    if (RejectImpossible(*offer, decisions)) continue;
    const Refusal refusal = TryPlace(*offer, decisions);
    if (refusal == Refusal::kNone) {
      ++placed;
    } else {
      queue_.Skip(refusal);
    }
  }
}

bool Engine::RejectImpossible(const Queue::Offer& offer,
                              std::vector<Decision>& decisions) {
  const TaskDemand& demand = offer.demand;
  if (queue_.ExceedsQuota(demand)) {
    decisions.emplace_back(CannotRunDecision{
        demand.id, "larger than the quota of team " + demand.team.str()});
    queue_.Take();
    return true;
  }
  if (registry_.workers() == 0 || now_ - fleet_changed_at_ < kFleetStableTime ||
      registry_.FitsEmptyWorker(demand)) {
    return false;
  }
  decisions.emplace_back(
      CannotRunDecision{demand.id, "larger than any worker"});
  queue_.Take();
  return true;
}

Refusal Engine::TryPlace(const Queue::Offer& offer,
                         std::vector<Decision>& decisions) {
  // Removing the task from the queue does not change the content of the offer.
  const TaskDemand& demand = offer.demand;
  const ClassIndex task_class = classes_.ForTask(demand);
  const MonotonicTime waited = now_ - offer.enqueued_at;
  const bool cautious = !demand.urgent && waited < kCautionTime;
  const Resources required =
      registry_.RequiredFor(demand, task_class, cautious);
  const PlacementRequest request{
      &demand, task_class, required,
      demand.urgent && waited >= kIgnoreInterferenceAfter};
  Tuning tuning = tuning_;
  tuning.price_factor = std::min(
      kMaxRelaxation,
      1.0 + std::chrono::duration<double>(waited).count() / kRelaxSeconds);
  tuning.interference_limit *= tuning.price_factor;
  const Refusal previous_refusal =
      PreviousRefusal(request, tuning.price_factor);
  if (previous_refusal != Refusal::kNone) return previous_refusal;
  ++attempts_;
  Choice choice = placement_.Choose(request, tuning);
  if (choice.refusal == Refusal::kNone) {
    queue_.Take();
    PlaceOnWorker(demand, task_class, std::move(choice), decisions);
    return Refusal::kNone;
  }
  const bool no_capacity = choice.refusal == Refusal::kNoCapacity;
  if (no_capacity && demand.urgent) {
    return ReserveForUrgent(offer, required, decisions) ? Refusal::kNone
                                                        : Refusal::kNoCapacity;
  }
  if (no_capacity && waited >= kReserveAfter &&
      ReserveForLarge(offer, required)) {
    return Refusal::kNone;
  }
  refused_requests_.push_back(
      {task_class, required, no_capacity ? -1.0 : tuning.price_factor});
  return choice.refusal;
}

Refusal Engine::PreviousRefusal(const PlacementRequest& request,
                                double relaxation) const {
  if (request.demand->urgent) return Refusal::kNone;
  const auto found = std::find_if(
      refused_requests_.begin(), refused_requests_.end(),
      [&](const RefusedRequest& refused) {
        return refused.task_class == request.task_class &&
               (refused.relaxation < 0 || relaxation <= refused.relaxation) &&
               refused.required.cpu <= request.required.cpu &&
               refused.required.memory <= request.required.memory &&
               refused.required.accelerators <= request.required.accelerators;
      });
  if (found == refused_requests_.end()) return Refusal::kNone;
  return found->relaxation < 0 ? Refusal::kNoCapacity : Refusal::kInterference;
}

bool Engine::ReserveForUrgent(const Queue::Offer& offer,
                              const Resources& required,
                              std::vector<Decision>& decisions) {
  const EvictionPlan plan =
      PlanEviction(registry_, classes_, required, tuning_, now_, random_);
  if (plan.worker == WorkerRegistry::kNone) return false;
  const VmName& vm = registry_.entries()[plan.worker].vm;
  for (const TaskId& victim : plan.victims) {
    registry_.FindResident(plan.worker, victim)->evicting = true;
    decisions.emplace_back(EvictDecision{
        victim, vm,
        "cheapest eviction for urgent task " + offer.demand.id.str()});
  }
  AddReservation(offer, required, plan.worker, now_ + kEvictionTimeout);
  return true;
}

bool Engine::ReserveForLarge(const Queue::Offer& offer,
                             const Resources& required) {
  const auto large = static_cast<std::size_t>(std::count_if(
      reservations_.begin(), reservations_.end(),
      [](const auto& entry) { return !entry.second.demand.urgent; }));
  if (large >= kMaxLargeReservations) return false;
  // Selects the worker that lacks the least capacity, among those that have
  // enough once their tasks have ended. 4,000 MiB of missing memory count as
  // much as one missing core.
  std::size_t best = WorkerRegistry::kNone;
  double best_missing = 0;
  for (std::size_t i = 0; i < registry_.entries().size(); ++i) {
    const FreeCapacity& available = registry_.free_capacity()[i];
    if (available.starts <= 0) continue;
    const double missing =
        std::max(0.0,
                 static_cast<double>(required.cpu.value() - available.cpu) /
                     1000.0) +
        std::max(0.0, static_cast<double>(required.memory.value() -
                                          available.memory) /
                          4000.0);
    const Resources free = registry_.CapacityWithoutTasks(i);
    if (free.cpu < required.cpu || free.memory < required.memory ||
        free.accelerators < required.accelerators) {
      continue;
    }
    if (best == WorkerRegistry::kNone || missing < best_missing) {
      best = i;
      best_missing = missing;
    }
  }
  if (best == WorkerRegistry::kNone) return false;
  AddReservation(offer, required, best, now_ + kReservationTime);
  return true;
}

void Engine::AddReservation(const Queue::Offer& offer,
                            const Resources& required, std::size_t worker,
                            MonotonicTime expires_at) {
  reservations_[offer.demand.id] = Reservation{offer.demand, offer.enqueued_at,
                                               worker, required, expires_at};
  queue_.Take();
  registry_.AdjustReservation(worker, required, 1);
  Refresh(worker);
}

void Engine::ReleaseReservation(const Reservation& reservation) {
  registry_.AdjustReservation(reservation.worker, reservation.required, -1);
  Refresh(reservation.worker);
}

void Engine::PlaceOnWorker(const TaskDemand& demand, ClassIndex task_class,
                           Choice choice, std::vector<Decision>& decisions) {
  ResidentTask resident;
  resident.demand = demand;
  resident.task_class = task_class;
  resident.placed_at = now_;
  registry_.Place(choice.worker, std::move(resident));
  const VmName& vm = registry_.entries()[choice.worker].vm;
  quarantine_.OnPlaced(vm);
  decisions.emplace_back(PlaceDecision{demand.id, vm, choice.cost,
                                       std::move(choice.runners_up),
                                       std::move(choice.reason)});
  Refresh(choice.worker);
}

void Engine::Refresh(std::size_t worker) {
  WorkerEntry& entry = registry_.entries()[worker];
  registry_.Refresh(worker, quarantine_.StartsAllowed(entry.vm, now_));
  Predict(entry);
  UpdateInterferenceShares(worker);
}

void Engine::UpdateInterferenceShares(std::size_t worker) {
  const WorkerEntry& entry = registry_.entries()[worker];
  const double pressure = CpuPressure(
      static_cast<double>(entry.cpu_used.value()) /
      std::max(1.0, static_cast<double>(entry.capacity.cpu.value())));
  shares_.clear();
  for (const ServiceSlot& slot : entry.services) {
    if (!slot.load.guard) continue;
    shares_.push_back({slot.service_class, slot.load_level,
                       slot.predicted + slot.pressure_slope * pressure});
  }
  prices_.Set(worker, shares_);
}

void Engine::RefreshAll() {
  for (std::size_t i = 0; i < registry_.entries().size(); ++i) {
    if (registry_.entries()[i].registered) Refresh(i);
  }
}

void Engine::Predict(WorkerEntry& entry) const {
  for (ServiceSlot& slot : entry.services) {
    slot.predicted = 0;
    slot.pressure_slope = model_.PressureSlope(slot.service_class);
    slot.alone = model_.PredictAlone(slot.service_class, slot.load_level);
    for (const ResidentTask& resident : entry.residents) {
      const double running = 1.0 - resident.commanded_throttle / 100.0;
      slot.predicted +=
          running *
          model_
              .Predict(resident.task_class, slot.service_class, slot.load_level)
              .mean;
    }
  }
}

void Engine::OnResidentAdded(ResidentTask& resident, const WorkerEntry& entry) {
  // A team is charged for the measured use of its tasks if they declared less.
  resident.charged_cpu =
      std::max(resident.demand.cpu,
               classes_.ExpectedCpu(resident.task_class, resident.demand.cpu));
  queue_.AddCharge(resident.demand.team,
                   {resident.charged_cpu, resident.demand.accelerators});
  placement_.OnPlaced(resident.demand.job, entry.rack_index);
}

void Engine::OnResidentRemoved(const ResidentTask& resident,
                               const WorkerEntry& entry) {
  queue_.RemoveCharge(resident.demand.team,
                      {resident.charged_cpu, resident.demand.accelerators});
  placement_.OnRemoved(resident.demand.job, entry.rack_index);
}

void Engine::RecordWorkerFailure(const VmName& vm, double fault_share,
                                 MonotonicTime now) {
  if (!quarantine_.OnFailure(vm, fault_share, registry_.workers(), now)) return;
  const double share = 100 * quarantine_.FailureRate(vm);
  quarantine_decisions_.emplace_back(
      QuarantineDecision{vm, "failed " + std::to_string(std::lround(share)) +
                                 "% of its recent attempts"});
}

void Engine::OnNotStarted(const TaskId& task, const VmName& vm) {
  const std::size_t index = registry_.Find(vm);
  if (index == WorkerRegistry::kNone ||
      registry_.FindResident(index, task) == nullptr) {
    return;
  }
  registry_.RemoveTask(index, task, false, now_);
  RecordWorkerFailure(vm, kNotStartedFaultShare, now_);
  Refresh(index);
}

void Engine::OnEnded(const TaskId& task, const VmName& vm, AttemptEnd end,
                     MonotonicTime now) {
  now_ = std::max(now_, now);
  const std::size_t index = registry_.Find(vm);
  if (index == WorkerRegistry::kNone) return;
  const ResidentTask* resident = registry_.FindResident(index, task);
  if (resident == nullptr) return;
  const ClassIndex task_class = resident->task_class;
  if (end == AttemptEnd::kDone) {
    LearnRunTime(index, *resident, now);
    classes_.RecordSuccess(
        task_class,
        std::chrono::duration<double>(now - resident->placed_at).count());
    quarantine_.OnSuccess(vm);
  } else if (end == AttemptEnd::kFailed) {
    const double fault_share = 1.0 - classes_.use(task_class).failure_share;
    classes_.RecordFailure(task_class, 1.0 - quarantine_.FailureRate(vm));
    RecordWorkerFailure(vm, fault_share, now);
  } else {
    quarantine_.OnEnded(vm);
  }
  registry_.RemoveTask(index, task, true, now);
  Refresh(index);
}

}  // namespace policy

std::unique_ptr<DecisionEngine> MakeEngine(const Weights& weights,
                                           std::uint64_t seed) {
  return std::make_unique<policy::Engine>(weights, seed);
}

}  // namespace mangospread::scheduler
