#include "dispatch/policy/placement.hpp"

#include <algorithm>

namespace mangospread::dispatch {
namespace {

/// Share of its request that a serving task uses on average.
constexpr double kServingUse = 0.55;
/// A worker whose serving tasks are this close to their targets gets no
/// further filling task.
constexpr double kTailRatioLimit = 0.8;
/// Cost of running away from the data, in shares of a worker's processors.
constexpr double kRemoteDataCost = 2.0;

bool Satisfies(const WorkerRoom& room, const StepSpec& spec) {
  if (spec.required_label.empty()) return true;
  const auto& labels = room.info.labels;
  return std::find(labels.begin(), labels.end(), spec.required_label) !=
         labels.end();
}

/// Processor time that filling tasks can expect, in millicores.
double Unused(const WorkerRoom& room) {
  const auto value = [](Millicores cpu) {
    return static_cast<double>(cpu.value());
  };
  const double ordinary = value(room.cpu_used) - value(room.serving_cpu);
  return value(room.info.capacity.cpu) - ordinary -
         kServingUse * value(room.serving_cpu) - value(room.fill_cpu);
}

bool Fits(const WorkerRoom& room, const StepSpec& spec) {
  const WorkerCapacity& capacity = room.info.capacity;
  if (room.memory_used + spec.memory > capacity.memory) return false;
  if (room.accelerators_used + spec.accelerators > capacity.accelerators) {
    return false;
  }
  if (!spec.fills) return room.cpu_used + spec.cpu <= capacity.cpu;
  return room.fill_percent >= 100 && room.tail_ratio < kTailRatioLimit &&
         Unused(room) >= static_cast<double>(spec.cpu.value());
}

/// Lower is better.
double Cost(const WorkerRoom& room, const StepSpec& spec) {
  const auto capacity = static_cast<double>(
      std::max<std::int64_t>(room.info.capacity.cpu.value(), 1));
  double cost = spec.fills
                    ? -Unused(room) / capacity
                    : static_cast<double>(room.cpu_used.value()) / capacity;
  if (spec.fills) cost += room.tail_ratio;
  if (!spec.data_rack.empty() && room.info.rack != spec.data_rack) {
    cost += kRemoteDataCost;
  }
  return cost;
}

}  // namespace

Placement ChooseWorker(const WorkerBook& book, const ServiceName& service,
                       const StepSpec& spec,
                       const std::function<int(WorkerSlot)>& tasks_of_step,
                       MonotonicTime now) {
  Placement best{kNoWorker, NoPlace::kNoWorker};
  double best_cost = 0;
  const auto& rooms = book.rooms();
  for (std::size_t i = 0; i < rooms.size(); ++i) {
    const WorkerRoom& room = rooms[i];
    if (!room.Accepts(now) || room.info.service != service ||
        !Satisfies(room, spec)) {
      continue;
    }
    const auto slot = static_cast<WorkerSlot>(i);
    if (!Fits(room, spec) || (spec.max_per_worker > 0 &&
                              tasks_of_step(slot) >= spec.max_per_worker)) {
      if (best.worker == kNoWorker) best.why = NoPlace::kNoRoom;
      continue;
    }
    const double cost = Cost(room, spec);
    if (best.worker == kNoWorker || cost < best_cost) {
      best = {slot, NoPlace::kNone};
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace mangospread::dispatch
