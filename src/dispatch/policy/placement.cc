#include "dispatch/policy/placement.hpp"

#include <algorithm>
#include <utility>
#include <vector>

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

/// Effects of one filling image on the serving images met in a decision.
class Effects {
 public:
  Effects(const SharingModel& model, const StepSpec& spec)
      : model_(model),
        spec_(spec),
        cores_(static_cast<double>(spec.cpu.value()) / kMillicoresPerCore) {}

  /// Utilisation that the step's task adds.
  double On(const ImageName& serving) {
    for (const auto& [image, effect] : known_) {
      if (image == serving) return effect;
    }
    const double effect = model_.Effect(spec_.image, serving) * cores_;
    known_.emplace_back(serving, effect);
    return effect;
  }

 private:
  static constexpr double kMillicoresPerCore = 1'000;
  const SharingModel& model_;
  const StepSpec& spec_;
  double cores_;
  std::vector<std::pair<ImageName, double>> known_;
};

/// True if no serving task is pushed beyond its limit by a filling task.
bool ServingHasRoom(const WorkerRoom& room, const SharingModel& model,
                    Effects& effects) {
  const auto& serving = room.Serving(model);
  return std::all_of(serving.begin(), serving.end(),
                     [&](const ServingGroup& group) {
                       const double effect = effects.On(group.image);
                       return effect < kHarmlessEffect || effect <= group.room;
                     });
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
double ServingMismatch(const WorkerRoom& room, const SharingModel& model,
                       const StepSpec& spec) {
  double mismatch = 0;
  for (const ServingGroup& group : room.Serving(model)) {
    const double cost = group.image == spec.image ? kSameImageCost : 1.0;
    mismatch += cost * group.tasks;
  }
  return mismatch;
}

/// Lower is better.
double Cost(const WorkerRoom& room, const SharingModel& model,
            const StepSpec& spec) {
  const auto capacity = static_cast<double>(
      std::max<std::int64_t>(room.info.capacity.cpu.value(), 1));
  const auto used = static_cast<double>(room.cpu_used.value()) / capacity;
  // Ordinary tasks fill gaps, so that wide ones find whole workers.
  double cost = spec.fills ? -Unused(room) / capacity : used;
  if (spec.long_running) cost += ServingMismatch(room, model, spec);
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
  Effects effects(model, spec);
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
    if (spec.fills && !ServingHasRoom(room, model, effects)) {
      if (best.worker == kNoWorker) best.why = NoPlace::kNoRoom;
      continue;
    }
    const double cost = Cost(room, model, spec);
    if (best.worker == kNoWorker || cost < best_cost) {
      best = {slot, NoPlace::kNone};
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace mangospread::dispatch
