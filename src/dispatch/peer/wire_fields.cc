#include "dispatch/peer/wire_fields.hpp"

namespace mangospread::dispatch::detail {

using base::FromText;
using base::ToText;

void Put(wire::Traits::Builder out, const RunTraits& traits) {
  out.setLongRunning(traits.long_running);
  out.setFills(traits.best_effort);
  out.setCpu(traits.cpu.value());
  out.setLatencyTargetMs(traits.latency_target.count());
  out.setImage(ToText(traits.image.str()));
}

RunTraits Get(wire::Traits::Reader in) {
  return {in.getLongRunning(), in.getFills(), Millicores(in.getCpu()),
          Milliseconds(in.getLatencyTargetMs()),
          ImageName(FromText(in.getImage()))};
}

void Put(wire::Ended::Builder out, const EndedRun& end) {
  out.setNumber(end.number.value());
  out.setTask(ToText(end.task));
  out.setRun(end.run.value());
  out.setHow(static_cast<std::uint8_t>(end.end_kind));
  out.setCheckpoint(ToText(end.checkpoint));
}

EndedRun Get(wire::Ended::Reader in) {
  return {EndNumber(in.getNumber()), FromText(in.getTask()),
          Attempt(in.getRun()), ToEnum(in.getHow(), RunEnd::kGangIncomplete),
          FromText(in.getCheckpoint())};
}

void Put(wire::Running::Builder out, const RunningRun& running) {
  out.setTask(ToText(running.task));
  out.setRun(running.run.value());
  out.setCheckpoint(ToText(running.checkpoint));
  out.setPercent(running.percent);
  out.setMeasured(running.measured);
}

RunningRun Get(wire::Running::Reader in) {
  return {FromText(in.getTask()), Attempt(in.getRun()),
          FromText(in.getCheckpoint()), in.getPercent(), in.getMeasured()};
}

void Put(wire::Worker::Builder out, const WorkerInfo& worker) {
  out.setVm(ToText(worker.vm.str()));
  out.setService(ToText(worker.service.str()));
  out.setIp(ToText(worker.address.ip));
  out.setPort(worker.address.port);
  out.setDataCenter(ToText(worker.data_center.str()));
  out.setRack(ToText(worker.rack.str()));
  out.setConnections(static_cast<std::uint32_t>(worker.capacity.connections));
}

WorkerInfo Get(wire::Worker::Reader in) {
  WorkerInfo worker;
  worker.vm = VmName(FromText(in.getVm()));
  worker.service = ServiceName(FromText(in.getService()));
  worker.address = {FromText(in.getIp()), in.getPort()};
  worker.data_center = DataCenter(FromText(in.getDataCenter()));
  worker.rack = RackName(FromText(in.getRack()));
  worker.capacity.connections = static_cast<int>(in.getConnections());
  return worker;
}

void Put(capnp::List<wire::RunRef>::Builder out,
         const std::vector<RunId>& runs) {
  for (unsigned i = 0; i < runs.size(); ++i) {
    out[i].setTask(ToText(runs[i].task));
    out[i].setRun(runs[i].run.value());
    out[i].setJustStarted(runs[i].just_started);
    out[i].setPercent(runs[i].percent);
    out[i].setConfirmed(runs[i].confirmed);
  }
}

std::vector<RunId> Get(capnp::List<wire::RunRef>::Reader in) {
  std::vector<RunId> runs;
  for (const auto run : in) {
    runs.push_back({FromText(run.getTask()), Attempt(run.getRun()),
                    run.getJustStarted(), run.getPercent(),
                    run.getConfirmed()});
  }
  return runs;
}

std::int64_t OptionalToWire(const std::optional<Milliseconds>& duration) {
  return duration ? duration->count() : -1;
}

std::optional<Milliseconds> OptionalFromWire(std::int64_t duration) {
  if (duration < 0) return std::nullopt;
  return Milliseconds(duration);
}

}  // namespace mangospread::dispatch::detail
