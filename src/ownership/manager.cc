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
constexpr int kBackoffMaxShift = 5;

/// Claims refused for a held lease are repeated at the base period while a
/// lease that a dead owner left can still run, then four times as slowly: with
/// the lease of 3 s that still leaves half a second of the 5 s bound.
constexpr int kRefusalsPerStep = 4;
constexpr int kMaxLeaseHeldShift = 2;

NodeId FenceOwner(const ManagerOptions& options) {
  return NodeId(options.node.str() + "/" +
                std::to_string(options.incarnation.value()));
}

/// The epoch that a refusal names, or 0.
Epoch EpochOfRefusal(const Error& error) {
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
  tick_timer_ = loop_.Every(options_.tick, kTickJitter, [this] { Tick(); });
  refresh_timer_ =
      loop_.Every(options_.refresh, kTickJitter, [this] { RefreshRows(); });
  vm_timer_ = loop_.Every(options_.vm_list_period, kTickJitter,
                          [this] { RefreshVms(); });
  RefreshRows();
  RefreshVms();
}

void Manager::Tick() {
  const MonotonicTime now = base::MonotonicNow();
  const bool ready = !options_.is_ready || options_.is_ready();
  if (std::exchange(ready_, ready) != ready) ++view_version_;
  const bool yields = leaving_ || IsIsolated();
  bool stale = false;
  for (auto& [name, entry] : entries_) {
    stale = stale || entry->stale;
    if (entry->worker != nullptr) {
      entry->worker->SetYielding(yields);
      if (store_.IsDrained(name)) {
        entry->worker->StopNewWork();
      } else {
        entry->worker->ResumeNewWork();
      }
    }
    if (entry->retry_at <= now) Consider(*entry);
  }
  if (stale && table_answers_) RefreshRows();
  FinishHandOver();
}

void Manager::FinishHandOver() {
  if (!handed_over_) return;
  const bool has_successor = std::any_of(
      membership_.peers().begin(), membership_.peers().end(),
      [](const auto& item) {
        return item.second.liveness == membership::Liveness::kAlive &&
               item.second.view.state == rpc::NodeState::kReady;
      });
  if (owned_.empty() || !has_successor) {
    std::exchange(handed_over_, nullptr)();
  }
}

bool Manager::IsSelf(const OwnershipRow& row) const {
  return row.node == options_.node && row.incarnation == options_.incarnation;
}

bool Manager::IsCurrent(const Entry& entry) const {
  const auto it = entries_.find(entry.vm.name);
  return it != entries_.end() && it->second.get() == &entry;
}

bool Manager::TableDecides(const Entry& entry) const {
  const MonotonicTime now = base::MonotonicNow();
  if (!table_answers_ || now < writes_fail_until_) return false;
  return !entry.writing || now - entry.writing_since < options_.write_patience;
}

bool Manager::OwnerIsReplaced(const OwnershipRow& row) const {
  // An epoch without a node is known from a worker's refusal: somebody holds
  // it.
  if (row.node.empty()) return row.epoch == Epoch();
  if (row.node == options_.node) return true;
  const membership::Peer* peer = membership_.Find(row.node);
  return peer != nullptr && peer->view.incarnation > row.incarnation;
}

bool Manager::OwnerIsSilent(const OwnershipRow& row) const {
  if (row.node.empty()) return true;
  const membership::Peer* peer = membership_.Find(row.node);
  if (peer == nullptr) return HadTimeToHear();
  return peer->liveness == membership::Liveness::kDead;
}

bool Manager::OwnerYields(const Entry& entry) const {
  const membership::Peer* peer = membership_.Find(entry.latest().node);
  return peer != nullptr && peer->view.state == rpc::NodeState::kLeaving &&
         !(TableDecides(entry) && peer->view.table_reachable);
}

bool Manager::OwnerIsGone(const OwnershipRow& row) const {
  return OwnerIsReplaced(row) || OwnerIsSilent(row);
}

bool Manager::IsIsolated() const {
  return options_.is_isolated && options_.is_isolated();
}

bool Manager::HadTimeToHear() const {
  return base::MonotonicNow() - membership_.started() >
         options_.unheard_is_gone;
}

const NodeId& Manager::Propose(Entry& entry) const {
  if (entry.proposed_in == view_version_) return entry.proposed;
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
  entry.proposed =
      ProposeOwner(entry.vm.name, entry.vm.data_center, candidates);
  entry.proposed_in = view_version_;
  return entry.proposed;
}

void Manager::Consider(Entry& entry) {
  if (entry.claiming) return;
  if (entry.worker != nullptr) return ConsiderHeld(entry);
  if (!entry.listed || leaving_) return;
  const bool table_decides = TableDecides(entry);
  if (table_decides && (!entry.row_version || entry.stale)) return;
  const bool named = IsSelf(entry.row);
  const bool passed =
      entry.grant.epoch > entry.row.epoch ||
      (entry.grant.epoch == entry.row.epoch && !IsSelf(entry.grant));
  if (named && !passed) {
    return Claim(entry, entry.row.epoch, ClaimBasis::kTable);
  }
  // A row that names this node with an epoch that the worker has passed gives
  // no right to the worker; it needs a higher epoch first. Other nodes take the
  // last holder of an unrecorded grant for the owner while it lives, so it has
  // to act even when another node is proposed.
  const bool entitled =
      named ||
      ((OwnerIsGone(entry.latest()) || OwnerYields(entry)) &&
       (entry.last_held > entry.row.epoch || Propose(entry) == options_.node));
  if (!entitled) {
    entry.lease_refusals = 0;
    return;
  }
  if (table_decides && (named || OwnerIsReplaced(entry.latest()))) {
    if (!entry.writing) TakeOver(entry);
    return;
  }
  // Silence may come from a cut link between two live nodes, so it gives no
  // right to the row: both would take it in turn. The worker knows better, as
  // it refuses while its owner renews the lease. It also decides when the table
  // cannot.
  const bool may_ask = table_decides || options_.claim_without_table;
  if (may_ask && HadTimeToHear() && !IsIsolated()) {
    Claim(entry, entry.latest().epoch.next(), ClaimBasis::kLeaseExpired);
  }
}

void Manager::ConsiderHeld(Entry& entry) {
  const Epoch held = entry.worker->fence().epoch;
  const bool named = IsSelf(entry.row);
  if (named && entry.row.epoch > held) {
    return Claim(entry, entry.row.epoch, ClaimBasis::kTable);
  }
  if (!entry.row_version || entry.stale || entry.writing ||
      !TableDecides(entry)) {
    return;
  }
  if (entry.row.epoch < held) {
    return WriteRow(entry, {options_.node, options_.incarnation, held});
  }
  if (named) return ConsiderHandOver(entry);
  // The row names another node with this epoch or a higher one. That node
  // claims with a higher epoch and fences this one off, so that the worker is
  // served until then. If it is gone, this node takes the row over, whoever is
  // proposed: no other node is granted a worker whose lease is renewed.
  if (OwnerIsGone(entry.row)) TakeOver(entry);
}

void Manager::ConsiderHandOver(Entry& entry) {
  const NodeId& proposed = Propose(entry);
  if (proposed.empty() || proposed == options_.node) return;
  const membership::Peer* successor = membership_.Find(proposed);
  if (successor == nullptr) return;
  if (!leaving_ && !TakeMoveBudget()) return;
  // This node serves the worker until the successor's claim fences it off.
  WriteRow(entry, {successor->view.node, successor->view.incarnation,
                   entry.row.epoch.next()});
}

void Manager::TakeOver(Entry& entry) {
  const Epoch held =
      entry.worker == nullptr ? Epoch() : entry.worker->fence().epoch;
  base::Log(base::Event::kOwnershipProposed,
            {{"vm", entry.vm.name.str()},
             {"previous", entry.row.node.str()},
             {"epoch", entry.row.epoch.value()}});
  WriteRow(entry, {options_.node, options_.incarnation,
                   std::max(entry.latest().epoch, held).next()});
}

void Manager::Claim(Entry& entry, Epoch epoch, ClaimBasis basis) {
  entry.claiming = true;
  entry.claimant = entry.link.make_control();
  ++counters_.claims;
  entry.claimant->Claim({fence_owner_, epoch}, basis, options_.lease.lease,
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
  const bool granted = basis == ClaimBasis::kLeaseExpired;
  // A worker that grants a claim by itself chooses the epoch.
  const Epoch held = granted ? std::max(epoch, report.value().epoch) : epoch;
  if (granted) {
    ++counters_.grants;
    entry.grant = {options_.node, options_.incarnation, held};
  }
  Own(entry, held, report.value());
  if (granted) Announce(entry, entry.grant, false);
}

void Manager::OnRefused(Entry& entry, Epoch epoch, const Error& error) {
  ++counters_.claims_refused;
  const bool held = error.code == Errc::kLeaseHeld;
  // A link that stays cut repeats this refusal for as long.
  if (!held || entry.lease_refusals == 0) {
    base::Log(base::Event::kWorkerClaimRefused,
              {{"vm", entry.vm.name.str()},
               {"epoch", epoch.value()},
               {"error", ErrcName(error.code)},
               {"known", error.subject}});
  }
  if (held) {
    const int shift =
        std::min(entry.lease_refusals++ / kRefusalsPerStep, kMaxLeaseHeldShift);
    entry.retry_at =
        base::MonotonicNow() + options_.lease_held_retry * (1 << shift);
    return;
  }
  if (error.code == Errc::kStaleEpoch) {
    const Epoch known = std::max(epoch, EpochOfRefusal(error));
    // A worker that restarted may have granted this node's epoch once more, to
    // another node.
    const bool regranted = known == entry.grant.epoch && IsSelf(entry.grant);
    if (known > entry.grant.epoch || regranted) entry.grant = {{}, {}, known};
    entry.stale = true;
  }
  Backoff(entry);
}

void Manager::Own(Entry& entry, Epoch epoch, const WorkerReport& report) {
  DropWorker(entry);
  entry.failures = 0;
  entry.lease_refusals = 0;
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
  entry->last_held = entry->worker->fence().epoch;
  DropWorker(*entry);
  // Another node's claim is the usual reason, so the row is read again before
  // anything is decided.
  entry->stale = true;
  RefreshRows();
}

bool Manager::TakeMoveBudget() {
  const MonotonicTime now = base::MonotonicNow();
  const double elapsed =
      std::chrono::duration<double>(now - move_budget_time_).count();
  move_budget_time_ = now;
  move_budget_ = std::min(1.0 + options_.moves_per_second,
                          move_budget_ + elapsed * options_.moves_per_second);
  if (move_budget_ < 1) return false;
  move_budget_ -= 1;
  return true;
}

void Manager::HandOverAll(Milliseconds limit, std::function<void()> done) {
  leaving_ = true;
  ++view_version_;
  handed_over_ = std::move(done);
  leave_timer_ = loop_.After(limit, [this] {
    if (handed_over_) std::exchange(handed_over_, nullptr)();
  });
  Tick();
}

void Manager::DropWorker(Entry& entry) {
  if (entry.worker == nullptr) return;
  // Requests in progress keep the object alive; its renewals with the old epoch
  // would be refused and take the present claim for lost.
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

void Manager::Backoff(Entry& entry) {
  const int shift = std::min(entry.failures++, kBackoffMaxShift);
  entry.retry_at = base::MonotonicNow() + kBackoffBase * (1 << shift);
}

std::shared_ptr<OwnedWorker> Manager::FindOwned(const VmName& vm) const {
  const auto it = entries_.find(vm);
  return it == entries_.end() ? nullptr : it->second->worker;
}

}  // namespace mangospread::ownership
