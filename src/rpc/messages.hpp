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

enum class NodeState : unsigned char { kStarting, kReady, kLeaving };

struct FreeSlots {
  ServiceName service;
  int free = 0;
};

/// What a node tells others about itself in every heartbeat.
struct NodeView {
  NodeId node;
  Incarnation incarnation;
  NodeState state = NodeState::kStarting;
  DataCenter data_center;
  Address rpc_address;
  Address http_address;
  Revision revision;
  bool table_reachable = false;
  std::vector<FreeSlots> free_slots;
  std::vector<Address> known_peers;
  std::uint32_t owned_workers = 0;
};

/// A caller's request passed on to the owner of a worker with free slots.
struct ForwardRequest {
  ServiceName service;
  net::Request request;
  Milliseconds timeout{0};
  RequestId request_id;
  bool idempotent = false;
};

struct ForwardReply {
  Outcome outcome = Outcome::kUnknown;
  NotRunReason reason = NotRunReason::kNone;
  net::Response response;  ///< With kAnswered.
};

/// Consecutive changes, or every resource.
struct ConfigDelta {
  Revision revision;
  bool is_snapshot = false;
  std::vector<Change> changes;
};

struct OwnershipEntry {
  VmName vm;
  NodeId node;
  Incarnation incarnation;
  Epoch epoch;
  /// Version of the table's row; absent for an epoch that only the worker
  /// granted.
  std::optional<RowVersion> version;
};

/// What a node that starts without the table needs to know about workers.
struct OwnershipSnapshot {
  std::vector<OwnershipEntry> entries;
  std::vector<VmInfo> vms;
};

}  // namespace mangospread::rpc
