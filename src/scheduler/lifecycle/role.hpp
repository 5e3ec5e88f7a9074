/// @file
/// The right to schedule a cell.
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
  Milliseconds period{500};
  /// Nothing new is started when the role was last confirmed longer ago.
  Milliseconds fresh_for{2'000};
  /// A node that lost the role leaves its silent successor alone for this time,
  /// doubled with each loss. Two live nodes that do not hear each other would
  /// otherwise take the role in turn with every read.
  Milliseconds first_pause{4'000};
  Milliseconds longest_pause{128'000};
  /// A role held for this long ends the doubling.
  Milliseconds settled_after{300'000};
};

/// Takes the role row by compare-and-set when its holder is gone. The view of
/// the members only proposes; the table decides. A holder that lost the role
/// learns of it from its next read or conditioned write, and needs to learn
/// nothing to be harmless: all its writes require the row's old version.
class Role {
 public:
  /// @param holder_gone whether a row's holder is believed to be gone.
  /// @param may_hold whether this node can serve as scheduler now.
  Role(base::EventLoop& loop, RoleOptions options, Table& table,
       table::Writer& writer, std::function<bool(const RoleRow&)> holder_gone,
       std::function<bool()> may_hold);
  ~Role();
  Role(const Role&) = delete;
  Role& operator=(const Role&) = delete;

  void Start();
  /// Gives the role up and takes it no more.
  void Release(std::function<void()> done);

  [[nodiscard]] bool held() const noexcept { return held_; }
  /// The last row known; its epoch is 0 when there is none.
  [[nodiscard]] const RoleRow& row() const noexcept { return row_; }
  /// Required by every write of the holder.
  [[nodiscard]] Condition condition() const;
  /// True if the table confirmed the role a short time ago.
  [[nodiscard]] bool IsFresh() const noexcept;

  /// Takes the conflicting keys of a conditioned write.
  /// @return true if the role itself is lost.
  bool OnConflict(const std::vector<std::string>& failed_keys);

  sigc::signal<void()>& taken() noexcept { return taken_; }
  sigc::signal<void()>& lost() noexcept { return lost_; }

 private:
  void Refresh();
  void OnRow(const Result<std::vector<Row>>& rows, MonotonicTime asked_at);
  void Take();
  void Lose();
  /// Called when another node has taken the role from this one.
  void PauseAfterLoss();
  void Write(RoleRow row, std::function<void(const table::WriteResult&)> done);

  base::EventLoop& loop_;
  RoleOptions options_;
  Table& table_;
  table::Writer& writer_;
  std::function<bool(const RoleRow&)> holder_gone_;
  std::function<bool()> may_hold_;
  std::string key_;
  RoleRow row_;
  RowVersion version_;
  bool held_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool released_ = false;
  MonotonicTime confirmed_at_{0};
  MonotonicTime taken_at_{0};
  MonotonicTime may_take_at_{0};
  Milliseconds pause_{0};
  base::Timer timer_;
  sigc::signal<void()> taken_;
  sigc::signal<void()> lost_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::scheduler
