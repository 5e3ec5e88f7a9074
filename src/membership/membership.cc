#include "membership/membership.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::membership {
namespace {

constexpr double kHeartbeatJitter = 0.15;

base::Event LivenessEvent(const Peer& peer) {
  if (peer.view.state == rpc::NodeState::kLeaving) {
    return base::Event::kPeerLeaving;
  }
  switch (peer.liveness) {
    case Liveness::kAlive:
      return base::Event::kPeerAlive;
    case Liveness::kSuspect:
      return base::Event::kPeerSuspect;
    case Liveness::kDead:
      return base::Event::kPeerDead;
  }
  return base::Event::kPeerAlive;
}

}  // namespace

Membership::Membership(base::EventLoop& loop, MembershipOptions options,
                       std::function<rpc::NodeView()> own_view,
                       SendHeartbeat send)
    : loop_(loop),
      options_(std::move(options)),
      own_view_(std::move(own_view)),
      send_(std::move(send)),
      targets_(options_.seeds.begin(), options_.seeds.end()) {}

void Membership::Start() {
  started_ = base::MonotonicNow();
  timer_ = loop_.Every(options_.heartbeat_period, kHeartbeatJitter,
                       [this] { Tick(); });
  Announce();
}

void Membership::Announce() {
  // A heartbeat in flight carries the view from before the change, so another
  // one follows its reply.
  resend_after_reply_ = in_flight_;
  for (const Address& address : targets_) SendTo(address);
}

void Membership::Tick() {
  UpdateLiveness();
  for (const Address& address : targets_) SendTo(address);
}

void Membership::SendTo(const Address& address) {
  const rpc::NodeView view = own_view_();
  if (address == view.rpc_address || !in_flight_.insert(address).second) {
    return;
  }
  send_(address, view, options_.heartbeat_timeout,
        [this, address](const Result<rpc::NodeView>& reply) {
          in_flight_.erase(address);
          if (reply.ok()) UpdatePeer(reply.value());
          if (resend_after_reply_.erase(address) > 0) SendTo(address);
        });
}

rpc::NodeView Membership::OnHeartbeat(const rpc::NodeView& sender) {
  UpdatePeer(sender);
  return own_view_();
}

void Membership::UpdatePeer(const rpc::NodeView& view) {
  const rpc::NodeView own = own_view_();
  if (view.node.empty() || view.node == own.node) return;
  const MonotonicTime now = base::MonotonicNow();
  auto [it, added] = peers_.try_emplace(view.node);
  Peer& peer = it->second;
  // A delayed message of a former incarnation of the node.
  if (!added && view.incarnation < peer.view.incarnation) return;
  const bool state_changed = added || peer.liveness != Liveness::kAlive ||
                             peer.view.state != view.state ||
                             peer.view.incarnation != view.incarnation;
  peer.view = view;
  peer.last_heartbeat_at = now;
  last_heartbeat_at_ = now;
  peer.liveness = Liveness::kAlive;
  if (view.rpc_address.port != 0) targets_.insert(view.rpc_address);
  for (const Address& address : view.known_peers) {
    if (address.port != 0) targets_.insert(address);
  }
  if (state_changed) SetLiveness(peer, Liveness::kAlive);
  heartbeat_received_.emit(view);
}

void Membership::UpdateLiveness() {
  const MonotonicTime now = base::MonotonicNow();
  std::vector<NodeId> removed;
  for (auto& [node, peer] : peers_) {
    const MonotonicTime elapsed = now - peer.last_heartbeat_at;
    if (elapsed > options_.remove_after) {
      removed.push_back(node);
    } else if (elapsed > options_.dead_after) {
      if (peer.liveness != Liveness::kDead) {
        SetLiveness(peer, Liveness::kDead);
      }
    } else if (elapsed > options_.suspect_after &&
               peer.liveness == Liveness::kAlive) {
      SetLiveness(peer, Liveness::kSuspect);
    }
  }
  for (const NodeId& node : removed) {
    const Address address = peers_.at(node).view.rpc_address;
    peers_.erase(node);
    const auto& seeds = options_.seeds;
    if (std::find(seeds.begin(), seeds.end(), address) == seeds.end()) {
      targets_.erase(address);
    }
  }
}

void Membership::SetLiveness(Peer& peer, Liveness liveness) {
  peer.liveness = liveness;
  base::Log(LivenessEvent(peer),
            {{"peer", peer.view.node.str()},
             {"address", ToString(peer.view.rpc_address)},
             {"incarnation", peer.view.incarnation.value()}});
  changed_.emit(peer);
}

const Peer* Membership::Find(const NodeId& node) const {
  const auto it = peers_.find(node);
  return it == peers_.end() ? nullptr : &it->second;
}

std::vector<Address> Membership::KnownAddresses() const {
  std::vector<Address> addresses;
  for (const auto& [node, peer] : peers_) {
    if (peer.liveness == Liveness::kAlive) {
      addresses.push_back(peer.view.rpc_address);
    }
  }
  return addresses;
}

}  // namespace mangospread::membership
