/// @file
/// The scheduler and the owner agent as components of a node.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "api/metrics.hpp"
#include "app/settings.hpp"
#include "config/store.hpp"
#include "membership/membership.hpp"
#include "ownership/manager.hpp"
#include "rpc/peer_service.hpp"
#include "scheduler/lifecycle/owner_agent.hpp"
#include "scheduler/lifecycle/scheduler.hpp"
#include "scheduler/lifecycle/scheduler_role.hpp"
#include "table/writer.hpp"

namespace mangospread::app {

struct SchedulingDependencies {
  base::EventLoop& loop;
  Table& table;
  const config::Store& store;
  const membership::Membership& membership;
  const ownership::Manager& ownership;
  rpc::PeerService& peers;
  /// Whether the process that held the scheduler role is considered terminated.
  std::function<bool(const NodeId&, Incarnation)> is_terminated;
  /// Whether this node may become the scheduler.
  std::function<bool()> is_ready;
};

/// Scheduling on one node. Every node reports the tasks of its workers and
/// executes the scheduler's commands; the node that holds the scheduler role of
/// its cell makes the decisions.
class Scheduling {
 public:
  Scheduling(const Settings& settings, Incarnation incarnation,
             std::string writer_row, SchedulingDependencies dependencies);
  Scheduling(const Scheduling&) = delete;
  Scheduling& operator=(const Scheduling&) = delete;

  void Start();
  /// Releases the scheduler role, then calls `done`. The agent keeps executing
  /// commands of the next scheduler until the workers are handed over.
  void Stop(std::function<void()> done);

  /// Adds the handlers of peers' scheduling calls.
  void AddHandlers(rpc::PeerHandlers& handlers);
  /// Handles queries for "/v1/jobs/..." and "/v1/explain/...", forwarding them
  /// if another node holds the scheduler role.
  void Query(const std::string& path,
             std::function<void(rpc::QueryReply)> done);
  void CollectSamples(std::vector<api::Sample>& samples) const;

 private:
  [[nodiscard]] scheduler::AgentHooks MakeAgentHooks();
  [[nodiscard]] scheduler::SchedulerDependencies MakeSchedulerDependencies();
  /// A peer's RPC address; null if the peer is unknown.
  [[nodiscard]] const Address* AddressOf(const NodeId& node) const;
  [[nodiscard]] std::vector<scheduler::OwnedWorkerState> OwnedWorkers() const;

  SchedulingDependencies deps_;
  NodeId node_;
  table::Writer writer_;
  scheduler::SchedulerRole role_;
  scheduler::OwnerAgent agent_;
  scheduler::Scheduler scheduler_;
};

}  // namespace mangospread::app
