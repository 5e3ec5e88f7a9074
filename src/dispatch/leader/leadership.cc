#include "dispatch/leader/leadership.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/events.hpp"
#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::dispatch {
namespace {

using Status = TransactResult::Status;

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxCounter = INT64_MAX;
constexpr std::size_t kMaxNameBytes = 200;

}  // namespace

std::string EncodeLeader(const LeaderRecord& leader) {
  return base::DumpJson({{"node", leader.node.str()},
                         {"incarnation", leader.incarnation.value()},
                         {"ip", leader.address.ip},
                         {"port", leader.address.port},
                         {"epoch", leader.epoch.value()}});
}

Result<LeaderRecord> DecodeLeader(std::string_view value) {
  const auto json = base::ParseJson(value, "leader");
  if (!json.ok()) return json.error();
  base::ObjectReader reader(json.value(), "leader");
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  LeaderRecord leader;
  reader.String("node", kMaxNameBytes, node, base::Presence::kRequired);
  reader.Integer("incarnation", 0, kMaxCounter, incarnation,
                 base::Presence::kRequired);
  reader.String("ip", kMaxNameBytes, leader.address.ip,
                base::Presence::kRequired);
  reader.Integer("port", 0, kMaxPort, leader.address.port,
                 base::Presence::kRequired);
  reader.Integer("epoch", 1, kMaxCounter, epoch, base::Presence::kRequired);
  if (const auto error = reader.Finish()) return *error;
  leader.node = NodeId(std::move(node));
  leader.incarnation = Incarnation(incarnation);
  leader.epoch = Epoch(epoch);
  return leader;
}

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
  const bool names_us =
      leader && leader->IsProcess(self_.node, self_.incarnation);
  // A peer's word carries no version, without which nothing can be written.
  if (names_us && !leading_ && leader->version.value() == 0) return ReadRow();
  row_known_ = true;
  const bool same = leader && leader_ && leader->epoch == leader_->epoch;
  if (same) {
    if (leader->version.value() > 0) leader_->version = leader->version;
    return;
  }
  leader_ = leader;
  contend_timer_.reset();
  heartbeat_since_ = base::MonotonicNow();
  heartbeat_ = RowVersion();
  connected_ = refused_ = false;
  if (!leader_) return ContendSoon();
  const bool ours = leader_->IsProcess(self_.node, self_.incarnation);
  if (leading_ && (!ours || leader_->epoch != self_.epoch)) {
    base::Log(base::Event::kLeaderLost, {{"leader", self_.node.str()},
                                         {"reason", "replaced"},
                                         {"epoch", self_.epoch.value()},
                                         {"by", leader_->node.str()},
                                         {"by_epoch", leader_->epoch.value()}});
    Depose();
  }
  if (ours && !leading_ && !resigned_) {
    // The reply to the claim was lost.
    self_.epoch = leader_->epoch;
    self_.version = leader_->version;
    leading_ = true;
    renewed_at_ = base::MonotonicNow();
    renew_timer_ =
        loop_.Every(options_.heartbeat_period, 0.1, [this] { Renew(); });
    hooks_.on_lead(*leader_);
    return;
  }
  hooks_.on_leader(*leader_);
  // An earlier process on this VM led; it is certainly over.
  if (leader_->node == self_.node && !ours) ContendSoon();
}

void Leadership::SetLeaderConnected(bool connected) {
  if (connected_ == connected) return;
  connected_ = connected;
  refused_ = false;
  heartbeat_ = RowVersion();
  heartbeat_since_ = base::MonotonicNow();
  // The silence counts from the first reading of the heartbeat.
  if (!connected) Check();
}

void Leadership::OnLeaderDenied() { ContendSoon(); }

void Leadership::ContendSoon() {
  if (contending_ || resigned_ || leading_ || contend_timer_.active()) return;
  const std::size_t spread =
      std::hash<NodeId>()(self_.node) %
      static_cast<std::size_t>(options_.max_jitter.count());
  contend_timer_ = loop_.After(
      options_.contend_delay + Milliseconds(static_cast<std::int64_t>(spread)),
      [this] { Contend(); });
}

void Leadership::Contend() {
  if (contending_ || resigned_ || leading_ || !row_known_) return;
  contending_ = true;
  LeaderRecord claim = self_;
  claim.epoch = leader_ ? leader_->epoch.next() : Epoch(1);
  Transaction transaction;
  transaction.conditions.push_back(
      {kLeaderKey, leader_ ? leader_->version : RowVersion()});
  transaction.writes.push_back({kLeaderKey, EncodeLeader(claim)});
  table_.Transact(std::move(transaction),
                  [this, alive = alive_](const TransactResult& result) {
                    if (*alive) OnContended(result);
                  });
}

void Leadership::OnContended(const TransactResult& result) {
  contending_ = false;
  // The row says who won, and its exact version; the feed may lag or be down.
  if (result.status != Status::kUnavailable) ReadRow();
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
  if (leading_ || resigned_ || connected_) return;
  if (!row_known_) return ReadRow();
  if (!leader_) return ContendSoon();
  table_.Read({{kHeartbeatKey}, {}}, [this, alive = alive_](
                                         const Result<std::vector<Row>>& rows) {
    if (!*alive || !rows.ok()) return;
    OnHeartbeat(rows.value().empty() ? RowVersion() : rows.value()[0].version);
  });
}

void Leadership::OnHeartbeat(RowVersion version) {
  if (leading_ || connected_) return;
  const MonotonicTime now = base::MonotonicNow();
  if (version != heartbeat_) {
    heartbeat_ = version;
    heartbeat_since_ = now;
    return;
  }
  const Milliseconds silence =
      refused_ ? options_.silence_when_refused : options_.silence;
  if (now - heartbeat_since_ < silence) return;
  heartbeat_since_ = now;
  ContendSoon();
}

void Leadership::Renew() {
  if (!leading_ || renewing_) return;
  renewing_ = true;
  Transaction transaction;
  transaction.conditions.push_back({kLeaderKey, self_.version});
  transaction.writes.push_back(
      {kHeartbeatKey, std::to_string(self_.epoch.value())});
  table_.Transact(std::move(transaction),
                  [this, alive = alive_](const TransactResult& result) {
                    if (*alive) OnRenewed(result);
                  });
}

void Leadership::OnRenewed(const TransactResult& result) {
  renewing_ = false;
  if (result.status == Status::kConflict) {
    base::Log(base::Event::kLeaderLost, {{"leader", self_.node.str()},
                                         {"reason", "renewal_conflict"},
                                         {"epoch", self_.epoch.value()},
                                         {"version", self_.version.value()}});
    return OnConflict();
  }
  if (result.status != Status::kUnknown) {
    return NoteReachable(result.status == Status::kCommitted);
  }
  // A lost reply alone is no reason to yield.
  table_.Read({{kHeartbeatKey}, {}},
              [this, alive = alive_](const Result<std::vector<Row>>& rows) {
                if (*alive) NoteReachable(rows.ok());
              });
}

void Leadership::NoteReachable(bool reachable) {
  if (!leading_) return;
  const MonotonicTime now = base::MonotonicNow();
  if (reachable) renewed_at_ = now;
  const bool yielding = now - renewed_at_ > options_.yield_after;
  if (yielding == yielding_) return;
  yielding_ = yielding;
  hooks_.on_yield(yielding);
}

void Leadership::OnConflict() {
  if (!leading_) return;
  Depose();
  ReadRow();
}

void Leadership::Depose() {
  leading_ = false;
  yielding_ = false;
  renew_timer_.reset();
  hooks_.on_deposed();
}

void Leadership::Resign(std::function<void()> done) {
  resigned_ = true;
  if (!leading_) return done();
  Depose();
  done();
}

}  // namespace mangospread::dispatch
