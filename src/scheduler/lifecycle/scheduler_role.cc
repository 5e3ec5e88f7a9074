#include "scheduler/lifecycle/scheduler_role.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::scheduler {
namespace {

/// Nodes detect a dead holder at about the same time; the jitter lets one of
/// them write before the others.
constexpr double kJitter = 0.3;

}  // namespace

SchedulerRole::SchedulerRole(base::EventLoop& loop, RoleOptions options,
                             Table& table, table::Writer& writer,
                             std::function<bool(const RoleRow&)> holder_dead,
                             std::function<bool()> is_eligible)
    : loop_(loop),
      options_(std::move(options)),
      table_(table),
      writer_(writer),
      holder_dead_(std::move(holder_dead)),
      is_eligible_(std::move(is_eligible)),
      key_(RoleRowKey(options_.cell)) {}

SchedulerRole::~SchedulerRole() { *alive_ = false; }

void SchedulerRole::Start() {
  timer_ = loop_.Every(options_.period, kJitter, [this] { Refresh(); });
  Refresh();
}

Condition SchedulerRole::condition() const { return {key_, version_}; }

bool SchedulerRole::IsConfirmed() const noexcept {
  return held_ &&
         base::MonotonicNow() - confirmed_at_ < options_.max_confirmation_age;
}

void SchedulerRole::Refresh() {
  if (reading_) return;
  reading_ = true;
  const MonotonicTime requested_at = base::MonotonicNow();
  table_.Read({{key_}, {}},
              [this, requested_at, alive = alive_](const auto& rows) {
                if (!*alive) return;
                reading_ = false;
                OnRow(rows, requested_at);
              });
}

void SchedulerRole::OnRow(const Result<std::vector<Row>>& rows,
                          MonotonicTime requested_at) {
  if (!rows.ok()) return;
  if (rows.value().empty()) {
    // The row is never deleted, so a read without it is older than any version
    // that was read or written before.
    if (version_ != RowVersion()) return;
  } else {
    const Row& row = rows.value().front();
    // A write of this node committed after the read.
    if (row.version < version_) return;
    const auto decoded = DecodeRole(row);
    if (!decoded.ok()) return;
    const bool changed = row.version != version_;
    row_ = decoded.value();
    version_ = row.version;
    if (held_ && changed) {
      BackOffAfterLoss();
      MarkLost();
    }
  }
  if (held_) {
    confirmed_at_ = requested_at;
    return;
  }
  if (!writing_ && !released_ && is_eligible_() &&
      (row_.node.empty() ||
       (holder_dead_(row_) && base::MonotonicNow() >= backoff_until_))) {
    Acquire();
  }
}

void SchedulerRole::Acquire() {
  const RoleRow next{options_.node, options_.incarnation, row_.epoch.next()};
  const std::string previous = row_.node.str();
  const MonotonicTime requested_at = base::MonotonicNow();
  Write(next, [this, next, previous, requested_at](const auto& result) {
    if (result.status != table::WriteStatus::kCommitted) return Refresh();
    // The row of a later holder may have been read before this reply arrived.
    if (result.version < version_) return;
    row_ = next;
    version_ = result.version;
    held_ = true;
    confirmed_at_ = requested_at;
    acquired_at_ = base::MonotonicNow();
    base::Log(base::Event::kSchedulerActive, {{"cell", options_.cell},
                                              {"epoch", next.epoch.value()},
                                              {"previous", previous}});
    acquired_.emit();
  });
}

void SchedulerRole::Release(std::function<void()> done) {
  released_ = true;
  if (!held_) return done();
  const RoleRow next{NodeId(), Incarnation(), row_.epoch};
  MarkLost();
  Write(next, [done = std::move(done)](const auto& /*result*/) { done(); });
}

void SchedulerRole::Write(RoleRow row,
                          std::function<void(const table::WriteResult&)> done) {
  writing_ = true;
  Transaction transaction;
  transaction.conditions.push_back({key_, version_});
  transaction.writes.push_back({key_, Encode(row)});
  writer_.Submit(std::move(transaction), [this, done = std::move(done),
                                          alive = alive_](const auto& result) {
    if (!*alive) return;
    writing_ = false;
    done(result);
  });
}

bool SchedulerRole::OnConflict(const std::vector<std::string>& failed_keys) {
  if (std::find(failed_keys.begin(), failed_keys.end(), key_) ==
      failed_keys.end()) {
    return false;
  }
  if (held_) BackOffAfterLoss();
  MarkLost();
  Refresh();
  return true;
}

void SchedulerRole::BackOffAfterLoss() {
  const MonotonicTime now = base::MonotonicNow();
  const bool reset_backoff = now - acquired_at_ >= options_.backoff_reset_after;
  backoff_ = reset_backoff || backoff_.count() == 0
                 ? options_.initial_backoff
                 : std::min(2 * backoff_, options_.max_backoff);
  backoff_until_ = now + backoff_;
}

void SchedulerRole::MarkLost() {
  if (!std::exchange(held_, false)) return;
  base::Log(base::Event::kSchedulerInactive,
            {{"cell", options_.cell}, {"epoch", row_.epoch.value()}});
  lost_.emit();
}

}  // namespace mangospread::scheduler
