/// @file
/// The decision engine. Included only by engine.cc and learning.cc.
#pragma once

#include <map>
#include <random>
#include <unordered_map>
#include <vector>

#include "scheduler/policy/guard/guard.hpp"
#include "scheduler/policy/guard/quarantine.hpp"
#include "scheduler/policy/interference/class_table.hpp"
#include "scheduler/policy/interference/interference.hpp"
#include "scheduler/policy/interference/interference_price.hpp"
#include "scheduler/policy/placement/eviction.hpp"
#include "scheduler/policy/placement/placement.hpp"
#include "scheduler/policy/placement/worker_registry.hpp"
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
  /// Capacity of a worker reserved for a task: an urgent one that waits for
  /// evictions, or a large one that waits for other tasks to end.
  struct Reservation {
    TaskDemand demand;
    MonotonicTime enqueued_at{0};
    std::size_t worker = WorkerRegistry::kNone;
    Resources required;
    MonotonicTime expires_at{0};
  };

  /// A request that was refused in the present round. Free capacity only
  /// shrinks within a round, so an equal or larger request need not be tried
  /// again.
  struct RefusedRequest {
    ClassIndex task_class = kOtherClass;
    Resources required;
    /// Factor by which the interference limits were raised; negative if the
    /// request was refused for lack of capacity.
    double relaxation = 0;
  };

  // Decisions.
  void DecideReserved(std::vector<Decision>& decisions);
  void DecideQueued(std::size_t limit, std::vector<Decision>& decisions);
  /// Removes the offered task from the queue and reports it if it can never
  /// run.
  bool RejectImpossible(const Queue::Offer& offer,
                        std::vector<Decision>& decisions);
  /// @return kNone if the task has left the queue.
  Refusal TryPlace(const Queue::Offer& offer, std::vector<Decision>& decisions);
  void RecordWorkerFailure(const VmName& vm, double fault_share,
                           MonotonicTime now);
  /// @return the reason for which an equal or smaller request was refused in
  /// this round, or kNone.
  [[nodiscard]] Refusal PreviousRefusal(const PlacementRequest& request,
                                        double relaxation) const;
  /// Plans evictions on a worker and reserves the capacity that they free.
  /// @return false if no evictions free enough capacity.
  bool ReserveForUrgent(const Queue::Offer& offer, const Resources& required,
                        std::vector<Decision>& decisions);
  /// Reserves capacity on a worker until enough of its tasks have ended.
  /// @return false if no worker is large enough or enough are reserved already.
  bool ReserveForLarge(const Queue::Offer& offer, const Resources& required);
  [[nodiscard]] bool PlaceReserved(const Reservation& reservation,
                                   std::vector<Decision>& decisions);
  void AddReservation(const Queue::Offer& offer, const Resources& required,
                      std::size_t worker, MonotonicTime expires_at);
  void ReleaseReservation(const Reservation& reservation);
  void PlaceOnWorker(const TaskDemand& demand, ClassIndex task_class,
                     Choice choice, std::vector<Decision>& decisions);

  // Bookkeeping.
  /// Recomputes the free capacity of a worker, the predicted effects on its
  /// services and its share of the interference prices.
  void Refresh(std::size_t worker);
  void RefreshAll();
  void Predict(WorkerEntry& entry) const;
  void UpdateInterferenceShares(std::size_t worker);
  void OnResidentAdded(ResidentTask& resident, const WorkerEntry& entry);
  void OnResidentRemoved(const ResidentTask& resident,
                         const WorkerEntry& entry);

  // Learning.
  void LearnFromReport(std::size_t worker);
  void LearnRunTime(std::size_t worker, const ResidentTask& resident,
                    MonotonicTime now);
  [[nodiscard]] std::vector<Exposure> ExposuresOf(
      const WorkerEntry& entry) const;

  std::mt19937_64 random_;
  Tuning tuning_;
  ClassTable classes_;
  InterferenceModel model_;
  WorkerRegistry registry_;
  Quarantine quarantine_;
  InterferencePrice prices_;
  std::vector<InterferencePrice::Share> shares_;
  Placement placement_;
  Guard guard_;
  Queue queue_;
  std::map<TaskId, Reservation> reservations_;
  std::vector<RefusedRequest> refused_requests_;
  /// Placements tried in the present round.
  std::size_t attempts_ = 0;
  /// Quarantine decisions made since the last call of Decide.
  std::vector<Decision> quarantine_decisions_;
  /// Workers whose number of starts was limited at the last call of Decide.
  std::vector<VmName> limited_workers_;
  std::uint64_t seen_registrations_ = 0;
  MonotonicTime fleet_changed_at_{0};
  MonotonicTime now_{0};
};

}  // namespace mangospread::scheduler::policy
