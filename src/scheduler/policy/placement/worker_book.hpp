/// @file
/// Every worker as last reported, with everything placed there since.
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
struct Resident {
  TaskDemand demand;
  ClassIndex task_class = kOtherClass;
  MonotonicTime placed_at{0};
  Millicores cpu_used;
  Mebibytes memory_used;
  int reported_throttle = 0;
  int ordered_throttle = 0;
  MonotonicTime throttled_at{0};
  bool listed = false;    ///< The caller has listed it for this worker.
  bool measured = false;  ///< The measured figures include it.
  bool evicting = false;
  /// Processor time that its team was charged for it.
  Millicores charged_cpu;
};

/// A task that ended, kept while reports may still include it.
struct Departed {
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
  /// Load relative to the highest seen of the service, 0..1.
  double level = 0;
  /// Predicted ln(p99 / p99 alone) from the tasks there.
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
  double cpu_mean = 0;  ///< Measured use, smoothed.
  double cpu_var = 0;
  std::vector<ServiceSlot> services;
  std::vector<Resident> residents;
  std::vector<Departed> departed;
  /// Room kept for a task that waits for an eviction or for a large gap.
  Millicores held_cpu;
  Mebibytes held_memory;
  Accelerators held_accelerators;
  bool known = false;
};

/// Free room of a worker; the array of these is what placement scans.
struct Room {
  std::int64_t cpu = 0;
  std::int64_t memory = 0;
  std::int32_t accelerators = 0;
  /// Tasks that may still be started here for other reasons than size, such
  /// as a worker under probation.
  std::int32_t starts = 0;
};

/// What a task takes from a worker's room.
struct Need {
  Millicores cpu;
  Mebibytes memory;
  Accelerators accelerators;
  bool unknown_class = false;
};

class WorkerBook {
 public:
  using ResidentHook = std::function<void(Resident&, const WorkerEntry&)>;

  /// The hooks are called for every resident that appears or goes.
  WorkerBook(ClassTable& classes, ResidentHook on_added,
             ResidentHook on_removed)
      : classes_(classes),
        on_added_(std::move(on_added)),
        on_removed_(std::move(on_removed)) {}

  void set_cpu_bound(double bound) { cpu_bound_ = bound; }

  /// Takes in a report.
  /// @return the worker's index.
  std::size_t Update(const WorkerState& state);
  void Remove(const VmName& vm);

  /// @return npos when unknown.
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);
  [[nodiscard]] std::size_t Find(const VmName& vm) const;
  [[nodiscard]] Resident* FindResident(std::size_t worker, const TaskId& task);

  void Place(std::size_t worker, Resident resident);
  /// A task left the worker. With `ran`, reports may still include it.
  void Depart(std::size_t worker, const TaskId& task, bool ran,
              MonotonicTime now);
  /// Keeps room, or frees it with negative amounts.
  void Hold(std::size_t worker, const Need& need, int sign);

  /// Recomputes a worker's free room. `starts` limits further starts.
  void Refresh(std::size_t worker, std::int32_t starts);

  [[nodiscard]] std::vector<WorkerEntry>& entries() { return entries_; }
  [[nodiscard]] const std::vector<WorkerEntry>& entries() const {
    return entries_;
  }
  [[nodiscard]] const std::vector<Room>& rooms() const { return rooms_; }

  /// What a new task needs. One of an unknown class could use ten times what
  /// it declares; `cautious` reserves for that, up to a share of a worker.
  [[nodiscard]] Need NeedOf(const TaskDemand& demand, ClassIndex task_class,
                            bool cautious) const;
  /// Processor and memory that a resident counts for beyond the report.
  [[nodiscard]] Need ExtraOf(const WorkerEntry& worker,
                             const Resident& resident) const;
  /// Room that the end of a resident frees.
  [[nodiscard]] Need FreedBy(const WorkerEntry& worker,
                             const Resident& resident) const;

  /// Room once all tasks of the worker have ended.
  [[nodiscard]] Need RoomWithoutTasks(std::size_t worker) const;
  /// True if some worker could hold the need beside its services.
  [[nodiscard]] bool FitsBesideServices(const Need& need) const;

  [[nodiscard]] std::size_t live() const { return by_name_.size(); }
  [[nodiscard]] Millicores total_cpu() const { return total_cpu_; }
  [[nodiscard]] Accelerators total_accelerators() const {
    return total_accelerators_;
  }
  /// True if an empty worker exists that could hold the task.
  [[nodiscard]] bool CouldEverFit(const TaskDemand& demand) const;
  /// Grows with each worker that appears.
  [[nodiscard]] std::uint64_t arrivals() const { return arrivals_; }
  [[nodiscard]] std::uint32_t racks() const {
    return static_cast<std::uint32_t>(rack_ids_.size());
  }

 private:
  std::size_t Register(const VmName& vm);
  void TakeMeasurements(WorkerEntry& entry, const WorkerState& state);
  void MergeTasks(WorkerEntry& entry, const WorkerState& state);
  void MergeServices(WorkerEntry& entry, const WorkerState& state);
  [[nodiscard]] static Need UnknownNeed(const TaskDemand& demand);
  [[nodiscard]] Room ComputeRoom(const WorkerEntry& entry) const;

  ClassTable& classes_;
  ResidentHook on_added_;
  ResidentHook on_removed_;
  double cpu_bound_ = 0.85;
  std::vector<WorkerEntry> entries_;
  std::vector<Room> rooms_;
  std::vector<std::size_t> unused_;
  std::unordered_map<VmName, std::size_t> by_name_;
  std::unordered_map<std::string, std::uint32_t> rack_ids_;
  std::unordered_map<ServiceName, double> highest_rate_;
  Millicores total_cpu_;
  Accelerators total_accelerators_;
  std::uint64_t arrivals_ = 0;
};

/// Share of memory that placement leaves free for growth between reports.
inline constexpr double kMemoryHeadroom = 0.05;

}  // namespace mangospread::scheduler::policy
