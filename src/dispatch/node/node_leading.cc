// A node as the leader: its group and the channels of its followers.
#include <algorithm>
#include <chrono>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "dispatch/node/node.hpp"

namespace mangospread::dispatch {
namespace {

/// Short, since followers learn at once of a leader that has stepped down.
constexpr Milliseconds kNotLeadingRetryAfter{500};

constexpr MonotonicTime kOverloadCheckPeriod = std::chrono::milliseconds(100);

}  // namespace

void Node::NotifyFormerLeader() {
  if (!followed_leader_ || followed_leader_->node == options_.node) return;
  auto channel = Channel::Connect(deps_.loop, followed_leader_->address,
                                  options_.channel, ChannelHooks());
  channel->Send(MakeHello(true));
  constexpr MonotonicTime kNotifyTimeout = std::chrono::seconds(1);
  notify_timer_ =
      deps_.loop.After(kNotifyTimeout, [channel] { channel->Close(); });
}

void Node::Lead(const LeaderRecord& leader) {
  NotifyFormerLeader();
  if (leader_channel_) leader_channel_->Close();
  leader_channel_.reset();
  reconnect_timer_.reset();
  connected_ = false;
  contact_.OnLost();
  agent_.DropUnsent();
  agent_.StopExtending();
  calls_.SetLeaderAvailable(false);
  const bool follows_last =
      followed_leader_ && followed_leader_->epoch.next() == leader.epoch;
  const auto former_leader = follows_last ? followed_leader_ : std::nullopt;
  const auto former_elected_by =
      follows_last ? std::optional(followed_since_) : std::nullopt;
  auto former_confirmed_by = leadership_->former_renewed_by();
  if (former_confirmed_by) {
    former_confirmed_by = std::max(*former_confirmed_by, follow_confirmed_at_);
  }
  followed_leader_ = leader;
  followed_since_ = base::MonotonicNow();
  GroupLeaderDependencies deps{
      deps_.loop,
      deps_.table,
      options_.node,
      options_.data_center,
      "writer/" + options_.node.str() + "-" +
          std::to_string(options_.incarnation.value()) + "-" +
          std::to_string(leader.epoch.value()),
      leader,
      deps_.decode,
      [this](const NodeId& agent, AgentCommand command) {
        SendCommand(agent, std::move(command));
      },
      deps_.observe,
      [this, epoch = leader.epoch] {
        // The rows may arrive after this node has stepped down.
        if (leader_ && followed_leader_->epoch == epoch) {
          calls_.SetLeaderAvailable(true);
        }
      },
      [this] { leadership_->OnConflict(); },
      [this] {
        return leadership_->confirmed() &&
               AgentPermission() == Permission::kStarts;
      },
      [this](std::function<void(bool)> done) {
        leadership_->Confirm(std::move(done));
      },
      former_leader,
      former_elected_by,
      former_confirmed_by,
      leadership_->former_lease(),
      [this] { return KnowsEvacuations(); }};
  leader_ = std::make_unique<GroupLeader>(std::move(deps), options_.leader);
  leader_->SetEvacuations(evacuations_);
  leader_->SetUnguardedServices(unguarded_services_);
  if (followed_stopped_at_ && former_leader) {
    leader_->OnFormerLeaderStopped(*followed_stopped_at_);
  }
  followed_stopped_at_.reset();
  agent_.SetEarlierLease(leadership_->former_lease());
  leader_->OnFollowerSeen(options_.node, options_.incarnation,
                          agent_.LastGrantAge());
  leader_->OnAgentUp(options_.node, options_.data_center, agent_.LastGrantAge(),
                     true);
  workers_read_ = false;
  leader_->OnWorkers(listed_);
  for (const FormerLeaderRuns& runs : agent_.CollectRuns()) {
    leader_->OnKnownRuns(options_.node, runs);
  }
  leader_->OnReportsEnd(options_.node, agent_.CollectReportsEnd());
  agent_.SuspendNotRenewing();
  leader_->Start();
  logged_permission_ = Permission::kStarts;
  overload_ = OverloadDetector();
  overload_check_due_ = base::MonotonicNow() + kOverloadCheckPeriod;
  overload_timer_ =
      deps_.loop.After(kOverloadCheckPeriod, [this] { CheckOverload(); });
  deps_.on_leading(true);
  Announce(true);
}

void Node::CheckOverload() {
  const MonotonicTime now = base::MonotonicNow();
  overload_.Observe(now, now - overload_check_due_);
  overload_check_due_ = now + kOverloadCheckPeriod;
  overload_timer_ =
      deps_.loop.After(kOverloadCheckPeriod, [this] { CheckOverload(); });
  LogPermission();
  // The load of this node alone is no reason to yield without followers.
  leadership_->SetOverloaded(overload_.overloaded() && !agents_.empty());
}

void Node::LogPermission() {
  const Permission permission = AgentPermission();
  if (permission == std::exchange(logged_permission_, permission)) return;
  const MonotonicTime now = base::MonotonicNow();
  const auto age = std::chrono::duration_cast<Milliseconds>(
      now - leadership_->confirmed_at());
  base::Log(base::Event::kPermissionChanged,
            {{"permission", PermissionName(permission)},
             {"unconfirmed_ms", age.count()},
             {"undivided", leader_->FollowedSince(now) ? 1 : 0}});
}

void Node::StepDown() {
  base::Log(base::Event::kLeaderInactive, {{"node", options_.node.str()}});
  overload_timer_.reset();
  deps_.on_leading(false);
  calls_.SetLeaderAvailable(false);
  agent_.StopExtending();
  // The GroupLeader is destroyed later, since its own callbacks call StepDown.
  deps_.loop.Post([old = std::shared_ptr<GroupLeader>(std::move(leader_))] {});
  // Followers close their channels when they receive the hello. Closing the
  // channels here would lose the hello.
  Announce(false);
  agents_.clear();
  permitted_at_.clear();
  reconnect_timer_ =
      deps_.loop.After(options_.reconnect_delay, [this] { Connect(); });
}

void Node::Announce(bool leading) {
  for (const auto& [channel, node] : peers_) channel->Send(MakeHello(leading));
}

void Node::Accept(std::shared_ptr<Channel> channel) {
  if (peers_.size() >= options_.max_peers) return channel->Close();
  ChannelHooks hooks;
  Channel* raw = channel.get();
  hooks.on_frame = [this, raw](Frame frame) {
    OnPeerFrame(raw->shared_from_this(), std::move(frame));
  };
  hooks.on_closed = [this, raw](Errc /*reason*/) {
    OnPeerClosed(raw->shared_from_this());
  };
  hooks.permission = [this, raw] {
    return PermitAgent(raw->shared_from_this());
  };
  hooks.wants_confirmation = [this] { return WantsConfirmation(); };
  hooks.on_confirmed = [this, raw](MonotonicTime sent_at,
                                   Permission /*permission*/) {
    OnPeerConfirmed(raw->shared_from_this(), sent_at);
  };
  channel->SetHooks(std::move(hooks));
  peers_.emplace(std::move(channel), NodeId());
}

void Node::OnPeerFrame(const std::shared_ptr<Channel>& channel, Frame frame) {
  if (const auto* hello = std::get_if<Hello>(&frame)) {
    return OnPeerHello(channel, *hello);
  }
  if (!peers_.contains(channel)) return;
  // Reports of a peer that has not introduced itself to this leader name no
  // agent to which the leader could assign a worker.
  const auto agent = AgentAt(channel);
  if (const auto* runs = std::get_if<FormerLeaderRuns>(&frame)) {
    if (agent) leader_->OnKnownRuns(*agent, *runs);
  } else if (const auto* end = std::get_if<ReportsEnd>(&frame)) {
    if (agent) leader_->OnReportsEnd(*agent, *end);
  } else if (const auto* event = std::get_if<AgentEvent>(&frame)) {
    if (agent) leader_->OnAgentEvent(*agent, *event);
  } else if (auto* call = std::get_if<CallFrame>(&frame)) {
    const std::uint64_t id = call->id;
    if (!leader_) {
      channel->Send(ReplyFrame{id, MakeRefusal(kNotLeadingRetryAfter)});
      return;
    }
    Handle(std::move(call->call), [channel, id](const ServiceReply& reply) {
      channel->Send(ReplyFrame{id, reply});
    });
  }
}

void Node::OnPeerHello(const std::shared_ptr<Channel>& channel,
                       const Hello& hello) {
  channel->SetIntroduced();
  AdoptNewerLeader(hello);
  const bool leading = leader_ != nullptr;
  channel->Send(MakeHello(leading));
  if (!leading) return;
  const auto old = agents_.find(hello.node);
  if (old != agents_.end()) {
    // Introduced itself again; the reply has permitted it something.
    if (old->second == channel) return NotePermitted(hello.node);
    LoseAgent(hello.node);
    peers_.erase(old->second);
    old->second->Close();
  }
  leader_->OnAgentLease(hello.worker_lease);
  leader_->OnWorkLimit(hello.max_work_bytes);
  peers_[channel] = hello.node;
  agents_[hello.node] = channel;
  NotePermitted(hello.node);
  if (!hello.leading) {
    leader_->OnFollowerSeen(hello.node, hello.incarnation,
                            hello.last_grant_age);
  }
  leader_->OnAgentUp(hello.node, hello.data_center, hello.last_grant_age,
                     hello.numbers_attachments);
}

Permission Node::PermitAgent(const std::shared_ptr<Channel>& channel) {
  const Permission permission = AgentPermission();
  if (permission == Permission::kNone) return permission;
  if (const auto agent = AgentAt(channel)) NotePermitted(*agent);
  return permission;
}

void Node::OnPeerConfirmed(const std::shared_ptr<Channel>& channel,
                           MonotonicTime sent_at) {
  if (const auto agent = AgentAt(channel)) {
    leader_->OnAgentConfirmed(*agent, sent_at);
  }
}

std::optional<NodeId> Node::AgentAt(
    const std::shared_ptr<Channel>& channel) const {
  const auto peer = peers_.find(channel);
  if (!leader_ || peer == peers_.end()) return std::nullopt;
  const auto agent = agents_.find(peer->second);
  if (agent == agents_.end() || agent->second != channel) return std::nullopt;
  return peer->second;
}

void Node::OnPeerClosed(const std::shared_ptr<Channel>& channel) {
  const auto node = peers_.extract(channel);
  if (node.empty()) return;
  const auto agent = agents_.find(node.mapped());
  if (agent == agents_.end() || agent->second != channel) return;
  agents_.erase(agent);
  LoseAgent(node.mapped());
}

void Node::NotePermitted(const NodeId& agent) {
  permitted_at_[agent] = base::MonotonicNow();
}

void Node::LoseAgent(const NodeId& agent) {
  const auto permitted = permitted_at_.extract(agent);
  if (leader_ == nullptr) return;
  leader_->OnAgentDown(agent, permitted.empty()
                                  ? std::nullopt
                                  : std::optional(permitted.mapped()));
}

void Node::SendCommand(const NodeId& agent, AgentCommand command) {
  if (agent == options_.node) {
    agent_.Execute(std::move(command));
    return;
  }
  const auto it = agents_.find(agent);
  if (it != agents_.end()) it->second->Send(std::move(command));
}

void Node::OnAgentEvent(AgentEvent event) {
  if (!leader_) {
    if (connected_) leader_channel_->Send(std::move(event));
    return;
  }
  // Deferred, since a session may emit an event while it executes a command
  // that the leader is issuing.
  deps_.loop.Post([this, alive = alive_, event = std::move(event),
                   emitted_at = base::MonotonicNow()] {
    if (!*alive || !leader_) return;
    leader_->OnAgentEvent(options_.node, event);
    own_event_handled_at_ = emitted_at;
  });
}

}  // namespace mangospread::dispatch
