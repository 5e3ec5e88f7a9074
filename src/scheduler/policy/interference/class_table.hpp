/// @file
/// Measurements of each class of tasks and services.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

/// Index of a class in the table. kOtherClass stands for every class that does
/// not fit into the table.
using ClassIndex = std::uint16_t;
inline constexpr ClassIndex kOtherClass = 0;

/// Measured resource use and outcomes of the tasks of a class.
struct ClassUse {
  double cpu = 0;            ///< Mean use of an unthrottled task, millicores.
  double memory = 0;         ///< Mean use of a task in MiB.
  double memory_var = 0;     ///< Variance of the memory use.
  double memory_peak = 0;    ///< Highest measurement in MiB, decaying slowly.
  double run_seconds = 0;    ///< Mean run time of successful attempts.
  double failure_share = 0;  ///< Share of attempts that failed, 0..1.
  std::uint32_t measurement_count = 0;
  std::uint32_t ended_count = 0;
  std::uint32_t succeeded_count = 0;
};

/// Bounded table of classes. An index of a class that has not been used for
/// long is reassigned to a new class; `generation` lets other tables detect the
/// reassignment.
class ClassTable {
 public:
  /// Enough for 110 teams with about nine classes each.
  static constexpr std::size_t kMaxClasses = 1024;

  ClassTable();

  /// Index of the class of a task; tasks without a class share one per team.
  [[nodiscard]] ClassIndex ForTask(const TaskDemand& task);
  /// Like ForTask, but adds no class; returns kOtherClass for an unknown one.
  [[nodiscard]] ClassIndex FindTask(const TaskDemand& task) const;
  /// Index of the class of a service; a service without a class forms its own.
  [[nodiscard]] ClassIndex ForService(const ServiceLoad& service);

  [[nodiscard]] const ClassUse& use(ClassIndex index) const {
    return entries_[index].use;
  }
  [[nodiscard]] std::uint32_t generation(ClassIndex index) const {
    return entries_[index].generation;
  }

  /// Records the measured use of one running task, throttled to the given
  /// percentage.
  void Measure(ClassIndex index, Millicores cpu, Mebibytes memory,
               int throttle_percent);
  void RecordSuccess(ClassIndex index, double run_seconds);
  /// @param weight Below 1 when the fault is more likely to lie with the
  /// worker.
  void RecordFailure(ClassIndex index, double weight);

  /// True once there are enough measurements to prefer them to a declaration.
  [[nodiscard]] bool Known(ClassIndex index) const;
  /// Expected processor use of a task; the declared amount while the class is
  /// unknown.
  [[nodiscard]] Millicores ExpectedCpu(ClassIndex index,
                                       Millicores declared) const;
  /// Memory that a task of the class is unlikely to exceed; the declared
  /// amount while the class is unknown.
  [[nodiscard]] Mebibytes SafeMemory(ClassIndex index,
                                     Mebibytes declared) const;

 private:
  struct Entry {
    TaskClass name;
    ClassUse use;
    std::uint32_t generation = 0;
    std::uint64_t last_used = 0;
  };

  ClassIndex FindOrAdd(const TaskClass& name);
  /// Frees the index that was unused for longest; kOtherClass if all indexes
  /// were used recently.
  ClassIndex Recycle();
  static void RecordOutcome(ClassUse& use, double failure);

  std::vector<Entry> entries_;
  std::unordered_map<TaskClass, ClassIndex> by_name_;
  std::uint64_t lookups_ = 0;
};

}  // namespace mangospread::scheduler::policy
