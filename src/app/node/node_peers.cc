// What a node sends to its peers and answers them.
#include <utility>

#include "app/node/node.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::app {
namespace {

constexpr Milliseconds kPushTimeout{1'000};
constexpr Milliseconds kSnapshotTimeout{2'000};
/// While the table or the VM list is down, peers are asked this often.
constexpr MonotonicTime kOwnershipPullPeriod = std::chrono::seconds(2);

rpc::OwnershipEntry ToEntry(const ownership::KnownOwner& known) {
  return {known.vm, known.row.node, known.row.incarnation, known.row.epoch,
          known.version};
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
    for (const auto& known : ownership_.Rows()) {
      snapshot.entries.push_back(ToEntry(known));
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

void Node::OnAccepted(const Change& change) {
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

void Node::OnHeard(const rpc::NodeView& view) {
  sync_.OnPeerRevision(view.rpc_address, view.revision);
  gateway_.OnCapacity();
  const MonotonicTime now = base::MonotonicNow();
  if (!ownership_.needs_peers() || now < ownership_pull_at_ ||
      view.state == rpc::NodeState::kStarting) {
    return;
  }
  ownership_pull_at_ = now + kOwnershipPullPeriod;
  peers_.FetchOwnership(
      view.rpc_address, kSnapshotTimeout,
      [this](const Result<rpc::OwnershipSnapshot>& answer) {
        if (!answer.ok()) return;
        ownership_.AdoptVms(answer.value().vms);
        ownership_.AdoptRows(ToKnownOwners(answer.value().entries));
      });
}

void Node::OnOwnerChanged(const ownership::KnownOwner& known) {
  // Changes of one loop turn, for example of a committed group, share a push.
  changed_owners_.push_back(ToEntry(known));
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
