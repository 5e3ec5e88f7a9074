/// @file
/// Reports the tasks of the workers that a node owns, and forwards commands.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/loop/event_loop.hpp"
#include "rpc/task_messages.hpp"
#include "scheduler/lifecycle/tasks/rows.hpp"

namespace mangospread::scheduler {

/// State of a worker that this node owns, as sent to the scheduler.
struct OwnedWorkerState {
  VmName vm;
  std::string address;
  Epoch epoch;  ///< Of the ownership.
  bool accepts_work = false;
  /// Time of the request that returned `report`.
  MonotonicTime report_requested_at{0};
  const WorkerReport* report = nullptr;  ///< Must not be null.
};

struct AgentOptions {
  NodeId node;
  Milliseconds period{1'000};  ///< Between two reports to the scheduler.
};

struct AgentHooks {
  /// Returns the workers that this node owns.
  std::function<std::vector<OwnedWorkerState>()> owned;
  /// Sends a fenced command to a worker; fails with kNotOwner if this node does
  /// not own the worker.
  std::function<void(const VmName&, TaskCommand,
                     std::function<void(Result<TaskReport>)>)>
      command;
  /// Returns the role row that was read last.
  std::function<RoleRow()> role;
  std::function<void(const NodeId& scheduler, rpc::NodeReport,
                     std::function<void(Result<rpc::NodeReportReply>)>)>
      send_report;
};

struct AgentCounters {
  std::uint64_t reports = 0;
  std::uint64_t report_bytes = 0;
};

/// Reports the tasks of the owned workers to the active scheduler once per
/// period and executes its commands. A worker is reported in full only if its
/// state has changed. Once a report has been sent to a scheduler, commands with
/// a lower scheduler epoch are refused, so that a former scheduler cannot
/// invalidate a report on which its successor relies.
class OwnerAgent {
 public:
  OwnerAgent(base::EventLoop& loop, AgentOptions options, AgentHooks hooks);
  ~OwnerAgent();
  OwnerAgent(const OwnerAgent&) = delete;
  OwnerAgent& operator=(const OwnerAgent&) = delete;

  void Start();
  void Stop() { timer_.reset(); }
  /// Sends one report unless the previous one is still in flight.
  void Report();
  /// Executes a command of the scheduler on an owned worker.
  /// @param done receives the task's report, or the error.
  /// @errors kStaleEpoch (of the scheduler or of the ownership), kNotOwner,
  ///   kLeaving (the worker accepts no starts), and those of Worker::Command.
  void OnCommand(const rpc::TaskCall& call,
                 std::function<void(Result<TaskReport>)> done);

  [[nodiscard]] const AgentCounters& counters() const noexcept {
    return counters_;
  }

 private:
  /// Builds a worker's digest and stores its hash in `hashes`.
  rpc::WorkerDigest MakeDigest(const OwnedWorkerState& worker,
                               std::map<VmName, std::size_t>& hashes);

  base::EventLoop& loop_;
  AgentOptions options_;
  AgentHooks hooks_;
  AgentCounters counters_;
  /// Highest epoch of the schedulers that received reports or sent commands.
  Epoch scheduler_epoch_;
  /// Hashes of the digests that the current scheduler has accepted.
  std::map<VmName, std::size_t> accepted_hashes_;
  bool sending_ = false;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::scheduler
