#include "dispatch/peer/frames.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/debug.h>
#include <kj/exception.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <exception>
#include <optional>
#include <utility>
#include <vector>

#include "base/overloaded.hpp"
#include "dispatch/peer/schema/dispatch.capnp.h"

namespace mangospread::dispatch {
namespace {

/// Copies a Cap'n Proto text.
std::string Str(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

/// Refers to a text of any bytes. The implicit conversion of a std::string ends
/// at its first zero byte.
capnp::Text::Reader Txt(const std::string& text) {
  return {text.c_str(), text.size()};
}

/// Converts a number to an enumerator. Throws kj::Exception for a number beyond
/// the last one, which a damaged frame may contain.
template <typename Enum>
Enum ToEnum(std::uint8_t value, Enum last) {
  KJ_REQUIRE(value <= static_cast<std::uint8_t>(last), "unknown enumerator");
  return static_cast<Enum>(value);
}

// Nested structs.

void Put(wire::Traits::Builder out, const RunTraits& traits) {
  out.setLongRunning(traits.long_running);
  out.setFills(traits.best_effort);
  out.setCpu(traits.cpu.value());
  out.setLatencyTargetMs(traits.latency_target.count());
  out.setImage(Txt(traits.image.str()));
}

RunTraits Get(wire::Traits::Reader in) {
  return {in.getLongRunning(), in.getFills(), Millicores(in.getCpu()),
          Milliseconds(in.getLatencyTargetMs()), ImageName(Str(in.getImage()))};
}

void Put(wire::Ended::Builder out, const EndedRun& end) {
  out.setNumber(end.number.value());
  out.setTask(Txt(end.task));
  out.setRun(end.run.value());
  out.setHow(static_cast<std::uint8_t>(end.end_kind));
  out.setCheckpoint(Txt(end.checkpoint));
}

EndedRun Get(wire::Ended::Reader in) {
  return {EndNumber(in.getNumber()), Str(in.getTask()), Attempt(in.getRun()),
          ToEnum(in.getHow(), RunEnd::kGangIncomplete),
          Str(in.getCheckpoint())};
}

void Put(wire::Running::Builder out, const RunningRun& running) {
  out.setTask(Txt(running.task));
  out.setRun(running.run.value());
  out.setCheckpoint(Txt(running.checkpoint));
  out.setPercent(running.percent);
  out.setMeasured(running.measured);
}

RunningRun Get(wire::Running::Reader in) {
  return {Str(in.getTask()), Attempt(in.getRun()), Str(in.getCheckpoint()),
          in.getPercent(), in.getMeasured()};
}

void Put(wire::Worker::Builder out, const WorkerInfo& worker) {
  out.setVm(Txt(worker.vm.str()));
  out.setService(Txt(worker.service.str()));
  out.setIp(Txt(worker.address.ip));
  out.setPort(worker.address.port);
  out.setDataCenter(Txt(worker.data_center.str()));
  out.setRack(Txt(worker.rack.str()));
  out.setConnections(static_cast<std::uint32_t>(worker.capacity.connections));
}

WorkerInfo Get(wire::Worker::Reader in) {
  WorkerInfo worker;
  worker.vm = VmName(Str(in.getVm()));
  worker.service = ServiceName(Str(in.getService()));
  worker.address = {Str(in.getIp()), in.getPort()};
  worker.data_center = DataCenter(Str(in.getDataCenter()));
  worker.rack = RackName(Str(in.getRack()));
  worker.capacity.connections = static_cast<int>(in.getConnections());
  return worker;
}

void Put(capnp::List<wire::RunRef>::Builder out,
         const std::vector<RunId>& runs) {
  for (unsigned i = 0; i < runs.size(); ++i) {
    out[i].setTask(Txt(runs[i].task));
    out[i].setRun(runs[i].run.value());
    out[i].setJustStarted(runs[i].just_started);
  }
}

std::vector<RunId> Get(capnp::List<wire::RunRef>::Reader in) {
  std::vector<RunId> runs;
  for (const auto run : in) {
    runs.push_back(
        {Str(run.getTask()), Attempt(run.getRun()), run.getJustStarted()});
  }
  return runs;
}

/// Value of a field that is negative if the duration is not known.
std::int64_t OptionalToWire(const std::optional<Milliseconds>& duration) {
  return duration ? duration->count() : -1;
}

std::optional<Milliseconds> OptionalFromWire(std::int64_t duration) {
  if (duration < 0) return std::nullopt;
  return Milliseconds(duration);
}

// Commands.

void Put(wire::Order::Builder out, const Assignment& command) {
  auto assign = out.initAssign();
  assign.setFence(command.fence.value());
  assign.setStartsBefore(command.starts_before);
  assign.setCalmLoadPeriodMs(command.normal_load_period.count());
  assign.setLeaseLeftMs(OptionalToWire(command.lease_left));
  Put(assign.initWorker(), command.worker);
  assign.setRunsKnown(command.known_runs.has_value());
  if (!command.known_runs) return;
  Put(assign.initKnownRuns(static_cast<unsigned>(command.known_runs->size())),
      *command.known_runs);
}

void Put(wire::Order::Builder out, const StartRun& command) {
  auto start = out.initStart();
  start.setVm(Txt(command.vm.str()));
  start.setNumber(command.number);
  start.setTask(Txt(command.task));
  start.setRun(command.run.value());
  start.setSpec(Txt(command.spec));
  start.setCheckpoint(Txt(command.checkpoint));
  Put(start.initTraits(), command.traits);
}

void Put(wire::Order::Builder out, const DescribeRun& command) {
  auto describe = out.initDescribe();
  describe.setVm(Txt(command.vm.str()));
  describe.setTask(Txt(command.task));
  describe.setRun(command.run.value());
  describe.setPercent(command.percent);
  Put(describe.initTraits(), command.traits);
}

void Put(wire::Order::Builder out, const StopRun& command) {
  auto stop = out.initStop();
  stop.setVm(Txt(command.vm.str()));
  stop.setTask(Txt(command.task));
  stop.setRun(command.run.value());
}

void Put(wire::Order::Builder out, const ThrottleRun& command) {
  auto pace = out.initPace();
  pace.setVm(Txt(command.vm.str()));
  pace.setTask(Txt(command.task));
  pace.setRun(command.run.value());
  pace.setPercent(command.percent);
}

void Put(wire::Order::Builder out, const AcknowledgeEnds& command) {
  auto acknowledge = out.initAcknowledge();
  acknowledge.setVm(Txt(command.vm.str()));
  acknowledge.setBorn(command.incarnation.value());
  acknowledge.setNumber(command.number.value());
}

void Put(wire::Order::Builder out, const Release& command) {
  out.setRelease(Txt(command.vm.str()));
}

Assignment GetAssignment(wire::Assignment::Reader in) {
  Assignment assignment;
  assignment.fence = WorkerFence(in.getFence());
  assignment.starts_before = in.getStartsBefore();
  assignment.normal_load_period = Milliseconds(in.getCalmLoadPeriodMs());
  assignment.worker = Get(in.getWorker());
  assignment.lease_left = OptionalFromWire(in.getLeaseLeftMs());
  if (in.getRunsKnown()) assignment.known_runs = Get(in.getKnownRuns());
  return assignment;
}

Result<Frame> Get(wire::Order::Reader in) {
  switch (in.which()) {
    case wire::Order::ASSIGN:
      return Frame(AgentCommand(GetAssignment(in.getAssign())));
    case wire::Order::START: {
      const auto start = in.getStart();
      return Frame(AgentCommand(StartRun{
          VmName(Str(start.getVm())), start.getNumber(), Str(start.getTask()),
          Attempt(start.getRun()), Str(start.getSpec()),
          Str(start.getCheckpoint()), Get(start.getTraits())}));
    }
    case wire::Order::DESCRIBE: {
      const auto describe = in.getDescribe();
      return Frame(AgentCommand(
          DescribeRun{VmName(Str(describe.getVm())), Str(describe.getTask()),
                      Attempt(describe.getRun()), Get(describe.getTraits()),
                      describe.getPercent()}));
    }
    case wire::Order::STOP: {
      const auto stop = in.getStop();
      return Frame(
          AgentCommand(StopRun{VmName(Str(stop.getVm())), Str(stop.getTask()),
                               Attempt(stop.getRun())}));
    }
    case wire::Order::PACE: {
      const auto pace = in.getPace();
      return Frame(AgentCommand(
          ThrottleRun{VmName(Str(pace.getVm())), Str(pace.getTask()),
                      Attempt(pace.getRun()), pace.getPercent()}));
    }
    case wire::Order::ACKNOWLEDGE: {
      const auto acknowledge = in.getAcknowledge();
      return Frame(
          AgentCommand(AcknowledgeEnds{VmName(Str(acknowledge.getVm())),
                                       WorkerIncarnation(acknowledge.getBorn()),
                                       EndNumber(acknowledge.getNumber())}));
    }
    case wire::Order::RELEASE:
      return Frame(AgentCommand(Release{VmName(Str(in.getRelease()))}));
  }
  return Error{Errc::kMalformed, "order"};
}

// Events.

void Put(wire::Event::Builder out, const Attached& event) {
  auto attached = out.initAttached();
  attached.setBorn(event.incarnation.value());
  attached.setStartsSeen(event.starts_seen);
  attached.setIncomplete(!event.complete);
  auto unsent = attached.initUnsent(static_cast<unsigned>(event.unsent.size()));
  for (unsigned i = 0; i < event.unsent.size(); ++i) {
    unsent.set(i, Txt(event.unsent[i]));
  }
  auto running =
      attached.initRunning(static_cast<unsigned>(event.running.size()));
  for (unsigned i = 0; i < event.running.size(); ++i) {
    Put(running[i], event.running[i]);
  }
  auto ended = attached.initEnded(static_cast<unsigned>(event.ended.size()));
  for (unsigned i = 0; i < event.ended.size(); ++i) {
    Put(ended[i], event.ended[i]);
  }
}

void Put(wire::RunEvent::Builder out, const std::string& task, Attempt run,
         CommandOutcome outcome) {
  out.setTask(Txt(task));
  out.setRun(run.value());
  out.setOutcome(static_cast<std::uint8_t>(outcome));
}

void Put(wire::Event::Builder out, const RunEnded& event) {
  auto ended = out.initEnded();
  ended.setBorn(event.incarnation.value());
  Put(ended.initEnd(), event.end);
}

void Put(wire::Event::Builder out, const RunNotStarted& event) {
  Put(out.initNotStarted(), event.task, event.run, event.reason);
}

void Put(wire::Event::Builder out, const RunStarted& event) {
  Put(out.initStarted(), event.task, event.run, CommandOutcome::kAccepted);
}

void Put(wire::Event::Builder out, const RunStalled& event) {
  Put(out.initStalled(), event.task, event.run, CommandOutcome::kAccepted);
}

void Put(wire::Event::Builder out, const WorkerUnreachable& event) {
  out.setUnreachable(event.lease_left.count());
}

void Put(wire::Event::Builder out, const WorkerSuperseded& /*event*/) {
  out.setSuperseded();
}

void Put(wire::Event::Builder out, const WorkerEnded& /*event*/) {
  out.setWorkerEnded();
}

void Put(wire::Event::Builder out, const WorkerLoad& event) {
  auto load = out.initLoad();
  load.setSilent(!event.responding);
  auto runs = load.initRuns(static_cast<unsigned>(event.runs.size()));
  for (unsigned i = 0; i < event.runs.size(); ++i) {
    const RunSample& sample = event.runs[i];
    runs[i].setTask(Txt(sample.task));
    runs[i].setRun(sample.run.value());
    runs[i].setPercent(sample.percent);
    runs[i].setMeasured(sample.measured);
  }
}

WorkerLoad GetLoad(wire::Load::Reader in) {
  WorkerLoad load;
  for (const auto run : in.getRuns()) {
    load.runs.push_back({Str(run.getTask()), Attempt(run.getRun()),
                         run.getMeasured(), run.getPercent()});
  }
  load.responding = !in.getSilent();
  return load;
}

Attached GetAttached(wire::Attached::Reader in) {
  Attached attached;
  attached.incarnation = WorkerIncarnation(in.getBorn());
  attached.starts_seen = in.getStartsSeen();
  attached.complete = !in.getIncomplete();
  for (const auto task : in.getUnsent()) attached.unsent.push_back(Str(task));
  for (const auto running : in.getRunning()) {
    attached.running.push_back(Get(running));
  }
  for (const auto end : in.getEnded()) attached.ended.push_back(Get(end));
  return attached;
}

/// Throws kj::Exception for an event of an unknown kind.
decltype(AgentEvent::details) GetEvent(wire::Event::Reader in) {
  switch (in.which()) {
    case wire::Event::ATTACHED:
      return GetAttached(in.getAttached());
    case wire::Event::ENDED:
      return RunEnded{WorkerIncarnation(in.getEnded().getBorn()),
                      Get(in.getEnded().getEnd())};
    case wire::Event::NOT_STARTED:
      return RunNotStarted{
          Str(in.getNotStarted().getTask()),
          Attempt(in.getNotStarted().getRun()),
          ToEnum(in.getNotStarted().getOutcome(), CommandOutcome::kUnknown)};
    case wire::Event::STARTED:
      return RunStarted{Str(in.getStarted().getTask()),
                        Attempt(in.getStarted().getRun())};
    case wire::Event::STALLED:
      return RunStalled{Str(in.getStalled().getTask()),
                        Attempt(in.getStalled().getRun())};
    case wire::Event::UNREACHABLE:
      return WorkerUnreachable{Milliseconds(in.getUnreachable())};
    case wire::Event::SUPERSEDED:
      return WorkerSuperseded{};
    case wire::Event::WORKER_ENDED:
      return WorkerEnded{};
    case wire::Event::LOAD:
      return GetLoad(in.getLoad());
  }
  KJ_FAIL_REQUIRE("unknown event");
}

// Calls.

void Put(wire::Call::Builder out, const CallFrame& frame) {
  const ServiceCall& call = frame.call;
  out.setId(frame.id);
  out.setKind(static_cast<std::uint8_t>(call.verb));
  out.setSubmission(Txt(call.submission.str()));
  out.setQueue(Txt(call.policy.queue.str()));
  out.setService(Txt(call.policy.service.str()));
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
  frame.call.submission = SubmissionId(Str(in.getSubmission()));
  frame.call.policy = {QueueName(Str(in.getQueue())),
                       ServiceName(Str(in.getService())),
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
  out.setNode(Txt(hello.node.str()));
  out.setIncarnation(hello.incarnation.value());
  out.setEpoch(hello.epoch.value());
  out.setLeading(hello.leading);
  out.setDataCenter(Txt(hello.data_center.str()));
  auto leader = out.initLeader();
  leader.setNode(Txt(hello.leader.node.str()));
  leader.setIncarnation(hello.leader.incarnation.value());
  leader.setIp(Txt(hello.leader.address.ip));
  leader.setPort(hello.leader.address.port);
  out.setYielding(hello.yielding);
  out.setLastGrantAgeMs(OptionalToWire(hello.last_grant_age));
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
  return {NodeId(Str(in.getNode())),
          Incarnation(in.getIncarnation()),
          Epoch(in.getEpoch()),
          in.getLeading(),
          DataCenter(Str(in.getDataCenter())),
          {NodeId(Str(leader.getNode())),
           Incarnation(leader.getIncarnation()),
           {Str(leader.getIp()), leader.getPort()},
           Epoch(in.getEpoch()),
           RowVersion()},
          in.getYielding(),
          OptionalFromWire(in.getLastGrantAgeMs()),
          permission};
}

void Put(wire::Remembered::Builder out, const FormerLeaderRuns& reported) {
  Put(out.initWorker(), reported.worker);
  Put(out.initRuns(static_cast<unsigned>(reported.runs.size())), reported.runs);
  out.setUnreachable(reported.unreachable);
  out.setEnded(reported.ended);
  out.setLeaseLeftMs(OptionalToWire(reported.lease_left));
  out.setRenewing(reported.renewing);
}

FormerLeaderRuns Get(wire::Remembered::Reader in) {
  FormerLeaderRuns reported;
  reported.worker = Get(in.getWorker());
  reported.runs = Get(in.getRuns());
  reported.unreachable = in.getUnreachable();
  reported.ended = in.getEnded();
  reported.lease_left = OptionalFromWire(in.getLeaseLeftMs());
  reported.renewing = in.getRenewing();
  return reported;
}

Result<Frame> Get(wire::Frame::Reader in) {
  switch (in.which()) {
    case wire::Frame::HELLO:
      return Frame(Get(in.getHello()));
    case wire::Frame::ORDER:
      return Get(in.getOrder());
    case wire::Frame::EVENT: {
      const auto event = in.getEvent();
      return Frame(AgentEvent{VmName(Str(event.getVm())),
                              WorkerFence(event.getAssignment()),
                              GetEvent(event)});
    }
    case wire::Frame::CALL:
      return Frame(Get(in.getCall()));
    case wire::Frame::REPLY:
      return Frame(Get(in.getReply()));
    case wire::Frame::REMEMBERED:
      return Frame(Get(in.getRemembered()));
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
          [&](const AgentCommand& command) {
            std::visit([&](const auto& kind) { Put(root.initOrder(), kind); },
                       command);
          },
          [&](const AgentEvent& event) {
            auto out = root.initEvent();
            out.setVm(Txt(event.vm.str()));
            out.setAssignment(event.assignment.value());
            std::visit([&](const auto& details) { Put(out, details); },
                       event.details);
          },
          [&](const CallFrame& call) { Put(root.initCall(), call); },
          [&](const ReplyFrame& reply) { Put(root.initReply(), reply); },
          [&](const FormerLeaderRuns& runs) {
            Put(root.initRemembered(), runs);
          },
          [&](const Ping& ping) {
            root.setPing();
            root.setSentAt(ping.sent_at.count());
            root.setConfirms(ping.confirms.count());
            root.setPermission(static_cast<std::uint8_t>(ping.permission));
          }},
      frame);
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

Result<Frame> DecodeFrame(std::string_view bytes) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) {
    return Error{Errc::kMalformed, "frame"};
  }
  // Copied, since the bytes may not be aligned for words.
  std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.data(), bytes.data(), bytes.size());
  // Each part of a frame is read at most three times. The limit also bounds
  // lists of elements without data, which take no space in a frame.
  constexpr std::uint64_t kTraversalsPerWord = 4;
  constexpr std::uint64_t kMinTraversedWords = 1'024;
  capnp::ReaderOptions options;
  options.traversalLimitInWords =
      kMinTraversedWords + kTraversalsPerWord * words.size();
  try {
    capnp::FlatArrayMessageReader reader(
        kj::arrayPtr(words.data(), words.size()), options);
    return Get(reader.getRoot<wire::Frame>());
  } catch (const std::exception& error) {
    return Error{Errc::kMalformed, "frame"};
  }
}

}  // namespace mangospread::dispatch
