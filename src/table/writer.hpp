/// @file
/// Serial group-commit writer.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/platform/table.hpp"

namespace mangospread::table {

/// Result of a submitted change. Never unknown: the writer resolves lost
/// replies before it reports.
enum class WriteStatus : unsigned char {
  kCommitted,
  kConflict,
  kUnavailable,  ///< Definitely without effect, now and later.
};

struct WriteResult {
  WriteStatus status = WriteStatus::kUnavailable;
  RowVersion version;                    ///< Of the rows written.
  std::vector<std::string> failed_keys;  ///< With kConflict.
};

struct WriterOptions {
  /// Transactions a second on average.
  double budget = 50;
  double burst = 100;
  std::size_t max_group = 128;
  std::size_t max_queue = 4'096;
  /// A change that was not sent by then is reported unavailable.
  Milliseconds max_wait{2'000};
};

struct WriterCounters {
  std::uint64_t transactions = 0;
  std::uint64_t changes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t unknown = 0;
  std::uint64_t resolved_committed = 0;
  std::uint64_t resolved_absent = 0;
  std::uint64_t rejected = 0;
};

/// Writes for one purpose. At most one transaction is in flight; changes that
/// arrive meanwhile share the next one. Each transaction also replaces the
/// writer's own row under a condition on its last version. After a lost reply
/// the writer replaces that row alone under the same condition: if that
/// commits, the lost transaction can never take effect; if it conflicts, the
/// row's token tells whether the lost one committed.
///
/// Two grouped changes must not write the same key, and none may write what
/// another requires: such a change waits for the next transaction. Changes that
/// only require the same version of a row, as all writes of a scheduler do with
/// its role row, share the condition.
class Writer {
 public:
  using Callback = std::function<void(WriteResult)>;

  /// @param row_key key of the writer's own row, unique to this process and
  ///   purpose.
  Writer(base::EventLoop& loop, Table& table, std::string row_key,
         WriterOptions options);
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  /// Queues a change. `done` is called exactly once, unless the writer is
  /// destroyed first.
  void Submit(Transaction change, Callback done);

  /// Changes the transactions a second that this writer may send.
  void SetBudget(double per_second);

  /// True if nothing is queued or in flight.
  [[nodiscard]] bool idle() const noexcept;
  /// False from the first failed transaction until one is answered again.
  [[nodiscard]] bool table_reachable() const noexcept { return reachable_; }
  [[nodiscard]] const WriterCounters& counters() const noexcept {
    return counters_;
  }

 private:
  struct Pending {
    Transaction change;
    Callback done;
    MonotonicTime deadline;
  };

  void Pump();
  bool TakeBudget();
  void ExpireQueued();
  void SendGroup();
  void OnGroupResult(const TransactResult& result);
  void HandleConflict(const TransactResult& result);
  /// Finds out what became of the group in flight.
  void Resolve();
  void OnFenceResult(const TransactResult& result);
  void ReadOwnRow();
  void OnOwnRow(const Result<std::vector<Row>>& rows);
  void RetryResolve();
  void FinishGroup(WriteStatus status, RowVersion version);
  void SetReachable(bool reachable);
  /// The group certainly took no effect: it goes again.
  void SendAgain();
  [[nodiscard]] std::string NextToken();
  [[nodiscard]] Transaction WithOwnRow(std::string token) const;

  base::EventLoop& loop_;
  Table& table_;
  std::string row_key_;
  WriterOptions options_;
  WriterCounters counters_;
  std::deque<Pending> queue_;
  std::vector<Pending> group_;
  RowVersion own_version_;
  std::string group_token_;
  std::uint64_t tokens_used_ = 0;
  bool in_flight_ = false;
  /// The table refused the group for the writer's own row.
  bool refused_ = false;
  bool reachable_ = true;
  double budget_left_;
  MonotonicTime budget_time_;
  int resolve_attempts_ = 0;
  base::Timer timer_;
  base::Timer resolve_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::table
