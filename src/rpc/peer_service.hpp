/// @file
/// RPC server and clients of an entry node.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "base/loop/loop_stall.hpp"
#include "mangospread/error.hpp"
#include "rpc/messages.hpp"
#include "rpc/task_messages.hpp"

namespace mangospread::rpc {

namespace detail {
class PeerServiceImpl;
}  // namespace detail

/// Receives the reply to a call, or the error that ended the call.
template <typename T>
using ReplyCallback = std::function<void(Result<T>)>;

/// Handlers of the calls of peers. They run on the core thread; those with a
/// callback call it there exactly once.
struct PeerHandlers {
  /// Receives the peer's view and returns that of this node.
  std::function<NodeView(const NodeView&)> heartbeat;
  std::function<void(ForwardRequest, std::function<void(ForwardReply)>)>
      forward;
  /// Installs the changes and returns this node's revision.
  std::function<Revision(const ConfigDelta&)> push_config;
  /// Returns the changes after the given revision, or a snapshot.
  std::function<ConfigDelta(Revision)> config_since;
  std::function<OwnershipSnapshot()> ownership_snapshot;
  std::function<void(const std::vector<OwnershipEntry>&)> push_ownership;
  std::function<void(TaskCall, ReplyCallback<TaskReport>)> task_command;
  std::function<NodeReportReply(const NodeReport&)> report_tasks;
  std::function<QueryReply(const std::string& path)> scheduler_query;
};

/// Connections to and from peers. Owns the KJ thread. All members must be
/// called on the core thread, which runs the event loop passed to the
/// constructor; callbacks run on it.
///
/// Each peer has a control connection (heartbeats, pushes, task commands) and a
/// data connection (forwarded requests, configuration and ownership fetches,
/// task reports, queries). A heartbeat that exceeds its timeout closes the
/// control connection, since a connection to an unreachable peer reports no
/// error; the data connection is probed separately. The calls on a closed
/// connection fail at once and the next call opens a new one. A data connection
/// without a response to a probe is replaced: forwarded requests that must not
/// be repeated wait on it for a peer that was paused, until it has not
/// responded for 5 s more; all others fail at once.
class PeerService {
 public:
  explicit PeerService(base::EventLoop& core);
  ~PeerService();
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  /// Starts to accept calls of peers; port 0 selects a free port.
  /// @return the address with the port that is in use.
  /// @errors kUnavailable with the address as subject.
  [[nodiscard]] Result<Address> Listen(const Address& address,
                                       PeerHandlers handlers);

  /// Calls to a peer.
  /// @errors kConnectFailed (the peer has not received the call, or has refused
  ///   a forwarded request since it stops),
  ///   kConnectionLost and kTimeout (the call may have taken effect).
  void Heartbeat(const Address& peer, const NodeView& view,
                 Milliseconds timeout, ReplyCallback<NodeView> done);
  void Forward(const Address& peer, ForwardRequest request,
               ReplyCallback<ForwardReply> done);
  void PushConfig(const Address& peer, ConfigDelta delta, Milliseconds timeout,
                  ReplyCallback<Revision> done);
  void ConfigSince(const Address& peer, Revision revision, Milliseconds timeout,
                   ReplyCallback<ConfigDelta> done);
  void FetchOwnership(const Address& peer, Milliseconds timeout,
                      ReplyCallback<OwnershipSnapshot> done);
  void PushOwnership(const Address& peer, std::vector<OwnershipEntry> entries,
                     Milliseconds timeout, ReplyCallback<Done> done);

  /// `done` receives the error of the called node, or that of the call.
  void TaskCommand(const Address& peer, TaskCall call, Milliseconds timeout,
                   ReplyCallback<TaskReport> done);
  void ReportTasks(const Address& peer, NodeReport report, Milliseconds timeout,
                   ReplyCallback<NodeReportReply> done);
  void SchedulerQuery(const Address& peer, std::string path,
                      Milliseconds timeout, ReplyCallback<QueryReply> done);

  /// Calls `done` when every reply to a peer has been written and the peers
  /// know that this node takes no more forwarded requests, or after `limit`.
  /// Those that still arrive are refused.
  void Flush(Milliseconds limit, std::function<void()> done);

  /// Recorded stalls of the KJ loop.
  [[nodiscard]] const base::StallRecord& stalls() const noexcept;

 private:
  std::unique_ptr<detail::PeerServiceImpl> impl_;
};

}  // namespace mangospread::rpc
