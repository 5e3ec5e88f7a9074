/// @file
/// What has been measured of each class of tasks and services.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "scheduler/types.hpp"

namespace mangospread::scheduler::policy {

/// Index of a class in the table. kOtherClass stands for every class that did
/// not fit into the table.
using ClassIndex = std::uint16_t;
inline constexpr ClassIndex kOtherClass = 0;

/// Measured use of one task of a class.
struct ClassUse {
  double cpu = 0;          ///< Millicores, mean of what its tasks use.
  double memory = 0;       ///< MiB, mean of what its tasks use.
  double memory_var = 0;   ///< Variance of the above.
  double memory_peak = 0;  ///< Highest seen, decaying slowly.
  double run_seconds = 0;
  double failures = 0;  ///< Share of attempts that failed, 0..1.
  std::uint32_t measured = 0;
  std::uint32_t ended = 0;
  std::uint32_t succeeded = 0;
};

/// Bounded table of classes. A class without use for long gives its place to
/// a new one; `generation` tells other tables that an index changed hands.
class ClassTable {
 public:
  /// 110 teams with about nine classes each.
  static constexpr std::size_t kMaxClasses = 1024;

  ClassTable();

  /// Index of the class of a task; tasks without a class share one per team.
  [[nodiscard]] ClassIndex ForTask(const TaskDemand& task);
  /// The same without adding a class; kOtherClass if it is not known.
  [[nodiscard]] ClassIndex FindTask(const TaskDemand& task) const;
  /// Index of the class of a service; one without a class is its own.
  [[nodiscard]] ClassIndex ForService(const ServiceLoad& service);

  [[nodiscard]] const ClassUse& use(ClassIndex index) const {
    return entries_[index].use;
  }
  [[nodiscard]] std::uint32_t generation(ClassIndex index) const {
    return entries_[index].generation;
  }

  /// Records what one running task uses, throttled to the given percentage.
  void Measure(ClassIndex index, Millicores cpu, Mebibytes memory,
               int throttle_percent);
  void RecordSuccess(ClassIndex index, double run_seconds);
  /// `weight` is below 1 when the worker is likelier to be at fault.
  void RecordFailure(ClassIndex index, double weight);

  /// True once enough measurements exist to be trusted over a declaration.
  [[nodiscard]] bool Known(ClassIndex index) const;
  /// Processor use to expect of a task.
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

  ClassIndex Find(const TaskClass& name);
  ClassIndex Recycle();
  static void RecordOutcome(ClassUse& use, double failure);

  std::vector<Entry> entries_;
  std::unordered_map<TaskClass, ClassIndex> by_name_;
  std::uint64_t uses_ = 0;
};

}  // namespace mangospread::scheduler::policy
