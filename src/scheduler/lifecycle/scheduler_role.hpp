/// @file
/// Election of the active scheduler of a cell.
#pragma once

#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "scheduler/lifecycle/tasks/rows.hpp"
#include "table/writer.hpp"

namespace mangospread::scheduler {

struct RoleOptions {
  std::string cell = "default";
  NodeId node;
  Incarnation incarnation;
  Milliseconds period{500};  ///< Between two reads of the role row.
  /// If the table's last confirmation of the role is older than this, no new
  /// task is started.
  Milliseconds max_confirmation_age{2'000};
  /// Time after another node has acquired the role from this one during which
  /// this node replaces no holder, even one that it considers dead. It doubles
  /// with each loss up to `max_backoff`. Without it, two live nodes that cannot
  /// reach each other would acquire the role alternately, with every read of
  /// the row.
  Milliseconds initial_backoff{4'000};
  Milliseconds max_backoff{128'000};
  /// If the role was held for at least this time before it was lost, the
  /// backoff starts at `initial_backoff` again.
  Milliseconds backoff_reset_after{300'000};
};

/// Acquires the role row by compare-and-set if its holder is considered dead.
/// The membership view only triggers an attempt; the table decides which node
/// holds the role. A former holder detects the loss with its next read or
/// conditional write. It is harmless before that as well, since all its writes
/// require the former version of the row.
class SchedulerRole {
 public:
  /// @param holder_dead returns whether the holder named in a row is considered
  ///   dead.
  /// @param is_eligible returns whether this node can act as scheduler now.
  SchedulerRole(base::EventLoop& loop, RoleOptions options, Table& table,
                table::Writer& writer,
                std::function<bool(const RoleRow&)> holder_dead,
                std::function<bool()> is_eligible);
  ~SchedulerRole();
  SchedulerRole(const SchedulerRole&) = delete;
  SchedulerRole& operator=(const SchedulerRole&) = delete;

  void Start();
  /// Releases the role and stops acquiring it.
  /// @param done called when the write of the row has ended, or at once if the
  ///   role is not held.
  void Release(std::function<void()> done);

  [[nodiscard]] bool held() const noexcept { return held_; }
  /// The row that was read or written last; its epoch is 0 if there is none.
  [[nodiscard]] const RoleRow& row() const noexcept { return row_; }
  /// The condition that every write of the holder must include.
  [[nodiscard]] Condition condition() const;
  /// True if the role is held and the table has confirmed it within
  /// `max_confirmation_age`.
  [[nodiscard]] bool IsConfirmed() const noexcept;

  /// Handles the conflict of a conditional write.
  /// @param failed_keys the keys whose conditions failed.
  /// @return true if the role itself is lost.
  bool OnConflict(const std::vector<std::string>& failed_keys);

  sigc::signal<void()>& acquired() noexcept { return acquired_; }
  sigc::signal<void()>& lost() noexcept { return lost_; }

 private:
  void Refresh();
  void OnRow(const Result<std::vector<Row>>& rows, MonotonicTime requested_at);
  void Acquire();
  void MarkLost();
  /// Starts or doubles the backoff after another node has acquired the role
  /// from this one.
  void BackOffAfterLoss();
  void Write(RoleRow row, std::function<void(const table::WriteResult&)> done);

  base::EventLoop& loop_;
  RoleOptions options_;
  Table& table_;
  table::Writer& writer_;
  std::function<bool(const RoleRow&)> holder_dead_;
  std::function<bool()> is_eligible_;
  std::string key_;
  RoleRow row_;
  RowVersion version_;
  bool held_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool released_ = false;
  MonotonicTime confirmed_at_{0};
  MonotonicTime acquired_at_{0};
  MonotonicTime backoff_until_{0};
  Milliseconds backoff_{0};
  base::Timer timer_;
  sigc::signal<void()> acquired_;
  sigc::signal<void()> lost_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::scheduler
