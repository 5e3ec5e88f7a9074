/// @file
/// Registry of all workers: their last reports and the tasks placed since.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/policy/interference/class_table.hpp"
#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

/// A task on a worker.
struct ResidentTask {
  TaskDemand demand;
  ClassIndex task_class = kOtherClass;
  MonotonicTime placed_at{0};
  Millicores cpu_used;
  Mebibytes memory_used;
  int reported_throttle = 0;
  int commanded_throttle = 0;
  MonotonicTime throttled_at{0};
  bool listed = false;    ///< A WorkerState has listed the task.
  bool measured = false;  ///< The measured figures include it.
  bool evicting = false;
  /// Processor use that was charged to the task's team.
  Millicores charged_cpu;
};

/// A task that has ended, kept while reports may still include it.
struct EndedTask {
  ClassIndex task_class = kOtherClass;
  MonotonicTime placed_at{0};
  MonotonicTime ended_at{0};
  Millicores cpu_used;
  Mebibytes memory_used;
  int throttle = 0;
};

struct ServiceSlot {
  ServiceLoad load;
  ClassIndex service_class = kOtherClass;
  /// Request rate relative to the highest measured for the service, 0..1.
  double load_level = 0;
  /// Predicted ln(p99 / p99 alone) caused by the tasks on the worker.
  double predicted = 0;
  double pressure_slope = 0;  ///< ln(p99) for each unit of CpuPressure.
  double alone = 0;           ///< ln(p99) expected without tasks.
};

struct WorkerEntry {
  VmName vm;
  RackName rack;
  std::uint32_t rack_index = 0;
  WorkerCapacity capacity;
  bool accepts_work = true;
  MonotonicTime report_at{0};
  MonotonicTime previous_report_at{0};
  Millicores cpu_used;
  Mebibytes memory_used;
  double cpu_mean = 0;  ///< Measured use in millicores, smoothed.
  double cpu_var = 0;   ///< Variance of the measured use.
  std::vector<ServiceSlot> services;
  std::vector<ResidentTask> residents;
  std::vector<EndedTask> ended_tasks;
  /// Capacity reserved for a task that waits for evictions or for enough free
  /// capacity.
  Millicores reserved_cpu;
  Mebibytes reserved_memory;
  Accelerators reserved_accelerators;
  bool registered = false;
};

/// Free capacity of a worker; placement scans the array of these.
struct FreeCapacity {
  std::int64_t cpu = 0;     ///< Millicores; negative if overcommitted.
  std::int64_t memory = 0;  ///< MiB; negative if overcommitted.
  std::int32_t accelerators = 0;
  /// Number of tasks that may still be started, whatever their size; limited on
  /// a worker with recent failures, for example.
  std::int32_t starts = 0;
};

/// Amounts of resources, such as those that a task requires.
struct Resources {
  Millicores cpu;
  Mebibytes memory;
  Accelerators accelerators;
  bool unknown_class = false;
};

class WorkerRegistry {
 public:
  using ResidentTaskHook =
      std::function<void(ResidentTask&, const WorkerEntry&)>;

  /// Both hooks are called for each task: one when it is added to a worker, one
  /// when it is removed.
  WorkerRegistry(ClassTable& classes, ResidentTaskHook on_added,
                 ResidentTaskHook on_removed)
      : classes_(classes),
        on_added_(std::move(on_added)),
        on_removed_(std::move(on_removed)) {}

  void set_max_cpu_share(double share) { max_cpu_share_ = share; }

  /// Adds a worker or updates it, and applies its report unless it is older
  /// than the last one.
  /// @return the worker's index.
  std::size_t Update(const WorkerState& state);
  void Remove(const VmName& vm);

  /// Index that stands for no worker.
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);
  /// @return kNone for an unknown worker.
  [[nodiscard]] std::size_t Find(const VmName& vm) const;
  /// @return null if the task is not on the worker.
  [[nodiscard]] ResidentTask* FindResident(std::size_t worker,
                                           const TaskId& task);

  void Place(std::size_t worker, ResidentTask resident);
  /// Removes a task from a worker. If it `ran`, reports may still include it.
  void RemoveTask(std::size_t worker, const TaskId& task, bool ran,
                  MonotonicTime now);
  /// Reserves capacity if `sign` is positive, releases it otherwise.
  void AdjustReservation(std::size_t worker, const Resources& required,
                         int sign);

  /// Recomputes the free capacity of a worker. `starts` limits further starts.
  void Refresh(std::size_t worker, std::int32_t starts);

  [[nodiscard]] std::vector<WorkerEntry>& entries() { return entries_; }
  [[nodiscard]] const std::vector<WorkerEntry>& entries() const {
    return entries_;
  }
  [[nodiscard]] const std::vector<FreeCapacity>& free_capacity() const {
    return free_capacity_;
  }

  /// Resources to reserve for a new task. A task of an unknown class could use
  /// ten times its declared amounts; with `cautious` that much is reserved, up
  /// to a fixed limit.
  [[nodiscard]] Resources RequiredFor(const TaskDemand& demand,
                                      ClassIndex task_class,
                                      bool cautious) const;
  /// Resources reserved for a task beyond what the last report measured.
  [[nodiscard]] Resources UnmeasuredUse(const WorkerEntry& worker,
                                        const ResidentTask& resident) const;
  /// Capacity that becomes free when the task ends.
  [[nodiscard]] Resources FreedBy(const WorkerEntry& worker,
                                  const ResidentTask& resident) const;

  /// Free capacity once all tasks of the worker have ended.
  [[nodiscard]] Resources CapacityWithoutTasks(std::size_t worker) const;
  /// True if some worker has enough capacity beside its services.
  [[nodiscard]] bool FitsBesideServices(const Resources& required) const;

  [[nodiscard]] std::size_t workers() const { return by_name_.size(); }
  [[nodiscard]] Millicores total_cpu() const { return total_cpu_; }
  [[nodiscard]] Accelerators total_accelerators() const {
    return total_accelerators_;
  }
  /// True if the task fits some worker that runs nothing else.
  [[nodiscard]] bool FitsEmptyWorker(const TaskDemand& demand) const;
  /// Number of worker registrations so far.
  [[nodiscard]] std::uint64_t registrations() const { return registrations_; }
  [[nodiscard]] std::uint32_t racks() const {
    return static_cast<std::uint32_t>(rack_ids_.size());
  }

 private:
  std::size_t Register(const VmName& vm);
  void ApplyMeasurements(WorkerEntry& entry, const WorkerState& state);
  void MergeTasks(WorkerEntry& entry, const WorkerState& state);
  void MergeServices(WorkerEntry& entry, const WorkerState& state);
  [[nodiscard]] static Resources RequiredForUnknownClass(
      const TaskDemand& demand);
  [[nodiscard]] FreeCapacity ComputeFreeCapacity(
      const WorkerEntry& entry) const;

  ClassTable& classes_;
  ResidentTaskHook on_added_;
  ResidentTaskHook on_removed_;
  double max_cpu_share_ = 0.85;
  std::vector<WorkerEntry> entries_;
  std::vector<FreeCapacity> free_capacity_;
  std::vector<std::size_t> free_indexes_;
  std::unordered_map<VmName, std::size_t> by_name_;
  std::unordered_map<std::string, std::uint32_t> rack_ids_;
  std::unordered_map<ServiceName, double> highest_rate_;
  Millicores total_cpu_;
  Accelerators total_accelerators_;
  std::uint64_t registrations_ = 0;
};

/// Share of memory that placement leaves free for growth between reports.
inline constexpr double kMemoryHeadroom = 0.05;

}  // namespace mangospread::scheduler::policy
