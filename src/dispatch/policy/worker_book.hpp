/// @file
/// The scheduler's registry of workers and their free capacity.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/core/job.hpp"
#include "dispatch/model/messages.hpp"
#include "dispatch/model/worker_types.hpp"
#include "dispatch/policy/load_trend.hpp"
#include "dispatch/policy/sharing_model.hpp"
#include "dispatch/policy/target_excess.hpp"

namespace mangospread::dispatch {

/// A run placed on a worker.
struct PlacedRun {
  std::uint32_t run = 0;
  /// The step's description. The dispatcher keeps the submission, which owns
  /// it, as long as one of its runs is placed.
  const StepSpec* spec = nullptr;
  int percent = 100;  ///< Speed last commanded, in per cent of full speed.
  /// Placed by PlacementGoal::kHighestSpeed, without headroom for full speed.
  bool started_slowly = false;
  /// While the run is heavily throttled, the time at which that began; 0 before
  /// the first change of speed.
  MonotonicTime throttled_since{0};
  /// Time at which no better worker for a throttled run was found last.
  MonotonicTime move_considered{0};
  TargetExcess excess;  ///< How long a latency-critical task misses its target.
  std::uint64_t start_number = 0;  ///< 0 for a run found on the worker.
  /// An estimate for a run that this dispatcher has not started.
  MonotonicTime started_at{0};
  /// The worker accepted the start or listed the run.
  bool start_confirmed = false;
  /// Reported by an agent of a former leader, but not listed by the worker
  /// itself.
  bool unconfirmed = false;
  /// Last measurement of a latency-critical task; its time is 0 if there is
  /// none.
  InterferenceSample last_sample;
  LoadTrend load;  ///< Of a latency-critical task.
};

/// The latency-critical tasks of one image on a worker. All long-running tasks
/// that are not best effort count as latency-critical here.
struct LatencyCriticalGroup {
  ImageName image;
  int tasks = 0;
  /// The shortest target of the tasks; 0 if one of them has none.
  Milliseconds target{0};
  /// Highest base utilisation that one of the tasks is expected to reach while
  /// a best-effort task runs.
  double base_utilisation = 0;
  /// Utilisation that the tasks may still gain before one reaches its limit,
  /// with all best-effort tasks at full speed, apart from those that started
  /// slowly. Without a target it is 1 less what the best-effort tasks add.
  double headroom = 0;
};

/// A worker and its reserved capacity. Counts every start that was issued and
/// is not known to have ended.
struct WorkerState {
  WorkerInfo info;
  bool attached = false;          ///< An agent is connected to it.
  WorkerIncarnation incarnation;  ///< Default before the first attachment.
  /// Time since which it does not respond or no agent is connected to it; 0
  /// while it responds.
  MonotonicTime silent_since{0};
  /// Last start, or its attachment if there was none.
  MonotonicTime last_start{0};
  /// Gets no further start until then, so that a crash can be attributed to a
  /// suspected task that it has just started.
  MonotonicTime trial_until{0};
  bool slot_free = false;  ///< The slot is free for another worker.
  bool evacuated = false;  ///< Its data centre is under evacuation.
  /// It refuses starts that do not fit into its capacity.
  bool guards_capacity = true;
  /// End of the last evacuation of its data centre; nullopt if there was none.
  std::optional<MonotonicTime> returned_at;
  Millicores cpu_used;  ///< Reserved by tasks that are not best effort.
  /// The part of cpu_used reserved by long-running tasks, which serve requests.
  Millicores latency_critical_cpu;
  Millicores best_effort_cpu;  ///< Requested by best-effort tasks.
  Mebibytes memory_used;
  Accelerators accelerators_used;
  /// Best-effort tasks were throttled on this worker until then.
  MonotonicTime throttled_until{0};
  /// No placement until then, since it refused starts for lack of capacity.
  MonotonicTime full_until{0};
  /// No placement until then, since runs on it failed, unless no other worker
  /// can run a task.
  MonotonicTime excluded_until{0};
  int suspicion = 0;  ///< Failures for which it was excluded last.
  std::uint64_t starts_issued = 0;
  std::map<TaskName, PlacedRun> runs;
  /// Runs that an agent of a former leader knows, until the worker lists them.
  std::vector<RunId> known_runs;
  /// Runs on the worker that are not placed there and are being stopped. They
  /// use capacity, but how much may not be known.
  std::set<std::string> stray_runs;

  /// Latency-critical tasks grouped by image. Cached until the runs change or
  /// `Invalidate` is called after a change of the model.
  [[nodiscard]] const std::vector<LatencyCriticalGroup>& LatencyCriticalGroups(
      const InterferenceModel& model) const {
    if (!groups_valid_) UpdateGroups(model);
    return groups_;
  }
  void Invalidate() noexcept { groups_valid_ = false; }

  [[nodiscard]] bool Accepts(MonotonicTime now) const noexcept {
    return CanStart(now) && !Excluded(now);
  }
  /// True if it can start a task, even if runs on it failed.
  [[nodiscard]] bool CanStart(MonotonicTime now) const noexcept {
    return Stays() && UseIsKnown(now) && now >= trial_until &&
           (guards_capacity || IsRegistered());
  }
  /// False if it does not respond or if unknown work uses its capacity.
  [[nodiscard]] bool UseIsKnown(MonotonicTime now) const noexcept {
    return attached && silent_since.count() == 0 && stray_runs.empty() &&
           now >= full_until;
  }
  /// False if it will start no task any more, or not before its data centre's
  /// evacuation ends.
  [[nodiscard]] bool Stays() const noexcept {
    return !slot_free && !info.leaving() && !evacuated;
  }
  /// False if its registration is of another process than the one attached, so
  /// that the labels and the capacity of this one are not known.
  [[nodiscard]] bool IsRegistered() const noexcept {
    constexpr WorkerIncarnation kUnknown;
    return info.incarnation == kUnknown || incarnation == kUnknown ||
           info.incarnation == incarnation;
  }
  [[nodiscard]] bool Excluded(MonotonicTime now) const noexcept {
    return now < excluded_until;
  }
  void Add(const StepSpec& spec);
  void Remove(const StepSpec& spec);

 private:
  void UpdateGroups(const InterferenceModel& model) const;

  mutable std::vector<LatencyCriticalGroup> groups_;
  mutable bool groups_valid_ = false;
};

/// All workers of a group, by slot and by name.
class WorkerRegistry {
 public:
  /// Adds a worker or updates its registration.
  WorkerSlot Upsert(const WorkerInfo& info);
  void Erase(WorkerSlot slot);
  [[nodiscard]] WorkerSlot Find(const VmName& vm) const;
  /// Slots of the service's workers, ascending, also of those that leave.
  [[nodiscard]] const std::vector<WorkerSlot>& SlotsOf(
      const ServiceName& service) const;
  /// Number of workers of a service, without those that leave or are evacuated.
  [[nodiscard]] std::size_t CountOf(const ServiceName& service) const;
  [[nodiscard]] WorkerState& at(WorkerSlot slot) {
    return slots_[static_cast<std::size_t>(slot)];
  }
  [[nodiscard]] const std::vector<WorkerState>& workers() const noexcept {
    return slots_;
  }

 private:
  void AddToService(WorkerSlot slot);
  void RemoveFromService(WorkerSlot slot);

  std::vector<WorkerState> slots_;
  std::unordered_map<VmName, WorkerSlot> by_name_;
  std::unordered_map<ServiceName, std::vector<WorkerSlot>> by_service_;
};

}  // namespace mangospread::dispatch
