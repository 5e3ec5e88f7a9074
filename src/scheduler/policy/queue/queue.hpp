/// @file
/// Waiting tasks in the order in which they should be placed.
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

/// What a team is charged for a placed task.
struct Charge {
  Millicores cpu;
  Accelerators accelerators;
};

/// Capacity of all workers, for the teams' dominant shares.
struct FleetCapacity {
  Millicores cpu;
  Accelerators accelerators;
};

/// Why no worker was chosen.
enum class Refusal : unsigned char {
  kNone,
  kNoRoom,        ///< No worker has room now.
  kInterference,  ///< Every worker with room would slow a service too much.
};

/// Orders urgent tasks first, then teams by weighted dominant share reduced by
/// the waiting time of their oldest task. Equal tasks of a job form a group;
/// one failed placement backs off the whole group, so that a round costs no
/// more than the number of groups.
class Queue {
 public:
  /// Batch that has waited this long gets every fourth offer, also when
  /// urgent work never ends.
  static constexpr MonotonicTime kAgeLimit = std::chrono::minutes(10);

  void SetQuotas(const std::vector<TeamQuota>& quotas);

  void Add(const TaskDemand& task, MonotonicTime now);
  /// Drops a waiting task in constant time.
  void Remove(const TaskId& task);
  [[nodiscard]] std::size_t size() const noexcept { return waiting_.size(); }

  /// A task offered for placement.
  struct Offer {
    TaskDemand demand;
    MonotonicTime enqueued_at{0};
  };

  /// Starts a round. Only within a round may Next, Skip and Take be called,
  /// and Add and Remove may not.
  void BeginRound(MonotonicTime now, const FleetCapacity& fleet);
  /// The next task to place; null when the round is over.
  [[nodiscard]] const Offer* Next();
  /// The offered task and its equals do not fit now.
  void Skip(Refusal refusal);
  /// The offered task leaves the queue.
  void Take();

  /// True if the task is larger than its team's whole quota.
  [[nodiscard]] bool ExceedsQuota(const TaskDemand& task) const;

  /// A waiting task as last refused.
  struct Refused {
    const TaskDemand* demand = nullptr;  ///< Of an equal task; null if unknown.
    Refusal refusal = Refusal::kNone;
    bool over_quota = false;
  };
  [[nodiscard]] Refused FindRefused(const TaskId& task) const;

  void AddCharge(const TeamName& team, const Charge& charge);
  void RemoveCharge(const TeamName& team, const Charge& charge);

 private:
  struct Group {
    TaskDemand prototype;
    std::deque<std::pair<TaskId, std::uint64_t>> order;
    std::size_t live = 0;
    MonotonicTime retry_at{0};
    MonotonicTime backoff{0};
    MonotonicTime oldest{0};
    Refusal refusal = Refusal::kNone;
  };
  struct Waiting {
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

  Team& FindTeam(const TeamName& name);
  void PrepareTeam(Team& team);
  [[nodiscard]] Group* Front(Team& team, bool urgent);
  [[nodiscard]] bool WithinQuota(const Team& team,
                                 const TaskDemand& task) const;
  [[nodiscard]] double Share(const Team& team) const;
  [[nodiscard]] Team* PickTeam(bool urgent);
  [[nodiscard]] Team* PickAged();
  void DropStale(Group& group) const;

  std::map<TeamName, Team> teams_;
  std::unordered_map<TaskId, Waiting> waiting_;
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
