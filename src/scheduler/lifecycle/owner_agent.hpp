/// @file
/// A node's part in the life of tasks on the workers that it owns.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/loop/event_loop.hpp"
#include "rpc/task_messages.hpp"
#include "scheduler/lifecycle/tasks/rows.hpp"

namespace mangospread::scheduler {

/// A worker that this node owns, as the agent needs it.
struct OwnedState {
  VmName vm;
  std::string address;
  Epoch epoch;
  bool accepts_work = false;
  MonotonicTime report_asked_at{0};
  const WorkerReport* report = nullptr;
};

struct AgentOptions {
  NodeId node;
  Milliseconds period{1'000};
};

struct AgentHooks {
  std::function<std::vector<OwnedState>()> owned;
  /// Sends a fenced command; kNotOwner when the worker is not owned.
  std::function<void(const VmName&, TaskCommand,
                     std::function<void(Result<TaskReport>)>)>
      command;
  /// The last role row known.
  std::function<RoleRow()> role;
  std::function<void(const NodeId& scheduler, rpc::NodeReport,
                     std::function<void(Result<rpc::NodeReportReply>)>)>
      send_report;
};

struct AgentCounters {
  std::uint64_t reports = 0;
  std::uint64_t report_bytes = 0;
};

/// Reports the workers' tasks to the active scheduler once a second, in full
/// only where something changed, and carries out its commands. Commands of an
/// earlier scheduler than the one last addressed are refused, so that a
/// scheduler that relies on a report is not overtaken by its predecessor.
class OwnerAgent {
 public:
  OwnerAgent(base::EventLoop& loop, AgentOptions options, AgentHooks hooks);
  ~OwnerAgent();
  OwnerAgent(const OwnerAgent&) = delete;
  OwnerAgent& operator=(const OwnerAgent&) = delete;

  void Start();
  void Stop() { timer_.reset(); }
  void Report();
  /// @errors kStaleEpoch (of the scheduler or of the ownership), kNotOwner,
  ///   kLeaving (no starts), and those of Worker::Command.
  void OnCommand(const rpc::TaskCall& call,
                 std::function<void(Result<TaskReport>)> done);

  [[nodiscard]] const AgentCounters& counters() const noexcept {
    return counters_;
  }

 private:
  rpc::WorkerDigest MakeDigest(const OwnedState& worker,
                               std::map<VmName, std::size_t>& hashes);

  base::EventLoop& loop_;
  AgentOptions options_;
  AgentHooks hooks_;
  AgentCounters counters_;
  Epoch scheduler_epoch_;
  /// Hashes of the digests that the present scheduler accepted.
  std::map<VmName, std::size_t> accepted_;
  bool sending_ = false;
  base::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::scheduler
