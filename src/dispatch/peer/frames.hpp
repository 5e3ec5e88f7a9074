/// @file
/// Frames exchanged between the leader of a group and the other nodes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dispatch/front/submission_service.hpp"
#include "dispatch/leader/leadership.hpp"
#include "dispatch/model/lease.hpp"
#include "dispatch/model/messages.hpp"
#include "dispatch/model/permission.hpp"
#include "mangospread/error.hpp"

namespace mangospread::dispatch {

/// First frame of a connection, sent by both sides.
struct Hello {
  NodeId node;
  Incarnation incarnation;
  Epoch epoch;           ///< Epoch of `leader`; 0 while none is known.
  bool leading = false;  ///< The sender leads.
  DataCenter data_center;
  /// The leader that the sender follows, or the sender itself if it leads. The
  /// node is empty while no leader is known.
  LeaderRecord leader;
  bool yielding = false;  ///< The sender leads and another may take over.
  /// Time for which the sender's node has certainly granted no lease; nullopt
  /// if it is not known.
  std::optional<Milliseconds> last_grant_age = std::nullopt;
  /// What the sender permits its agents at present; nullopt from a version that
  /// confirms no pings.
  std::optional<Permission> permission = std::nullopt;
  /// Length of the leases that the sender grants to workers; from a leader, of
  /// the longest that they may hold.
  Milliseconds worker_lease{kWorkerLease};
  /// As an agent, the sender numbers attachments, and extends the lease of a
  /// worker only under one that the leader has handled.
  bool numbers_attachments = false;
  /// As an agent, the sender ends its reports about former leaders with
  /// ReportsEnd; as the leader, it takes that frame.
  bool ends_reports = false;
  /// Most memory of accepted submissions that the sender can hold as the
  /// leader, in bytes; 0 from former versions.
  std::size_t max_work_bytes = 0;
};

/// A call that a follower forwards to the leader.
struct CallFrame {
  std::uint64_t id = 0;
  ServiceCall call;
};

/// The reply to the CallFrame with the same id.
struct ReplyFrame {
  std::uint64_t id = 0;
  ServiceReply reply;
};

/// Keeps the connection from timing out. The peer confirms a ping that names
/// its time, so that the sender knows that its peer was there after that time.
struct Ping {
  MonotonicTime sent_at{0};   ///< On the sender's clock; 0 if not to confirm.
  MonotonicTime confirms{0};  ///< `sent_at` of the confirmed ping, or 0.
  Permission permission = Permission::kNone;  ///< Of the confirming side.
};

using Frame = std::variant<Hello, AgentCommand, AgentEvent, CallFrame,
                           ReplyFrame, FormerLeaderRuns, Ping, ReportsEnd>;

[[nodiscard]] std::string EncodeFrame(const Frame& frame);
/// @errors kMalformed.
[[nodiscard]] Result<Frame> DecodeFrame(std::string_view bytes);

}  // namespace mangospread::dispatch
