#include "dispatch/leader/leadership.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <string_view>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::dispatch {
namespace {

using Status = TransactResult::Status;

std::string_view StatusName(Status status) noexcept {
  switch (status) {
    case Status::kCommitted:
      return "committed";
    case Status::kConflict:
      return "conflict";
    case Status::kRejected:
      return "rejected";
    case Status::kUnavailable:
      return "unavailable";
    default:
      return "unknown";
  }
}

/// True if the leader has only changed other rows since they were read: nobody
/// has been elected. A claim because of a stopped heartbeat has no reason any
/// more if the leader has renewed it.
bool IsRepeated(const TransactResult& result, ContendReason reason) {
  const auto failed = [&](const char* key) {
    return std::find(result.failed_keys.begin(), result.failed_keys.end(),
                     key) != result.failed_keys.end();
  };
  if (result.status != Status::kConflict || failed(kLeaderKey)) return false;
  if (failed(kHeartbeatKey)) return reason != ContendReason::kHeartbeatStopped;
  return failed(kAgentsKey);
}

std::optional<Row> FindRow(const std::vector<Row>& rows, const char* key) {
  const auto it = std::find_if(rows.begin(), rows.end(),
                               [&](const Row& row) { return row.key == key; });
  return it == rows.end() ? std::nullopt : std::optional(*it);
}

void LogClaim(const TransactResult& result, ContendReason reason,
              const std::optional<LeaderRecord>& over, bool superseded) {
  base::Log(base::Event::kLeadershipClaimed,
            {{"reason", ContendReasonName(reason)},
             {"over", over ? over->node.str() : ""},
             {"over_epoch", over ? over->epoch.value() : 0},
             {"result", StatusName(result.status)},
             {"superseded", superseded ? 1 : 0}});
}

}  // namespace

Leadership::Leadership(base::EventLoop& loop, Table& table, LeaderRecord self,
                       LeadershipOptions options, LeadershipHooks hooks)
    : loop_(loop),
      table_(table),
      self_(std::move(self)),
      options_(options),
      hooks_(std::move(hooks)),
      check_timer_(loop.Every(options.check_period, 0.2, [this] { Check(); })) {
}

Leadership::~Leadership() { *alive_ = false; }

void Leadership::OnRow(const std::optional<LeaderRecord>& leader) {
  if (leader && leader_ && leader->epoch < leader_->epoch) return;
  const bool names_self =
      leader && leader->IsProcess(self_.node, self_.incarnation);
  // A record from a peer has no version, and without one the conditions of this
  // leader's writes would fail. A process that has resigned writes nothing, and
  // its followers contend as soon as it denies the election.
  if (names_self && !leading_ && !resigned_ && leader->version.value() == 0) {
    return ReadRow();
  }
  row_known_ = true;
  const bool same = leader && leader_ && leader->epoch == leader_->epoch;
  if (same) {
    if (leader->version.value() > 0) leader_->version = leader->version;
    return;
  }
  leader_ = leader;
  CancelContend();
  seen_heartbeat_.reset();
  former_renewed_by_ = std::exchange(claim_renewed_by_, std::nullopt);
  heartbeat_timeout_start_ = base::MonotonicNow();
  heartbeat_version_ = RowVersion();
  connected_ = refused_ = leader_yielding_ = false;
  if (!leader_) return ScheduleContend(ContendReason::kNoLeader);
  const bool self_leads = leader_->IsProcess(self_.node, self_.incarnation);
  if (leading_ && (!self_leads || leader_->epoch != self_.epoch)) {
    base::Log(base::Event::kLeaderLost, {{"leader", self_.node.str()},
                                         {"reason", "replaced"},
                                         {"epoch", self_.epoch.value()},
                                         {"by", leader_->node.str()},
                                         {"by_epoch", leader_->epoch.value()}});
    StepDown();
  }
  if (self_leads && !leading_ && !resigned_) {
    // The row shows that this process won, even if the reply to its claim was
    // lost.
    self_.epoch = leader_->epoch;
    self_.version = leader_->version;
    leading_ = true;
    elected_at_ = renewed_at_ = renewal_result_at_ = base::MonotonicNow();
    confirmed_at_ = contended_at_;
    renew_timer_ =
        loop_.Every(options_.heartbeat_period, 0.1, [this] { Renew(); });
    unknown_claim_at_.reset();
    hooks_.on_elected(*leader_);
    return;
  }
  unknown_claim_at_.reset();
  hooks_.on_leader_changed(*leader_);
  // A previous process on this VM led; it has certainly ended.
  if (leader_->node == self_.node && !self_leads) {
    ScheduleContend(ContendReason::kRestarted);
  }
}

void Leadership::SetLeaderConnected(bool connected) {
  if (connected_ == connected) return;
  connected_ = connected;
  refused_ = leader_yielding_ = false;
  if (connected || contend_reason_ == ContendReason::kYielding) {
    CancelContend();
  }
  heartbeat_version_ = RowVersion();
  heartbeat_timeout_start_ = base::MonotonicNow();
  // The heartbeat timeout starts with the first read of the heartbeat row.
  if (!connected) Check();
}

void Leadership::OnLeaderDenied() { ScheduleContend(ContendReason::kDenied); }

void Leadership::SetLeaderYielding(bool yielding) {
  if (leader_yielding_ == yielding || leading_) return;
  leader_yielding_ = yielding;
  heartbeat_version_ = RowVersion();
  heartbeat_timeout_start_ = base::MonotonicNow();
  CancelContend();
  if (yielding) ScheduleContend(ContendReason::kYielding);
}

void Leadership::SetOverloaded(bool overloaded) {
  if (!leading_) return;
  overloaded_ =
      overloaded && base::MonotonicNow() - elected_at_ >= options_.min_tenure;
  UpdateYielding();
}

void Leadership::CancelContend() {
  contend_timer_.reset();
  contend_reason_.reset();
  next_contend_reason_.reset();
}

void Leadership::EndContend(bool repeats) {
  contending_ = false;
  auto reason = std::exchange(contend_reason_, std::nullopt);
  if (!repeats) reason.reset();
  if (next_contend_reason_) reason = next_contend_reason_;
  next_contend_reason_.reset();
  if (reason) ScheduleContend(*reason);
}

bool Leadership::confirmed() const noexcept {
  return leading_ && base::MonotonicNow() - renewal_result_at_ <=
                         options_.confirmation_timeout;
}

void Leadership::ScheduleContend(ContendReason reason) {
  if (resigned_ || leading_) return;
  if (contending_) {
    if (!contend_reason_) next_contend_reason_ = reason;
    return;
  }
  // A renewed heartbeat ends an attempt only if there is no other reason.
  if (!contend_reason_ || contend_reason_ == ContendReason::kHeartbeatStopped) {
    contend_reason_ = reason;
  }
  if (contend_timer_.active()) return;
  const std::size_t jitter =
      std::hash<NodeId>()(self_.node) %
      static_cast<std::size_t>(options_.max_contend_jitter.count());
  contend_timer_ = loop_.After(
      options_.contend_delay + Milliseconds(static_cast<std::int64_t>(jitter)),
      [this] { Contend(); });
}

void Leadership::Contend() {
  if (contending_ || resigned_ || leading_ || !row_known_) return;
  if (!contend_reason_) return;
  contending_ = true;
  if (!leader_) return Claim({});
  table_.Read({{kAgentsKey, kHeartbeatKey}, {}},
              [this, alive = alive_](const Result<std::vector<Row>>& rows) {
                if (!*alive) return;
                if (rows.ok() && MayClaim(rows.value())) {
                  return Claim(rows.value());
                }
                EndContend(false);
              });
}

bool Leadership::MayClaim(const std::vector<Row>& rows) {
  ObserveHeartbeat(FindRow(rows, kHeartbeatKey));
  if (!contend_reason_ || resigned_ || leading_) return false;
  return contend_reason_ != ContendReason::kHeartbeatStopped ||
         seen_heartbeat_->version == heartbeat_version_;
}

Milliseconds Leadership::FormerLease() const {
  if (!leader_) return kWorkerLease;
  if (!seen_heartbeat_ || !seen_heartbeat_->row) return kFormerVersionLease;
  return std::max(kWorkerLease, seen_heartbeat_->row->longest_lease);
}

void Leadership::Claim(const std::vector<Row>& rows) {
  if (!may_be_elected()) unknown_claim_at_.reset();
  claim_sent_at_ = base::MonotonicNow();
  contended_at_ = unknown_claim_at_.value_or(claim_sent_at_);
  claiming_ = true;
  LeaderRecord claim = self_;
  claim.epoch = leader_ ? leader_->epoch.next() : Epoch(1);
  Transaction transaction;
  transaction.conditions.push_back(
      {kLeaderKey, leader_ ? leader_->version : RowVersion()});
  transaction.writes.push_back({kLeaderKey, EncodeLeader(claim)});
  const auto agents = FindRow(rows, kAgentsKey);
  const auto stored = agents ? DecodeAgentsRow(agents->value) : std::nullopt;
  const auto row =
      leader_ && stored
          ? ClaimAgentsRow(*stored, {leader_->node, leader_->incarnation},
                           claim)
          : std::nullopt;
  if (leader_) {
    // Until its epoch ends, the leader may still store another one, so that
    // claims of processes that have ended fail.
    transaction.conditions.push_back(
        {kAgentsKey, agents ? agents->version : RowVersion()});
  }
  if (row) {
    transaction.writes.push_back({kAgentsKey, EncodeAgentsRow(*row)});
  }
  former_lease_ = FormerLease();
  const bool bounded = !unknown_claim_at_ || claim_renewed_by_;
  claim_renewed_by_.reset();
  // A leader that yields may renew faster than a slow table answers.
  if (leader_ && contend_reason_ != ContendReason::kYielding) {
    transaction.conditions.push_back({kHeartbeatKey, seen_heartbeat_->version});
    if (bounded && seen_heartbeat_->row) {
      claim_renewed_by_ = seen_heartbeat_->at;
    }
  }
  transaction.writes.push_back(
      {kHeartbeatKey, EncodeHeartbeatRow({claim.epoch, 0, former_lease_})});
  table_.Transact(std::move(transaction),
                  [this, alive = alive_, reason = *contend_reason_,
                   over = leader_](const TransactResult& result) {
                    if (*alive) OnContendResult(result, reason, over);
                  });
}

void Leadership::OnContendResult(const TransactResult& result,
                                 ContendReason reason,
                                 const std::optional<LeaderRecord>& over) {
  claiming_ = false;
  const bool superseded = leader_ && (!over || over->epoch < leader_->epoch);
  LogClaim(result, reason, over, superseded);
  // A newer leader shows whether the claim has succeeded.
  if (result.status == Status::kUnknown && !superseded) {
    unknown_claim_at_ = contended_at_;
  }
  // The row names the winner and has the exact version; the feed may lag or be
  // down.
  if (result.status != Status::kUnavailable) ReadRow();
  EndContend(IsRepeated(result, reason));
}

bool Leadership::may_be_elected() const noexcept {
  return claiming_ ||
         (unknown_claim_at_ && base::MonotonicNow() - claim_sent_at_ <=
                                   options_.unknown_claim_timeout);
}

void Leadership::ReadRow() {
  table_.Read({{kLeaderKey}, {}},
              [this, alive = alive_](const Result<std::vector<Row>>& rows) {
                if (!*alive || !rows.ok() || rows.value().empty()) return;
                auto leader = DecodeLeader(rows.value()[0].value);
                if (!leader.ok()) return;
                leader.value().version = rows.value()[0].version;
                OnRow(leader.value());
              });
}

void Leadership::Check() {
  if (leading_ || resigned_ || (connected_ && !leader_yielding_)) return;
  if (!row_known_) return ReadRow();
  if (!leader_) return ScheduleContend(ContendReason::kNoLeader);
  table_.Read({{kHeartbeatKey}, {}},
              [this, alive = alive_](const Result<std::vector<Row>>& rows) {
                if (!*alive || !rows.ok()) return;
                ObserveHeartbeat(FindRow(rows.value(), kHeartbeatKey));
                OnHeartbeat(seen_heartbeat_->version);
              });
}

void Leadership::ObserveHeartbeat(const std::optional<Row>& row) {
  const RowVersion version = row ? row->version : RowVersion();
  if (seen_heartbeat_ && seen_heartbeat_->version == version) return;
  auto heartbeat = row ? DecodeHeartbeatRow(row->value) : std::nullopt;
  const bool of_leader =
      heartbeat && leader_ && heartbeat->epoch == leader_->epoch;
  if (!of_leader) heartbeat.reset();
  seen_heartbeat_ = {version, base::MonotonicNow(), heartbeat};
}

void Leadership::OnHeartbeat(RowVersion version) {
  if (leading_ || (connected_ && !leader_yielding_)) return;
  const MonotonicTime now = base::MonotonicNow();
  if (version != heartbeat_version_) {
    heartbeat_version_ = version;
    heartbeat_timeout_start_ = now;
    if (contend_reason_ == ContendReason::kHeartbeatStopped) CancelContend();
    return;
  }
  const Milliseconds heartbeat_timeout =
      refused_ ? options_.heartbeat_timeout_when_refused
               : options_.heartbeat_timeout;
  if (now - heartbeat_timeout_start_ < heartbeat_timeout) return;
  heartbeat_timeout_start_ = now;
  ScheduleContend(leader_yielding_ ? ContendReason::kYielding
                                   : ContendReason::kHeartbeatStopped);
}

void Leadership::Confirm(std::function<void(bool leads)> done) {
  if (!confirmed()) return done(false);
  questions_.push_back({base::MonotonicNow(), std::move(done)});
  Renew();
}

void Leadership::AnswerQuestions(MonotonicTime sent_at, bool leads) {
  std::vector<Question> later;
  for (Question& question : std::exchange(questions_, {})) {
    if (leads && question.asked_at > sent_at) {
      later.push_back(std::move(question));
    } else {
      question.done(leads);
    }
  }
  questions_.insert(questions_.end(), std::move_iterator(later.begin()),
                    std::move_iterator(later.end()));
  if (!questions_.empty()) Renew();
}

void Leadership::Renew() {
  if (!leading_ || renewing_) return;
  renewing_ = true;
  const MonotonicTime now = base::MonotonicNow();
  unconfirmed_renewals_[++renewals_] = now;
  const Milliseconds lease =
      hooks_.longest_lease ? hooks_.longest_lease() : kWorkerLease;
  Transaction transaction;
  transaction.conditions.push_back({kLeaderKey, self_.version});
  transaction.writes.push_back(
      {kHeartbeatKey, EncodeHeartbeatRow({self_.epoch, renewals_, lease})});
  table_.Transact(std::move(transaction),
                  [this, alive = alive_, epoch = self_.epoch,
                   sent_at = now](const TransactResult& result) {
                    if (!*alive || !leading_ || self_.epoch != epoch) return;
                    OnRenewed(result, sent_at);
                  });
}

void Leadership::OnRenewed(const TransactResult& result,
                           MonotonicTime sent_at) {
  renewing_ = false;
  const MonotonicTime now = base::MonotonicNow();
  if (now - sent_at <= options_.confirmation_timeout) renewal_result_at_ = now;
  if (result.status == Status::kConflict) {
    base::Log(base::Event::kLeaderLost, {{"leader", self_.node.str()},
                                         {"reason", "renewal_conflict"},
                                         {"epoch", self_.epoch.value()},
                                         {"version", self_.version.value()}});
    return OnConflict();
  }
  if (result.status == Status::kUnknown) return ConfirmByRead();
  const bool committed = result.status == Status::kCommitted;
  if (committed) ConfirmRenewals(renewals_);
  UpdateTableReachable(committed);
  AnswerQuestions(sent_at, committed);
}

bool Leadership::ConfirmRenewals(std::uint64_t renewals) {
  const auto next = unconfirmed_renewals_.upper_bound(renewals);
  if (next == unconfirmed_renewals_.begin()) return false;
  confirmed_at_ = std::max(confirmed_at_, std::prev(next)->second);
  unconfirmed_renewals_.erase(unconfirmed_renewals_.begin(), next);
  return true;
}

void Leadership::ConfirmByRead() {
  // A single lost reply is not a reason to yield.
  table_.Read(
      {{kLeaderKey, kHeartbeatKey}, {}},
      [this, alive = alive_, epoch = self_.epoch,
       sent_at = base::MonotonicNow()](const Result<std::vector<Row>>& rows) {
        if (!*alive || !leading_ || self_.epoch != epoch) return;
        OnConfirmationRead(rows, sent_at);
      });
}

void Leadership::OnConfirmationRead(const Result<std::vector<Row>>& rows,
                                    MonotonicTime sent_at) {
  bool leads = false;
  bool confirms = false;
  if (rows.ok()) {
    const auto leader = FindRow(rows.value(), kLeaderKey);
    const auto row = FindRow(rows.value(), kHeartbeatKey);
    const auto heartbeat = row ? DecodeHeartbeatRow(row->value) : std::nullopt;
    leads = leader && leader->version == self_.version;
    // What the heartbeat row does not show, the next leader does not count.
    confirms = leads && heartbeat && heartbeat->epoch == self_.epoch &&
               ConfirmRenewals(heartbeat->renewals);
  }
  const bool recently =
      sent_at - confirmed_at_ <= options_.yield_after_unconfirmed;
  UpdateTableReachable(rows.ok() && (confirms || recently));
  AnswerQuestions(sent_at, leads);
  // Starts need a newer confirmation than that of a renewal that timed out.
  if (leads) Renew();
}

void Leadership::UpdateTableReachable(bool table_reachable) {
  if (!leading_) return;
  const MonotonicTime now = base::MonotonicNow();
  if (table_reachable) renewed_at_ = now;
  table_lost_ = now - renewed_at_ > options_.yield_after;
  UpdateYielding();
}

void Leadership::UpdateYielding() {
  const bool yielding = table_lost_ || overloaded_;
  if (yielding == yielding_) return;
  yielding_ = yielding;
  base::Log(base::Event::kLeaderYielding,
            {{"leader", self_.node.str()},
             {"epoch", self_.epoch.value()},
             {"store_lost", table_lost_ ? 1 : 0},
             {"overloaded", overloaded_ ? 1 : 0}});
  hooks_.on_yield(yielding);
}

void Leadership::OnConflict() {
  if (!leading_) return;
  StepDown();
  ReadRow();
}

void Leadership::StepDown() {
  leading_ = renewing_ = false;
  unconfirmed_renewals_.clear();
  yielding_ = table_lost_ = overloaded_ = false;
  renew_timer_.reset();
  AnswerQuestions(base::MonotonicNow(), false);
  hooks_.on_stepped_down();
}

void Leadership::Resign(std::function<void()> done) {
  resigned_ = true;
  if (!leading_) return done();
  StepDown();
  done();
}

}  // namespace mangospread::dispatch
