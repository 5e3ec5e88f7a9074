/// @file
/// Liveness of the nodes of a cluster, determined by heartbeats. The views of
/// nodes may differ, so they only lead to proposals; compare-and-set in the
/// table decides.
#pragma once

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "mangospread/ids.hpp"
#include "rpc/messages.hpp"

namespace mangospread::membership {

enum class Liveness : unsigned char { kAlive, kSuspect, kDead };

struct MembershipOptions {
  std::vector<Address> seeds;
  Milliseconds heartbeat_period{300};
  Milliseconds heartbeat_timeout{1'000};
  /// Time without a heartbeat after which a peer is suspect, or dead.
  Milliseconds suspect_after{1'200};
  Milliseconds dead_after{2'500};
  /// A peer is removed this long after its last heartbeat. Heartbeats are still
  /// sent to its address if it is a seed.
  Milliseconds remove_after{60'000};
};

struct Peer {
  rpc::NodeView view;
  Liveness liveness = Liveness::kAlive;
  MonotonicTime last_heartbeat_at{0};
};

/// Sends a heartbeat with `view` and passes the peer's view, or an error after
/// `timeout`, to `done`. Production code uses rpc::PeerService::Heartbeat.
using SendHeartbeat = std::function<void(
    const Address& peer, const rpc::NodeView& view, Milliseconds timeout,
    std::function<void(Result<rpc::NodeView>)> done)>;

/// Exchanges heartbeats with all known peers. A peer without heartbeats becomes
/// suspect first and dead later.
class Membership {
 public:
  /// @param own_view returns the view of this node that heartbeats carry.
  Membership(base::EventLoop& loop, MembershipOptions options,
             std::function<rpc::NodeView()> own_view, SendHeartbeat send);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void Start();

  /// Records a peer's heartbeat and returns this node's view.
  rpc::NodeView OnHeartbeat(const rpc::NodeView& sender);

  /// Sends a heartbeat to all peers now, for a change that must not wait for
  /// the next period.
  void Announce();

  [[nodiscard]] const std::map<NodeId, Peer>& peers() const noexcept {
    return peers_;
  }
  /// Null when no heartbeat of the node has been recorded.
  [[nodiscard]] const Peer* Find(const NodeId& node) const;
  /// Time of the last heartbeat of any peer; zero before the first one.
  [[nodiscard]] MonotonicTime last_heartbeat_at() const noexcept {
    return last_heartbeat_at_;
  }
  [[nodiscard]] MonotonicTime started() const noexcept { return started_; }
  /// Addresses of the live peers, to be sent to other nodes.
  [[nodiscard]] std::vector<Address> KnownAddresses() const;

  /// Emitted when a peer's liveness, state or incarnation changes.
  sigc::signal<void(const Peer&)>& changed() noexcept { return changed_; }
  /// Emitted for each view received from a peer.
  sigc::signal<void(const rpc::NodeView&)>& heartbeat_received() noexcept {
    return heartbeat_received_;
  }

 private:
  void Tick();
  void SendTo(const Address& address);
  void UpdatePeer(const rpc::NodeView& view);
  void UpdateLiveness();
  void SetLiveness(Peer& peer, Liveness liveness);

  base::EventLoop& loop_;
  MembershipOptions options_;
  std::function<rpc::NodeView()> own_view_;
  SendHeartbeat send_;
  std::map<NodeId, Peer> peers_;
  /// Addresses that heartbeats are sent to.
  std::set<Address> targets_;
  /// Addresses with a heartbeat whose reply is pending.
  std::set<Address> in_flight_;
  std::set<Address> resend_after_reply_;
  MonotonicTime last_heartbeat_at_{0};
  MonotonicTime started_{0};
  base::Timer timer_;
  sigc::signal<void(const Peer&)> changed_;
  sigc::signal<void(const rpc::NodeView&)> heartbeat_received_;
};

}  // namespace mangospread::membership
