#include "gateway/routing/router.hpp"

#include <utility>

#include "base/loop/clock.hpp"

namespace mangospread::gateway {
namespace {

/// An older advertisement says nothing about free slots.
constexpr MonotonicTime kMaxAdvertisementAge = std::chrono::seconds(1);

constexpr int kServerError = 500;

SendVerdict Judge(const rpc::ForwardReply& reply) {
  if (reply.outcome != Outcome::kAnswered) return SendVerdict::kRefused;
  return reply.response.status >= kServerError ? SendVerdict::kError
                                               : SendVerdict::kGood;
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
  membership_.heard().connect(
      [this](const rpc::NodeView& view) { OnHeard(view); });
}

bool Router::IsUsable(const ownership::OwnedWorker& worker,
                      const ServiceSpec& service) const {
  return worker.vm().pool == service.pool && worker.free_slots() > 0 &&
         backoff_.MayUse(worker.vm().name);
}

const std::shared_ptr<ownership::OwnedWorker>* Router::PickFrom(
    const ServiceSpec& service, bool near) {
  const auto& owned = ownership_.owned();
  const std::size_t start = random_() % owned.size();
  for (std::size_t i = 0; i < owned.size(); ++i) {
    const auto& worker = owned[(start + i) % owned.size()];
    if (near && worker->vm().data_center != data_center_) continue;
    if (IsUsable(*worker, service)) return &worker;
  }
  return nullptr;
}

std::shared_ptr<ownership::OwnedWorker> Router::PickLocal(
    const ServiceSpec& service) {
  if (ownership_.owned().empty()) return nullptr;
  bool near = true;
  const auto* first = PickFrom(service, near);
  if (first == nullptr) {
    near = false;
    first = PickFrom(service, near);
  }
  if (first == nullptr) return nullptr;
  const auto* second = PickFrom(service, near);
  return (*second)->occupied_slots() < (*first)->occupied_slots() ? *second
                                                                  : *first;
}

std::optional<PeerChoice> Router::PickPeer(const ServiceName& service,
                                           const std::set<NodeId>& tried) {
  const MonotonicTime now = base::MonotonicNow();
  using Candidates = std::vector<std::pair<int, const membership::Peer*>>;
  Candidates near;
  Candidates far;
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
    auto& list = peer.view.data_center == data_center_ ? near : far;
    list.emplace_back(slots->second.free(), &peer);
  }
  const Candidates& candidates = near.empty() ? far : near;
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

void Router::OnForwardFailed(const NodeId& node, const ServiceName& service) {
  Advertised& known = advertised_[node][service];
  known.available = std::min(known.available, known.forwards);
}

void Router::OnResult(const VmName& vm, const rpc::ForwardReply& reply) {
  const auto& owned = ownership_.owned();
  const SendVerdict verdict = Judge(reply);
  backoff_.OnResult(vm, verdict, owned.size());
  if (verdict == SendVerdict::kGood) return;
  backoff_.Prune([this](const VmName& name) {
    return ownership_.FindOwned(name) != nullptr;
  });
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
      if (IsUsable(*worker, spec)) free += worker->free_slots();
    }
    // Zero is advertised too: slots that a peer's own forwards occupy become
    // free for that peer when they end.
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
