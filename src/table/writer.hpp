/// @file
/// Writes changes to the table in groups, one transaction at a time.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "base/token_bucket.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/platform/table.hpp"

namespace mangospread::table {

/// Outcome of a submitted change. Never unknown: after a lost reply, the writer
/// determines the outcome before it reports it.
enum class WriteStatus : unsigned char {
  kCommitted,
  kConflict,
  kUnavailable,  ///< Certainly without effect, now and later.
  /// Certainly without effect. The table does not accept the change, and would
  /// not accept it later either.
  kRejected,
};

struct WriteResult {
  WriteStatus status = WriteStatus::kUnavailable;
  RowVersion version;  ///< Version of the rows written.
  /// With kConflict, the keys whose condition did not hold.
  std::vector<std::string> failed_keys;
};

struct WriterOptions {
  /// Average transactions per second.
  double budget = 50;
  /// Most transactions that may be sent at once after an idle time.
  double burst = 100;
  /// Most changes in one transaction.
  std::size_t max_group = 128;
  /// Most conditions and writes in one transaction, with the writer's own.
  /// A change with more is sent alone.
  std::size_t max_entries = 1'000;
  /// Most bytes of all values in one transaction. A change with more is sent
  /// alone.
  std::size_t max_value_bytes = 4 * 1024 * 1024;
  /// Most queued changes; further ones are reported as unavailable.
  std::size_t max_queue = 4'096;
  /// A change that has not been sent within this time is reported as
  /// unavailable.
  Milliseconds max_wait{2'000};
  /// Time after a failed transaction from which on another one may be tried.
  Milliseconds probe_delay{300};
};

struct WriterCounters {
  /// Groups sent, and the changes in them.
  std::uint64_t transactions = 0;
  std::uint64_t changes = 0;
  /// Changes reported as conflicts.
  std::uint64_t conflicts = 0;
  /// Groups whose reply was lost, and the outcomes determined later.
  std::uint64_t unknown = 0;
  std::uint64_t resolved_committed = 0;
  std::uint64_t resolved_uncommitted = 0;
  /// Changes not sent because the queue was full or max_wait had passed.
  std::uint64_t rejected = 0;
  /// Changes that the table does not accept.
  std::uint64_t rejected_by_table = 0;
};

/// Writes the changes of one component in groups. At most one transaction is in
/// flight; changes submitted meanwhile share the next one. Each transaction
/// also writes a new token to the writer's own row, on condition that the row
/// still has its last version. After a lost reply, the writer reads that row: a
/// changed version shows that the condition can never hold again, and the token
/// whether the lost transaction committed. While the row is unchanged, the
/// writer writes it alone under the same condition: if this commits, the lost
/// transaction can never take effect.
///
/// Two changes of one group must not write the same key, and none may write a
/// key on which another has a condition; such a change waits for the next
/// transaction. Changes that require the same version of a row without writing
/// it share the condition, as all writes of a scheduler do with its role row.
///
/// A group that the table rejects is divided until the rejected change is
/// alone, so that it fails no other change.
class Writer {
 public:
  using Callback = std::function<void(WriteResult)>;

  /// @param row_key key of the writer's own row, unique to this process and
  ///   component.
  Writer(base::EventLoop& loop, Table& table, std::string row_key,
         WriterOptions options);
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  /// Queues a change. `done` is called exactly once, unless the writer is
  /// destroyed first.
  void Submit(Transaction change, Callback done);

  /// Sets the average rate, in transactions per second, and the burst to the
  /// transactions of two seconds, at least two.
  void SetBudget(double per_second);

  /// True if nothing is queued or in flight.
  [[nodiscard]] bool idle() const noexcept;
  /// False from a failed transaction on until the table responds again, or
  /// until probe_delay has passed: with nothing to write, only the next change
  /// can show whether it does.
  [[nodiscard]] bool table_reachable() const noexcept;
  [[nodiscard]] const WriterCounters& counters() const noexcept {
    return counters_;
  }

 private:
  struct Pending {
    Transaction change;
    Callback done;
    MonotonicTime deadline;
  };

  void SendIfReady();
  bool ConsumeBudget();
  void ExpireQueued();
  void SendGroup();
  void OnGroupResult(const TransactResult& result);
  void HandleConflict(const TransactResult& result);
  /// Sends a rejected group again in halves; a single change has failed.
  void HandleRejection();
  /// Determines the outcome of the group in flight.
  void ResolveOutcome();
  /// True unless the row, as read, has the version that the group requires.
  [[nodiscard]] bool OwnRowChanged(const std::vector<Row>& rows) const;
  /// Writes the own row alone, after which the group can never commit.
  void Supersede();
  void OnResolveResult(const TransactResult& result);
  void ReadOwnRow();
  void OnOwnRowRead(const Result<std::vector<Row>>& rows);
  void ScheduleResolve();
  void FinishGroup(WriteStatus status, RowVersion version);
  void SetTableReachable(bool reachable);
  /// Returns a group that certainly took no effect to the front of the queue.
  void RequeueGroup();
  [[nodiscard]] std::string NextToken();
  [[nodiscard]] Transaction MakeOwnRowUpdate(std::string token) const;

  base::EventLoop& loop_;
  Table& table_;
  std::string row_key_;
  WriterOptions options_;
  WriterCounters counters_;
  std::deque<Pending> queue_;
  std::vector<Pending> group_;
  /// Most changes in the next group; below max_group after a rejection.
  std::size_t group_limit_;
  RowVersion own_version_;
  std::string group_token_;
  std::uint64_t last_token_ = 0;
  bool in_flight_ = false;
  /// The group in flight conflicted on the writer's own row.
  bool own_row_conflict_ = false;
  bool table_reachable_ = true;
  MonotonicTime failed_at_{0};  ///< Time of the last failed transaction.
  base::TokenBucket budget_;
  int resolve_attempts_ = 0;
  base::Timer timer_;
  base::Timer resolve_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::table
