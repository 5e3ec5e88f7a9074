/// @file
/// Conversion of task messages to and from their Cap'n Proto form.
#pragma once

#include "rpc/schema/peer.capnp.h"
#include "rpc/task_messages.hpp"

namespace mangospread::rpc {

void Encode(const TaskCall& call, wire::TaskCall::Builder out);
[[nodiscard]] TaskCall Decode(wire::TaskCall::Reader in);

void Encode(const Result<TaskReport>& result,
            wire::TaskCallResult::Builder out);
[[nodiscard]] Result<TaskReport> Decode(wire::TaskCallResult::Reader in);

void Encode(const NodeReport& report, wire::NodeReport::Builder out);
[[nodiscard]] NodeReport Decode(wire::NodeReport::Reader in);

/// Size of the encoded report in bytes, for the metrics of report traffic.
[[nodiscard]] std::size_t EncodedSize(const NodeReport& report);

}  // namespace mangospread::rpc
