/// @file
/// Chooses where a request goes: an owned worker or a peer.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "config/store.hpp"
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
  Router(const config::Store& store, ownership::Manager& ownership,
         membership::Membership& membership);

  /// The less occupied of two random owned workers of the service with a free
  /// slot; null when there is none.
  [[nodiscard]] std::shared_ptr<ownership::OwnedWorker> PickLocal(
      const ServiceSpec& service);

  /// One of two random peers that advertise free slots, the one with more.
  /// Forwards in flight that the advertisement did not see count as occupied,
  /// and those that have ended since count as free.
  [[nodiscard]] std::optional<PeerChoice> PickPeer(
      const ServiceName& service, const std::set<NodeId>& tried);

  /// Accounts for a forwarded request from its send to its reply.
  void OnForwardStarted(const NodeId& node, const ServiceName& service);
  void OnForwardEnded(const NodeId& node, const ServiceName& service);

  /// Free slots of this node for each service.
  [[nodiscard]] std::vector<rpc::FreeSlots> FreeSlots() const;

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

  const config::Store& store_;
  ownership::Manager& ownership_;
  membership::Membership& membership_;
  std::map<NodeId, std::map<ServiceName, Advertised>> advertised_;
  std::minstd_rand random_;
};

}  // namespace mangospread::gateway
