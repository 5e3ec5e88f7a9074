/// @file
/// Selects the destination of a request: an owned worker or a peer.
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

/// A peer selected for forwarding.
struct PeerChoice {
  NodeId node;
  Address address;
};

class Router {
 public:
  /// @param data_center the data centre of this node; workers and peers in it
  ///   are preferred.
  Router(const config::Store& store, ownership::Manager& ownership,
         membership::Membership& membership, DataCenter data_center);

  /// Selects the one with fewer occupied slots of two randomly chosen owned
  /// workers that have a free slot for the service. Workers of other data
  /// centres are considered only if there is none in the own data centre.
  /// @return null when there is no such worker.
  [[nodiscard]] std::shared_ptr<ownership::OwnedWorker> PickLocal(
      const ServiceSpec& service);

  /// Selects the one with more free slots of two randomly chosen peers that
  /// advertise free slots for the service. Peers of other data centres are
  /// considered only if there is none in the own data centre. Forwarded
  /// requests sent since the advertisement count as occupied slots, and those
  /// that have ended since count as free ones.
  /// @param tried peers that are not considered.
  /// @return nullopt when there is no such peer.
  [[nodiscard]] std::optional<PeerChoice> PickPeer(
      const ServiceName& service, const std::set<NodeId>& tried);

  /// A forwarded request counts as in flight between these two calls, from its
  /// send to its reply.
  void OnForwardStarted(const NodeId& node, const ServiceName& service);
  void OnForwardEnded(const NodeId& node, const ServiceName& service);
  /// Counts the peer as having no free slots until its next advertisement,
  /// because it failed or refused a request.
  void OnForwardFailed(const NodeId& node, const ServiceName& service);

  /// Reports a request to an owned worker and its result to the backoff.
  void OnSent(const VmName& vm) { backoff_.OnSent(vm); }
  void OnResult(const VmName& vm, const rpc::ForwardReply& reply);

  /// Free slots of this node for each service, as advertised to peers.
  [[nodiscard]] std::vector<rpc::FreeSlots> FreeSlots() const;
  /// Total slots, free or not, of the owned workers that accept work of the
  /// service.
  [[nodiscard]] int LocalSlots(const ServiceSpec& service) const;
  /// Number of workers that are currently excluded by the backoff.
  [[nodiscard]] std::size_t excluded_workers() const noexcept {
    return backoff_.excluded();
  }

 private:
  /// Slots of one service at one peer.
  struct PeerSlots {
    /// Advertised free slots plus the requests that this node had in flight to
    /// the peer when the advertisement was received.
    int available = 0;
    /// Requests of this node currently in flight to the peer.
    int in_flight = 0;
    MonotonicTime received_at{0};

    [[nodiscard]] int free() const noexcept { return available - in_flight; }
  };

  /// Replaces the advertised slots of a peer.
  void OnHeartbeat(const rpc::NodeView& view);
  [[nodiscard]] bool IsUsable(const ownership::OwnedWorker& worker,
                              const ServiceSpec& service) const;
  /// Returns the first usable worker, searching from a random position.
  /// @param same_data_center considers only workers of the own data centre.
  [[nodiscard]] const std::shared_ptr<ownership::OwnedWorker>* PickUsable(
      const ServiceSpec& service, bool same_data_center);

  const config::Store& store_;
  ownership::Manager& ownership_;
  membership::Membership& membership_;
  DataCenter data_center_;
  std::map<NodeId, std::map<ServiceName, PeerSlots>> peer_slots_;
  std::minstd_rand random_;
  WorkerBackoff backoff_;
};

}  // namespace mangospread::gateway
