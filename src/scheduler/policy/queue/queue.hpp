/// @file
/// Queue of tasks in the order in which they should be placed.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

/// Resources charged to a team for a placed task.
struct Charge {
  Millicores cpu;
  Accelerators accelerators;
};

/// Total capacity of all workers, for computing the teams' dominant shares.
struct FleetCapacity {
  Millicores cpu;
  Accelerators accelerators;
};

/// Reason for which no worker was chosen.
enum class Refusal : unsigned char {
  kNone,
  /// No worker has enough free capacity now.
  kNoCapacity,
  /// Every worker with enough free capacity would slow a service too much.
  kInterference,
};

/// Orders urgent tasks first, then teams by their weighted dominant share,
/// reduced by the waiting time of their oldest task. Equal tasks of a job form
/// a group. One failed placement backs off the whole group, so that a round has
/// at most one failed placement per group.
class Queue {
 public:
  /// Batch tasks that have waited this long get every fourth offer, so that a
  /// continuous stream of urgent tasks cannot starve them.
  static constexpr MonotonicTime kAgeLimit = std::chrono::minutes(10);

  void SetQuotas(const std::vector<TeamQuota>& quotas);

  void Add(const TaskDemand& task, MonotonicTime now);
  /// Removes a queued task in amortised constant time.
  void Remove(const TaskId& task);
  [[nodiscard]] std::size_t size() const noexcept {
    return queued_tasks_.size();
  }

  /// A task offered for placement.
  struct Offer {
    TaskDemand demand;
    MonotonicTime enqueued_at{0};
  };

  /// Starts a round. Next, Skip and Take may be called only within a round, Add
  /// and Remove only outside one.
  void BeginRound(MonotonicTime now, const FleetCapacity& fleet);
  /// Returns the next task to place; null at the end of the round.
  [[nodiscard]] const Offer* Next();
  /// The offered task and the others of its group cannot be placed now.
  void Skip(Refusal refusal);
  /// Removes the offered task from the queue.
  void Take();

  /// True if the task is larger than its team's whole quota.
  [[nodiscard]] bool ExceedsQuota(const TaskDemand& task) const;

  /// Last refusal of a queued task.
  struct LastRefusal {
    /// A task of the same group; null if the task is not queued.
    const TaskDemand* demand = nullptr;
    Refusal refusal = Refusal::kNone;
    bool over_quota = false;
  };
  [[nodiscard]] LastRefusal FindLastRefusal(const TaskId& task) const;

  void AddCharge(const TeamName& team, const Charge& charge);
  void RemoveCharge(const TeamName& team, const Charge& charge);

 private:
  struct Group {
    TaskDemand prototype;  ///< Stands for the demands of all its tasks.
    /// Tasks with their sequence numbers. An entry is stale if the task is no
    /// longer queued under that number.
    std::deque<std::pair<TaskId, std::uint64_t>> order;
    std::size_t queued_count = 0;
    MonotonicTime retry_at{0};
    MonotonicTime backoff{0};
    MonotonicTime oldest{0};  ///< Time at which its first task was queued.
    Refusal refusal = Refusal::kNone;
  };
  struct QueuedTask {
    Group* group = nullptr;
    std::uint64_t sequence = 0;
    MonotonicTime enqueued_at{0};
    int evictions = 0;
  };
  struct Team {
    TeamQuota quota;
    Charge used;
    std::map<std::string, std::unique_ptr<Group>> groups;
    std::vector<Group*> urgent;
    std::vector<Group*> batch;
    std::size_t next_urgent = 0;
    std::size_t next_batch = 0;
  };

  Team& FindOrAddTeam(const TeamName& name);
  void PrepareTeam(Team& team);
  [[nodiscard]] Group* Front(Team& team, bool urgent);
  [[nodiscard]] bool WithinQuota(const Team& team,
                                 const TaskDemand& task) const;
  /// Dominant share of the team's charges, divided by its weight.
  [[nodiscard]] double Share(const Team& team) const;
  [[nodiscard]] Team* PickTeam(bool urgent);
  /// Returns the team of the batch task that has waited longest, if it has
  /// waited for kAgeLimit.
  [[nodiscard]] Team* PickAged();
  void DropStale(Group& group) const;

  std::map<TeamName, Team> teams_;
  std::unordered_map<TaskId, QueuedTask> queued_tasks_;
  std::uint64_t next_sequence_ = 1;

  // State of the round.
  MonotonicTime now_{0};
  FleetCapacity fleet_;
  Offer offer_;
  Team* offered_team_ = nullptr;
  Group* offered_group_ = nullptr;
  std::uint64_t offers_ = 0;
};

}  // namespace mangospread::scheduler::policy
