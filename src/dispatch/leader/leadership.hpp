/// @file
/// Which node leads the group.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/loop/event_loop.hpp"
#include "mangospread/address.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/platform/table.hpp"

namespace mangospread::dispatch {

/// The leader as its row in the table names it.
struct LeaderRecord {
  NodeId node;
  Incarnation incarnation;
  Address address;  ///< Accepts channels.
  Epoch epoch;
  RowVersion version;

  [[nodiscard]] bool IsProcess(const NodeId& other,
                               Incarnation process) const noexcept {
    return node == other && incarnation == process;
  }
};

[[nodiscard]] std::string EncodeLeader(const LeaderRecord& leader);
/// @errors kMalformed.
[[nodiscard]] Result<LeaderRecord> DecodeLeader(std::string_view value);

struct LeadershipOptions {
  /// The leader renews its heartbeat row this often.
  Milliseconds heartbeat_period{400};
  /// A leader whose heartbeat row stands still for this long may be replaced.
  Milliseconds silence{900};
  /// The same when its address refuses connections. A firewall may refuse them
  /// while the leader lives, so the row still counts.
  Milliseconds silence_when_refused{600};
  Milliseconds check_period{300};
  /// Added before contending; shorter on larger VMs, which lead better.
  Milliseconds contend_delay{0};
  /// Candidates spread their attempts over this time.
  Milliseconds max_jitter{120};
  /// A leader that failed to renew for this long lets others take over.
  Milliseconds yield_after{1'000};
};

struct LeadershipHooks {
  /// The row names another leader, or this process.
  std::function<void(const LeaderRecord&)> on_leader;
  /// This process became the leader.
  std::function<void(const LeaderRecord&)> on_lead;
  /// This process is the leader no more.
  std::function<void()> on_deposed;
  /// This leader cannot write (true), or can again.
  std::function<void(bool yielding)> on_yield;
};

inline constexpr const char* kLeaderKey = "role/leader";
inline constexpr const char* kHeartbeatKey = "beat/leader";

/// Follows and contends for the leader's row. The compare-and-set of the row
/// decides; the heartbeat row and the channels only say when to contend, so a
/// wrong suspicion costs time and never makes two leaders that can write.
class Leadership {
 public:
  Leadership(base::EventLoop& loop, Table& table, LeaderRecord self,
             LeadershipOptions options, LeadershipHooks hooks);
  ~Leadership();
  Leadership(const Leadership&) = delete;
  Leadership& operator=(const Leadership&) = delete;

  /// The row as a feed or a peer shows it; none when it does not exist. What a
  /// peer says has no version.
  void OnRow(const std::optional<LeaderRecord>& leader);
  /// Whether the channel to the leader works.
  void SetLeaderConnected(bool connected);
  /// Nothing accepts connections at the leader's address.
  void OnLeaderRefused() { refused_ = true; }
  /// The leader's process said that it does not lead, or is another one.
  void OnLeaderDenied();
  /// Gives the role up at a planned stop.
  void Resign(std::function<void()> done);
  /// A write conditioned on the leader's row failed on it.
  void OnConflict();

  [[nodiscard]] bool leading() const noexcept { return leading_; }
  [[nodiscard]] const std::optional<LeaderRecord>& leader() const noexcept {
    return leader_;
  }

 private:
  void Contend();
  void ContendSoon();
  void OnContended(const TransactResult& result);
  void ReadRow();
  void Check();
  void OnHeartbeat(RowVersion version);
  void Renew();
  void OnRenewed(const TransactResult& result);
  /// Notes whether the table answers this leader.
  void NoteReachable(bool reachable);
  void Depose();

  base::EventLoop& loop_;
  Table& table_;
  LeaderRecord self_;
  LeadershipOptions options_;
  LeadershipHooks hooks_;
  std::optional<LeaderRecord> leader_;
  bool row_known_ = false;
  bool leading_ = false;
  bool resigned_ = false;
  bool connected_ = false;
  bool refused_ = false;
  bool contending_ = false;
  bool renewing_ = false;
  bool yielding_ = false;
  MonotonicTime renewed_at_{0};
  RowVersion heartbeat_;
  MonotonicTime heartbeat_since_{0};
  base::Timer check_timer_;
  base::Timer renew_timer_;
  base::Timer contend_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::dispatch
