#include "ownership/manager.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "ownership/manager_entry.hpp"
#include "ownership/rendezvous.hpp"

namespace mangospread::ownership {
namespace {

constexpr double kTickJitter = 0.2;
constexpr MonotonicTime kBackoffBase = std::chrono::milliseconds(100);
constexpr int kMaxBackoffShift = 5;

/// Claims refused because the lease has not expired are retried at the base
/// delay while the lease of a dead owner can still be valid, then at two and
/// later at four times that delay. With a lease of 3 s, this leaves half a
/// second of the 5 s within which a dead owner must be replaced.
constexpr int kRefusalsPerStep = 4;
constexpr int kMaxLeaseHeldShift = 2;

NodeId FenceOwner(const ManagerOptions& options) {
  return NodeId(options.node.str() + "/" +
                std::to_string(options.incarnation.value()));
}

/// The epoch given in a refusal, or 0 if there is none.
Epoch EpochFromRefusal(const Error& error) {
  std::uint64_t epoch = 0;
  const char* first = error.subject.data();
  std::from_chars(first, first + error.subject.size(), epoch);
  return Epoch(epoch);
}

}  // namespace

Manager::Manager(base::EventLoop& loop, ManagerOptions options, Table& table,
                 table::Writer& writer, VmList& vm_list,
                 membership::Membership& membership, const config::Store& store,
                 LinkFactory make_link)
    : loop_(loop),
      options_(std::move(options)),
      table_(table),
      writer_(writer),
      vm_list_(vm_list),
      membership_(membership),
      store_(store),
      make_link_(std::move(make_link)),
      fence_owner_(FenceOwner(options_)) {
  membership_.changed().connect([this, alive = alive_](const auto& /*peer*/) {
    if (*alive) ++view_version_;
  });
}

Manager::~Manager() { *alive_ = false; }

void Manager::Start() {
  tick_timer_ =
      loop_.Every(options_.tick_period, kTickJitter, [this] { Tick(); });
  refresh_timer_ = loop_.Every(options_.refresh_period, kTickJitter,
                               [this] { RefreshRows(); });
  vm_list_timer_ = loop_.Every(options_.vm_list_period, kTickJitter,
                               [this] { RefreshVms(); });
  RefreshRows();
  RefreshVms();
}

void Manager::Tick() {
  const MonotonicTime now = base::MonotonicNow();
  const bool ready = !options_.is_ready || options_.is_ready();
  if (std::exchange(ready_, ready) != ready) ++view_version_;
  const bool yielding = leaving_ || IsIsolated();
  bool stale = false;
  for (auto& [name, entry] : entries_) {
    stale = stale || entry->stale;
    if (entry->worker != nullptr) {
      entry->worker->SetYielding(yielding);
      if (store_.IsDrained(name)) {
        entry->worker->StopNewWork();
      } else {
        entry->worker->ResumeNewWork();
      }
    }
    if (entry->retry_at <= now) Reconcile(*entry);
  }
  if (stale && table_reachable_) RefreshRows();
  FinishHandOver();
}

void Manager::FinishHandOver() {
  if (!on_handed_over_) return;
  const bool has_successor = std::any_of(
      membership_.peers().begin(), membership_.peers().end(),
      [](const auto& item) {
        return item.second.liveness == membership::Liveness::kAlive &&
               item.second.view.state == rpc::NodeState::kReady;
      });
  if (owned_.empty() || !has_successor) {
    std::exchange(on_handed_over_, nullptr)();
  }
}

bool Manager::IsSelf(const OwnershipRow& row) const {
  return row.node == options_.node && row.incarnation == options_.incarnation;
}

bool Manager::IsCurrent(const Entry& entry) const {
  const auto it = entries_.find(entry.vm.name);
  return it != entries_.end() && it->second.get() == &entry;
}

bool Manager::CanUseTable(const Entry& entry) const {
  const MonotonicTime now = base::MonotonicNow();
  if (!table_reachable_ || now < writes_suspended_until_) return false;
  return !entry.writing ||
         now - entry.write_started_at < options_.max_write_wait;
}

bool Manager::OwnerIsReplaced(const OwnershipRow& row) const {
  // An epoch without a node comes from a worker's refusal: some node owns the
  // worker under that epoch.
  if (row.node.empty()) return row.epoch == Epoch();
  if (row.node == options_.node) return true;
  const membership::Peer* peer = membership_.Find(row.node);
  return peer != nullptr && peer->view.incarnation > row.incarnation;
}

bool Manager::OwnerIsUnreachable(const OwnershipRow& row) const {
  if (row.node.empty()) return true;
  const membership::Peer* peer = membership_.Find(row.node);
  if (peer == nullptr) return DiscoveryPeriodElapsed();
  return peer->liveness == membership::Liveness::kDead;
}

bool Manager::OwnerIsYielding(const Entry& entry) const {
  const membership::Peer* peer = membership_.Find(entry.latest().node);
  return peer != nullptr && peer->view.state == rpc::NodeState::kLeaving &&
         !(CanUseTable(entry) && peer->view.table_reachable);
}

bool Manager::OwnerIsUnavailable(const OwnershipRow& row) const {
  return OwnerIsReplaced(row) || OwnerIsUnreachable(row);
}

bool Manager::IsIsolated() const {
  return options_.is_isolated && options_.is_isolated();
}

bool Manager::DiscoveryPeriodElapsed() const {
  return base::MonotonicNow() - membership_.started() >
         options_.discovery_period;
}

const NodeId& Manager::Propose(Entry& entry) const {
  if (entry.proposal_view_version == view_version_) return entry.proposed_owner;
  std::vector<Candidate> candidates;
  if (ready_ && !leaving_) {
    candidates.push_back({options_.node, options_.data_center});
  }
  for (const auto& [node, peer] : membership_.peers()) {
    if (peer.liveness == membership::Liveness::kAlive &&
        peer.view.state == rpc::NodeState::kReady) {
      candidates.push_back({node, peer.view.data_center});
    }
  }
  entry.proposed_owner =
      ProposeOwner(entry.vm.name, entry.vm.data_center, candidates);
  entry.proposal_view_version = view_version_;
  return entry.proposed_owner;
}

void Manager::Reconcile(Entry& entry) {
  if (entry.claiming) return;
  if (entry.worker != nullptr) return ReconcileOwned(entry);
  if (!entry.listed || leaving_) return;
  const bool can_use_table = CanUseTable(entry);
  if (can_use_table && (!entry.row_version || entry.stale)) return;
  const bool row_names_self = IsSelf(entry.row);
  const bool row_superseded =
      entry.grant.epoch > entry.row.epoch ||
      (entry.grant.epoch == entry.row.epoch && !IsSelf(entry.grant));
  if (row_names_self && !row_superseded) {
    return Claim(entry, entry.row.epoch, ClaimBasis::kTable);
  }
  // A row that names this node does not entitle it to a worker that has granted
  // a higher epoch since, or the same epoch to another node; the row needs a
  // higher epoch first. Other nodes treat the last owner under an unrecorded
  // grant as the owner while it is alive, so that node must act even when
  // another node is proposed.
  const bool may_take_over =
      row_names_self ||
      ((OwnerIsUnavailable(entry.latest()) || OwnerIsYielding(entry)) &&
       (entry.last_owned_epoch > entry.row.epoch ||
        Propose(entry) == options_.node));
  if (!may_take_over) {
    entry.lease_held_refusals = 0;
    return;
  }
  if (can_use_table && (row_names_self || OwnerIsReplaced(entry.latest()))) {
    if (!entry.writing) TakeOver(entry);
    return;
  }
  // Heartbeats may be missing because of a broken link between two live nodes,
  // so their absence does not justify a takeover through the table: both nodes
  // would take over the row in turn. The worker can distinguish a dead owner
  // from a live one, because it refuses claims while its owner renews the
  // lease. It also decides while the table is unavailable.
  const bool may_claim_directly = can_use_table || options_.claim_without_table;
  if (may_claim_directly && DiscoveryPeriodElapsed() && !IsIsolated()) {
    Claim(entry, entry.latest().epoch.next(), ClaimBasis::kLeaseExpired);
  }
}

void Manager::ReconcileOwned(Entry& entry) {
  const Epoch owned_epoch = entry.worker->fence().epoch;
  const bool row_names_self = IsSelf(entry.row);
  if (row_names_self && entry.row.epoch > owned_epoch) {
    return Claim(entry, entry.row.epoch, ClaimBasis::kTable);
  }
  if (!entry.row_version || entry.stale || entry.writing ||
      !CanUseTable(entry)) {
    return;
  }
  if (entry.row.epoch < owned_epoch) {
    return WriteRow(entry, {options_.node, options_.incarnation, owned_epoch});
  }
  if (row_names_self) return MaybeHandOver(entry);
  // The row names another node with this epoch or a higher one. That node will
  // claim with a higher epoch and fence off this one, which serves the worker
  // until then. If that node is unavailable, this one takes over the row,
  // whichever node is proposed: no other node is granted a worker whose lease
  // is being renewed.
  if (OwnerIsUnavailable(entry.row)) TakeOver(entry);
}

void Manager::MaybeHandOver(Entry& entry) {
  const NodeId& proposed = Propose(entry);
  if (proposed.empty() || proposed == options_.node) return;
  const membership::Peer* successor = membership_.Find(proposed);
  if (successor == nullptr) return;
  if (!leaving_ && !ConsumeMoveBudget()) return;
  // This node serves the worker until the successor's claim fences it off.
  WriteRow(entry, {successor->view.node, successor->view.incarnation,
                   entry.row.epoch.next()});
}

void Manager::TakeOver(Entry& entry) {
  const Epoch owned_epoch =
      entry.worker == nullptr ? Epoch() : entry.worker->fence().epoch;
  base::Log(base::Event::kOwnershipProposed,
            {{"vm", entry.vm.name.str()},
             {"previous", entry.row.node.str()},
             {"epoch", entry.row.epoch.value()}});
  WriteRow(entry, {options_.node, options_.incarnation,
                   std::max(entry.latest().epoch, owned_epoch).next()});
}

void Manager::Claim(Entry& entry, Epoch epoch, ClaimBasis basis) {
  entry.claiming = true;
  entry.claim_client = entry.link.make_control();
  ++counters_.claims;
  entry.claim_client->Claim(
      {fence_owner_, epoch}, basis, options_.lease.lease,
      [this, shared = entry.shared_from_this(), epoch, basis,
       alive = alive_](const Result<WorkerReport>& report) {
        if (!*alive) return;
        shared->claiming = false;
        if (!IsCurrent(*shared)) return;
        OnClaimed(*shared, epoch, basis, report);
      });
}

void Manager::OnClaimed(Entry& entry, Epoch epoch, ClaimBasis basis,
                        const Result<WorkerReport>& report) {
  if (!report.ok()) return OnRefused(entry, epoch, report.error());
  const bool granted_by_worker = basis == ClaimBasis::kLeaseExpired;
  // A worker that grants a claim without a table record chooses the epoch.
  const Epoch granted_epoch =
      granted_by_worker ? std::max(epoch, report.value().epoch) : epoch;
  if (granted_by_worker) {
    ++counters_.grants;
    entry.grant = {options_.node, options_.incarnation, granted_epoch};
  }
  AddOwnedWorker(entry, granted_epoch, report.value());
  if (granted_by_worker) Announce(entry, entry.grant, false);
}

void Manager::OnRefused(Entry& entry, Epoch epoch, const Error& error) {
  ++counters_.claims_refused;
  const bool lease_held = error.code == Errc::kLeaseHeld;
  // Consecutive refusals because of the lease are logged only once, as they
  // repeat while a link between nodes is broken.
  if (!lease_held || entry.lease_held_refusals == 0) {
    base::Log(base::Event::kWorkerClaimRefused,
              {{"vm", entry.vm.name.str()},
               {"epoch", epoch.value()},
               {"error", ErrcName(error.code)},
               {"known", error.subject}});
  }
  if (lease_held) {
    const int shift = std::min(entry.lease_held_refusals++ / kRefusalsPerStep,
                               kMaxLeaseHeldShift);
    entry.retry_at =
        base::MonotonicNow() + options_.lease_held_retry_delay * (1 << shift);
    return;
  }
  if (error.code == Errc::kStaleEpoch) {
    const Epoch known = std::max(epoch, EpochFromRefusal(error));
    // A restarted worker may have granted this node's epoch again, to another
    // node.
    const bool regranted = known == entry.grant.epoch && IsSelf(entry.grant);
    if (known > entry.grant.epoch || regranted) entry.grant = {{}, {}, known};
    entry.stale = true;
  }
  ScheduleRetry(entry);
}

void Manager::AddOwnedWorker(Entry& entry, Epoch epoch,
                             const WorkerReport& report) {
  RemoveOwnedWorker(entry);
  entry.failures = 0;
  entry.lease_held_refusals = 0;
  entry.worker = std::make_shared<OwnedWorker>(
      loop_, entry.vm, Fence{fence_owner_, epoch}, entry.link.make_control(),
      entry.link.requests, options_.lease,
      [this, weak = entry.weak_from_this(), alive = alive_] {
        const EntryPtr shared = weak.lock();
        if (*alive && shared != nullptr) OnWorkerLost(shared);
      });
  entry.worker->OnSlotFree([this] { slot_free_.emit(); });
  entry.worker->Start(report);
  RebuildOwned();
  base::Log(base::Event::kWorkerClaimed,
            {{"vm", entry.vm.name.str()},
             {"epoch", epoch.value()},
             {"in_flight", report.in_flight.size()},
             {"recorded", IsSelf(entry.row) && entry.row.epoch == epoch}});
  slot_free_.emit();
}

void Manager::OnWorkerLost(const EntryPtr& entry) {
  entry->last_owned_epoch = entry->worker->fence().epoch;
  RemoveOwnedWorker(*entry);
  // The usual cause is another node's claim, so the row is read again before
  // the next decision.
  entry->stale = true;
  RefreshRows();
}

bool Manager::ConsumeMoveBudget() {
  move_budget_.Refill(options_.max_moves_per_second,
                      1.0 + options_.max_moves_per_second,
                      base::MonotonicNow());
  return move_budget_.Take();
}

void Manager::HandOverAll(Milliseconds limit, std::function<void()> done) {
  leaving_ = true;
  ++view_version_;
  on_handed_over_ = std::move(done);
  hand_over_timer_ = loop_.After(limit, [this] {
    if (on_handed_over_) std::exchange(on_handed_over_, nullptr)();
  });
  Tick();
}

void Manager::RemoveOwnedWorker(Entry& entry) {
  if (entry.worker == nullptr) return;
  // Requests in progress keep the object alive. Its renewals with the old epoch
  // would be refused and reported as a loss of the present claim.
  entry.worker->Retire();
  entry.link.requests->CloseIdle();
  entry.worker.reset();
  RebuildOwned();
}

void Manager::RebuildOwned() {
  owned_.clear();
  for (const auto& [name, entry] : entries_) {
    if (entry->worker != nullptr) owned_.push_back(entry->worker);
  }
}

void Manager::ScheduleRetry(Entry& entry) {
  const int shift = std::min(entry.failures++, kMaxBackoffShift);
  entry.retry_at = base::MonotonicNow() + kBackoffBase * (1 << shift);
}

std::shared_ptr<OwnedWorker> Manager::FindOwned(const VmName& vm) const {
  const auto it = entries_.find(vm);
  return it == entries_.end() ? nullptr : it->second->worker;
}

}  // namespace mangospread::ownership
