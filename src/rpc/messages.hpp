/// @file
/// Messages between entry nodes as plain values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mangospread/address.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/outcome.hpp"
#include "mangospread/platform/vm.hpp"
#include "mangospread/resource.hpp"
#include "mangospread/units.hpp"
#include "net/http_message.hpp"

namespace mangospread::rpc {

/// State of a node process.
enum class NodeState : unsigned char { kStarting, kReady, kLeaving };

/// Free request slots of a service on the workers of one node.
struct FreeSlots {
  ServiceName service;
  int free = 0;
};

/// State of a node, sent to its peers in every heartbeat.
struct NodeView {
  NodeId node;
  Incarnation incarnation;
  NodeState state = NodeState::kStarting;
  DataCenter data_center;
  Address rpc_address;
  Address http_address;
  Revision revision;  ///< Of the installed configuration.
  bool table_reachable = false;
  std::vector<FreeSlots> free_slots;
  std::vector<Address> known_peers;  ///< RPC addresses.
  std::uint32_t owned_workers = 0;
};

/// A caller's request that is forwarded to the owner of a worker with free
/// slots.
struct ForwardRequest {
  ServiceName service;
  net::Request request;
  Milliseconds timeout{0};  ///< Time that remains until the deadline.
  RequestId request_id;
  bool idempotent = false;
};

/// Reply to a ForwardRequest.
struct ForwardReply {
  Outcome outcome = Outcome::kUnknown;
  NotRunReason reason = NotRunReason::kNone;  ///< For outcome kNotRun.
  net::Response response;                     ///< For outcome kAnswered.
};

/// Consecutive configuration changes, or a snapshot of every resource.
struct ConfigDelta {
  Revision revision;
  bool is_snapshot = false;
  std::vector<Change> changes;
};

/// Ownership of one worker.
struct OwnershipEntry {
  VmName vm;
  NodeId node;
  Incarnation incarnation;
  Epoch epoch;
  /// Version of the table's row; absent for an epoch that was granted by the
  /// worker alone.
  std::optional<RowVersion> version;
};

/// Ownership and VM data for a node that starts without access to the table.
struct OwnershipSnapshot {
  std::vector<OwnershipEntry> entries;
  std::vector<VmInfo> vms;
};

}  // namespace mangospread::rpc
