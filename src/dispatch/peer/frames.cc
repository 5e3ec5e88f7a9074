#include "dispatch/peer/frames.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/io.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <exception>
#include <optional>
#include <utility>
#include <vector>

#include "base/overloaded.hpp"
#include "dispatch/peer/schema/dispatch.capnp.h"
#include "dispatch/peer/wire_fields.hpp"
#include "dispatch/peer/wire_messages.hpp"

namespace mangospread::dispatch {
namespace {

using base::FromText;
using base::ToText;
using detail::Get;
using detail::OptionalFromWire;
using detail::OptionalToWire;
using detail::Put;
using detail::ToEnum;

// Calls.

void Put(wire::Call::Builder out, const CallFrame& frame) {
  const ServiceCall& call = frame.call;
  out.setId(frame.id);
  out.setKind(static_cast<std::uint8_t>(call.verb));
  out.setSubmission(ToText(call.submission.str()));
  out.setQueue(ToText(call.policy.queue.str()));
  out.setService(ToText(call.policy.service.str()));
  out.setPriority(call.policy.priority);
  out.setAttempts(call.policy.attempts);
  out.setStretch(call.policy.stretch);
  out.setLatencyTargetMs(call.policy.latency_target.count());
  out.setPayload(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(call.payload.data()),
                   call.payload.size()));
}

CallFrame Get(wire::Call::Reader in) {
  CallFrame frame;
  frame.id = in.getId();
  frame.call.verb = ToEnum(in.getKind(), ServiceVerb::kPending);
  frame.call.submission = SubmissionId(FromText(in.getSubmission()));
  frame.call.policy = {QueueName(FromText(in.getQueue())),
                       ServiceName(FromText(in.getService())),
                       in.getPriority(),
                       in.getAttempts(),
                       in.getStretch(),
                       Milliseconds(in.getLatencyTargetMs())};
  const auto payload = in.getPayload();
  frame.call.payload.assign(reinterpret_cast<const char*>(payload.begin()),
                            payload.size());
  return frame;
}

void Put(wire::Reply::Builder out, const ReplyFrame& frame) {
  out.setId(frame.id);
  out.setResult(static_cast<std::uint8_t>(frame.reply.result));
  out.setState(static_cast<std::uint8_t>(frame.reply.state));
  out.setPending(frame.reply.pending);
  out.setRetryAfterMs(frame.reply.retry_after.count());
}

ReplyFrame Get(wire::Reply::Reader in) {
  return {in.getId(),
          {ToEnum(in.getResult(), ServiceResult::kUnknown),
           ToEnum(in.getState(), SubmissionState::kCancelled), in.getPending(),
           Milliseconds(in.getRetryAfterMs())}};
}

void Put(wire::Hello::Builder out, const Hello& hello) {
  out.setNode(ToText(hello.node.str()));
  out.setIncarnation(hello.incarnation.value());
  out.setEpoch(hello.epoch.value());
  out.setLeading(hello.leading);
  out.setDataCenter(ToText(hello.data_center.str()));
  auto leader = out.initLeader();
  leader.setNode(ToText(hello.leader.node.str()));
  leader.setIncarnation(hello.leader.incarnation.value());
  leader.setIp(ToText(hello.leader.address.ip));
  leader.setPort(hello.leader.address.port);
  out.setYielding(hello.yielding);
  out.setLastGrantAgeMs(OptionalToWire(hello.last_grant_age));
  out.setWorkerLeaseMs(hello.worker_lease.count());
  out.setNumbersAttachments(hello.numbers_attachments);
  out.setEndsReports(hello.ends_reports);
  out.setMaxWorkBytes(hello.max_work_bytes);
  if (hello.permission) {
    out.setPermission(
        static_cast<std::uint8_t>(1 + static_cast<int>(*hello.permission)));
  }
}

Hello Get(wire::Hello::Reader in) {
  const auto leader = in.getLeader();
  std::optional<Permission> permission;
  if (const std::uint8_t value = in.getPermission(); value > 0) {
    permission =
        ToEnum(static_cast<std::uint8_t>(value - 1), Permission::kStarts);
  }
  return {NodeId(FromText(in.getNode())),
          Incarnation(in.getIncarnation()),
          Epoch(in.getEpoch()),
          in.getLeading(),
          DataCenter(FromText(in.getDataCenter())),
          {NodeId(FromText(leader.getNode())),
           Incarnation(leader.getIncarnation()),
           {FromText(leader.getIp()), leader.getPort()},
           Epoch(in.getEpoch()),
           RowVersion()},
          in.getYielding(),
          OptionalFromWire(in.getLastGrantAgeMs()),
          permission,
          Milliseconds(in.getWorkerLeaseMs()),
          in.getNumbersAttachments(),
          in.getEndsReports(),
          in.getMaxWorkBytes()};
}

void Put(wire::Remembered::Builder out, const FormerLeaderRuns& reported) {
  Put(out.initWorker(), reported.worker);
  Put(out.initRuns(static_cast<unsigned>(reported.runs.size())), reported.runs);
  out.setUnreachable(reported.unreachable);
  out.setEnded(reported.ended);
  out.setLeaseLeftMs(OptionalToWire(reported.lease_left));
  out.setRenewing(reported.renewing);
  out.setRunsAsOf(reported.runs_as_of.value());
}

FormerLeaderRuns Get(wire::Remembered::Reader in) {
  FormerLeaderRuns reported;
  reported.worker = Get(in.getWorker());
  reported.runs = Get(in.getRuns());
  reported.unreachable = in.getUnreachable();
  reported.ended = in.getEnded();
  reported.lease_left = OptionalFromWire(in.getLeaseLeftMs());
  reported.renewing = in.getRenewing();
  reported.runs_as_of = WorkerFence(in.getRunsAsOf());
  return reported;
}

void Put(wire::ReportsEnd::Builder out, const ReportsEnd& end) {
  out.setProcessAgeMs(end.process_age.count());
  auto leases =
      out.initUnreported(static_cast<unsigned>(end.unreported.size()));
  for (unsigned i = 0; i < end.unreported.size(); ++i) {
    const UnreportedLease& lease = end.unreported[i];
    leases[i].setVm(ToText(lease.vm.str()));
    leases[i].setAssignment(lease.assignment.value());
    leases[i].setLeaseLeftMs(lease.lease_left.count());
  }
}

ReportsEnd Get(wire::ReportsEnd::Reader in) {
  ReportsEnd end;
  end.process_age = Milliseconds(in.getProcessAgeMs());
  for (const auto lease : in.getUnreported()) {
    end.unreported.push_back({VmName(FromText(lease.getVm())),
                              WorkerFence(lease.getAssignment()),
                              Milliseconds(lease.getLeaseLeftMs())});
  }
  return end;
}

Result<Frame> Get(wire::Frame::Reader in) {
  switch (in.which()) {
    case wire::Frame::HELLO:
      return Frame(Get(in.getHello()));
    case wire::Frame::ORDER: {
      auto command = Get(in.getOrder());
      if (!command.ok()) return command.error();
      return Frame(std::move(command.value()));
    }
    case wire::Frame::EVENT:
      return Frame(Get(in.getEvent()));
    case wire::Frame::CALL:
      return Frame(Get(in.getCall()));
    case wire::Frame::REPLY:
      return Frame(Get(in.getReply()));
    case wire::Frame::REMEMBERED:
      return Frame(Get(in.getRemembered()));
    case wire::Frame::REPORTS_END:
      return Frame(Get(in.getReportsEnd()));
    case wire::Frame::PING:
      return Frame(Ping{MonotonicTime(in.getSentAt()),
                        MonotonicTime(in.getConfirms()),
                        ToEnum(in.getPermission(), Permission::kStarts)});
  }
  return Error{Errc::kMalformed, "frame"};
}

}  // namespace

std::string EncodeFrame(const Frame& frame) {
  // Most frames fit, which saves the allocation of a much larger segment.
  constexpr std::size_t kFirstSegmentWords = 128;
  std::array<capnp::word, kFirstSegmentWords> first_segment{};
  capnp::MallocMessageBuilder message(
      kj::arrayPtr(first_segment.data(), first_segment.size()));
  auto root = message.initRoot<wire::Frame>();
  std::visit(
      base::Overloaded{
          [&](const Hello& hello) { Put(root.initHello(), hello); },
          [&](const AgentCommand& command) { Put(root.initOrder(), command); },
          [&](const AgentEvent& event) { Put(root.initEvent(), event); },
          [&](const CallFrame& call) { Put(root.initCall(), call); },
          [&](const ReplyFrame& reply) { Put(root.initReply(), reply); },
          [&](const FormerLeaderRuns& runs) {
            Put(root.initRemembered(), runs);
          },
          [&](const ReportsEnd& end) { Put(root.initReportsEnd(), end); },
          [&](const Ping& ping) {
            root.setPing();
            root.setSentAt(ping.sent_at.count());
            root.setConfirms(ping.confirms.count());
            root.setPermission(static_cast<std::uint8_t>(ping.permission));
          }},
      frame);
  std::string bytes(
      capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word), '\0');
  kj::ArrayOutputStream out(
      kj::arrayPtr(reinterpret_cast<kj::byte*>(bytes.data()), bytes.size()));
  capnp::writeMessage(out, message);
  return bytes;
}

Result<Frame> DecodeFrame(std::string_view bytes) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) {
    return Error{Errc::kMalformed, "frame"};
  }
  const std::size_t count = bytes.size() / sizeof(capnp::word);
  const auto* words = reinterpret_cast<const capnp::word*>(bytes.data());
  // Copied only if the bytes are not aligned for words.
  std::vector<capnp::word> aligned;
  if (reinterpret_cast<std::uintptr_t>(words) % alignof(capnp::word) != 0) {
    aligned = std::vector<capnp::word>(count);
    std::memcpy(aligned.data(), bytes.data(), bytes.size());
    words = aligned.data();
  }
  // Each part of a frame is read at most three times. The limit also bounds
  // lists of elements without data, which take no space in a frame.
  constexpr std::uint64_t kTraversalsPerWord = 4;
  constexpr std::uint64_t kMinTraversedWords = 1'024;
  capnp::ReaderOptions options;
  options.traversalLimitInWords =
      kMinTraversedWords + kTraversalsPerWord * count;
  try {
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words, count), options);
    return Get(reader.getRoot<wire::Frame>());
  } catch (const std::exception& error) {
    return Error{Errc::kMalformed, "frame"};
  }
}

}  // namespace mangospread::dispatch
