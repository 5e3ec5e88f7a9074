// Communication of a node with its peers: handlers of their calls, and pushes
// of configuration and ownership changes.
#include <utility>

#include "app/node/node.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::app {
namespace {

constexpr Milliseconds kPushTimeout{1'000};
constexpr Milliseconds kSnapshotTimeout{2'000};
/// Time between requests for ownership rows and VMs from peers, made until the
/// table and the VM list have responded once.
constexpr MonotonicTime kOwnershipPullPeriod = std::chrono::seconds(2);

rpc::OwnershipEntry ToEntry(const ownership::KnownOwner& owner) {
  return {owner.vm, owner.row.node, owner.row.incarnation, owner.row.epoch,
          owner.version};
}

std::vector<ownership::KnownOwner> ToKnownOwners(
    const std::vector<rpc::OwnershipEntry>& entries) {
  std::vector<ownership::KnownOwner> rows;
  rows.reserve(entries.size());
  for (const auto& entry : entries) {
    rows.push_back({entry.vm,
                    {entry.node, entry.incarnation, entry.epoch},
                    entry.version});
  }
  return rows;
}

}  // namespace

rpc::PeerHandlers Node::MakePeerHandlers() {
  rpc::PeerHandlers handlers;
  handlers.heartbeat = [this](const rpc::NodeView& view) {
    return membership_.OnHeartbeat(view);
  };
  handlers.forward = [this](rpc::ForwardRequest request, auto done) {
    gateway_.HandleForwarded(std::move(request), std::move(done));
  };
  handlers.push_config = [this](const rpc::ConfigDelta& delta) {
    return sync_.OnPush(delta);
  };
  handlers.config_since = [this](Revision since) { return sync_.Since(since); };
  handlers.ownership_snapshot = [this] {
    rpc::OwnershipSnapshot snapshot;
    for (const auto& owner : ownership_.Rows()) {
      snapshot.entries.push_back(ToEntry(owner));
    }
    snapshot.vms = ownership_.Vms();
    return snapshot;
  };
  handlers.push_ownership =
      [this](const std::vector<rpc::OwnershipEntry>& entries) {
        ownership_.AdoptRows(ToKnownOwners(entries));
      };
  scheduling_.AddHandlers(handlers);
  return handlers;
}

void Node::OnChangeAccepted(const Change& change) {
  if (store_.Install(change) == config::InstallResult::kGap) sync_.Poll();
  rpc::ConfigDelta delta;
  delta.revision = change.revision;
  delta.changes.push_back(change);
  for (const auto& [node, peer] : membership_.peers()) {
    if (peer.liveness == membership::Liveness::kDead) continue;
    peers_.PushConfig(peer.view.rpc_address, delta, kPushTimeout,
                      [](const Result<Revision>& /*revision*/) {});
  }
}

void Node::OnPeerHeartbeat(const rpc::NodeView& view) {
  sync_.OnPeerRevision(view.rpc_address, view.revision);
  gateway_.OnSlotAvailable();
  const MonotonicTime now = base::MonotonicNow();
  if (!ownership_.needs_peers() || now < next_ownership_pull_ ||
      view.state == rpc::NodeState::kStarting) {
    return;
  }
  next_ownership_pull_ = now + kOwnershipPullPeriod;
  peers_.FetchOwnership(
      view.rpc_address, kSnapshotTimeout,
      [this](const Result<rpc::OwnershipSnapshot>& snapshot_reply) {
        if (!snapshot_reply.ok()) return;
        ownership_.AdoptVms(snapshot_reply.value().vms);
        ownership_.AdoptRows(ToKnownOwners(snapshot_reply.value().entries));
      });
}

void Node::OnOwnerChanged(const ownership::KnownOwner& owner) {
  // Changes within one iteration of the event loop, for example those of a
  // committed transaction group, are sent in one push.
  changed_owners_.push_back(ToEntry(owner));
  if (changed_owners_.size() > 1) return;
  loop_.Post([this] {
    const auto entries = std::exchange(changed_owners_, {});
    for (const auto& [node, peer] : membership_.peers()) {
      if (peer.liveness == membership::Liveness::kDead) continue;
      peers_.PushOwnership(peer.view.rpc_address, entries, kPushTimeout,
                           [](const Result<Done>& /*done*/) {});
    }
  });
}

}  // namespace mangospread::app
