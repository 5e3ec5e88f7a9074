#include "dispatch/peer/wire_messages.hpp"

#include <kj/debug.h>

#include <utility>
#include <variant>

#include "dispatch/peer/wire_fields.hpp"

namespace mangospread::dispatch::detail {
namespace {

using base::FromText;
using base::ToText;

// Commands.

void PutCommand(wire::Order::Builder out, const Assignment& command) {
  auto assign = out.initAssign();
  assign.setFence(command.fence.value());
  assign.setStartsBefore(command.starts_before);
  assign.setCalmLoadPeriodMs(command.normal_load_period.count());
  assign.setLeaseLeftMs(OptionalToWire(command.lease_left));
  Put(assign.initWorker(), command.worker);
  assign.setRunsAsOf(command.runs_as_of.value());
  assign.setRunsKnown(command.known_runs.has_value());
  if (!command.known_runs) return;
  Put(assign.initKnownRuns(static_cast<unsigned>(command.known_runs->size())),
      *command.known_runs);
}

void PutCommand(wire::Order::Builder out, const StartRun& command) {
  auto start = out.initStart();
  start.setVm(ToText(command.vm.str()));
  start.setNumber(command.number);
  start.setTask(ToText(command.task));
  start.setRun(command.run.value());
  start.setSpec(ToText(command.spec));
  start.setCheckpoint(ToText(command.checkpoint));
  Put(start.initTraits(), command.traits);
  start.setAttachment(command.attachment.value());
  start.setBorn(command.incarnation.value());
}

void PutCommand(wire::Order::Builder out, const DescribeRun& command) {
  auto describe = out.initDescribe();
  describe.setVm(ToText(command.vm.str()));
  describe.setTask(ToText(command.task));
  describe.setRun(command.run.value());
  describe.setPercent(command.percent);
  Put(describe.initTraits(), command.traits);
}

void PutCommand(wire::Order::Builder out, const StopRun& command) {
  auto stop = out.initStop();
  stop.setVm(ToText(command.vm.str()));
  stop.setTask(ToText(command.task));
  stop.setRun(command.run.value());
}

void PutCommand(wire::Order::Builder out, const ThrottleRun& command) {
  auto pace = out.initPace();
  pace.setVm(ToText(command.vm.str()));
  pace.setTask(ToText(command.task));
  pace.setRun(command.run.value());
  pace.setPercent(command.percent);
}

void PutCommand(wire::Order::Builder out, const AcknowledgeEnds& command) {
  auto acknowledge = out.initAcknowledge();
  acknowledge.setVm(ToText(command.vm.str()));
  acknowledge.setBorn(command.incarnation.value());
  acknowledge.setNumber(command.number.value());
}

void PutCommand(wire::Order::Builder out, const Release& command) {
  out.setRelease(ToText(command.vm.str()));
}

Assignment GetAssignment(wire::Assignment::Reader in) {
  Assignment assignment;
  assignment.fence = WorkerFence(in.getFence());
  assignment.starts_before = in.getStartsBefore();
  assignment.normal_load_period = Milliseconds(in.getCalmLoadPeriodMs());
  assignment.worker = Get(in.getWorker());
  assignment.lease_left = OptionalFromWire(in.getLeaseLeftMs());
  assignment.runs_as_of = WorkerFence(in.getRunsAsOf());
  if (in.getRunsKnown()) assignment.known_runs = Get(in.getKnownRuns());
  return assignment;
}

// Events.

void PutDetails(wire::Event::Builder out, const Attached& event) {
  auto attached = out.initAttached();
  attached.setBorn(event.incarnation.value());
  attached.setStartsSeen(event.starts_seen);
  attached.setIncomplete(!event.complete);
  attached.setAttachment(event.attachment.value());
  attached.setRestartLeaseLeftMs(event.restart_lease_left.count());
  auto unsent = attached.initUnsent(static_cast<unsigned>(event.unsent.size()));
  for (unsigned i = 0; i < event.unsent.size(); ++i) {
    unsent.set(i, ToText(event.unsent[i]));
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

void PutRun(wire::RunEvent::Builder out, const std::string& task, Attempt run,
            CommandOutcome outcome) {
  out.setTask(ToText(task));
  out.setRun(run.value());
  out.setOutcome(static_cast<std::uint8_t>(outcome));
}

void PutDetails(wire::Event::Builder out, const RunEnded& event) {
  auto ended = out.initEnded();
  ended.setBorn(event.incarnation.value());
  Put(ended.initEnd(), event.end);
}

void PutDetails(wire::Event::Builder out, const RunNotStarted& event) {
  PutRun(out.initNotStarted(), event.task, event.run, event.reason);
}

void PutDetails(wire::Event::Builder out, const RunStarted& event) {
  PutRun(out.initStarted(), event.task, event.run, CommandOutcome::kAccepted);
}

void PutDetails(wire::Event::Builder out, const RunStalled& event) {
  PutRun(out.initStalled(), event.task, event.run, CommandOutcome::kAccepted);
}

void PutDetails(wire::Event::Builder out, const WorkerUnreachable& event) {
  out.setUnreachable(event.lease_left.count());
}

void PutDetails(wire::Event::Builder out, const WorkerSuperseded& /*event*/) {
  out.setSuperseded();
}

void PutDetails(wire::Event::Builder out, const WorkerEnded& /*event*/) {
  out.setWorkerEnded();
}

void PutDetails(wire::Event::Builder out, const WorkerLoad& event) {
  auto load = out.initLoad();
  load.setSilent(!event.responding);
  load.setLeaseLeftMs(OptionalToWire(event.lease_left));
  load.setAttachment(event.attachment.value());
  auto runs = load.initRuns(static_cast<unsigned>(event.runs.size()));
  for (unsigned i = 0; i < event.runs.size(); ++i) {
    const RunSample& sample = event.runs[i];
    runs[i].setTask(ToText(sample.task));
    runs[i].setRun(sample.run.value());
    runs[i].setPercent(sample.percent);
    runs[i].setMeasured(sample.measured);
  }
}

WorkerLoad GetLoad(wire::Load::Reader in) {
  WorkerLoad load;
  for (const auto run : in.getRuns()) {
    load.runs.push_back({FromText(run.getTask()), Attempt(run.getRun()),
                         run.getMeasured(), run.getPercent()});
  }
  load.responding = !in.getSilent();
  load.lease_left = OptionalFromWire(in.getLeaseLeftMs());
  load.attachment = AttachmentNumber(in.getAttachment());
  return load;
}

Attached GetAttached(wire::Attached::Reader in) {
  Attached attached;
  attached.incarnation = WorkerIncarnation(in.getBorn());
  attached.starts_seen = in.getStartsSeen();
  attached.complete = !in.getIncomplete();
  attached.attachment = AttachmentNumber(in.getAttachment());
  attached.restart_lease_left = Milliseconds(in.getRestartLeaseLeftMs());
  for (const auto task : in.getUnsent()) {
    attached.unsent.push_back(FromText(task));
  }
  for (const auto running : in.getRunning()) {
    attached.running.push_back(Get(running));
  }
  for (const auto end : in.getEnded()) attached.ended.push_back(Get(end));
  return attached;
}

decltype(AgentEvent::details) GetDetails(wire::Event::Reader in) {
  switch (in.which()) {
    case wire::Event::ATTACHED:
      return GetAttached(in.getAttached());
    case wire::Event::ENDED:
      return RunEnded{WorkerIncarnation(in.getEnded().getBorn()),
                      Get(in.getEnded().getEnd())};
    case wire::Event::NOT_STARTED:
      return RunNotStarted{
          FromText(in.getNotStarted().getTask()),
          Attempt(in.getNotStarted().getRun()),
          ToEnum(in.getNotStarted().getOutcome(), CommandOutcome::kUnknown)};
    case wire::Event::STARTED:
      return RunStarted{FromText(in.getStarted().getTask()),
                        Attempt(in.getStarted().getRun())};
    case wire::Event::STALLED:
      return RunStalled{FromText(in.getStalled().getTask()),
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

}  // namespace

void Put(wire::Order::Builder out, const AgentCommand& command) {
  std::visit([&](const auto& kind) { PutCommand(out, kind); }, command);
}

Result<AgentCommand> Get(wire::Order::Reader in) {
  switch (in.which()) {
    case wire::Order::ASSIGN:
      return AgentCommand(GetAssignment(in.getAssign()));
    case wire::Order::START: {
      const auto start = in.getStart();
      return AgentCommand(StartRun{
          VmName(FromText(start.getVm())), start.getNumber(),
          FromText(start.getTask()), Attempt(start.getRun()),
          FromText(start.getSpec()), FromText(start.getCheckpoint()),
          Get(start.getTraits()), AttachmentNumber(start.getAttachment()),
          WorkerIncarnation(start.getBorn())});
    }
    case wire::Order::DESCRIBE: {
      const auto describe = in.getDescribe();
      return AgentCommand(
          (DescribeRun{VmName(FromText(describe.getVm())),
                       FromText(describe.getTask()), Attempt(describe.getRun()),
                       Get(describe.getTraits()), describe.getPercent()}));
    }
    case wire::Order::STOP: {
      const auto stop = in.getStop();
      return AgentCommand(
          (StopRun{VmName(FromText(stop.getVm())), FromText(stop.getTask()),
                   Attempt(stop.getRun())}));
    }
    case wire::Order::PACE: {
      const auto pace = in.getPace();
      return AgentCommand(
          (ThrottleRun{VmName(FromText(pace.getVm())), FromText(pace.getTask()),
                       Attempt(pace.getRun()), pace.getPercent()}));
    }
    case wire::Order::ACKNOWLEDGE: {
      const auto acknowledge = in.getAcknowledge();
      return AgentCommand(
          (AcknowledgeEnds{VmName(FromText(acknowledge.getVm())),
                           WorkerIncarnation(acknowledge.getBorn()),
                           EndNumber(acknowledge.getNumber())}));
    }
    case wire::Order::RELEASE:
      return AgentCommand(Release{VmName(FromText(in.getRelease()))});
  }
  return Error{Errc::kMalformed, "order"};
}

void Put(wire::Event::Builder out, const AgentEvent& event) {
  out.setVm(ToText(event.vm.str()));
  out.setAssignment(event.assignment.value());
  std::visit([&](const auto& details) { PutDetails(out, details); },
             event.details);
}

AgentEvent Get(wire::Event::Reader in) {
  return {VmName(FromText(in.getVm())), WorkerFence(in.getAssignment()),
          GetDetails(in)};
}

}  // namespace mangospread::dispatch::detail
