#include "rpc/codec/codec.hpp"

#include <string>
#include <string_view>

#include "base/capnp_text.hpp"

namespace mangospread::rpc {
namespace {

using base::FromText;
using base::ToText;

std::string DataToString(capnp::Data::Reader in) {
  return {reinterpret_cast<const char*>(in.begin()), in.size()};
}

capnp::Data::Reader ToData(std::string_view bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

/// An invalid address decodes to port 0, to which no caller connects.
Address DecodeAddress(capnp::Text::Reader in) {
  const auto parsed = ParseAddress({in.cStr(), in.size()});
  return parsed.ok() ? parsed.value() : Address{};
}

/// Converts a number from a peer; returns `fallback` if it is greater than
/// `last`.
template <typename Enum>
Enum DecodeEnum(unsigned value, Enum last, Enum fallback) {
  return value <= static_cast<unsigned>(last) ? static_cast<Enum>(value)
                                              : fallback;
}

template <typename Out>
void EncodeHeaders(const net::Headers& headers, Out&& init) {
  auto list = init(static_cast<unsigned>(headers.size()));
  unsigned i = 0;
  for (const auto& [name, value] : headers) {
    list[i].setName(ToText(name));
    list[i].setValue(ToText(value));
    ++i;
  }
}

net::Headers DecodeHeaders(capnp::List<wire::Header>::Reader in) {
  net::Headers headers;
  for (const auto header : in) {
    headers.Add(FromText(header.getName()), FromText(header.getValue()));
  }
  return headers;
}

}  // namespace

void Encode(const NodeView& view, wire::NodeView::Builder out) {
  out.setNode(ToText(view.node.str()));
  out.setIncarnation(view.incarnation.value());
  out.setState(static_cast<std::uint8_t>(view.state));
  out.setDataCenter(ToText(view.data_center.str()));
  out.setRpcAddress(ToText(ToString(view.rpc_address)));
  out.setHttpAddress(ToText(ToString(view.http_address)));
  out.setRevision(view.revision.value());
  out.setTableReachable(view.table_reachable);
  out.setOwnedWorkers(view.owned_workers);
  auto slots = out.initFreeSlots(static_cast<unsigned>(view.free_slots.size()));
  for (unsigned i = 0; i < slots.size(); ++i) {
    slots[i].setService(ToText(view.free_slots[i].service.str()));
    slots[i].setFree(view.free_slots[i].free);
  }
  auto peers =
      out.initKnownPeers(static_cast<unsigned>(view.known_peers.size()));
  for (unsigned i = 0; i < peers.size(); ++i) {
    peers.set(i, ToString(view.known_peers[i]));
  }
}

NodeView Decode(wire::NodeView::Reader in) {
  NodeView view;
  view.node = NodeId(FromText(in.getNode()));
  view.incarnation = Incarnation(in.getIncarnation());
  view.state =
      DecodeEnum(in.getState(), NodeState::kLeaving, NodeState::kStarting);
  view.data_center = DataCenter(FromText(in.getDataCenter()));
  view.rpc_address = DecodeAddress(in.getRpcAddress());
  view.http_address = DecodeAddress(in.getHttpAddress());
  view.revision = Revision(in.getRevision());
  view.table_reachable = in.getTableReachable();
  view.owned_workers = in.getOwnedWorkers();
  for (const auto slots : in.getFreeSlots()) {
    view.free_slots.push_back(
        {ServiceName(FromText(slots.getService())), slots.getFree()});
  }
  for (const auto peer : in.getKnownPeers()) {
    view.known_peers.push_back(DecodeAddress(peer));
  }
  return view;
}

void Encode(const ForwardRequest& request, wire::ForwardRequest::Builder out) {
  out.setService(ToText(request.service.str()));
  out.setMethod(static_cast<std::uint8_t>(request.request.method));
  out.setTarget(ToText(request.request.target));
  EncodeHeaders(request.request.headers,
                [&out](unsigned n) { return out.initHeaders(n); });
  out.setBody(ToData(request.request.body));
  out.setTimeoutMs(static_cast<std::uint32_t>(request.timeout.count()));
  out.setRequestId(ToText(request.request_id.str()));
  out.setIdempotent(request.idempotent);
}

ForwardRequest Decode(wire::ForwardRequest::Reader in) {
  ForwardRequest request;
  request.service = ServiceName(FromText(in.getService()));
  request.request.method =
      DecodeEnum(in.getMethod(), net::Method::kPatch, net::Method::kPost);
  request.request.target = FromText(in.getTarget());
  request.request.headers = DecodeHeaders(in.getHeaders());
  request.request.body = DataToString(in.getBody());
  request.timeout = Milliseconds(in.getTimeoutMs());
  request.request_id = RequestId(FromText(in.getRequestId()));
  request.idempotent = in.getIdempotent();
  return request;
}

void Encode(const ForwardReply& reply, wire::ForwardReply::Builder out) {
  out.setOutcome(static_cast<std::uint8_t>(reply.outcome));
  out.setReason(static_cast<std::uint8_t>(reply.reason));
  out.setStatus(static_cast<std::uint16_t>(reply.response.status));
  EncodeHeaders(reply.response.headers,
                [&out](unsigned n) { return out.initHeaders(n); });
  out.setBody(ToData(reply.response.body));
}

ForwardReply Decode(wire::ForwardReply::Reader in) {
  ForwardReply reply;
  reply.outcome =
      DecodeEnum(in.getOutcome(), Outcome::kUnknown, Outcome::kUnknown);
  reply.reason = DecodeEnum(in.getReason(), NotRunReason::kCallerDisconnected,
                            NotRunReason::kNone);
  reply.response.status = in.getStatus();
  reply.response.headers = DecodeHeaders(in.getHeaders());
  reply.response.body = DataToString(in.getBody());
  return reply;
}

void Encode(const ConfigDelta& delta, wire::ConfigDelta::Builder out) {
  out.setRevision(delta.revision.value());
  out.setIsSnapshot(delta.is_snapshot);
  auto list = out.initChanges(static_cast<unsigned>(delta.changes.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    const Change& change = delta.changes[i];
    list[i].setRevision(change.revision.value());
    list[i].setKind(static_cast<std::uint8_t>(change.key.kind));
    list[i].setName(ToText(change.key.name));
    list[i].setDeleted(change.deleted);
    list[i].setSpec(ToText(change.spec));
  }
}

ConfigDelta Decode(wire::ConfigDelta::Reader in) {
  ConfigDelta delta;
  delta.revision = Revision(in.getRevision());
  delta.is_snapshot = in.getIsSnapshot();
  for (const auto change : in.getChanges()) {
    const auto kind = DecodeEnum(change.getKind(), ResourceKind::kPolicy,
                                 ResourceKind::kPolicy);
    delta.changes.push_back({Revision(change.getRevision()),
                             {kind, FromText(change.getName())},
                             change.getDeleted(),
                             FromText(change.getSpec())});
  }
  return delta;
}

void Encode(const OwnershipEntry& entry, wire::OwnershipEntry::Builder out) {
  out.setVm(ToText(entry.vm.str()));
  out.setNode(ToText(entry.node.str()));
  out.setIncarnation(entry.incarnation.value());
  out.setEpoch(entry.epoch.value());
  out.setRecorded(entry.version.has_value());
  out.setVersion(entry.version.value_or(RowVersion()).value());
}

OwnershipEntry Decode(wire::OwnershipEntry::Reader in) {
  OwnershipEntry entry{
      VmName(FromText(in.getVm())), NodeId(FromText(in.getNode())),
      Incarnation(in.getIncarnation()), Epoch(in.getEpoch()), std::nullopt};
  if (in.getRecorded()) entry.version = RowVersion(in.getVersion());
  return entry;
}

void Encode(const VmInfo& vm, wire::Vm::Builder out) {
  out.setName(ToText(vm.name.str()));
  out.setAddress(ToText(ToString(vm.address)));
  out.setDataCenter(ToText(vm.data_center.str()));
  out.setRack(ToText(vm.rack.str()));
  out.setPool(ToText(vm.pool));
  out.setLeaving(vm.state == VmState::kLeaving);
  out.setSlots(vm.capacity.slots);
  out.setConnections(vm.capacity.connections);
  out.setCpuMillis(vm.capacity.cpu.value());
  out.setMemoryMb(vm.capacity.memory.value());
  out.setAccelerators(vm.capacity.accelerators.value());
}

VmInfo Decode(wire::Vm::Reader in) {
  VmInfo vm;
  vm.name = VmName(FromText(in.getName()));
  vm.address = DecodeAddress(in.getAddress());
  vm.data_center = DataCenter(FromText(in.getDataCenter()));
  vm.rack = RackName(FromText(in.getRack()));
  vm.pool = FromText(in.getPool());
  vm.state = in.getLeaving() ? VmState::kLeaving : VmState::kLive;
  vm.capacity.slots = in.getSlots();
  vm.capacity.connections = in.getConnections();
  vm.capacity.cpu = Millicores(in.getCpuMillis());
  vm.capacity.memory = Mebibytes(in.getMemoryMb());
  vm.capacity.accelerators = Accelerators(in.getAccelerators());
  return vm;
}

}  // namespace mangospread::rpc
