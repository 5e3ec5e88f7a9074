/// @file
/// Which entry nodes are alive. A view only proposes; compare-and-set in the
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
  Milliseconds suspect_after{1'200};
  Milliseconds dead_after{2'500};
  /// A dead peer that is not a seed is forgotten after this time.
  Milliseconds forget_after{60'000};
};

struct Peer {
  rpc::NodeView view;
  Liveness liveness = Liveness::kAlive;
  MonotonicTime last_heard{0};
};

/// Sends one heartbeat. Production code uses rpc::PeerService::Heartbeat.
using SendHeartbeat = std::function<void(
    const Address& peer, const rpc::NodeView& view, Milliseconds timeout,
    std::function<void(Result<rpc::NodeView>)> done)>;

/// Heartbeats to all known peers, with suspicion before death.
class Membership {
 public:
  Membership(base::EventLoop& loop, MembershipOptions options,
             std::function<rpc::NodeView()> self, SendHeartbeat send);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  void Start();

  /// Takes a peer's heartbeat and returns the own view.
  rpc::NodeView OnHeartbeat(const rpc::NodeView& from);

  /// Sends a heartbeat to all peers now, for a change that should not wait.
  void Announce();

  [[nodiscard]] const std::map<NodeId, Peer>& peers() const noexcept {
    return peers_;
  }
  /// Null when the node has never been heard of.
  [[nodiscard]] const Peer* Find(const NodeId& node) const;
  /// When any peer was heard last; zero when none was.
  [[nodiscard]] MonotonicTime last_heard() const noexcept {
    return last_heard_;
  }
  [[nodiscard]] MonotonicTime started() const noexcept { return started_; }
  /// Addresses to tell others about.
  [[nodiscard]] std::vector<Address> KnownAddresses() const;

  /// A peer became alive, suspect, dead or changed its state.
  sigc::signal<void(const Peer&)>& changed() noexcept { return changed_; }
  /// A view arrived from a peer.
  sigc::signal<void(const rpc::NodeView&)>& heard() noexcept { return heard_; }

 private:
  void Tick();
  void SendTo(const Address& address);
  void Record(const rpc::NodeView& view);
  void Judge();
  void SetLiveness(Peer& peer, Liveness liveness);

  base::EventLoop& loop_;
  MembershipOptions options_;
  std::function<rpc::NodeView()> self_;
  SendHeartbeat send_;
  std::map<NodeId, Peer> peers_;
  std::set<Address> targets_;
  std::set<Address> in_flight_;
  std::set<Address> announce_again_;
  MonotonicTime last_heard_{0};
  MonotonicTime started_{0};
  base::Timer timer_;
  sigc::signal<void(const Peer&)> changed_;
  sigc::signal<void(const rpc::NodeView&)> heard_;
};

}  // namespace mangospread::membership
