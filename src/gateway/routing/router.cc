#include "gateway/routing/router.hpp"

#include <utility>

#include "base/loop/clock.hpp"

namespace mangospread::gateway {
namespace {

/// Older advertisements are ignored, as they do not show the current number of
/// free slots.
constexpr MonotonicTime kMaxAdvertisementAge = std::chrono::seconds(1);

constexpr int kMinServerErrorStatus = 500;

AttemptResult Classify(const rpc::ForwardReply& reply) {
  if (reply.outcome != Outcome::kAnswered) return AttemptResult::kRefused;
  return reply.response.status >= kMinServerErrorStatus
             ? AttemptResult::kServerError
             : AttemptResult::kSuccess;
}

}  // namespace

Router::Router(const config::Store& store, ownership::Manager& ownership,
               membership::Membership& membership, DataCenter data_center)
    : store_(store),
      ownership_(ownership),
      membership_(membership),
      data_center_(std::move(data_center)),
      random_(std::random_device{}()),
      backoff_({}, base::MonotonicNow, [this] {
        return std::uniform_real_distribution<double>()(random_);
      }) {
  membership_.heartbeat_received().connect(
      [this](const rpc::NodeView& view) { OnHeartbeat(view); });
}

bool Router::IsUsable(const ownership::OwnedWorker& worker,
                      const ServiceSpec& service) const {
  return worker.vm().pool == service.pool && worker.free_slots() > 0 &&
         backoff_.MayUse(worker.vm().name);
}

const std::shared_ptr<ownership::OwnedWorker>* Router::PickUsable(
    const ServiceSpec& service, bool same_data_center) {
  const auto& owned = ownership_.owned();
  const std::size_t start = random_() % owned.size();
  for (std::size_t i = 0; i < owned.size(); ++i) {
    const auto& worker = owned[(start + i) % owned.size()];
    if (same_data_center && worker->vm().data_center != data_center_) continue;
    if (IsUsable(*worker, service)) return &worker;
  }
  return nullptr;
}

std::shared_ptr<ownership::OwnedWorker> Router::PickLocal(
    const ServiceSpec& service) {
  if (ownership_.owned().empty()) return nullptr;
  bool same_data_center = true;
  const auto* first = PickUsable(service, same_data_center);
  if (first == nullptr) {
    same_data_center = false;
    first = PickUsable(service, same_data_center);
  }
  if (first == nullptr) return nullptr;
  const auto* second = PickUsable(service, same_data_center);
  return (*second)->occupied_slots() < (*first)->occupied_slots() ? *second
                                                                  : *first;
}

std::optional<PeerChoice> Router::PickPeer(const ServiceName& service,
                                           const std::set<NodeId>& tried) {
  const MonotonicTime now = base::MonotonicNow();
  using Candidates = std::vector<std::pair<int, const membership::Peer*>>;
  Candidates same_data_center;
  Candidates other_data_centers;
  for (const auto& [node, peer] : membership_.peers()) {
    if (peer.liveness != membership::Liveness::kAlive || tried.contains(node)) {
      continue;
    }
    const auto entry = peer_slots_.find(node);
    if (entry == peer_slots_.end()) continue;
    const auto slots = entry->second.find(service);
    if (slots == entry->second.end() || slots->second.free() <= 0 ||
        now - slots->second.received_at > kMaxAdvertisementAge) {
      continue;
    }
    auto& list = peer.view.data_center == data_center_ ? same_data_center
                                                       : other_data_centers;
    list.emplace_back(slots->second.free(), &peer);
  }
  const Candidates& candidates =
      same_data_center.empty() ? other_data_centers : same_data_center;
  if (candidates.empty()) return std::nullopt;
  const auto& first = candidates[random_() % candidates.size()];
  const auto& second = candidates[random_() % candidates.size()];
  const auto& chosen = first.first >= second.first ? first : second;
  return PeerChoice{chosen.second->view.node, chosen.second->view.rpc_address};
}

void Router::OnForwardStarted(const NodeId& node, const ServiceName& service) {
  ++peer_slots_[node][service].in_flight;
}

void Router::OnForwardEnded(const NodeId& node, const ServiceName& service) {
  --peer_slots_[node][service].in_flight;
}

void Router::OnForwardFailed(const NodeId& node, const ServiceName& service) {
  PeerSlots& entry = peer_slots_[node][service];
  entry.available = std::min(entry.available, entry.in_flight);
}

void Router::OnResult(const VmName& vm, const rpc::ForwardReply& reply) {
  const auto& owned = ownership_.owned();
  const AttemptResult result = Classify(reply);
  backoff_.OnResult(vm, result, owned.size());
  if (result == AttemptResult::kSuccess) return;
  backoff_.Prune([this](const VmName& name) {
    return ownership_.FindOwned(name) != nullptr;
  });
}

void Router::OnHeartbeat(const rpc::NodeView& view) {
  auto& slots = peer_slots_[view.node];
  for (auto& [service, entry] : slots) entry.available = 0;
  const MonotonicTime now = base::MonotonicNow();
  for (const auto& advertised : view.free_slots) {
    PeerSlots& entry = slots[advertised.service];
    entry.available = advertised.free + entry.in_flight;
    entry.received_at = now;
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
      if (IsUsable(*worker, spec)) free += worker->free_slots();
    }
    // Zero is advertised too: slots occupied by requests that a peer forwarded
    // become free for that peer when those requests end.
    if (owns_any) list.push_back({name, free});
  }
  return list;
}

int Router::LocalSlots(const ServiceSpec& service) const {
  int slots = 0;
  for (const auto& worker : ownership_.owned()) {
    if (worker->vm().pool == service.pool && worker->accepts_work()) {
      slots += worker->vm().capacity.slots;
    }
  }
  return slots;
}

}  // namespace mangospread::gateway
