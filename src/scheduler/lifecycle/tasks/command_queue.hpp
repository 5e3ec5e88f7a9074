/// @file
/// Queue of task commands to workers.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "mangospread/error.hpp"
#include "scheduler/types.hpp"

namespace mangospread::scheduler {

struct QueuedCommand {
  TaskId task;
  Attempt attempt;
  TaskVerb verb = TaskVerb::kStart;

  friend auto operator<=>(const QueuedCommand&, const QueuedCommand&) = default;
};

/// Limits the commands in flight to one per worker, so that thousands of stops
/// neither delay the worker's lease renewals nor overtake each other, and to a
/// maximum number over all workers.
class CommandQueue {
 public:
  using Callback = std::function<void(Result<TaskReport>)>;
  struct Hooks {
    /// Fills in the command immediately before it is sent; an empty result
    /// discards it.
    std::function<std::optional<TaskCommand>(const VmName&,
                                             const QueuedCommand&)>
        prepare;
    std::function<void(const VmName&, TaskCommand, Callback)> send;
    /// Receives the result of a command that was sent.
    std::function<void(const VmName&, const QueuedCommand&,
                       const Result<TaskReport>&)>
        done;
  };

  CommandQueue(Hooks hooks, std::size_t max_in_flight);
  ~CommandQueue();
  CommandQueue(const CommandQueue&) = delete;
  CommandQueue& operator=(const CommandQueue&) = delete;

  /// Stops the queue; no hook is called afterwards.
  void Close() noexcept { *alive_ = false; }

  /// Queues a command unless the same one is already queued or in flight.
  void Push(const VmName& vm, QueuedCommand command);

 private:
  struct WorkerQueue {
    std::deque<QueuedCommand> queued;
    std::set<QueuedCommand> outstanding;  ///< Queued or in flight.
    bool in_flight = false;
    bool ready = false;  ///< Listed in `ready_`.
  };

  void MakeReady(const VmName& vm, WorkerQueue& queue);
  /// Sends commands of ready workers up to the limit.
  void SendReady();
  void SendNext(const VmName& vm, WorkerQueue& queue);

  Hooks hooks_;
  std::size_t max_in_flight_;
  std::size_t in_flight_ = 0;
  bool sending_ = false;
  std::map<VmName, WorkerQueue> worker_queues_;
  /// Workers with queued commands and none in flight.
  std::deque<VmName> ready_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::scheduler
