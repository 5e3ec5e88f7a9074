#include "table/writer.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::table {
namespace {

using Status = TransactResult::Status;

constexpr MonotonicTime kBudgetRetryDelay = std::chrono::milliseconds(10);
constexpr MonotonicTime kResolveDelayBase = std::chrono::milliseconds(100);
constexpr MonotonicTime kMaxResolveDelay = std::chrono::seconds(2);
constexpr int kMaxResolveShift = 5;

bool Overlaps(const Transaction& change, const std::set<std::string>& keys) {
  const auto has_key = [&keys](const auto& item) {
    return keys.contains(item.key);
  };
  return std::any_of(change.conditions.begin(), change.conditions.end(),
                     has_key) ||
         std::any_of(change.writes.begin(), change.writes.end(), has_key);
}

std::size_t CountEntries(const Transaction& transaction) {
  return transaction.conditions.size() + transaction.writes.size();
}

std::size_t ValueBytes(const Transaction& transaction) {
  std::size_t bytes = 0;
  for (const Write& write : transaction.writes) {
    if (write.value) bytes += write.value->size();
  }
  return bytes;
}

/// Keys written by a group of changes, and row versions that it requires.
class GroupKeys {
 public:
  /// True if `change` can share the group's transaction: the group neither
  /// writes nor requires the keys that `change` writes, does not write the keys
  /// that `change` requires, and requires no other version of them.
  [[nodiscard]] bool CanAdd(const Transaction& change) const {
    const auto write_allowed = [this](const Write& write) {
      return !written_.contains(write.key) && !required_.contains(write.key);
    };
    const auto condition_allowed = [this](const Condition& condition) {
      if (written_.contains(condition.key)) return false;
      const auto it = required_.find(condition.key);
      return it == required_.end() || it->second == condition.version;
    };
    return std::all_of(change.writes.begin(), change.writes.end(),
                       write_allowed) &&
           std::all_of(change.conditions.begin(), change.conditions.end(),
                       condition_allowed);
  }

  /// Adds the conditions and writes of `change` to the transaction, a shared
  /// condition only once.
  void Add(const Transaction& change, Transaction& transaction) {
    for (const auto& condition : change.conditions) {
      if (required_.emplace(condition.key, condition.version).second) {
        transaction.conditions.push_back(condition);
      }
    }
    for (const auto& write : change.writes) {
      written_.insert(write.key);
      transaction.writes.push_back(write);
    }
  }

 private:
  std::map<std::string, RowVersion> required_;
  std::set<std::string> written_;
};

}  // namespace

Writer::Writer(base::EventLoop& loop, Table& table, std::string row_key,
               WriterOptions options)
    : loop_(loop),
      table_(table),
      row_key_(std::move(row_key)),
      options_(options),
      group_limit_(options.max_group),
      budget_(options.burst, base::MonotonicNow()) {}

Writer::~Writer() { *alive_ = false; }

void Writer::SetBudget(double per_second) {
  constexpr double kBurstSeconds = 2;
  options_.budget = per_second;
  options_.burst = std::max(kBurstSeconds, kBurstSeconds * per_second);
}

bool Writer::table_reachable() const noexcept {
  return table_reachable_ ||
         (idle() && base::MonotonicNow() - failed_at_ >= options_.probe_delay);
}

bool Writer::idle() const noexcept { return queue_.empty() && !in_flight_; }

void Writer::Submit(Transaction change, Callback done) {
  if (queue_.size() >= options_.max_queue) {
    ++counters_.rejected;
    loop_.Post([done = std::move(done)] { done({}); });
    return;
  }
  queue_.push_back({std::move(change), std::move(done),
                    base::MonotonicNow() + options_.max_wait});
  SendIfReady();
}

void Writer::SendIfReady() {
  if (in_flight_ || queue_.empty()) {
    // Changes queued behind an unresolved transaction still expire.
    if (!queue_.empty() && !timer_.active()) {
      timer_ = loop_.After(options_.max_wait, [this] {
        ExpireQueued();
        SendIfReady();
      });
    }
    return;
  }
  ExpireQueued();
  // The callback of an expired change may have submitted it again, and it may
  // have been sent.
  if (queue_.empty() || in_flight_) return;
  if (!ConsumeBudget()) {
    timer_ = loop_.After(kBudgetRetryDelay, [this] { SendIfReady(); });
    return;
  }
  SendGroup();
}

void Writer::ExpireQueued() {
  const MonotonicTime now = base::MonotonicNow();
  while (!queue_.empty() && queue_.front().deadline <= now) {
    ++counters_.rejected;
    const auto done = std::move(queue_.front().done);
    queue_.pop_front();
    done({});
  }
}

bool Writer::ConsumeBudget() {
  budget_.Refill(options_.budget, options_.burst, base::MonotonicNow());
  return budget_.Take();
}

std::string Writer::NextToken() { return std::to_string(++last_token_); }

Transaction Writer::MakeOwnRowUpdate(std::string token) const {
  Transaction transaction;
  transaction.conditions.push_back({row_key_, own_version_});
  transaction.writes.push_back({row_key_, std::move(token)});
  return transaction;
}

void Writer::SendGroup() {
  group_token_ = NextToken();
  Transaction transaction = MakeOwnRowUpdate(group_token_);
  GroupKeys keys;
  std::size_t value_bytes = 0;
  while (!queue_.empty() && group_.size() < group_limit_ &&
         keys.CanAdd(queue_.front().change)) {
    const Transaction& next = queue_.front().change;
    const std::size_t entries = CountEntries(transaction) + CountEntries(next);
    value_bytes += ValueBytes(next);
    if (!group_.empty() && (entries > options_.max_entries ||
                            value_bytes > options_.max_value_bytes)) {
      break;
    }
    Pending pending = std::move(queue_.front());
    queue_.pop_front();
    keys.Add(pending.change, transaction);
    group_.push_back(std::move(pending));
  }
  in_flight_ = true;
  ++counters_.transactions;
  counters_.changes += group_.size();
  table_.Transact(std::move(transaction),
                  [this, alive = alive_](const TransactResult& result) {
                    if (*alive) OnGroupResult(result);
                  });
}

void Writer::OnGroupResult(const TransactResult& result) {
  switch (result.status) {
    case Status::kCommitted:
      SetTableReachable(true);
      own_version_ = result.version;
      group_limit_ = std::min(options_.max_group, 2 * group_limit_);
      FinishGroup(WriteStatus::kCommitted, result.version);
      return;
    case Status::kConflict:
      SetTableReachable(true);
      HandleConflict(result);
      return;
    case Status::kUnavailable:
      SetTableReachable(false);
      FinishGroup(WriteStatus::kUnavailable, {});
      return;
    case Status::kUnknown:
      SetTableReachable(false);
      ++counters_.unknown;
      base::Log(base::Event::kTableResultUnknown,
                {{"writer", row_key_}, {"token", group_token_}});
      resolve_attempts_ = 0;
      ResolveOutcome();
      return;
    case Status::kRejected:
      SetTableReachable(true);
      HandleRejection();
      return;
  }
}

void Writer::HandleRejection() {
  if (group_.size() > 1) {
    group_limit_ = group_.size() / 2;
    return RequeueGroup();
  }
  const Transaction& change = group_.front().change;
  ++counters_.rejected_by_table;
  base::Log(base::Event::kTableChangeRejected,
            {{"writer", row_key_},
             {"key", change.writes.empty() ? "" : change.writes.front().key},
             {"entries", CountEntries(change)},
             {"bytes", ValueBytes(change)}});
  FinishGroup(WriteStatus::kRejected, {});
}

void Writer::HandleConflict(const TransactResult& result) {
  const std::set<std::string> failed(result.failed_keys.begin(),
                                     result.failed_keys.end());
  // Only this process writes its own row, so a conflict on it means that
  // own_version_ is wrong.
  if (failed.contains(row_key_)) {
    own_row_conflict_ = true;
    return ReadOwnRow();
  }
  std::vector<Pending> group = std::exchange(group_, {});
  in_flight_ = false;
  std::vector<std::pair<Callback, WriteResult>> conflicts;
  for (auto it = group.rbegin(); it != group.rend(); ++it) {
    if (!Overlaps(it->change, failed)) {
      queue_.push_front(std::move(*it));
      continue;
    }
    ++counters_.conflicts;
    conflicts.emplace_back(
        std::move(it->done),
        WriteResult{WriteStatus::kConflict, {}, result.failed_keys});
  }
  const auto alive = alive_;
  for (auto& [done, status] : conflicts) {
    done(status);
    if (!*alive) return;
  }
  SendIfReady();
}

void Writer::ResolveOutcome() {
  // A group that has committed already is resolved by a read, which costs less
  // than a write and is not lost when the table loses the replies of writes.
  table_.Read({{row_key_}, {}},
              [this, alive = alive_](const Result<std::vector<Row>>& rows) {
                if (!*alive) return;
                if (rows.ok() && !OwnRowChanged(rows.value())) {
                  return Supersede();
                }
                OnOwnRowRead(rows);
              });
}

bool Writer::OwnRowChanged(const std::vector<Row>& rows) const {
  return (rows.empty() ? RowVersion() : rows[0].version) != own_version_;
}

void Writer::Supersede() {
  table_.Transact(MakeOwnRowUpdate(NextToken()),
                  [this, alive = alive_](const TransactResult& result) {
                    if (*alive) OnResolveResult(result);
                  });
}

void Writer::OnResolveResult(const TransactResult& result) {
  if (result.status == Status::kCommitted) {
    SetTableReachable(true);
    own_version_ = result.version;
    ++counters_.resolved_uncommitted;
    base::Log(
        base::Event::kTableResultResolved,
        {{"writer", row_key_}, {"token", group_token_}, {"committed", false}});
    FinishGroup(WriteStatus::kUnavailable, {});
    return;
  }
  if (result.status == Status::kConflict) return ReadOwnRow();
  ScheduleResolve();
}

void Writer::ReadOwnRow() {
  table_.Read({{row_key_}, {}},
              [this, alive = alive_](const Result<std::vector<Row>>& rows) {
                if (*alive) OnOwnRowRead(rows);
              });
}

void Writer::OnOwnRowRead(const Result<std::vector<Row>>& rows) {
  const bool own_row_conflict = std::exchange(own_row_conflict_, false);
  if (!rows.ok()) return ScheduleResolve();
  SetTableReachable(true);
  const bool present = !rows.value().empty();
  const bool committed = present && rows.value()[0].value == group_token_;
  if (own_row_conflict && !committed) {
    own_version_ = present ? rows.value()[0].version : RowVersion();
    return RequeueGroup();
  }
  if (!OwnRowChanged(rows.value())) return ScheduleResolve();
  // The row was changed by the group or by an earlier write of Supersede whose
  // reply was lost. Either way, the group's condition on it can never be
  // met again.
  own_version_ = present ? rows.value()[0].version : RowVersion();
  ++(committed ? counters_.resolved_committed : counters_.resolved_uncommitted);
  base::Log(base::Event::kTableResultResolved, {{"writer", row_key_},
                                                {"token", group_token_},
                                                {"committed", committed}});
  FinishGroup(committed ? WriteStatus::kCommitted : WriteStatus::kUnavailable,
              own_version_);
}

void Writer::RequeueGroup() {
  std::vector<Pending> group = std::exchange(group_, {});
  for (auto it = group.rbegin(); it != group.rend(); ++it) {
    queue_.push_front(std::move(*it));
  }
  in_flight_ = false;
  SendIfReady();
}

void Writer::ScheduleResolve() {
  SetTableReachable(false);
  const int shift = std::min(resolve_attempts_++, kMaxResolveShift);
  const MonotonicTime delay =
      std::min(kMaxResolveDelay, kResolveDelayBase * (1 << shift));
  resolve_timer_ = loop_.After(delay, [this] { ResolveOutcome(); });
}

void Writer::FinishGroup(WriteStatus status, RowVersion version) {
  std::vector<Pending> group = std::exchange(group_, {});
  in_flight_ = false;
  const auto alive = alive_;
  for (auto& pending : group) {
    pending.done({status, version, {}});
    if (!*alive) return;
  }
  SendIfReady();
}

void Writer::SetTableReachable(bool reachable) {
  if (!reachable) failed_at_ = base::MonotonicNow();
  if (table_reachable_ == reachable) return;
  table_reachable_ = reachable;
  base::Log(
      reachable ? base::Event::kTableReachable : base::Event::kTableUnreachable,
      {{"writer", row_key_}});
}

}  // namespace mangospread::table
