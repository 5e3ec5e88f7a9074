/// @file
/// Conversion of messages between nodes to and from their Cap'n Proto form. An
/// unknown enumerator decodes to a default.
#pragma once

#include "rpc/messages.hpp"
#include "rpc/schema/peer.capnp.h"

namespace mangospread::rpc {

void Encode(const NodeView& view, wire::NodeView::Builder out);
[[nodiscard]] NodeView Decode(wire::NodeView::Reader in);

void Encode(const ForwardRequest& request, wire::ForwardRequest::Builder out);
[[nodiscard]] ForwardRequest Decode(wire::ForwardRequest::Reader in);

void Encode(const ForwardReply& reply, wire::ForwardReply::Builder out);
[[nodiscard]] ForwardReply Decode(wire::ForwardReply::Reader in);

void Encode(const ConfigDelta& delta, wire::ConfigDelta::Builder out);
[[nodiscard]] ConfigDelta Decode(wire::ConfigDelta::Reader in);

void Encode(const OwnershipEntry& entry, wire::OwnershipEntry::Builder out);
[[nodiscard]] OwnershipEntry Decode(wire::OwnershipEntry::Reader in);

void Encode(const VmInfo& vm, wire::Vm::Builder out);
[[nodiscard]] VmInfo Decode(wire::Vm::Reader in);

}  // namespace mangospread::rpc
