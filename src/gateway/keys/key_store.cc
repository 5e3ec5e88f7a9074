#include "gateway/keys/key_store.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::gateway {
namespace {

using table::WriteStatus;

}  // namespace

/// A request that waits for the result of KeyStore::Claim.
struct KeyStore::Waiter {
  KeyedRequest request;
  MonotonicTime deadline{0};
  std::function<void(ClaimResult)> done;
  /// The key was found to be claimed by another request. That request may have
  /// run, so the outcome cannot be reported as "not run".
  bool in_use = false;
  /// A claim of this process for the same key that was not yet committed when
  /// it was found.
  EntryPtr claim;
  Milliseconds poll_delay{0};
  base::Timer deadline_timer;
  base::Timer poll_timer;
};

/// A key that this process is claiming, holds, or is writing the result of.
struct KeyStore::Entry {
  enum class Phase : unsigned char { kClaiming, kHeld, kWriting, kReleasing };

  std::string row_key;
  KeyRow row;
  RowVersion version;
  Phase phase = Phase::kClaiming;
  /// The claim was granted, so its request may have been sent.
  bool granted = false;
  /// The request for which the claim was submitted.
  std::weak_ptr<Waiter> claimant;
  /// Callback of Release; empty once it has been called.
  std::function<void()> released;
  base::Timer release_timer;
  base::Timer retry_timer;
};

KeyStore::KeyStore(base::EventLoop& loop, KeyStoreOptions options, Table& table,
                   table::Writer& writer, HolderTerminated holder_terminated)
    : loop_(loop),
      options_(std::move(options)),
      table_(table),
      writer_(writer),
      holder_terminated_(std::move(holder_terminated)) {}

KeyStore::~KeyStore() { *alive_ = false; }

void KeyStore::Claim(const KeyedRequest& request, MonotonicTime deadline,
                     std::function<void(ClaimResult)> done) {
  auto waiter = std::make_shared<Waiter>();
  waiter->request = request;
  waiter->deadline = deadline;
  waiter->done = std::move(done);
  waiter->poll_delay = options_.initial_poll_delay;
  waiter->deadline_timer = loop_.After(deadline - base::MonotonicNow(),
                                       [this, weak = std::weak_ptr(waiter)] {
                                         if (const auto locked = weak.lock()) {
                                           Expire(locked);
                                         }
                                       });
  waiters_.insert(waiter);
  Proceed(waiter);
}

void KeyStore::Proceed(const WaiterPtr& waiter) {
  if (!waiter->done) return;
  if (waiter->claim != nullptr && waiter->claim->granted) waiter->in_use = true;
  const auto it = entries_.find(waiter->request.row_key);
  if (it != entries_.end()) return JoinEntry(waiter, it->second);
  if (waiter->in_use) return ReadRow(waiter);
  SubmitClaim(waiter);
}

void KeyStore::JoinEntry(const WaiterPtr& waiter, const EntryPtr& local_claim) {
  const Entry& claim = *local_claim;
  // The request of a claim that is being released did not run, so its
  // fingerprint is not compared.
  if (claim.phase == Entry::Phase::kReleasing) return Poll(waiter);
  if (claim.phase == Entry::Phase::kClaiming) {
    waiter->claim = local_claim;
    return Poll(waiter);
  }
  if (claim.row.fingerprint != waiter->request.fingerprint) {
    return Finish(waiter, {ClaimStatus::kMismatch, {}});
  }
  waiter->in_use = true;
  if (claim.phase != Entry::Phase::kWriting) return Poll(waiter);
  if (claim.row.state == KeyState::kAnswered) {
    return Finish(waiter, {ClaimStatus::kStored, claim.row.response});
  }
  Finish(waiter, {ClaimStatus::kUnknown, {}});
}

void KeyStore::SubmitClaim(const WaiterPtr& waiter) {
  auto claim = std::make_shared<Entry>();
  claim->row_key = waiter->request.row_key;
  claim->row.node = options_.node;
  claim->row.incarnation = options_.incarnation;
  claim->row.claimed_ms = base::WallMilliseconds();
  claim->row.fingerprint = waiter->request.fingerprint;
  claim->claimant = waiter;
  entries_[claim->row_key] = claim;
  Transaction transaction;
  transaction.conditions.push_back({claim->row_key, RowVersion()});
  transaction.writes.push_back({claim->row_key, EncodeKeyRow(claim->row)});
  writer_.Submit(std::move(transaction), [this, alive = alive_, waiter, claim](
                                             const table::WriteResult& result) {
    if (*alive) OnClaim(waiter, claim, result);
  });
}

void KeyStore::OnClaim(const WaiterPtr& waiter, const EntryPtr& claim,
                       const table::WriteResult& result) {
  if (result.status != WriteStatus::kCommitted) {
    entries_.erase(claim->row_key);
    if (!waiter->done) return;
    if (result.status != WriteStatus::kConflict) {
      return Finish(waiter, {UnclaimedStatus(*waiter), {}});
    }
    waiter->in_use = true;
    return ReadRow(waiter);
  }
  claim->version = result.version;
  claim->phase = Entry::Phase::kHeld;
  // The deadline passed before the claim was committed: nothing was sent.
  if (!waiter->done) return Release(claim->row_key, nullptr);
  claim->granted = true;
  Finish(waiter, {ClaimStatus::kGranted, {}});
}

void KeyStore::ReadRow(const WaiterPtr& waiter) {
  table_.Read(
      {{waiter->request.row_key}, {}},
      [this, alive = alive_, waiter](const Result<std::vector<Row>>& rows) {
        if (!*alive || !waiter->done) return;
        if (!rows.ok()) return Poll(waiter);
        if (!rows.value().empty()) {
          return OnRow(waiter, rows.value().front());
        }
        // The row does not exist: the holder released the key.
        waiter->in_use = false;
        Proceed(waiter);
      });
}

void KeyStore::OnRow(const WaiterPtr& waiter, const Row& row) {
  auto decoded = DecodeKeyRow(row);
  if (!decoded.ok()) return Finish(waiter, {ClaimStatus::kUnknown, {}});
  KeyRow& key = decoded.value();
  if (key.fingerprint != waiter->request.fingerprint) {
    return Finish(waiter, {ClaimStatus::kMismatch, {}});
  }
  if (key.state == KeyState::kAnswered) {
    return Finish(waiter, {ClaimStatus::kStored, std::move(key.response)});
  }
  // A row of this incarnation is read only while its result is being written.
  const bool own =
      key.node == options_.node && key.incarnation == options_.incarnation;
  if (key.state == KeyState::kUnknown ||
      (!own && holder_terminated_(key.node, key.incarnation))) {
    return Finish(waiter, {ClaimStatus::kUnknown, {}});
  }
  Poll(waiter);
}

void KeyStore::Poll(const WaiterPtr& waiter) {
  waiter->poll_timer =
      loop_.After(waiter->poll_delay, [this, weak = std::weak_ptr(waiter)] {
        if (const auto locked = weak.lock()) Proceed(locked);
      });
  waiter->poll_delay =
      std::min(2 * waiter->poll_delay, options_.max_poll_delay);
}

void KeyStore::ExpireClaims() {
  const std::set<WaiterPtr> waiters = waiters_;
  for (const WaiterPtr& waiter : waiters) Expire(waiter);
}

void KeyStore::Expire(const WaiterPtr& waiter) {
  if (!waiter->done) return;
  Finish(waiter, {UnclaimedStatus(*waiter), {}});
}

ClaimStatus KeyStore::UnclaimedStatus(const Waiter& waiter) {
  bool may_have_run = waiter.in_use;
  if (waiter.claim != nullptr) {
    // A claim whose caller has reached its deadline is released unused.
    const auto claimant = waiter.claim->claimant.lock();
    may_have_run = may_have_run || waiter.claim->granted ||
                   (claimant != nullptr && claimant->done);
  }
  return may_have_run ? ClaimStatus::kUnknown : ClaimStatus::kUnavailable;
}

void KeyStore::Finish(const WaiterPtr& waiter, ClaimResult result) {
  switch (result.status) {
    case ClaimStatus::kGranted:
      ++counters_.claimed;
      break;
    case ClaimStatus::kStored:
      ++counters_.replayed;
      break;
    case ClaimStatus::kUnknown:
      ++counters_.unknown;
      break;
    case ClaimStatus::kMismatch:
      ++counters_.mismatched;
      break;
    case ClaimStatus::kUnavailable:
      ++counters_.unavailable;
      break;
  }
  waiter->deadline_timer.reset();
  waiter->poll_timer.reset();
  waiters_.erase(waiter);
  std::exchange(waiter->done, nullptr)(std::move(result));
}

void KeyStore::Complete(const std::string& row_key,
                        const net::Response& response) {
  const auto it = entries_.find(row_key);
  if (it == entries_.end() || it->second->phase != Entry::Phase::kHeld) return;
  const EntryPtr claim = it->second;
  claim->row.state = KeyState::kUnknown;
  if (IsStorable(response)) {
    claim->row.state = KeyState::kAnswered;
    claim->row.response = response;
  }
  claim->phase = Entry::Phase::kWriting;
  WriteClaim(claim);
}

void KeyStore::MarkUnknown(const std::string& row_key) {
  const auto it = entries_.find(row_key);
  if (it == entries_.end() || it->second->phase != Entry::Phase::kHeld) return;
  const EntryPtr claim = it->second;
  claim->row.state = KeyState::kUnknown;
  claim->phase = Entry::Phase::kWriting;
  WriteClaim(claim);
}

void KeyStore::Release(const std::string& row_key, std::function<void()> done) {
  const auto it = entries_.find(row_key);
  if (it == entries_.end() || it->second->phase != Entry::Phase::kHeld) {
    if (done) done();
    return;
  }
  const EntryPtr claim = it->second;
  claim->phase = Entry::Phase::kReleasing;
  claim->granted = false;
  claim->released = std::move(done);
  claim->release_timer =
      loop_.After(options_.release_wait, [this, weak = std::weak_ptr(claim)] {
        if (const auto locked = weak.lock()) ReportDelay(*locked);
      });
  WriteClaim(claim);
}

void KeyStore::WriteClaim(const EntryPtr& claim) {
  Transaction transaction;
  transaction.conditions.push_back({claim->row_key, claim->version});
  transaction.writes.push_back({claim->row_key, std::nullopt});
  if (claim->phase == Entry::Phase::kWriting) {
    transaction.writes.back().value = EncodeKeyRow(claim->row);
  }
  writer_.Submit(std::move(transaction), [this, alive = alive_, claim](
                                             const table::WriteResult& result) {
    if (*alive) OnClaimWritten(claim, result);
  });
}

void KeyStore::OnClaimWritten(const EntryPtr& claim,
                              const table::WriteResult& result) {
  if (result.status == WriteStatus::kUnavailable ||
      result.status == WriteStatus::kRejected) {
    if (claim->phase == Entry::Phase::kReleasing) ReportDelay(*claim);
    claim->retry_timer =
        loop_.After(options_.retry_delay, [this, weak = std::weak_ptr(claim)] {
          if (const auto locked = weak.lock()) WriteClaim(locked);
        });
    return;
  }
  // A conflict means that the row was swept, so there is nothing left to write.
  entries_.erase(claim->row_key);
  if (claim->phase != Entry::Phase::kReleasing) return;
  ++counters_.released;
  claim->release_timer.reset();
  if (auto released = std::exchange(claim->released, nullptr)) released();
}

void KeyStore::ReportDelay(Entry& claim) {
  claim.release_timer.reset();
  auto released = std::exchange(claim.released, nullptr);
  if (!released) return;
  ++counters_.release_delayed;
  base::Log(base::Event::kKeyReleaseDelayed, {{"key", claim.row_key}});
  released();
}

}  // namespace mangospread::gateway
