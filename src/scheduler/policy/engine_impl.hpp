/// @file
/// The engine's state. Only engine.cc and learning.cc include this.
#pragma once

#include <map>
#include <random>
#include <unordered_map>
#include <vector>

#include "scheduler/policy/guard/guard.hpp"
#include "scheduler/policy/guard/quarantine.hpp"
#include "scheduler/policy/interference/class_table.hpp"
#include "scheduler/policy/interference/harm_price.hpp"
#include "scheduler/policy/interference/interference.hpp"
#include "scheduler/policy/placement/eviction.hpp"
#include "scheduler/policy/placement/placement.hpp"
#include "scheduler/policy/placement/worker_book.hpp"
#include "scheduler/policy/queue/queue.hpp"
#include "scheduler/policy/weights.hpp"
#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

class Engine final : public DecisionEngine {
 public:
  Engine(const Weights& weights, std::uint64_t seed);

  void SetWeights(const Weights& weights) override;
  void SetQuotas(const std::vector<TeamQuota>& quotas) override;
  void UpdateWorker(const WorkerState& worker) override;
  void RemoveWorker(const VmName& vm) override;
  void Enqueue(const TaskDemand& task, MonotonicTime now) override;
  void Dequeue(const TaskId& task) override;
  [[nodiscard]] std::size_t queued() const override;
  [[nodiscard]] std::string WaitReason(const TaskId& task) const override;
  [[nodiscard]] std::vector<Decision> Decide(MonotonicTime now,
                                             std::size_t limit) override;
  void OnNotStarted(const TaskId& task, const VmName& vm) override;
  void OnEnded(const TaskId& task, const VmName& vm, AttemptEnd end,
               MonotonicTime now) override;

 private:
  /// A task for which room is kept on a worker: an urgent one that waits for
  /// evictions, or a large one that waits for others to end.
  struct Held {
    TaskDemand demand;
    MonotonicTime enqueued_at{0};
    std::size_t worker = WorkerBook::kNone;
    Need need;
    MonotonicTime expires_at{0};
  };

  /// A request that was refused in the present round. Room only shrinks within
  /// a round, so that an equal or larger one needs no second look.
  struct Refused {
    ClassIndex task_class = kOtherClass;
    Need need;
    double factor = 0;  ///< Relaxation; below 0 there was no room.
  };

  // Decisions.
  void DecideHeld(std::vector<Decision>& decisions);
  void DecideQueued(std::size_t limit, std::vector<Decision>& decisions);
  /// Reports and drops the offered task if it can never run.
  bool DropImpossible(const Queue::Offer& offer,
                      std::vector<Decision>& decisions);
  /// @return kNone if the task has left the queue.
  Refusal TryPlace(const Queue::Offer& offer, std::vector<Decision>& decisions);
  void NoteFailure(const VmName& vm, double blame, MonotonicTime now);
  /// @return why an equal or smaller task was refused, or kNone.
  [[nodiscard]] Refusal RefusedBefore(const PlacementRequest& request,
                                      double factor) const;
  bool HoldForUrgent(const Queue::Offer& offer, const Need& need,
                     std::vector<Decision>& decisions);
  bool HoldForLarge(const Queue::Offer& offer, const Need& need);
  [[nodiscard]] bool PlaceHeld(const Held& held,
                               std::vector<Decision>& decisions);
  void AddHeld(const Queue::Offer& offer, const Need& need, std::size_t worker,
               MonotonicTime expires_at);
  void ReleaseHeld(const Held& held);
  void PlaceOn(const TaskDemand& demand, ClassIndex task_class, Choice choice,
               std::vector<Decision>& decisions);

  // Bookkeeping.
  void Refresh(std::size_t worker);
  void RefreshAll();
  void Predict(WorkerEntry& entry) const;
  void CountHarm(std::size_t worker);
  void OnResidentAdded(Resident& resident, const WorkerEntry& entry);
  void OnResidentRemoved(const Resident& resident, const WorkerEntry& entry);

  // Learning.
  void LearnFromReport(std::size_t worker);
  void LearnRunTime(std::size_t worker, const Resident& resident,
                    MonotonicTime now);
  [[nodiscard]] std::vector<Exposure> ExposuresAt(
      const WorkerEntry& entry) const;

  std::mt19937_64 random_;
  Tuning tuning_;
  ClassTable classes_;
  InterferenceModel model_;
  WorkerBook book_;
  Quarantine quarantine_;
  HarmPrice prices_;
  std::vector<HarmPrice::Share> shares_;
  Placement placement_;
  Guard guard_;
  Queue queue_;
  std::map<TaskId, Held> held_;
  std::vector<Refused> refused_;
  std::size_t attempts_ = 0;
  /// Taken out since the last call of Decide.
  std::vector<Decision> quarantined_;
  /// Workers whose allowance was limited when last looked at.
  std::vector<VmName> limited_;
  std::uint64_t seen_arrivals_ = 0;
  MonotonicTime fleet_changed_at_{0};
  MonotonicTime now_{0};
};

}  // namespace mangospread::scheduler::policy
