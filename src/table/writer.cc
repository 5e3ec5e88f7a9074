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

constexpr MonotonicTime kBudgetRecheck = std::chrono::milliseconds(10);
constexpr MonotonicTime kResolveBase = std::chrono::milliseconds(100);
constexpr MonotonicTime kResolveMax = std::chrono::seconds(2);
constexpr int kResolveMaxShift = 5;

bool Overlaps(const Transaction& change, const std::set<std::string>& keys) {
  const auto taken = [&keys](const auto& part) {
    return keys.contains(part.key);
  };
  return std::any_of(change.conditions.begin(), change.conditions.end(),
                     taken) ||
         std::any_of(change.writes.begin(), change.writes.end(), taken);
}

/// Keys that a group of changes writes, and the versions that it requires.
class GroupKeys {
 public:
  /// True if `change` can share the group's transaction: what it writes is
  /// neither written nor required by another change, and what it requires is
  /// not written and, where required as well, required in the same version.
  [[nodiscard]] bool Admits(const Transaction& change) const {
    const auto write_free = [this](const Write& write) {
      return !written_.contains(write.key) && !required_.contains(write.key);
    };
    const auto condition_fits = [this](const Condition& condition) {
      if (written_.contains(condition.key)) return false;
      const auto it = required_.find(condition.key);
      return it == required_.end() || it->second == condition.version;
    };
    return std::all_of(change.writes.begin(), change.writes.end(),
                       write_free) &&
           std::all_of(change.conditions.begin(), change.conditions.end(),
                       condition_fits);
  }

  /// Adds a change's conditions and writes to the transaction, a shared
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
      budget_left_(options.burst),
      budget_time_(base::MonotonicNow()) {}

Writer::~Writer() { *alive_ = false; }

void Writer::SetBudget(double per_second) {
  constexpr double kBurstSeconds = 2;
  options_.budget = per_second;
  options_.burst = std::max(kBurstSeconds, kBurstSeconds * per_second);
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
  Pump();
}

void Writer::Pump() {
  if (in_flight_ || queue_.empty()) {
    // Changes that wait behind an unresolved transaction still expire.
    if (!queue_.empty() && !timer_.active()) {
      timer_ = loop_.After(options_.max_wait, [this] {
        ExpireQueued();
        Pump();
      });
    }
    return;
  }
  ExpireQueued();
  // A change that expired may have been submitted again and sent.
  if (queue_.empty() || in_flight_) return;
  if (!TakeBudget()) {
    timer_ = loop_.After(kBudgetRecheck, [this] { Pump(); });
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

bool Writer::TakeBudget() {
  const MonotonicTime now = base::MonotonicNow();
  const double elapsed =
      std::chrono::duration<double>(now - budget_time_).count();
  budget_time_ = now;
  budget_left_ =
      std::min(options_.burst, budget_left_ + elapsed * options_.budget);
  if (budget_left_ < 1) return false;
  budget_left_ -= 1;
  return true;
}

std::string Writer::NextToken() { return std::to_string(++tokens_used_); }

Transaction Writer::WithOwnRow(std::string token) const {
  Transaction transaction;
  transaction.conditions.push_back({row_key_, own_version_});
  transaction.writes.push_back({row_key_, std::move(token)});
  return transaction;
}

void Writer::SendGroup() {
  group_token_ = NextToken();
  Transaction transaction = WithOwnRow(group_token_);
  GroupKeys keys;
  while (!queue_.empty() && group_.size() < options_.max_group &&
         keys.Admits(queue_.front().change)) {
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
      SetReachable(true);
      own_version_ = result.version;
      FinishGroup(WriteStatus::kCommitted, result.version);
      return;
    case Status::kConflict:
      SetReachable(true);
      HandleConflict(result);
      return;
    case Status::kUnavailable:
      SetReachable(false);
      FinishGroup(WriteStatus::kUnavailable, {});
      return;
    case Status::kUnknown:
      SetReachable(false);
      ++counters_.unknown;
      base::Log(base::Event::kTableResultUnknown,
                {{"writer", row_key_}, {"token", group_token_}});
      resolve_attempts_ = 0;
      Resolve();
      return;
  }
}

void Writer::HandleConflict(const TransactResult& result) {
  const std::set<std::string> failed(result.failed_keys.begin(),
                                     result.failed_keys.end());
  // Only this process writes its own row, so a conflict there means that the
  // known version is wrong.
  if (failed.contains(row_key_)) {
    refused_ = true;
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
  Pump();
}

void Writer::Resolve() {
  table_.Transact(WithOwnRow(NextToken()),
                  [this, alive = alive_](const TransactResult& result) {
                    if (*alive) OnFenceResult(result);
                  });
}

void Writer::OnFenceResult(const TransactResult& result) {
  if (result.status == Status::kCommitted) {
    SetReachable(true);
    own_version_ = result.version;
    ++counters_.resolved_absent;
    base::Log(
        base::Event::kTableResultResolved,
        {{"writer", row_key_}, {"token", group_token_}, {"committed", false}});
    FinishGroup(WriteStatus::kUnavailable, {});
    return;
  }
  if (result.status == Status::kConflict) return ReadOwnRow();
  RetryResolve();
}

void Writer::ReadOwnRow() {
  table_.Read({{row_key_}, {}},
              [this, alive = alive_](const Result<std::vector<Row>>& rows) {
                if (*alive) OnOwnRow(rows);
              });
}

void Writer::OnOwnRow(const Result<std::vector<Row>>& rows) {
  const bool refused = std::exchange(refused_, false);
  if (!rows.ok()) return RetryResolve();
  SetReachable(true);
  const bool present = !rows.value().empty();
  const bool committed = present && rows.value()[0].value == group_token_;
  if (refused && !committed) {
    own_version_ = present ? rows.value()[0].version : RowVersion();
    return SendAgain();
  }
  const bool changed = !present || rows.value()[0].version != own_version_;
  if (!changed) return RetryResolve();
  // An earlier fence whose reply was lost also changes the row; either way
  // the condition of the group in flight can never hold again.
  own_version_ = present ? rows.value()[0].version : RowVersion();
  ++(committed ? counters_.resolved_committed : counters_.resolved_absent);
  base::Log(base::Event::kTableResultResolved, {{"writer", row_key_},
                                                {"token", group_token_},
                                                {"committed", committed}});
  FinishGroup(committed ? WriteStatus::kCommitted : WriteStatus::kUnavailable,
              own_version_);
}

void Writer::SendAgain() {
  std::vector<Pending> group = std::exchange(group_, {});
  for (auto it = group.rbegin(); it != group.rend(); ++it) {
    queue_.push_front(std::move(*it));
  }
  in_flight_ = false;
  Pump();
}

void Writer::RetryResolve() {
  SetReachable(false);
  const int shift = std::min(resolve_attempts_++, kResolveMaxShift);
  const MonotonicTime delay =
      std::min(kResolveMax, kResolveBase * (1 << shift));
  resolve_timer_ = loop_.After(delay, [this] { Resolve(); });
}

void Writer::FinishGroup(WriteStatus status, RowVersion version) {
  std::vector<Pending> group = std::exchange(group_, {});
  in_flight_ = false;
  const auto alive = alive_;
  for (auto& pending : group) {
    pending.done({status, version, {}});
    if (!*alive) return;
  }
  Pump();
}

void Writer::SetReachable(bool reachable) {
  if (reachable_ == reachable) return;
  reachable_ = reachable;
  base::Log(
      reachable ? base::Event::kTableReachable : base::Event::kTableUnreachable,
      {{"writer", row_key_}});
}

}  // namespace mangospread::table
