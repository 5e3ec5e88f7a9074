/// @file
/// Task commands on their way to workers.
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

/// At most one command is in flight for each worker, so that thousands of
/// stops neither crowd out its lease renewals nor overtake each other, and a
/// bounded number over all workers.
class CommandQueue {
 public:
  using Callback = std::function<void(Result<TaskReport>)>;
  struct Hooks {
    /// Fills in the command when its turn comes; nothing drops it.
    std::function<std::optional<TaskCommand>(const VmName&,
                                             const QueuedCommand&)>
        prepare;
    std::function<void(const VmName&, TaskCommand, Callback)> send;
    std::function<void(const VmName&, const QueuedCommand&,
                       const Result<TaskReport>&)>
        done;
  };

  CommandQueue(Hooks hooks, std::size_t max_in_flight);
  ~CommandQueue();
  CommandQueue(const CommandQueue&) = delete;
  CommandQueue& operator=(const CommandQueue&) = delete;

  /// No hook is called from then on.
  void Close() noexcept { *alive_ = false; }

  /// Queues a command unless the same one waits or is in flight.
  void Push(const VmName& vm, QueuedCommand command);

 private:
  struct Lane {
    std::deque<QueuedCommand> waiting;
    std::set<QueuedCommand> known;
    bool in_flight = false;
    bool ready = false;
  };

  void MakeReady(const VmName& vm, Lane& lane);
  void Pump();
  void SendNext(const VmName& vm, Lane& lane);

  Hooks hooks_;
  std::size_t max_in_flight_;
  std::size_t in_flight_ = 0;
  bool pumping_ = false;
  std::map<VmName, Lane> lanes_;
  std::deque<VmName> ready_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::scheduler
