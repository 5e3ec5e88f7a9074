/// @file
/// A node of a group: answers callers, talks to workers for the leader, and
/// leads when it holds the leader's row.
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
#include "dispatch/node/pending_calls.hpp"
#include "dispatch/peer/channel.hpp"
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
  /// Workers are held for a leader that is silent for at most this long.
  Milliseconds orphan_limit{3'500};
  PendingCallsOptions calls;
  Milliseconds reconnect_pause{250};
};

struct NodeDependencies {
  base::EventLoop& loop;
  Table& table;
  Agent::MakeLink make_link;
  std::function<Result<Submission>(const SubmissionId&, std::string_view)>
      decode;
  ObserveTiming observe;
  /// This node began or ceased to lead; only a leader needs the worker list.
  std::function<void(bool leading)> on_leading;
};

class Node {
 public:
  Node(NodeDependencies dependencies, NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// @errors kUnavailable with the address as subject.
  [[nodiscard]] Result<Address> Start();
  /// Hands the leadership over; `done` is called when it is given up.
  void Resign(std::function<void()> done);

  /// The leader's row as the table's feed shows it.
  void OnLeaderRow(const std::optional<LeaderRecord>& leader) {
    leadership_->OnRow(leader);
  }
  /// All workers that are registered now.
  void OnWorkers(std::map<VmName, WorkerInfo> listed);

  /// Answers a caller, here or by way of the leader.
  void Handle(ServiceCall call, ServiceCallback done);

  /// True if this node can have calls answered.
  [[nodiscard]] bool ready() const noexcept;
  [[nodiscard]] const GroupLeader* leader() const noexcept {
    return leader_.get();
  }

 private:
  // As a follower.
  void Follow(const LeaderRecord& leader);
  void Connect();
  void OnLeaderFrame(Frame frame);
  void OnLeaderHello(const Hello& hello);
  /// Takes a later leader over from a peer, since this node may not reach the
  /// table. False if the peer knows of none.
  bool LearnLeader(const Hello& hello);
  void OnLeaderClosed(Errc why);
  void ForwardCall(std::uint64_t id, const ServiceCall& call);

  // As the leader.
  void Lead(const LeaderRecord& leader);
  /// The former leader may be cut off from the table.
  void TellPredecessor();
  void Depose();
  void Accept(std::shared_ptr<Channel> channel);
  void OnPeerFrame(const std::shared_ptr<Channel>& channel, Frame frame);
  void OnPeerHello(const std::shared_ptr<Channel>& channel, const Hello& hello);
  void OnPeerClosed(const std::shared_ptr<Channel>& channel);
  void SendOrder(const NodeId& agent, AgentOrder order);
  void AnnounceYield(bool yielding);

  void OnAgentEvent(AgentEvent event);
  [[nodiscard]] Hello MakeHello(bool leading) const;

  NodeDependencies deps_;
  NodeOptions options_;
  Agent agent_;
  std::unique_ptr<Leadership> leadership_;
  ChannelListener listener_;
  std::unique_ptr<GroupLeader> leader_;
  /// Accepted channels, and the node behind each once it said hello.
  std::map<std::shared_ptr<Channel>, NodeId> peers_;
  std::map<NodeId, std::shared_ptr<Channel>> agents_;

  std::optional<LeaderRecord> followed_;
  std::shared_ptr<Channel> leader_channel_;
  bool connected_ = false;
  PendingCalls calls_;
  std::map<VmName, WorkerInfo> listed_;
  base::Timer reconnect_timer_;
  base::Timer orphan_timer_;
  base::Timer told_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::dispatch
