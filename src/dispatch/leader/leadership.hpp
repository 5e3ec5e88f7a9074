/// @file
/// Election of the node that leads a group.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "dispatch/leader/agents_row.hpp"
#include "dispatch/leader/contend_reason.hpp"
#include "dispatch/leader/heartbeat_row.hpp"
#include "dispatch/leader/leader_record.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/platform/table.hpp"

namespace mangospread::dispatch {

struct LeadershipOptions {
  /// Period at which the leader renews its heartbeat row.
  Milliseconds heartbeat_period{400};
  /// A leader whose heartbeat row does not change for this long may be
  /// replaced.
  Milliseconds heartbeat_timeout{900};
  /// The same when its address refuses connections. A firewall may refuse them
  /// while the leader is running, so the heartbeat row is still checked.
  Milliseconds heartbeat_timeout_when_refused{600};
  /// Period at which a node without a channel to the leader checks the rows.
  Milliseconds check_period{300};
  /// Delay before contending; shorter on larger VMs, which are better suited to
  /// lead.
  Milliseconds contend_delay{0};
  /// Candidates spread their attempts over this interval.
  Milliseconds max_contend_jitter{120};
  /// A leader that fails to renew its heartbeat row for this long announces
  /// that others may take over.
  Milliseconds yield_after{1'000};
  /// It also does if no renewal of its has been confirmed for this long, though
  /// the table answers reads.
  Milliseconds yield_after_unconfirmed{3'000};
  /// A leader without any result of a renewal for this long, such as a process
  /// that was paused, makes no decisions until the next one. Longer than a
  /// renewal that the table does not answer. The result of a renewal that took
  /// longer does not count, since it may have waited for a paused process.
  Milliseconds confirmation_timeout{1'800};
  /// A claim without a result may still take effect for this long.
  Milliseconds unknown_claim_timeout{20'000};
  /// A leader that yields because it is overloaded has led for at least this
  /// long, so that a load too high for every node does not move the role on and
  /// on.
  Milliseconds min_tenure{10'000};
};

struct LeadershipHooks {
  /// The row names a new leader. Not called when this process is elected.
  std::function<void(const LeaderRecord&)> on_leader_changed;
  /// This process has become the leader.
  std::function<void(const LeaderRecord&)> on_elected;
  /// This process is no longer the leader.
  std::function<void()> on_stepped_down;
  /// Another node may take over, since this leader cannot write to the table or
  /// is overloaded (true), or none needs to any more (false).
  std::function<void(bool yielding)> on_yield;
  /// Length of the longest leases that workers may hold while this process
  /// leads. Null for the lease of this version.
  std::function<Milliseconds()> longest_lease = nullptr;
};

inline constexpr const char* kLeaderKey = "role/leader";

/// Follows the leader's row and contends for it. The compare-and-set of the row
/// decides the election. The heartbeat row and the channels only determine when
/// to contend, so a false suspicion costs time but never creates two leaders
/// that can write.
class Leadership {
 public:
  Leadership(base::EventLoop& loop, Table& table, LeaderRecord self,
             LeadershipOptions options, LeadershipHooks hooks);
  ~Leadership();
  Leadership(const Leadership&) = delete;
  Leadership& operator=(const Leadership&) = delete;

  /// Handles an update of the row from the table's feed or from a peer; nullopt
  /// if the row does not exist. A record from a peer has version 0.
  void OnRow(const std::optional<LeaderRecord>& leader);
  /// Reports whether the channel to the leader is established.
  void SetLeaderConnected(bool connected);
  /// Reports that the leader's address refused a connection.
  void OnLeaderRefused() { refused_ = true; }
  /// Reports that the process at the leader's address does not lead or is a
  /// different process.
  void OnLeaderDenied();
  /// Reports whether the leader, which stays connected, lets others take over.
  void SetLeaderYielding(bool yielding);
  /// Reports whether this leader cannot keep up with its work; another node may
  /// then take over, unless this one has not led for long.
  void SetOverloaded(bool overloaded);
  /// Steps down for a planned stop and never contends again. Calls `done`
  /// before it returns.
  void Resign(std::function<void()> done);
  /// Reports that a write conditional on the leader's row failed on that
  /// condition.
  void OnConflict();

  [[nodiscard]] bool leading() const noexcept { return leading_; }
  /// True if this process may have been elected without knowing it: a claim is
  /// in flight, or its result is unknown.
  [[nodiscard]] bool may_be_elected() const noexcept;
  [[nodiscard]] bool yielding() const noexcept { return yielding_; }
  /// True while this process leads as far as it can know: it has had a result
  /// of a renewal recently. False after a pause, during which another node may
  /// have taken over.
  [[nodiscard]] bool confirmed() const noexcept;
  /// Calls `done` with whether this process still leads, as far as a renewal
  /// shows that is sent from now on: false if the table confirms none, or after
  /// a pause. May call it before it returns.
  void Confirm(std::function<void(bool leads)> done);
  /// Time at which this process sent the last claim or renewal that the table
  /// has confirmed. No other process had been elected before.
  [[nodiscard]] MonotonicTime confirmed_at() const noexcept {
    return confirmed_at_;
  }
  /// Time by which the leader before this one had sent the last renewal that
  /// the table has confirmed; nullopt if it is not known.
  [[nodiscard]] std::optional<MonotonicTime> former_renewed_by()
      const noexcept {
    return former_renewed_by_;
  }
  /// Length of the longest leases that workers may hold from the time of the
  /// leader before this one.
  [[nodiscard]] Milliseconds former_lease() const noexcept {
    return former_lease_;
  }
  [[nodiscard]] const std::optional<LeaderRecord>& leader() const noexcept {
    return leader_;
  }

 private:
  void Contend();
  /// True if the reason of the attempt still holds.
  /// @param rows those of the present leader's agents and of its heartbeat, as
  ///   far as they exist.
  [[nodiscard]] bool MayClaim(const std::vector<Row>& rows);
  /// @param rows as for MayClaim.
  void Claim(const std::vector<Row>& rows);
  /// Length of the longest leases that workers may hold, by the present
  /// leader's heartbeat row.
  [[nodiscard]] Milliseconds FormerLease() const;
  /// Records that the heartbeat row has this content now.
  void ObserveHeartbeat(const std::optional<Row>& row);
  void ScheduleContend(ContendReason reason);
  /// Gives up what is scheduled, and what waits for the row of agents.
  void CancelContend();
  /// Ends the running attempt.
  /// @param repeats its reason may still hold.
  void EndContend(bool repeats);
  /// @param over the leader that the claim was to replace.
  void OnContendResult(const TransactResult& result, ContendReason reason,
                       const std::optional<LeaderRecord>& over);
  void ReadRow();
  void Check();
  void OnHeartbeat(RowVersion version);
  /// A call of Confirm.
  struct Question {
    MonotonicTime asked_at{0};
    std::function<void(bool leads)> done;
  };

  /// Answers the questions that were asked before a renewal was sent.
  void AnswerQuestions(MonotonicTime sent_at, bool leads);
  void Renew();
  void OnRenewed(const TransactResult& result, MonotonicTime sent_at);
  /// Reads whether this process still leads, after a lost reply.
  void ConfirmByRead();
  /// @param sent_at time at which the read was sent.
  void OnConfirmationRead(const Result<std::vector<Row>>& rows,
                          MonotonicTime sent_at);
  /// Handles the number of renewals that the heartbeat row shows.
  /// @return false if it shows none that was not confirmed.
  bool ConfirmRenewals(std::uint64_t renewals);
  /// Records whether this leader reaches the table.
  void UpdateTableReachable(bool table_reachable);
  void UpdateYielding();
  void StepDown();

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
  /// Of the scheduled or running attempt; nullopt once it no longer holds.
  std::optional<ContendReason> contend_reason_;
  /// Of the attempt that follows the running one.
  std::optional<ContendReason> next_contend_reason_;
  bool renewing_ = false;
  bool yielding_ = false;
  bool table_lost_ = false;       ///< This leader yields without the table.
  bool overloaded_ = false;       ///< This leader yields for its load.
  bool leader_yielding_ = false;  ///< The connected leader yields.
  MonotonicTime elected_at_{0};
  MonotonicTime renewed_at_{0};
  /// Time of the last result of a renewal, successful or not.
  MonotonicTime renewal_result_at_{0};
  /// Time of the first claim that may have elected this process.
  MonotonicTime contended_at_{0};
  /// The same while the result of that claim is unknown.
  std::optional<MonotonicTime> unknown_claim_at_;
  bool claiming_ = false;           ///< A claim is in flight.
  MonotonicTime claim_sent_at_{0};  ///< Time of the last claim.
  MonotonicTime confirmed_at_{0};
  std::vector<Question> questions_;
  RowVersion heartbeat_version_;  ///< Last version of the heartbeat row.
  MonotonicTime heartbeat_timeout_start_{0};
  /// Newest content of the heartbeat row that this process has read since it
  /// knows the present leader.
  struct SeenHeartbeat {
    RowVersion version;
    MonotonicTime at{0};  ///< When it was first read.
    /// The present leader's; nullopt if it has stored none, or if it is a
    /// former version, which may count renewals that the row doesn't show.
    std::optional<HeartbeatRow> row;
  };
  std::optional<SeenHeartbeat> seen_heartbeat_;
  /// The same as former_renewed_by(), if a claim that was sent succeeds.
  std::optional<MonotonicTime> claim_renewed_by_;
  std::optional<MonotonicTime> former_renewed_by_;
  Milliseconds former_lease_{kWorkerLease};
  std::uint64_t renewals_ = 0;  ///< Sent by this process.
  /// Times at which the renewals were sent that are not known to have taken
  /// effect, by their numbers.
  std::map<std::uint64_t, MonotonicTime> unconfirmed_renewals_;
  base::Timer check_timer_;
  base::Timer renew_timer_;
  base::Timer contend_timer_;
  /// Set to false by the destructor, so that pending callbacks do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::dispatch
