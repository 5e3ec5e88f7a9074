#include "dispatch/policy/placement.hpp"

#include <algorithm>

namespace mangospread::dispatch {
namespace {

/// Share of its request that a serving task uses on average.
constexpr double kServingUse = 0.5;
constexpr double kSameImageCost = -0.3;
/// Utilisation that a filling task adds without its being worth a thought.
constexpr double kHarmlessEffect = 0.02;
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

/// Utilisation left on the worst-off serving task if the fill is added; not
/// negative where the fill harms none.
double ServingRoom(const WorkerRoom& room, const SharingModel& model,
                   const StepSpec& spec) {
  constexpr double kMillicoresPerCore = 1'000;
  const auto cores = [](const StepSpec& step) {
    return static_cast<double>(step.cpu.value()) / kMillicoresPerCore;
  };
  double least = 1;
  for (const auto& [name, victim] : room.runs) {
    if (victim.spec->latency_target.count() == 0) continue;
    const ImageName& image = victim.spec->image;
    const double own = model.Effect(spec.image, image) * cores(spec);
    if (own < kHarmlessEffect) continue;
    double used = model.HighLevel(image) + own;
    for (const auto& [other, fill] : room.runs) {
      if (fill.spec->fills) {
        used += model.Effect(fill.spec->image, image) * cores(*fill.spec);
      }
    }
    const double left = model.Limit(image, victim.spec->latency_target) - used;
    least = std::min(least, left);
  }
  return least;
}

bool Fits(const WorkerRoom& room, const StepSpec& spec) {
  const WorkerCapacity& capacity = room.info.capacity;
  if (room.memory_used + spec.memory > capacity.memory) return false;
  if (room.accelerators_used + spec.accelerators > capacity.accelerators) {
    return false;
  }
  if (!spec.fills) return room.cpu_used + spec.cpu <= capacity.cpu;
  return Unused(room) >= static_cast<double>(spec.cpu.value());
}

/// Serving tasks of other images on the worker, less some for each of the same.
/// Each filling image harms few serving images, so workers that serve one image
/// leave room for most filling tasks.
double ServingMismatch(const WorkerRoom& room, const StepSpec& spec) {
  double mismatch = 0;
  for (const auto& [name, placed] : room.runs) {
    if (!placed.spec->long_running) continue;
    mismatch += placed.spec->image == spec.image ? kSameImageCost : 1.0;
  }
  return mismatch;
}

/// Lower is better.
double Cost(const WorkerRoom& room, const StepSpec& spec) {
  const auto capacity = static_cast<double>(
      std::max<std::int64_t>(room.info.capacity.cpu.value(), 1));
  double cost = spec.fills
                    ? -Unused(room) / capacity
                    : static_cast<double>(room.cpu_used.value()) / capacity;
  if (spec.long_running) cost += ServingMismatch(room, spec);
  if (!spec.data_rack.empty() && room.info.rack != spec.data_rack) {
    cost += kRemoteDataCost;
  }
  return cost;
}

}  // namespace

Placement ChooseWorker(const WorkerBook& book, const SharingModel& model,
                       const ServiceName& service, const StepSpec& spec,
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
    if (spec.fills && ServingRoom(room, model, spec) < 0) {
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
