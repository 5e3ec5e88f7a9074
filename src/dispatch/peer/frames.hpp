/// @file
/// Frames between the leader of a group and the other nodes.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "dispatch/front/submission_service.hpp"
#include "dispatch/leader/leadership.hpp"
#include "dispatch/model/messages.hpp"
#include "mangospread/error.hpp"

namespace mangospread::dispatch {

/// First frame of a connection, from both sides.
struct Hello {
  NodeId node;
  Incarnation incarnation;
  Epoch epoch;
  bool leading = false;
  DataCenter data_center;
  /// The leader that the sender follows or is; no name before the first.
  LeaderRecord leader;
};

struct CallFrame {
  std::uint64_t id = 0;
  ServiceCall call;
};

struct ReplyFrame {
  std::uint64_t id = 0;
  ServiceReply reply;
};

/// Shows that the sender lives.
struct Ping {};

using Frame = std::variant<Hello, AgentOrder, AgentEvent, CallFrame, ReplyFrame,
                           RememberedRuns, Ping>;

[[nodiscard]] std::string EncodeFrame(const Frame& frame);
/// @errors kMalformed.
[[nodiscard]] Result<Frame> DecodeFrame(std::string_view bytes);

}  // namespace mangospread::dispatch
