// Data centres under evacuation: no starts there, and moves of what runs there.
#include <algorithm>
#include <map>

#include "dispatch/core/dispatcher.hpp"

namespace mangospread::dispatch {
namespace {

/// At most one task is moved in this time, so that the next choice sees where
/// it went.
constexpr MonotonicTime kMovePeriod = std::chrono::milliseconds(100);
/// Bounds the processor time of a round: each check looks at all workers.
constexpr int kMovesConsidered = 4;
/// Tasks are moved only while the service has more free processors than this:
/// a move takes room that waiting work could use.
constexpr double kMinFreeShare = 0.15;
/// A batch task with less left by its estimate ends where it is.
constexpr MonotonicTime kMinTimeSaved = std::chrono::seconds(10);
/// A latency-critical task is at work if it was measured within this time.
constexpr MonotonicTime kMaxSampleAge = std::chrono::seconds(2);

}  // namespace

void Dispatcher::SetEvacuations(const Evacuations& evacuations,
                                MonotonicTime now) {
  evacuations_ = evacuations;
  const auto workers = static_cast<WorkerSlot>(registry_.workers().size());
  for (WorkerSlot slot = 0; slot < workers; ++slot) {
    WorkerState& worker = registry_.at(slot);
    if (worker.slot_free) continue;
    const bool evacuated = evacuations_.contains(worker.info.data_center);
    if (worker.evacuated && !evacuated) worker.returned_at = now;
    worker.evacuated = evacuated;
  }
}

int Dispatcher::RunsUnderEvacuation(const DataCenter& data_center) const {
  std::size_t runs = 0;
  for (const WorkerState& worker : registry_.workers()) {
    if (worker.slot_free || worker.info.data_center != data_center) continue;
    runs += worker.runs.size();
  }
  return static_cast<int>(runs);
}

void Dispatcher::MoveEvacuated(MonotonicTime now) {
  if (evacuations_.empty() || now < next_evacuation_move_) return;
  next_evacuation_move_ = now + kMovePeriod;
  const std::size_t workers = registry_.workers().size();
  int considered = 0;
  std::map<ServiceName, bool> has_room;
  for (std::size_t i = 0; i < workers; ++i) {
    const auto slot = static_cast<WorkerSlot>(evacuation_cursor_ % workers);
    const WorkerState& worker = registry_.at(slot);
    auto run = worker.runs.end();
    if (worker.evacuated && worker.UseIsKnown(now)) {
      const auto [room, added] = has_room.try_emplace(worker.info.service);
      if (added) room->second = FreeShare(room->first, now) > kMinFreeShare;
      if (room->second) run = worker.runs.upper_bound(last_move_considered_);
    }
    for (; run != worker.runs.end(); ++run) {
      const auto ref = FindTask(run->first);
      if (!MayLeaveEvacuated(*ref, run->second, now)) continue;
      last_move_considered_ = run->first;
      if (FitsElsewhere(*ref, now)) {
        ++counters_.evacuated;
        hooks_.log(run->first, worker.info.vm, "moved", "evacuated");
        return StopTask(*ref, now);
      }
      if (++considered >= kMovesConsidered) return;
    }
    evacuation_cursor_ = (evacuation_cursor_ + 1) % workers;
    last_move_considered_ = TaskName();
  }
}

bool Dispatcher::MayLeaveEvacuated(const TaskRef& ref, const PlacedRun& placed,
                                   MonotonicTime now) const {
  const StepSpec& spec = ref.spec();
  if (ref.task->phase != TaskPhase::kRunning || spec.gang ||
      IsFinal(ref.job().state())) {
    return false;
  }
  if (!spec.long_running) {
    return spec.checkpoints &&
           placed.started_at + spec.estimate - now >= kMinTimeSaved;
  }
  if (spec.best_effort || spec.max_unavailable == 0) return false;
  return AllAtWork(ref, now);
}

bool Dispatcher::AllAtWork(const TaskRef& ref, MonotonicTime now) const {
  const Step& step = ref.step();
  for (std::size_t t = 0; t < step.tasks.size(); ++t) {
    const Task& task = step.tasks[t];
    if (task.phase != TaskPhase::kRunning) return false;
    const WorkerState& worker =
        registry_.workers()[static_cast<std::size_t>(task.worker)];
    if (worker.silent_since.count() > 0) return false;
    const TaskIndex index{ref.index.step, static_cast<int>(t)};
    const auto run = worker.runs.find(ref.job().NameOf(index));
    if (run == worker.runs.end()) return false;
    const MonotonicTime measured_at = run->second.last_sample.time;
    if (measured_at.count() == 0 || now - measured_at > kMaxSampleAge) {
      return false;
    }
  }
  return true;
}

}  // namespace mangospread::dispatch
