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
class PeerHost;
}  // namespace detail

template <typename T>
using ReplyCallback = std::function<void(Result<T>)>;

/// What a node does when a peer calls. Handlers run on the core thread and
/// call back on it, exactly once.
struct PeerHandlers {
  std::function<NodeView(const NodeView&)> heartbeat;
  std::function<void(ForwardRequest, std::function<void(ForwardReply)>)>
      forward;
  std::function<Revision(const ConfigDelta&)> push_config;
  std::function<ConfigDelta(Revision)> config_since;
  std::function<OwnershipSnapshot()> ownership_snapshot;
  std::function<void(const std::vector<OwnershipEntry>&)> push_ownership;
  std::function<void(TaskCall, ReplyCallback<TaskReport>)> task_command;
  std::function<NodeReportReply(const NodeReport&)> report_tasks;
  std::function<QueryReply(const std::string& path)> scheduler_query;
};

/// Connections to and from peers. Owns the KJ thread. All members are for the
/// core thread; callbacks run on it.
///
/// Each peer has a control connection (heartbeats, pushes) and a data
/// connection (forwarded requests, snapshots). A heartbeat that exceeds its
/// time bound closes the control connection, since a silent connection gives
/// no error; the data connection has a probe of its own. The calls on a closed
/// connection fail at once and the next call opens a new one.
class PeerService {
 public:
  explicit PeerService(base::EventLoop& core);
  ~PeerService();
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  /// Starts to accept peers' calls; port 0 picks a free one.
  /// @errors kUnavailable.
  [[nodiscard]] Result<Address> Listen(const Address& address,
                                       PeerHandlers handlers);

  /// Calls to a peer. Errors: kConnectFailed (the peer has seen nothing),
  /// kConnectionLost and kTimeout (it may have acted).
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

  /// The called node's own error, or that of the call.
  void TaskCommand(const Address& peer, TaskCall call, Milliseconds timeout,
                   ReplyCallback<TaskReport> done);
  void ReportTasks(const Address& peer, NodeReport report, Milliseconds timeout,
                   ReplyCallback<NodeReportReply> done);
  void SchedulerQuery(const Address& peer, std::string path,
                      Milliseconds timeout, ReplyCallback<QueryReply> done);

  /// Waits until every answer to a peer has been written, at most `limit`.
  void Flush(Milliseconds limit, std::function<void()> done);

  /// Stalls of the KJ loop.
  [[nodiscard]] const base::StallRecord& stalls() const noexcept;

 private:
  std::unique_ptr<detail::PeerHost> host_;
};

}  // namespace mangospread::rpc
