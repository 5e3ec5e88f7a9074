#include "gateway/router.hpp"

#include <vector>

#include "base/clock.hpp"

namespace mangospread::gateway {
namespace {

/// An older advertisement says nothing about free slots.
constexpr MonotonicTime kMaxAdvertisementAge = std::chrono::seconds(1);

}  // namespace

Router::Router(const config::Store& store, ownership::Manager& ownership,
               membership::Membership& membership)
    : store_(store),
      ownership_(ownership),
      membership_(membership),
      random_(std::random_device{}()) {
  membership_.heard().connect(
      [this](const rpc::NodeView& view) { OnHeard(view); });
}

std::shared_ptr<ownership::OwnedWorker> Router::PickLocal(
    const ServiceSpec& service) {
  const auto& owned = ownership_.owned();
  if (owned.empty()) return nullptr;
  const std::size_t start = random_() % owned.size();
  std::shared_ptr<ownership::OwnedWorker> best;
  int seen = 0;
  for (std::size_t i = 0; i < owned.size() && seen < 2; ++i) {
    const auto& worker = owned[(start + i) % owned.size()];
    if (worker->vm().pool != service.pool || worker->free_slots() == 0) {
      continue;
    }
    ++seen;
    if (best == nullptr || worker->occupied_slots() < best->occupied_slots()) {
      best = worker;
    }
  }
  return best;
}

std::optional<PeerChoice> Router::PickPeer(const ServiceName& service,
                                           const std::set<NodeId>& tried) {
  const MonotonicTime now = base::MonotonicNow();
  std::vector<std::pair<int, const membership::Peer*>> candidates;
  for (const auto& [node, peer] : membership_.peers()) {
    if (peer.liveness != membership::Liveness::kAlive || tried.contains(node)) {
      continue;
    }
    const auto known = advertised_.find(node);
    if (known == advertised_.end()) continue;
    const auto slots = known->second.find(service);
    if (slots == known->second.end() || slots->second.free() <= 0 ||
        now - slots->second.at > kMaxAdvertisementAge) {
      continue;
    }
    candidates.emplace_back(slots->second.free(), &peer);
  }
  if (candidates.empty()) return std::nullopt;
  const auto& first = candidates[random_() % candidates.size()];
  const auto& second = candidates[random_() % candidates.size()];
  const auto& chosen = first.first >= second.first ? first : second;
  return PeerChoice{chosen.second->view.node, chosen.second->view.rpc_address};
}

void Router::OnForwardStarted(const NodeId& node, const ServiceName& service) {
  ++advertised_[node][service].forwards;
}

void Router::OnForwardEnded(const NodeId& node, const ServiceName& service) {
  --advertised_[node][service].forwards;
}

void Router::OnHeard(const rpc::NodeView& view) {
  auto& slots = advertised_[view.node];
  for (auto& [service, known] : slots) known.available = 0;
  const MonotonicTime now = base::MonotonicNow();
  for (const auto& advertised : view.free_slots) {
    Advertised& known = slots[advertised.service];
    known.available = advertised.free + known.forwards;
    known.at = now;
  }
}

std::vector<rpc::FreeSlots> Router::FreeSlots() const {
  std::vector<rpc::FreeSlots> list;
  for (const auto& [name, spec] : store_.services()) {
    int free = 0;
    bool owns_any = false;
    for (const auto& worker : ownership_.owned()) {
      if (worker->vm().pool != spec.pool) continue;
      owns_any = true;
      free += worker->free_slots();
    }
    // Zero is advertised too: slots that a peer's own forwards occupy become
    // free for that peer when they end.
    if (owns_any) list.push_back({name, free});
  }
  return list;
}

}  // namespace mangospread::gateway
