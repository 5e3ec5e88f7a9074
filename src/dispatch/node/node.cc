#include "dispatch/node/node.hpp"

#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::dispatch {
namespace {

/// Delay before the first attempt after a connection was lost.
constexpr Milliseconds kFirstReconnectDelay{20};

}  // namespace

Node::Node(NodeDependencies dependencies, NodeOptions options)
    : deps_(std::move(dependencies)),
      options_(std::move(options)),
      agent_(
          deps_.loop, deps_.make_link, options_.session,
          [this](AgentEvent event) { OnAgentEvent(std::move(event)); },
          {[this] { return permission(); },
           [this](MonotonicTime emitted_at) {
             return LeaderHasHandled(emitted_at);
           },
           [this](const DataCenter& data_center) {
             return IsEvacuated(data_center);
           }},
          deps_.observe),
      listener_(deps_.loop, options_.channel,
                [this](std::shared_ptr<Channel> channel) {
                  Accept(std::move(channel));
                }),
      created_at_(base::MonotonicNow()),
      contact_(options_.leader.loss_notice_delay),
      calls_(deps_.loop, options_.calls,
             [this](std::uint64_t id, const ServiceCall& call) {
               ForwardCall(id, call);
             }) {}

Node::~Node() {
  *alive_ = false;
  if (leader_channel_) leader_channel_->Close();
  for (const auto& [channel, node] : peers_) channel->Close();
}

Result<Address> Node::Start() {
  auto bound = listener_.Listen(options_.peer_address);
  if (!bound.ok()) return bound.error();
  LeaderRecord self;
  self.node = options_.node;
  self.incarnation = options_.incarnation;
  self.address = bound.value();
  LeadershipHooks hooks;
  hooks.on_leader_changed = [this](const LeaderRecord& leader) {
    Follow(leader);
  };
  hooks.on_elected = [this](const LeaderRecord& leader) { Lead(leader); };
  hooks.on_stepped_down = [this] { StepDown(); };
  hooks.longest_lease = [this] {
    return leader_ ? leader_->LongestLease() : kFormerVersionLease;
  };
  hooks.on_yield = [this](bool yielding) {
    if (leader_) leader_->SetYielding(yielding);
    Announce(true);
  };
  leadership_ = std::make_unique<Leadership>(
      deps_.loop, deps_.table, self, options_.leadership, std::move(hooks));
  return bound;
}

void Node::Resign(std::function<void()> done) {
  leadership_->Resign(std::move(done));
}

bool Node::ready() const noexcept {
  return leader_ ? leader_->loaded() : connected_;
}

void Node::OnWorkers(std::map<VmName, WorkerInfo> listed) {
  listed_ = std::move(listed);
  if (!leader_) return;
  workers_read_ = true;
  leader_->OnWorkers(listed_);
  leader_->SetWorkersCurrent(true);
}

void Node::OnWorkersReachable(bool reachable) {
  if (leader_) leader_->SetWorkersCurrent(reachable && workers_read_);
}

void Node::OnEvacuations(Evacuations evacuations) {
  const Evacuations former =
      std::exchange(evacuations_, std::move(evacuations));
  for (const auto& [data_center, version] : former) {
    if (!evacuations_.contains(data_center)) {
      LogEvacuation(data_center, version, false);
    }
  }
  for (const auto& [data_center, version] : evacuations_) {
    if (former.contains(data_center)) continue;
    LogEvacuation(data_center, version, true);
  }
  evacuations_known_ = true;
  if (leader_) leader_->SetEvacuations(evacuations_);
}

void Node::SetUnguardedServices(std::set<ServiceName> services) {
  unguarded_services_ = std::move(services);
  if (leader_) leader_->SetUnguardedServices(unguarded_services_);
}

void Node::OnOperatorReachable(bool reachable) {
  operator_lost_at_ =
      reachable ? std::nullopt : std::optional(base::MonotonicNow());
}

bool Node::IsEvacuated(const DataCenter& data_center) const {
  if (!evacuations_.contains(data_center)) return false;
  return !operator_lost_at_ || base::MonotonicNow() - *operator_lost_at_ <=
                                   options_.evacuations_trust;
}

bool Node::KnowsEvacuations() const {
  return !options_.awaits_evacuations || evacuations_known_ ||
         base::MonotonicNow() - created_at_ >= options_.evacuations_wait;
}

void Node::LogEvacuation(const DataCenter& data_center, RowVersion version,
                         bool in_force) const {
  // -1 on a follower, which does not know.
  const int runs =
      leader_ ? leader_->dispatcher().RunsUnderEvacuation(data_center) : -1;
  base::Log(base::Event::kEvacuationChanged,
            {{"data_center", data_center.str()},
             {"in_force", in_force ? 1 : 0},
             {"version", version.value()},
             {"runs", runs}});
}

void Node::Handle(ServiceCall call, ServiceCallback done) {
  calls_.Add(std::move(call), std::move(done));
}

void Node::ForwardCall(std::uint64_t id, const ServiceCall& call) {
  if (!leader_) return leader_channel_->Send(CallFrame{id, call});
  leader_->Handle(call, [this, alive = alive_, id](const ServiceReply& reply) {
    if (*alive) calls_.Finish(id, reply);
  });
}

// As a follower; the leader's side is in node_leading.cc.

void Node::Follow(const LeaderRecord& leader) {
  followed_leader_ = leader;
  followed_since_ = base::MonotonicNow();
  followed_stopped_at_.reset();
  follow_confirmed_at_ = MonotonicTime(0);
  if (leader_channel_) leader_channel_->Close();
  leader_channel_.reset();
  OnLeaderClosed(Errc::kNotOwner);
  reconnect_timer_.reset();
  Connect();
}

void Node::Connect() {
  if (leader_ || !followed_leader_) return;
  if (leader_channel_) leader_channel_->Close();
  awaits_announcement_ = false;
  ChannelHooks hooks;
  hooks.on_frame = [this](Frame frame) { OnLeaderFrame(std::move(frame)); };
  hooks.on_closed = [this](Errc reason) { OnLeaderClosed(reason); };
  hooks.on_confirmed = [this](MonotonicTime sent_at, Permission permission) {
    OnLeaderConfirmed(sent_at, permission);
  };
  hooks.permission = [this] { return ConfirmFollowing(); };
  leader_channel_ = Channel::Connect(deps_.loop, followed_leader_->address,
                                     options_.channel, std::move(hooks));
  Introduce();
}

void Node::Introduce() {
  leader_channel_->Send(MakeHello(false));
  hello_sent_at_ = base::MonotonicNow();
}

Permission Node::ConfirmFollowing() {
  if (leader_ || leadership_->may_be_elected()) return Permission::kNone;
  follow_confirmed_at_ = base::MonotonicNow();
  return Permission::kStarts;
}

void Node::OnLeaderConfirmed(MonotonicTime sent_at, Permission confirmed) {
  contact_.OnConfirmed(sent_at, confirmed);
  // Starts wait for a permission, or until the leader has handled an
  // attachment.
  agent_.SendPermittedStarts();
}

Permission Node::permission() const {
  return leader_ ? AgentPermission() : contact_.At(base::MonotonicNow());
}

bool Node::LeaderHasHandled(MonotonicTime emitted_at) const {
  return leader_ ? own_event_handled_at_ >= emitted_at
                 : contact_.HasHandled(emitted_at);
}

Permission Node::AgentPermission() const {
  if (!leader_) return Permission::kNone;
  const PermissionTimeouts& timeouts = options_.leader.permission_timeouts;
  const MonotonicTime now = base::MonotonicNow();
  const MonotonicTime age = now - leadership_->confirmed_at();
  // Looks at all nodes, so only if it matters.
  const auto followed_since =
      age > timeouts.starts ? leader_->FollowedSince(now) : std::nullopt;
  return LeaderPermission(
      timeouts, age,
      followed_since ? std::optional(now - *followed_since) : std::nullopt);
}

bool Node::WantsConfirmation() const {
  // Soon enough that all agents have confirmed when it matters.
  return leader_ && base::MonotonicNow() - leadership_->confirmed_at() >
                        options_.leader.permission_timeouts.starts / 2;
}

Hello Node::MakeHello(bool leading) const {
  const auto& leader = leadership_->leader();
  return {options_.node,
          options_.incarnation,
          leader ? leader->epoch : Epoch(),
          leading,
          options_.data_center,
          leader ? *leader : LeaderRecord(),
          leading && leadership_->yielding(),
          agent_.LastGrantAge(),
          leading ? AgentPermission() : Permission::kNone,
          leader_ ? leader_->LongestLease() : options_.session.lease,
          true,
          true,
          options_.leader.max_work_bytes};
}

void Node::OnLeaderFrame(Frame frame) {
  if (const auto* hello = std::get_if<Hello>(&frame)) {
    OnLeaderHello(*hello);
  } else if (auto* command = std::get_if<AgentCommand>(&frame)) {
    agent_.Execute(std::move(*command));
  } else if (const auto* reply = std::get_if<ReplyFrame>(&frame)) {
    calls_.Finish(reply->id, reply->reply);
  }
}

void Node::OnLeaderHello(const Hello& hello) {
  if (hello.leading && followed_leader_ &&
      hello.epoch == followed_leader_->epoch) {
    // A yielding leader is followed until another one is elected: if nobody
    // reaches the table, the work goes on.
    if (connected_) return leadership_->SetLeaderYielding(hello.yielding);
    // It takes as its agents only the nodes that introduce themselves once it
    // leads.
    if (std::exchange(awaits_announcement_, false)) return Introduce();
    connected_ = true;
    reconnect_timer_.reset();
    contact_.OnConnected(hello_sent_at_, hello.permission);
    agent_.SetEarlierLease(hello.worker_lease);
    orphan_timer_.reset();
    base::Log(base::Event::kLeaderFollowed,
              {{"leader", hello.node.str()}, {"epoch", hello.epoch.value()}});
    leadership_->SetLeaderConnected(true);
    leadership_->SetLeaderYielding(hello.yielding);
    calls_.SetLeaderAvailable(true);
    for (FormerLeaderRuns& runs : agent_.CollectRuns()) {
      leader_channel_->Send(std::move(runs));
    }
    if (hello.ends_reports) leader_channel_->Send(agent_.CollectReportsEnd());
    agent_.SuspendNotRenewing();
    return;
  }
  base::Log(base::Event::kLeaderLost, {{"leader", hello.node.str()},
                                       {"reason", "does_not_lead"},
                                       {"epoch", hello.epoch.value()}});
  if (AdoptNewerLeader(hello) || !followed_leader_) return;
  const bool replaced = hello.incarnation != followed_leader_->incarnation;
  // A process that reports a lower epoch may not have read its row yet. It
  // tells all connected peers when it leads.
  if (!replaced && !connected_ && hello.epoch < followed_leader_->epoch) {
    awaits_announcement_ = true;
    reconnect_timer_ =
        deps_.loop.After(options_.reconnect_delay, [this] { Connect(); });
    return;
  }
  if (replaced || hello.epoch == followed_leader_->epoch) {
    followed_stopped_at_ = base::MonotonicNow();
    leadership_->OnLeaderDenied();
  }
  if (leader_channel_) leader_channel_->Close();
  OnLeaderClosed(Errc::kNotOwner);
}

bool Node::AdoptNewerLeader(const Hello& hello) {
  const auto& known = leadership_->leader();
  if (hello.leader.node.empty() || (known && hello.epoch <= known->epoch)) {
    return false;
  }
  leadership_->OnRow(hello.leader);
  return true;
}

void Node::OnLeaderClosed(Errc reason) {
  if (leader_) return;
  const bool was_connected = connected_;
  if (connected_) {
    base::Log(base::Event::kLeaderLost,
              {{"leader", followed_leader_ ? followed_leader_->node.str() : ""},
               {"reason", ErrcName(reason)}});
  }
  connected_ = false;
  contact_.OnLost();
  agent_.DropUnsent();
  agent_.StopExtending();
  leader_channel_.reset();
  leadership_->SetLeaderConnected(false);
  if (reason == Errc::kConnectFailed) leadership_->OnLeaderRefused();
  calls_.SetLeaderAvailable(false);
  if (!orphan_timer_.active()) {
    orphan_timer_ = deps_.loop.After(options_.orphan_timeout, [this] {
      if (!connected_ && !leader_) agent_.SuspendAll();
    });
  }
  // Reconnecting distinguishes an ended process, whose address refuses
  // connections, from a lost connection.
  reconnect_timer_ = deps_.loop.After(
      was_connected ? kFirstReconnectDelay : options_.reconnect_delay,
      [this] { Connect(); });
}

}  // namespace mangospread::dispatch
