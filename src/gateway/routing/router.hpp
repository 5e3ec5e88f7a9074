/// @file
/// Chooses where a request goes: an owned worker or a peer.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "config/store.hpp"
#include "gateway/routing/worker_backoff.hpp"
#include "membership/membership.hpp"
#include "ownership/manager.hpp"
#include "rpc/messages.hpp"

namespace mangospread::gateway {

/// A peer to forward to.
struct PeerChoice {
  NodeId node;
  Address address;
};

class Router {
 public:
  /// @param data_center the node's own; its workers and peers are preferred.
  Router(const config::Store& store, ownership::Manager& ownership,
         membership::Membership& membership, DataCenter data_center);

  /// The less occupied of two owned workers of the service with a free slot,
  /// of the own data centre if it has any; null when there is none.
  [[nodiscard]] std::shared_ptr<ownership::OwnedWorker> PickLocal(
      const ServiceSpec& service);

  /// One of two random peers that advertise free slots, the one with more; of
  /// the own data centre if it has any. Forwards in flight that the
  /// advertisement did not see count as occupied, and those that have ended
  /// since count as free.
  [[nodiscard]] std::optional<PeerChoice> PickPeer(
      const ServiceName& service, const std::set<NodeId>& tried);

  /// Accounts for a forwarded request from its send to its reply.
  void OnForwardStarted(const NodeId& node, const ServiceName& service);
  void OnForwardEnded(const NodeId& node, const ServiceName& service);
  /// A peer failed or refused: its advertisement is out of date.
  void OnForwardFailed(const NodeId& node, const ServiceName& service);

  /// Accounts for a request to an owned worker and for its result.
  void OnSent(const VmName& vm) { backoff_.OnSent(vm); }
  void OnResult(const VmName& vm, const rpc::ForwardReply& reply);

  /// Free slots of this node for each service.
  [[nodiscard]] std::vector<rpc::FreeSlots> FreeSlots() const;
  /// Slots of the service's workers that this node owns.
  [[nodiscard]] int LocalSlots(const ServiceSpec& service) const;
  [[nodiscard]] std::size_t workers_out() const noexcept {
    return backoff_.out();
  }

 private:
  struct Advertised {
    /// Free slots advertised plus own forwards in flight at that time.
    int available = 0;
    /// Own forwards in flight now.
    int forwards = 0;
    MonotonicTime at{0};

    [[nodiscard]] int free() const noexcept { return available - forwards; }
  };

  void OnHeard(const rpc::NodeView& view);
  [[nodiscard]] bool IsUsable(const ownership::OwnedWorker& worker,
                              const ServiceSpec& service) const;
  /// The first usable worker from a random one on; the data centre matters
  /// when `near` is set.
  [[nodiscard]] const std::shared_ptr<ownership::OwnedWorker>* PickFrom(
      const ServiceSpec& service, bool near);

  const config::Store& store_;
  ownership::Manager& ownership_;
  membership::Membership& membership_;
  DataCenter data_center_;
  std::map<NodeId, std::map<ServiceName, Advertised>> advertised_;
  std::minstd_rand random_;
  WorkerBackoff backoff_;
};

}  // namespace mangospread::gateway
