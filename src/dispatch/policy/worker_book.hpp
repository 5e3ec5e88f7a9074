/// @file
/// Room on the workers as the scheduler counts it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "dispatch/core/job.hpp"
#include "dispatch/model/worker_types.hpp"
#include "dispatch/policy/load_trend.hpp"
#include "dispatch/policy/sharing_model.hpp"

namespace mangospread::dispatch {

/// A run placed on a worker.
struct PlacedRun {
  std::uint32_t run = 0;
  /// The step's description; lives as long as its submission is active.
  const StepSpec* spec = nullptr;
  int percent = 100;               ///< Speed that was ordered.
  MonotonicTime slowed_since{0};   ///< 0 at full speed.
  MonotonicTime over_since{0};     ///< Over its latency target; 0 within it.
  std::uint64_t start_number = 0;  ///< 0 for a run found on the worker.
  bool remembered = false;         ///< Known from an agent's memory alone.
  SharingSample last_sample;       ///< Of a serving task; at 0 for none.
  LoadTrend load;                  ///< Of a serving task.
};

/// The serving tasks of one image on a worker.
struct ServingGroup {
  ImageName image;
  int tasks = 0;
  Milliseconds target{0};  ///< The shortest of them.
  /// Highest utilisation that one of them is expected to reach by itself while
  /// a filling task runs.
  double own_level = 0;
  /// Utilisation that they may still gain before one reaches its limit, with
  /// all filling tasks at full speed.
  double room = 0;
};

/// A worker's room. Counts everything that was ordered to start there and is
/// not known to have ended.
struct WorkerRoom {
  WorkerInfo info;
  bool attached = false;   ///< Its agent reaches it.
  bool gone = false;       ///< The slot is free for another worker.
  Millicores cpu_used;     ///< Of tasks that count against the capacity.
  Millicores serving_cpu;  ///< The part of cpu_used that serves requests.
  Millicores fill_cpu;     ///< Requested by filling tasks.
  Mebibytes memory_used;
  Accelerators accelerators_used;
  /// Filling tasks were slowed down here until then.
  MonotonicTime strained_until{0};
  MonotonicTime excluded_until{0};  ///< Fails what it starts.
  std::uint64_t starts_ordered = 0;
  std::map<TaskName, PlacedRun> runs;

  /// Serving tasks by image; computed again after a change of runs or when
  /// `Invalidate` was called for a change of the model.
  [[nodiscard]] const std::vector<ServingGroup>& Serving(
      const SharingModel& model) const;
  void Invalidate() noexcept { serving_valid_ = false; }

  [[nodiscard]] bool Accepts(MonotonicTime now) const noexcept {
    return attached && !gone && !info.draining && now >= excluded_until;
  }
  void Add(const StepSpec& spec);
  void Remove(const StepSpec& spec);

 private:
  mutable std::vector<ServingGroup> serving_;
  mutable bool serving_valid_ = false;
};

/// All workers of a group, by slot and by name.
class WorkerBook {
 public:
  /// Adds a worker or updates what it says of itself.
  WorkerSlot Upsert(const WorkerInfo& info);
  void Erase(WorkerSlot slot);
  [[nodiscard]] WorkerSlot Find(const VmName& vm) const;
  [[nodiscard]] WorkerRoom& at(WorkerSlot slot) {
    return rooms_[static_cast<std::size_t>(slot)];
  }
  [[nodiscard]] const std::vector<WorkerRoom>& rooms() const noexcept {
    return rooms_;
  }

 private:
  std::vector<WorkerRoom> rooms_;
  std::map<VmName, WorkerSlot> by_name_;
};

}  // namespace mangospread::dispatch
