/// @file
/// A node of a group: serves callers, commands workers on behalf of the leader
/// and leads the group when elected.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/loop/event_loop.hpp"
#include "dispatch/front/submission_service.hpp"
#include "dispatch/leader/group_leader.hpp"
#include "dispatch/leader/leadership.hpp"
#include "dispatch/node/leader_contact.hpp"
#include "dispatch/node/pending_calls.hpp"
#include "dispatch/peer/channel.hpp"
#include "dispatch/policy/overload.hpp"
#include "dispatch/worker/agent.hpp"
#include "mangospread/platform/table.hpp"

namespace mangospread::dispatch {

struct NodeOptions {
  NodeId node;
  Incarnation incarnation;
  DataCenter data_center;
  Address peer_address;
  LeadershipOptions leadership;
  ChannelTimeouts channel;
  GroupLeaderOptions leader;
  WorkerSessionOptions session;
  /// Time after the loss of the leader after which others may have been
  /// assigned the workers of this agent.
  Milliseconds orphan_timeout{3'500};
  PendingCallsOptions calls;
  Milliseconds reconnect_delay{250};
  /// Most accepted channels, those that have not introduced themselves
  /// included.
  std::size_t max_peers = 1'500;
  /// As the leader, starts nothing before the evacuations are known, for at
  /// most `evacuations_wait` after its start.
  bool awaits_evacuations = false;
  Milliseconds evacuations_wait{4'000};
  /// For this long after the operator's requests could not be read any more, an
  /// agent withholds starts by what it knows; then it follows its leader, since
  /// the evacuation may have ended.
  Milliseconds evacuations_trust{5'000};
};

struct NodeDependencies {
  base::EventLoop& loop;
  Table& table;
  Agent::MakeLink make_link;
  std::function<Result<Submission>(const SubmissionId&, std::string_view)>
      decode;
  ObserveTiming observe;
  /// Called when this node starts or stops leading. Only the leader needs the
  /// worker list.
  std::function<void(bool leading)> on_leading;
};

class Node {
 public:
  Node(NodeDependencies dependencies, NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts listening for peers and joins the election. Returns the address
  /// that was bound.
  /// @errors kUnavailable with the address as subject.
  [[nodiscard]] Result<Address> Start();
  /// Steps down as leader and never contends again; then calls `done`.
  void Resign(std::function<void()> done);

  /// Handles an update of the leader's row from the table's feed.
  void OnLeaderRow(const std::optional<LeaderRecord>& leader) {
    leadership_->OnRow(leader);
  }
  /// Replaces the list of registered workers by one that was just read.
  void OnWorkers(std::map<VmName, WorkerInfo> listed);
  /// Reports whether changes of that list can be read.
  void OnWorkersReachable(bool reachable);
  /// Replaces the evacuations. This node's agent starts nothing there from now
  /// on, whatever its leader knows of them.
  void OnEvacuations(Evacuations evacuations);
  /// Replaces the services whose workers do not guard their capacity.
  void SetUnguardedServices(std::set<ServiceName> services);
  /// Reports whether the operator's requests can be read.
  void OnOperatorReachable(bool reachable);

  /// Processes a call, locally if this node leads, else through the leader.
  void Handle(ServiceCall call, ServiceCallback done);
  /// Completes all calls at once, and later ones when they arrive, since this
  /// process is about to end.
  void CloseCalls() { calls_.Close(); }

  /// True if this node can process calls at present.
  [[nodiscard]] bool ready() const noexcept;
  [[nodiscard]] const GroupLeader* leader() const noexcept {
    return leader_.get();
  }
  /// The leader that this node follows or is; nullopt if it knows none.
  [[nodiscard]] const std::optional<LeaderRecord>& known_leader()
      const noexcept {
    return followed_leader_;
  }
  /// What this node's agent may do at present.
  [[nodiscard]] Permission permission() const;

 private:
  // As a follower.
  void Follow(const LeaderRecord& leader);
  void Connect();
  void Introduce();
  void OnLeaderFrame(Frame frame);
  void OnLeaderHello(const Hello& hello);
  /// What this node confirms to its leader: kNone once it may have been
  /// elected.
  [[nodiscard]] Permission ConfirmFollowing();
  /// Handles the leader's confirmation of a ping that was sent at this time.
  void OnLeaderConfirmed(MonotonicTime sent_at, Permission confirmed);
  /// Adopts a newer leader that a peer reports, since this node may not reach
  /// the table. Returns false if the peer reports none.
  bool AdoptNewerLeader(const Hello& hello);
  void OnLeaderClosed(Errc reason);
  void ForwardCall(std::uint64_t id, const ServiceCall& call);

  // As the leader.
  void Lead(const LeaderRecord& leader);
  /// Informs the former leader of the takeover, since it may be unable to reach
  /// the table.
  void NotifyFormerLeader();
  void StepDown();
  /// Lets another node lead if this one cannot keep up.
  void CheckOverload();
  /// Logs a change of what this node permits as the leader.
  void LogPermission();
  void Accept(std::shared_ptr<Channel> channel);
  void OnPeerFrame(const std::shared_ptr<Channel>& channel, Frame frame);
  void OnPeerHello(const std::shared_ptr<Channel>& channel, const Hello& hello);
  /// What this node permits a peer in a message that it sends now.
  Permission PermitAgent(const std::shared_ptr<Channel>& channel);
  /// Notes that a message which permits the agent something is sent now.
  void NotePermitted(const NodeId& agent);
  /// Tells the leader that the channel of an agent is gone.
  void LoseAgent(const NodeId& agent);
  /// Handles the confirmation of a ping that was sent at this time.
  void OnPeerConfirmed(const std::shared_ptr<Channel>& channel,
                       MonotonicTime sent_at);
  void OnPeerClosed(const std::shared_ptr<Channel>& channel);
  /// The agent of this leader at the other end; nullopt if there is none.
  [[nodiscard]] std::optional<NodeId> AgentAt(
      const std::shared_ptr<Channel>& channel) const;
  void SendCommand(const NodeId& agent, AgentCommand command);
  [[nodiscard]] bool IsEvacuated(const DataCenter& data_center) const;
  [[nodiscard]] bool KnowsEvacuations() const;
  void LogEvacuation(const DataCenter& data_center, RowVersion version,
                     bool in_force) const;
  /// Tells all connected peers whether this node leads, and if so, whether
  /// another may take over.
  void Announce(bool leading);

  void OnAgentEvent(AgentEvent event);
  /// True if the leader has handled all events of this node's agent up to this
  /// time.
  [[nodiscard]] bool LeaderHasHandled(MonotonicTime emitted_at) const;
  /// What this node permits its agents as the leader.
  [[nodiscard]] Permission AgentPermission() const;
  /// True if the agents are to confirm that they follow, since the table has
  /// not confirmed it for long.
  [[nodiscard]] bool WantsConfirmation() const;
  [[nodiscard]] Hello MakeHello(bool leading) const;

  NodeDependencies deps_;
  NodeOptions options_;
  Agent agent_;
  std::unique_ptr<Leadership> leadership_;
  ChannelListener listener_;
  std::unique_ptr<GroupLeader> leader_;
  /// Time at which the agent emitted the newest event that was handled here.
  MonotonicTime own_event_handled_at_{0};
  Permission logged_permission_ = Permission::kStarts;
  OverloadDetector overload_;
  MonotonicTime overload_check_due_{0};
  base::Timer overload_timer_;  ///< Active while this node leads.
  /// Accepted channels and the node at the other end, which is known once its
  /// hello has arrived.
  std::map<std::shared_ptr<Channel>, NodeId> peers_;
  /// Channels of the other nodes that serve as agents while this node leads.
  std::map<NodeId, std::shared_ptr<Channel>> agents_;
  /// Time of the last message that permitted an agent anything.
  std::map<NodeId, MonotonicTime> permitted_at_;

  std::optional<LeaderRecord> followed_leader_;
  /// Time at which this node heard of its election.
  MonotonicTime followed_since_{0};
  /// Time at which this node last confirmed to it that it follows.
  MonotonicTime follow_confirmed_at_{0};
  /// Time at which that leader was known not to lead any more.
  std::optional<MonotonicTime> followed_stopped_at_;
  MonotonicTime created_at_;
  LeaderContact contact_;
  MonotonicTime hello_sent_at_{0};  ///< To the leader.
  std::shared_ptr<Channel> leader_channel_;
  bool connected_ = false;
  /// The process at the other end of leader_channel_ did not know of its
  /// election.
  bool awaits_announcement_ = false;
  PendingCalls calls_;
  std::map<VmName, WorkerInfo> listed_;
  bool workers_read_ = false;  ///< Since this node leads.
  Evacuations evacuations_;
  std::set<ServiceName> unguarded_services_;
  bool evacuations_known_ = false;
  /// Time since which the operator's requests cannot be read.
  std::optional<MonotonicTime> operator_lost_at_;
  base::Timer reconnect_timer_;
  base::Timer orphan_timer_;
  base::Timer notify_timer_;
  /// Set to false by the destructor, so that pending callbacks do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::dispatch
