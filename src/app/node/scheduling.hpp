/// @file
/// The scheduler and its agent as parts of a node.
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
#include "scheduler/lifecycle/role.hpp"
#include "scheduler/lifecycle/scheduler.hpp"
#include "table/writer.hpp"

namespace mangospread::app {

struct SchedulingDependencies {
  base::EventLoop& loop;
  Table& table;
  const config::Store& store;
  const membership::Membership& membership;
  const ownership::Manager& ownership;
  rpc::PeerService& peers;
  /// Whether the process that held the role is gone.
  std::function<bool(const NodeId&, Incarnation)> is_gone;
  /// Whether this node may become the scheduler.
  std::function<bool()> is_ready;
};

/// Every node reports its workers' tasks and carries out commands; the one
/// that holds the role of its cell schedules.
class Scheduling {
 public:
  Scheduling(const Settings& settings, Incarnation incarnation,
             std::string writer_row, SchedulingDependencies dependencies);
  Scheduling(const Scheduling&) = delete;
  Scheduling& operator=(const Scheduling&) = delete;

  void Start();
  /// Gives the role up. The agent serves the next scheduler until the workers
  /// are handed over.
  void Stop(std::function<void()> done);

  void AddHandlers(rpc::PeerHandlers& handlers);
  /// Answers "/v1/jobs/..." and "/v1/explain/...", asking the scheduler's node
  /// if that is another one.
  void Query(const std::string& path,
             std::function<void(rpc::QueryReply)> done);
  void CollectSamples(std::vector<api::Sample>& samples) const;

 private:
  [[nodiscard]] scheduler::AgentHooks MakeAgentHooks();
  [[nodiscard]] scheduler::SchedulerDependencies MakeSchedulerDependencies();
  /// A peer's address; nothing when it is not known.
  [[nodiscard]] const Address* AddressOf(const NodeId& node) const;
  [[nodiscard]] std::vector<scheduler::OwnedState> Owned() const;

  SchedulingDependencies deps_;
  NodeId node_;
  table::Writer writer_;
  scheduler::Role role_;
  scheduler::OwnerAgent agent_;
  scheduler::Scheduler scheduler_;
};

}  // namespace mangospread::app
