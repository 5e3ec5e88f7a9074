/// @file
/// The entry node, which owns the components of its process and connects them.
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

/// Clients of the platform's services, over HTTP or embedded.
struct PlatformClients {
  std::unique_ptr<Table> table;
  std::unique_ptr<VmList> vm_list;
};

/// Accepts callers' requests, owns workers and may schedule tasks.
class Node {
 public:
  /// @param on_stopped called with the exit status when the node has stopped.
  Node(base::EventLoop& loop, Settings settings, PlatformClients platform,
       std::function<void(int status)> on_stopped);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts all components.
  /// @errors kUnavailable when listening on an address fails.
  [[nodiscard]] Result<Done> Start();

  /// Begins a graceful shutdown, after which the callback of the constructor is
  /// called. Further calls have no effect.
  void Stop();

  [[nodiscard]] const Address& http_address() const { return http_address_; }
  /// The listen address, which may differ from the advertised one.
  [[nodiscard]] const Address& rpc_listen_address() const {
    return rpc_listen_address_;
  }

 private:
  void AddChildren();
  [[nodiscard]] rpc::PeerHandlers MakePeerHandlers();
  [[nodiscard]] rpc::NodeView SelfView() const;
  /// Reason to refuse callers' requests; kNone if they are admitted.
  [[nodiscard]] NotRunReason Admission() const;
  /// Result of the load balancer's health check; kNone if it passes. A leaving
  /// node fails the check while it still serves requests.
  [[nodiscard]] NotRunReason Health() const;
  /// True in a deployment of one node. It cannot be partitioned from peers that
  /// would serve in its place, so it keeps serving while the table is
  /// unreachable.
  [[nodiscard]] bool IsSingleNode() const;
  /// True if the node owns no worker and no longer receives heartbeats from the
  /// peers that do: it would refuse every request from the load balancer.
  [[nodiscard]] bool HasNoReachableWorkers() const;
  /// True if neither a response of the table nor a heartbeat of a peer has
  /// arrived within the isolation timeout; always false for a single node.
  [[nodiscard]] bool IsIsolated() const;
  void Dispatch(std::shared_ptr<net::HttpExchange> exchange);
  void OnChangeAccepted(const Change& change);
  void OnPeerHeartbeat(const rpc::NodeView& view);
  /// True if the given process is considered terminated, so that it can no
  /// longer complete an idempotency key that it claimed.
  [[nodiscard]] bool IsTerminated(const NodeId& node,
                                  Incarnation incarnation) const;
  /// True on the ready node with the lowest name, which sweeps old idempotency
  /// keys.
  [[nodiscard]] bool IsKeySweeper() const;
  /// Pushes the change to all live peers, so that they need not read the table.
  void OnOwnerChanged(const ownership::KnownOwner& owner);
  void CollectSamples(std::vector<api::Sample>& samples) const;
  /// Closes all watches and calls `done` when no request, response or write is
  /// pending.
  void WaitForRequests(std::function<void()> done);
  /// Calls `done` when the owned workers have been handed over.
  void WaitForHandOver(std::function<void()> done);
  /// Calls `done` when no request that a peer has forwarded is pending, or when
  /// the time for requests in flight has passed since the listener closed.
  void WaitForForwards(std::function<void()> done);
  /// Sets this node's share of the table budgets and of the callers' limits,
  /// which are divided among the live nodes.
  void DivideBudgets();
  /// Position of this node among the nodes that may admit requests.
  [[nodiscard]] gateway::NodeShare LimitShare() const;
  /// Marks a starting node as ready once its configuration is loaded.
  void UpdateState();

  base::EventLoop& loop_;
  Settings settings_;
  Incarnation incarnation_;
  PlatformClients platform_;
  std::function<void(int)> on_stopped_;
  rpc::NodeState state_ = rpc::NodeState::kStarting;
  bool handed_over_ = false;
  bool requests_ended_ = false;
  /// End of the time that a stop waits for requests in flight.
  MonotonicTime requests_limit_at_{0};
  MonotonicTime next_ownership_pull_{0};
  std::vector<rpc::OwnershipEntry> changed_owners_;
  Address http_address_;
  Address rpc_listen_address_;
  /// Address that peers connect to.
  Address advertised_rpc_address_;

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
  api::Authenticator authenticator_;
  api::Api api_;
  net::HttpServer server_;
  Supervisor supervisor_;
  base::Timer state_timer_;
  base::Timer stop_timer_;
};

}  // namespace mangospread::app
