#include "scheduler/lifecycle/role.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::scheduler {
namespace {

/// Nodes notice a dead holder at about the same time; the jitter lets one of
/// them try first.
constexpr double kJitter = 0.3;

}  // namespace

Role::Role(base::EventLoop& loop, RoleOptions options, Table& table,
           table::Writer& writer,
           std::function<bool(const RoleRow&)> holder_gone,
           std::function<bool()> may_hold)
    : loop_(loop),
      options_(std::move(options)),
      table_(table),
      writer_(writer),
      holder_gone_(std::move(holder_gone)),
      may_hold_(std::move(may_hold)),
      key_(RoleRowKey(options_.cell)) {}

Role::~Role() { *alive_ = false; }

void Role::Start() {
  timer_ = loop_.Every(options_.period, kJitter, [this] { Refresh(); });
  Refresh();
}

Condition Role::condition() const { return {key_, version_}; }

bool Role::IsFresh() const noexcept {
  return held_ && base::MonotonicNow() - confirmed_at_ < options_.fresh_for;
}

void Role::Refresh() {
  if (reading_) return;
  reading_ = true;
  const MonotonicTime asked_at = base::MonotonicNow();
  table_.Read({{key_}, {}}, [this, asked_at, alive = alive_](const auto& rows) {
    if (!*alive) return;
    reading_ = false;
    OnRow(rows, asked_at);
  });
}

void Role::OnRow(const Result<std::vector<Row>>& rows, MonotonicTime asked_at) {
  if (!rows.ok()) return;
  if (rows.value().empty()) {
    // The row is never deleted, so its absence is older than any known row.
    if (version_ != RowVersion()) return;
  } else {
    const Row& row = rows.value().front();
    // A read that an own write overtook.
    if (row.version < version_) return;
    const auto decoded = DecodeRole(row);
    if (!decoded.ok()) return;
    const bool changed = row.version != version_;
    row_ = decoded.value();
    version_ = row.version;
    if (held_ && changed) {
      PauseAfterLoss();
      Lose();
    }
  }
  if (held_) {
    confirmed_at_ = asked_at;
    return;
  }
  if (!writing_ && !released_ && may_hold_() &&
      (row_.node.empty() ||
       (holder_gone_(row_) && base::MonotonicNow() >= may_take_at_))) {
    Take();
  }
}

void Role::Take() {
  const RoleRow next{options_.node, options_.incarnation, row_.epoch.next()};
  const std::string previous = row_.node.str();
  const MonotonicTime asked_at = base::MonotonicNow();
  Write(next, [this, next, previous, asked_at](const auto& result) {
    if (result.status != table::WriteStatus::kCommitted) return Refresh();
    // A later holder's row may have been read before this reply arrived.
    if (result.version < version_) return;
    row_ = next;
    version_ = result.version;
    held_ = true;
    confirmed_at_ = asked_at;
    taken_at_ = base::MonotonicNow();
    base::Log(base::Event::kSchedulerActive, {{"cell", options_.cell},
                                              {"epoch", next.epoch.value()},
                                              {"previous", previous}});
    taken_.emit();
  });
}

void Role::Release(std::function<void()> done) {
  released_ = true;
  if (!held_) return done();
  const RoleRow next{NodeId(), Incarnation(), row_.epoch};
  Lose();
  Write(next, [done = std::move(done)](const auto& /*result*/) { done(); });
}

void Role::Write(RoleRow row,
                 std::function<void(const table::WriteResult&)> done) {
  writing_ = true;
  Transaction change;
  change.conditions.push_back({key_, version_});
  change.writes.push_back({key_, Encode(row)});
  writer_.Submit(std::move(change), [this, done = std::move(done),
                                     alive = alive_](const auto& result) {
    if (!*alive) return;
    writing_ = false;
    done(result);
  });
}

bool Role::OnConflict(const std::vector<std::string>& failed_keys) {
  if (std::find(failed_keys.begin(), failed_keys.end(), key_) ==
      failed_keys.end()) {
    return false;
  }
  if (held_) PauseAfterLoss();
  Lose();
  Refresh();
  return true;
}

void Role::PauseAfterLoss() {
  const MonotonicTime now = base::MonotonicNow();
  const bool settled = now - taken_at_ >= options_.settled_after;
  pause_ = settled || pause_.count() == 0
               ? options_.first_pause
               : std::min(2 * pause_, options_.longest_pause);
  may_take_at_ = now + pause_;
}

void Role::Lose() {
  if (!std::exchange(held_, false)) return;
  base::Log(base::Event::kSchedulerInactive,
            {{"cell", options_.cell}, {"epoch", row_.epoch.value()}});
  lost_.emit();
}

}  // namespace mangospread::scheduler
