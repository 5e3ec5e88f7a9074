#include "gateway/keys/key_store.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::gateway {
namespace {

using table::WriteStatus;

constexpr std::uint64_t kNanosPerMs = 1'000'000;

}  // namespace

/// A request that wants a key.
struct KeyStore::Waiter {
  KeyUse use;
  MonotonicTime deadline{0};
  std::function<void(ClaimResult)> done;
  /// Another request's claim was seen, so "not run" would be a guess.
  bool saw_claim = false;
  /// A claim of this process that was not decided yet when it was met.
  HeldPtr met;
  Milliseconds pause{0};
  base::Timer deadline_timer;
  base::Timer poll_timer;
};

/// A key that this process claims, holds or writes the result of.
struct KeyStore::Held {
  enum class Phase : unsigned char {
    kClaiming,
    kRunning,
    kWriting,
    kReleasing
  };

  std::string row_key;
  KeyRow row;
  RowVersion version;
  Phase phase = Phase::kClaiming;
  /// The request may have been sent.
  bool granted = false;
  std::weak_ptr<Waiter> claimant;
  std::function<void()> released;
  base::Timer release_timer;
  base::Timer retry_timer;
};

KeyStore::KeyStore(base::EventLoop& loop, KeyStoreOptions options, Table& table,
                   table::Writer& writer, HolderGone holder_gone)
    : loop_(loop),
      options_(std::move(options)),
      table_(table),
      writer_(writer),
      holder_gone_(std::move(holder_gone)) {}

KeyStore::~KeyStore() { *alive_ = false; }

void KeyStore::Claim(const KeyUse& use, MonotonicTime deadline,
                     std::function<void(ClaimResult)> done) {
  auto waiter = std::make_shared<Waiter>();
  waiter->use = use;
  waiter->deadline = deadline;
  waiter->done = std::move(done);
  waiter->pause = options_.poll_first;
  waiter->deadline_timer = loop_.After(deadline - base::MonotonicNow(),
                                       [this, weak = std::weak_ptr(waiter)] {
                                         if (const auto late = weak.lock()) {
                                           Expire(late);
                                         }
                                       });
  waiters_.insert(waiter);
  Proceed(waiter);
}

void KeyStore::Proceed(const WaiterPtr& waiter) {
  if (!waiter->done) return;
  if (waiter->met != nullptr && waiter->met->granted) waiter->saw_claim = true;
  const auto held = held_.find(waiter->use.row_key);
  if (held != held_.end()) return JoinHeld(waiter, held->second);
  if (waiter->saw_claim) return ReadRow(waiter);
  SubmitClaim(waiter);
}

void KeyStore::JoinHeld(const WaiterPtr& waiter, const HeldPtr& claim) {
  const Held& held = *claim;
  // A claim under release never ran, whatever request it was for.
  if (held.phase == Held::Phase::kReleasing) return Poll(waiter);
  if (held.phase == Held::Phase::kClaiming) {
    waiter->met = claim;
    return Poll(waiter);
  }
  if (held.row.fingerprint != waiter->use.fingerprint) {
    return Finish(waiter, {ClaimStatus::kMismatch, {}});
  }
  waiter->saw_claim = true;
  if (held.phase != Held::Phase::kWriting) return Poll(waiter);
  if (held.row.state == KeyState::kAnswered) {
    return Finish(waiter, {ClaimStatus::kStored, held.row.response});
  }
  Finish(waiter, {ClaimStatus::kUnknown, {}});
}

void KeyStore::SubmitClaim(const WaiterPtr& waiter) {
  auto held = std::make_shared<Held>();
  held->row_key = waiter->use.row_key;
  held->row.node = options_.node;
  held->row.incarnation = options_.incarnation;
  held->row.claimed_ms = base::WallNanoseconds() / kNanosPerMs;
  held->row.fingerprint = waiter->use.fingerprint;
  held->claimant = waiter;
  held_[held->row_key] = held;
  Transaction change;
  change.conditions.push_back({held->row_key, RowVersion()});
  change.writes.push_back({held->row_key, EncodeKeyRow(held->row)});
  writer_.Submit(std::move(change), [this, alive = alive_, waiter,
                                     held](const table::WriteResult& result) {
    if (*alive) OnClaim(waiter, held, result);
  });
}

void KeyStore::OnClaim(const WaiterPtr& waiter, const HeldPtr& held,
                       const table::WriteResult& result) {
  if (result.status != WriteStatus::kCommitted) {
    held_.erase(held->row_key);
    if (!waiter->done) return;
    if (result.status == WriteStatus::kUnavailable) {
      return Finish(waiter, {Unclaimed(*waiter), {}});
    }
    waiter->saw_claim = true;
    return ReadRow(waiter);
  }
  held->version = result.version;
  held->phase = Held::Phase::kRunning;
  // The deadline passed while the table took the claim: nothing was sent.
  if (!waiter->done) return Release(held->row_key, nullptr);
  held->granted = true;
  Finish(waiter, {ClaimStatus::kGranted, {}});
}

void KeyStore::ReadRow(const WaiterPtr& waiter) {
  table_.Read(
      {{waiter->use.row_key}, {}},
      [this, alive = alive_, waiter](const Result<std::vector<Row>>& rows) {
        if (!*alive || !waiter->done) return;
        if (!rows.ok()) return Poll(waiter);
        if (!rows.value().empty()) {
          return OnRow(waiter, rows.value().front());
        }
        // The holder released the key.
        waiter->saw_claim = false;
        Proceed(waiter);
      });
}

void KeyStore::OnRow(const WaiterPtr& waiter, const Row& row) {
  auto decoded = DecodeKeyRow(row);
  if (!decoded.ok()) return Finish(waiter, {ClaimStatus::kUnknown, {}});
  KeyRow& key = decoded.value();
  if (key.fingerprint != waiter->use.fingerprint) {
    return Finish(waiter, {ClaimStatus::kMismatch, {}});
  }
  if (key.state == KeyState::kAnswered) {
    return Finish(waiter, {ClaimStatus::kStored, std::move(key.response)});
  }
  // A claim of this very process is read only while its result is written.
  const bool own =
      key.node == options_.node && key.incarnation == options_.incarnation;
  if (key.state == KeyState::kUnknown ||
      (!own && holder_gone_(key.node, key.incarnation))) {
    return Finish(waiter, {ClaimStatus::kUnknown, {}});
  }
  Poll(waiter);
}

void KeyStore::Poll(const WaiterPtr& waiter) {
  waiter->poll_timer =
      loop_.After(waiter->pause, [this, weak = std::weak_ptr(waiter)] {
        if (const auto again = weak.lock()) Proceed(again);
      });
  waiter->pause = std::min(2 * waiter->pause, options_.poll_longest);
}

void KeyStore::Expire(const WaiterPtr& waiter) {
  if (!waiter->done) return;
  Finish(waiter, {Unclaimed(*waiter), {}});
}

ClaimStatus KeyStore::Unclaimed(const Waiter& waiter) {
  bool may_have_run = waiter.saw_claim;
  if (waiter.met != nullptr) {
    // A claim whose own caller has gone is released unused.
    const auto claimant = waiter.met->claimant.lock();
    may_have_run = may_have_run || waiter.met->granted ||
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
  const auto it = held_.find(row_key);
  if (it == held_.end() || it->second->phase != Held::Phase::kRunning) return;
  const HeldPtr held = it->second;
  held->row.state = KeyState::kUnknown;
  if (IsStorable(response)) {
    held->row.state = KeyState::kAnswered;
    held->row.response = response;
  }
  held->phase = Held::Phase::kWriting;
  Settle(held);
}

void KeyStore::MarkUnknown(const std::string& row_key) {
  const auto it = held_.find(row_key);
  if (it == held_.end() || it->second->phase != Held::Phase::kRunning) return;
  const HeldPtr held = it->second;
  held->row.state = KeyState::kUnknown;
  held->phase = Held::Phase::kWriting;
  Settle(held);
}

void KeyStore::Release(const std::string& row_key, std::function<void()> done) {
  const auto it = held_.find(row_key);
  if (it == held_.end() || it->second->phase != Held::Phase::kRunning) {
    if (done) done();
    return;
  }
  const HeldPtr held = it->second;
  held->phase = Held::Phase::kReleasing;
  held->granted = false;
  held->released = std::move(done);
  held->release_timer =
      loop_.After(options_.release_wait, [this, weak = std::weak_ptr(held)] {
        if (const auto late = weak.lock()) ReportUnreleased(*late);
      });
  Settle(held);
}

void KeyStore::Settle(const HeldPtr& held) {
  Transaction change;
  change.conditions.push_back({held->row_key, held->version});
  change.writes.push_back({held->row_key, std::nullopt});
  if (held->phase == Held::Phase::kWriting) {
    change.writes.back().value = EncodeKeyRow(held->row);
  }
  writer_.Submit(std::move(change), [this, alive = alive_,
                                     held](const table::WriteResult& result) {
    if (*alive) OnSettled(held, result);
  });
}

void KeyStore::OnSettled(const HeldPtr& held,
                         const table::WriteResult& result) {
  if (result.status == WriteStatus::kUnavailable) {
    if (held->phase == Held::Phase::kReleasing) ReportUnreleased(*held);
    held->retry_timer =
        loop_.After(options_.retry, [this, weak = std::weak_ptr(held)] {
          if (const auto again = weak.lock()) Settle(again);
        });
    return;
  }
  // A conflict means that the row was swept: nothing is left to write.
  held_.erase(held->row_key);
  if (held->phase != Held::Phase::kReleasing) return;
  ++counters_.released;
  held->release_timer.reset();
  if (auto released = std::exchange(held->released, nullptr)) released();
}

void KeyStore::ReportUnreleased(Held& held) {
  held.release_timer.reset();
  auto released = std::exchange(held.released, nullptr);
  if (!released) return;
  ++counters_.release_failed;
  base::Log(base::Event::kKeyReleaseDelayed, {{"key", held.row_key}});
  released();
}

}  // namespace mangospread::gateway
