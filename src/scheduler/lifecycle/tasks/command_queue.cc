#include "scheduler/lifecycle/tasks/command_queue.hpp"

#include <utility>

namespace mangospread::scheduler {

CommandQueue::CommandQueue(Hooks hooks, std::size_t max_in_flight)
    : hooks_(std::move(hooks)), max_in_flight_(max_in_flight) {}

CommandQueue::~CommandQueue() { *alive_ = false; }

void CommandQueue::Push(const VmName& vm, QueuedCommand command) {
  Lane& lane = lanes_[vm];
  if (!lane.known.insert(command).second) return;
  lane.waiting.push_back(std::move(command));
  MakeReady(vm, lane);
  Pump();
}

void CommandQueue::MakeReady(const VmName& vm, Lane& lane) {
  if (lane.in_flight || lane.ready || lane.waiting.empty()) return;
  lane.ready = true;
  ready_.push_back(vm);
}

void CommandQueue::Pump() {
  // A send may call back at once; the outer loop goes on then.
  if (std::exchange(pumping_, true)) return;
  const auto alive = alive_;
  while (!ready_.empty() && in_flight_ < max_in_flight_) {
    const VmName vm = std::move(ready_.front());
    ready_.pop_front();
    Lane& lane = lanes_[vm];
    lane.ready = false;
    SendNext(vm, lane);
    if (!*alive) return;
  }
  pumping_ = false;
}

void CommandQueue::SendNext(const VmName& vm, Lane& lane) {
  while (!lane.waiting.empty()) {
    const QueuedCommand command = std::move(lane.waiting.front());
    lane.waiting.pop_front();
    auto prepared = hooks_.prepare(vm, command);
    if (!prepared) {
      lane.known.erase(command);
      continue;
    }
    lane.in_flight = true;
    ++in_flight_;
    hooks_.send(vm, std::move(*prepared),
                [this, vm, command, alive = alive_](const auto& result) {
                  if (!*alive) return;
                  Lane& sent = lanes_[vm];
                  sent.in_flight = false;
                  sent.known.erase(command);
                  --in_flight_;
                  hooks_.done(vm, command, result);
                  if (!*alive) return;
                  MakeReady(vm, lanes_[vm]);
                  Pump();
                });
    return;
  }
}

}  // namespace mangospread::scheduler
