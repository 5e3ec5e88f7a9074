/// @file
/// An entry node: all its parts and how they are connected.
#pragma once

#include <functional>
#include <memory>

#include "api/api.hpp"
#include "api/watch_hub.hpp"
#include "app/node/scheduling.hpp"
#include "app/settings.hpp"
#include "app/supervisor.hpp"
#include "base/loop/event_loop.hpp"
#include "base/loop/loop_stall.hpp"
#include "config/editor.hpp"
#include "config/store.hpp"
#include "config/sync.hpp"
#include "gateway/gateway.hpp"
#include "gateway/keys/key_store.hpp"
#include "gateway/keys/key_sweep.hpp"
#include "membership/membership.hpp"
#include "net/http_server.hpp"
#include "ownership/manager.hpp"
#include "rpc/peer_service.hpp"
#include "table/writer.hpp"

namespace mangospread::app {

/// Access to the platform, over HTTP or embedded.
struct PlatformClients {
  std::unique_ptr<Table> table;
  std::unique_ptr<VmList> vm_list;
};

class Node {
 public:
  /// @param stopped called when the node has ended, with the exit status.
  Node(base::EventLoop& loop, Settings settings, PlatformClients platform,
       std::function<void(int status)> stopped);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// @errors kUnavailable when an address cannot be listened on.
  [[nodiscard]] Result<Done> Start();

  /// Graceful shutdown.
  void Stop();

  [[nodiscard]] const Address& http_address() const { return http_address_; }
  /// The address listened on, which may differ from the one advertised.
  [[nodiscard]] const Address& rpc_address() const { return rpc_bound_; }

 private:
  void AddChildren();
  [[nodiscard]] rpc::PeerHandlers MakePeerHandlers();
  [[nodiscard]] rpc::NodeView SelfView() const;
  /// Why callers' requests are refused; kNone when they are served.
  [[nodiscard]] NotRunReason Admission() const;
  /// What the balancer's health check sees. A leaving node fails it while it
  /// still serves.
  [[nodiscard]] NotRunReason Health() const;
  /// True in a deployment of one node. It cannot be cut off from others that
  /// would serve in its place, so it serves on while the table is down.
  [[nodiscard]] bool IsAlone() const;
  /// The node owns no worker and lost the peers that do, so it would refuse
  /// every request that the balancer sends.
  [[nodiscard]] bool HasNoWorkers() const;
  /// Neither the table nor a peer was heard for a while.
  [[nodiscard]] bool IsIsolated() const;
  void Dispatch(std::shared_ptr<net::HttpExchange> exchange);
  void OnAccepted(const Change& change);
  void OnHeard(const rpc::NodeView& view);
  /// True if the process that claimed a key cannot finish it any more.
  [[nodiscard]] bool IsGone(const NodeId& node, Incarnation incarnation) const;
  /// True on the live node with the lowest name, which sweeps old keys.
  [[nodiscard]] bool IsFirstNode() const;
  /// Tells peers, so that they need not read the table.
  void OnOwnerChanged(const ownership::KnownOwner& known);
  void CollectSamples(std::vector<api::Sample>& samples) const;
  void WaitForRequests(std::function<void()> done);
  void WaitForHandOver(std::function<void()> done);
  /// Divides the table budgets and the limits of callers among live nodes.
  void ShareBudgets();
  [[nodiscard]] gateway::NodeShare LimitShare() const;
  void UpdateState();

  base::EventLoop& loop_;
  Settings settings_;
  Incarnation incarnation_;
  PlatformClients platform_;
  std::function<void(int)> stopped_;
  rpc::NodeState state_ = rpc::NodeState::kStarting;
  bool handed_over_ = false;
  bool requests_ended_ = false;
  MonotonicTime ownership_pull_at_{0};
  std::vector<rpc::OwnershipEntry> changed_owners_;
  Address http_address_;
  Address rpc_bound_;
  /// What peers connect to.
  Address rpc_address_;

  base::StallRecord core_stalls_;
  base::LoopStallProbe stall_probe_;
  rpc::PeerService peers_;
  table::Writer config_writer_;
  table::Writer ownership_writer_;
  table::Writer key_writer_;
  config::Store store_;
  config::Sync sync_;
  config::Editor editor_;
  membership::Membership membership_;
  ownership::Manager ownership_;
  gateway::Router router_;
  gateway::KeyStore keys_;
  gateway::KeySweep key_sweep_;
  gateway::Gateway gateway_;
  Scheduling scheduling_;
  api::WatchHub watches_;
  api::Access access_;
  api::Api api_;
  net::HttpServer server_;
  Supervisor supervisor_;
  base::Timer state_timer_;
  base::Timer stop_timer_;
};

}  // namespace mangospread::app
