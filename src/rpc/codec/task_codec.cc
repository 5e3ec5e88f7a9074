#include "rpc/codec/task_codec.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <string>
#include <utility>

namespace mangospread::rpc {
namespace {

std::string Text(capnp::Text::Reader in) { return {in.cStr(), in.size()}; }

std::int32_t Narrow(std::int64_t value) {
  return static_cast<std::int32_t>(
      std::clamp<std::int64_t>(value, INT32_MIN, INT32_MAX));
}

template <typename Enum>
Enum DecodeEnum(unsigned value, Enum last, Enum fallback) {
  return value <= static_cast<unsigned>(last) ? static_cast<Enum>(value)
                                              : fallback;
}

void EncodeReport(const TaskReport& report, wire::TaskReport::Builder out) {
  out.setTask(report.task);
  out.setAttempt(report.attempt.value());
  out.setPhase(static_cast<std::uint8_t>(report.phase));
  // An empty text costs a word; an unset one costs none.
  if (!report.checkpoint.empty()) out.setCheckpoint(report.checkpoint);
  out.setCpuMillis(Narrow(report.cpu_used.value()));
  out.setMemoryMb(Narrow(report.memory_used.value()));
  out.setThrottlePercent(static_cast<std::uint8_t>(report.throttle_percent));
}

TaskReport DecodeReport(wire::TaskReport::Reader in) {
  TaskReport report;
  report.task = Text(in.getTask());
  report.attempt = Attempt(in.getAttempt());
  report.phase =
      DecodeEnum(in.getPhase(), TaskPhase::kFailed, TaskPhase::kRunning);
  report.checkpoint = Text(in.getCheckpoint());
  report.cpu_used = Millicores(in.getCpuMillis());
  report.memory_used = Mebibytes(in.getMemoryMb());
  report.throttle_percent = in.getThrottlePercent();
  return report;
}

void EncodeDigest(const WorkerDigest& digest, wire::WorkerDigest::Builder out) {
  out.setVm(digest.vm.str());
  out.setEpoch(digest.epoch.value());
  out.setAgeMs(static_cast<std::uint32_t>(digest.age.count()));
  out.setFull(digest.full);
  if (!digest.full) return;
  out.setBootId(digest.boot_id);
  out.setAddress(digest.address);
  out.setAcceptsWork(digest.accepts_work);
  auto tasks = out.initTasks(static_cast<unsigned>(digest.tasks.size()));
  for (unsigned i = 0; i < tasks.size(); ++i) {
    EncodeReport(digest.tasks[i], tasks[i]);
  }
  auto services =
      out.initServices(static_cast<unsigned>(digest.services.size()));
  for (unsigned i = 0; i < services.size(); ++i) {
    const ServiceReport& service = digest.services[i];
    services[i].setService(service.service.str());
    services[i].setP99Ms(static_cast<float>(service.p99_ms));
    services[i].setRequests(static_cast<std::uint32_t>(service.requests));
  }
}

WorkerDigest DecodeDigest(wire::WorkerDigest::Reader in) {
  WorkerDigest digest;
  digest.vm = VmName(Text(in.getVm()));
  digest.epoch = Epoch(in.getEpoch());
  digest.age = Milliseconds(in.getAgeMs());
  digest.full = in.getFull();
  digest.boot_id = Text(in.getBootId());
  digest.address = Text(in.getAddress());
  digest.accepts_work = in.getAcceptsWork();
  for (const auto task : in.getTasks()) {
    digest.tasks.push_back(DecodeReport(task));
  }
  for (const auto service : in.getServices()) {
    digest.services.push_back({ServiceName(Text(service.getService())),
                               service.getP99Ms(), service.getRequests()});
  }
  return digest;
}

}  // namespace

void Encode(const TaskCall& call, wire::TaskCall::Builder out) {
  const mangospread::TaskCommand& command = call.command;
  out.setSchedulerEpoch(call.scheduler_epoch.value());
  out.setVm(call.vm.str());
  auto body = out.initCommand();
  body.setVerb(static_cast<std::uint8_t>(command.verb));
  body.setTask(command.task);
  body.setAttempt(command.attempt.value());
  body.setCheckpoint(command.checkpoint);
  body.setTaskClass(command.task_class);
  body.setCpuMillis(command.cpu.value());
  body.setMemoryMb(command.memory.value());
  body.setAccelerators(command.accelerators.value());
  body.setRunTimeMs(command.run_time.count());
  body.setThrottlePercent(command.throttle_percent);
}

TaskCall Decode(wire::TaskCall::Reader in) {
  TaskCall call;
  call.scheduler_epoch = Epoch(in.getSchedulerEpoch());
  call.vm = VmName(Text(in.getVm()));
  const auto body = in.getCommand();
  mangospread::TaskCommand& command = call.command;
  // An unknown verb becomes a harmless one.
  command.verb =
      DecodeEnum(body.getVerb(), TaskVerb::kForget, TaskVerb::kCheckpoint);
  command.task = Text(body.getTask());
  command.attempt = Attempt(body.getAttempt());
  command.checkpoint = Text(body.getCheckpoint());
  command.task_class = Text(body.getTaskClass());
  command.cpu = Millicores(body.getCpuMillis());
  command.memory = Mebibytes(body.getMemoryMb());
  command.accelerators = Accelerators(body.getAccelerators());
  command.run_time = Milliseconds(body.getRunTimeMs());
  command.throttle_percent = body.getThrottlePercent();
  return call;
}

void Encode(const Result<TaskReport>& result,
            wire::TaskCallResult::Builder out) {
  if (result.ok()) return EncodeReport(result.value(), out.initReport());
  out.setError(static_cast<std::int32_t>(result.error().code));
  out.setSubject(result.error().subject);
}

Result<TaskReport> Decode(wire::TaskCallResult::Reader in) {
  const std::int32_t error = in.getError();
  if (error == 0) return DecodeReport(in.getReport());
  const bool known =
      error > 0 && error <= static_cast<std::int32_t>(Errc::kShuttingDown);
  return Error{known ? static_cast<Errc>(error) : Errc::kUnknown,
               Text(in.getSubject())};
}

void Encode(const NodeReport& report, wire::NodeReport::Builder out) {
  out.setNode(report.node.str());
  out.setSchedulerEpoch(report.scheduler_epoch.value());
  auto workers = out.initWorkers(static_cast<unsigned>(report.workers.size()));
  for (unsigned i = 0; i < workers.size(); ++i) {
    EncodeDigest(report.workers[i], workers[i]);
  }
}

NodeReport Decode(wire::NodeReport::Reader in) {
  NodeReport report;
  report.node = NodeId(Text(in.getNode()));
  report.scheduler_epoch = Epoch(in.getSchedulerEpoch());
  for (const auto worker : in.getWorkers()) {
    report.workers.push_back(DecodeDigest(worker));
  }
  return report;
}

std::size_t EncodedSize(const NodeReport& report) {
  capnp::MallocMessageBuilder message;
  Encode(report, message.initRoot<wire::NodeReport>());
  return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

}  // namespace mangospread::rpc
