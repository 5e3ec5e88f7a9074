#include "scheduler/lifecycle/tasks/command_queue.hpp"

#include <utility>

namespace mangospread::scheduler {

CommandQueue::CommandQueue(Hooks hooks, std::size_t max_in_flight)
    : hooks_(std::move(hooks)), max_in_flight_(max_in_flight) {}

CommandQueue::~CommandQueue() { *alive_ = false; }

void CommandQueue::Push(const VmName& vm, QueuedCommand command) {
  WorkerQueue& queue = worker_queues_[vm];
  if (!queue.outstanding.insert(command).second) return;
  queue.queued.push_back(std::move(command));
  MakeReady(vm, queue);
  SendReady();
}

void CommandQueue::MakeReady(const VmName& vm, WorkerQueue& queue) {
  if (queue.in_flight || queue.ready || queue.queued.empty()) return;
  queue.ready = true;
  ready_.push_back(vm);
}

void CommandQueue::SendReady() {
  // A send may invoke its callback synchronously; the outer call then continues
  // the loop.
  if (std::exchange(sending_, true)) return;
  const auto alive = alive_;
  while (!ready_.empty() && in_flight_ < max_in_flight_) {
    const VmName vm = std::move(ready_.front());
    ready_.pop_front();
    WorkerQueue& queue = worker_queues_[vm];
    queue.ready = false;
    SendNext(vm, queue);
    if (!*alive) return;
  }
  sending_ = false;
}

void CommandQueue::SendNext(const VmName& vm, WorkerQueue& queue) {
  while (!queue.queued.empty()) {
    const QueuedCommand command = std::move(queue.queued.front());
    queue.queued.pop_front();
    auto prepared = hooks_.prepare(vm, command);
    if (!prepared) {
      queue.outstanding.erase(command);
      continue;
    }
    queue.in_flight = true;
    ++in_flight_;
    hooks_.send(vm, std::move(*prepared),
                [this, vm, command, alive = alive_](const auto& result) {
                  if (!*alive) return;
                  WorkerQueue& sent_queue = worker_queues_[vm];
                  sent_queue.in_flight = false;
                  sent_queue.outstanding.erase(command);
                  --in_flight_;
                  hooks_.done(vm, command, result);
                  if (!*alive) return;
                  MakeReady(vm, worker_queues_[vm]);
                  SendReady();
                });
    return;
  }
}

}  // namespace mangospread::scheduler
