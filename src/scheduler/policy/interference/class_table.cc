#include "scheduler/policy/interference/class_table.hpp"

#include <algorithm>
#include <cmath>

namespace mangospread::scheduler::policy {
namespace {

/// Measurements from which a class counts as known, for example two reports of
/// four tasks.
constexpr std::uint32_t kMinMeasurements = 8;
/// Weight of one measurement once a class is known.
constexpr double kLearningRate = 0.02;
constexpr double kPeakDecay = 0.9995;
/// Look-ups without use after which an index may be reassigned; several minutes
/// at the report rate of the largest supported fleet.
constexpr std::uint64_t kIdleLookups = 1'000'000;

/// Successful attempts assumed before the first attempt, so that one faulty
/// worker does not make a new class look faulty.
constexpr double kAssumedSuccesses = 4.0;

TaskClass ClassNameOf(const TaskDemand& task) {
  if (!task.task_class.empty()) return task.task_class;
  return TaskClass("team:" + task.team.str());
}

double LearningRate(std::uint32_t samples) {
  return std::max(kLearningRate, 1.0 / (samples + 1.0));
}

}  // namespace

ClassTable::ClassTable() { entries_.resize(1); }

ClassIndex ClassTable::ForTask(const TaskDemand& task) {
  return FindOrAdd(ClassNameOf(task));
}

ClassIndex ClassTable::FindTask(const TaskDemand& task) const {
  const auto found = by_name_.find(ClassNameOf(task));
  return found == by_name_.end() ? kOtherClass : found->second;
}

ClassIndex ClassTable::ForService(const ServiceLoad& service) {
  // The prefix separates a service's class from a task class of the same name.
  const std::string& name = service.task_class.empty()
                                ? service.service.str()
                                : service.task_class.str();
  return FindOrAdd(TaskClass("service:" + name));
}

ClassIndex ClassTable::FindOrAdd(const TaskClass& name) {
  ++lookups_;
  const auto found = by_name_.find(name);
  if (found != by_name_.end()) {
    entries_[found->second].last_used = lookups_;
    return found->second;
  }
  ClassIndex index = kOtherClass;
  if (entries_.size() < kMaxClasses) {
    index = static_cast<ClassIndex>(entries_.size());
    entries_.emplace_back();
  } else {
    index = Recycle();
    if (index == kOtherClass) return kOtherClass;
  }
  Entry& entry = entries_[index];
  entry.name = name;
  entry.use = ClassUse{};
  entry.last_used = lookups_;
  by_name_[name] = index;
  return index;
}

ClassIndex ClassTable::Recycle() {
  const auto oldest = std::min_element(
      entries_.begin() + 1, entries_.end(),
      [](const Entry& a, const Entry& b) { return a.last_used < b.last_used; });
  if (lookups_ - oldest->last_used < kIdleLookups) return kOtherClass;
  by_name_.erase(oldest->name);
  ++oldest->generation;
  return static_cast<ClassIndex>(oldest - entries_.begin());
}

void ClassTable::Measure(ClassIndex index, Millicores cpu, Mebibytes memory,
                         int throttle_percent) {
  if (index == kOtherClass || throttle_percent >= 100) return;
  ClassUse& use = entries_[index].use;
  const double rate = LearningRate(use.measurement_count++);
  const double full_cpu = static_cast<double>(cpu.value()) * 100.0 /
                          (100.0 - std::max(throttle_percent, 0));
  use.cpu += rate * (full_cpu - use.cpu);
  const auto amount = static_cast<double>(memory.value());
  const double deviation = amount - use.memory;
  use.memory += rate * deviation;
  use.memory_var += rate * (deviation * deviation - use.memory_var);
  use.memory_peak = std::max(use.memory_peak * kPeakDecay, amount);
}

void ClassTable::RecordSuccess(ClassIndex index, double run_seconds) {
  if (index == kOtherClass) return;
  ClassUse& use = entries_[index].use;
  use.run_seconds +=
      LearningRate(use.succeeded_count++) * (run_seconds - use.run_seconds);
  RecordOutcome(use, 0.0);
}

void ClassTable::RecordFailure(ClassIndex index, double weight) {
  if (index != kOtherClass) RecordOutcome(entries_[index].use, weight);
}

void ClassTable::RecordOutcome(ClassUse& use, double failure) {
  const double rate = std::max(
      kLearningRate, 1.0 / (use.ended_count++ + 1.0 + kAssumedSuccesses));
  use.failure_share += rate * (failure - use.failure_share);
}

bool ClassTable::Known(ClassIndex index) const {
  return index != kOtherClass &&
         entries_[index].use.measurement_count >= kMinMeasurements;
}

Millicores ClassTable::ExpectedCpu(ClassIndex index,
                                   Millicores declared) const {
  if (!Known(index)) return declared;
  return Millicores(std::llround(entries_[index].use.cpu));
}

Mebibytes ClassTable::SafeMemory(ClassIndex index, Mebibytes declared) const {
  if (!Known(index)) return declared;
  const ClassUse& use = entries_[index].use;
  const double likely_maximum = use.memory + 2.0 * std::sqrt(use.memory_var);
  return Mebibytes(std::llround(std::max(likely_maximum, use.memory_peak)));
}

}  // namespace mangospread::scheduler::policy
