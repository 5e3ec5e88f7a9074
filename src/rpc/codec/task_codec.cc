#include "rpc/codec/task_codec.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <string>
#include <utility>

#include "base/capnp_text.hpp"

namespace mangospread::rpc {
namespace {

using base::FromText;
using base::ToText;

std::int32_t ClampToInt32(std::int64_t value) {
  return static_cast<std::int32_t>(
      std::clamp<std::int64_t>(value, INT32_MIN, INT32_MAX));
}

template <typename Enum>
Enum DecodeEnum(unsigned value, Enum last, Enum fallback) {
  return value <= static_cast<unsigned>(last) ? static_cast<Enum>(value)
                                              : fallback;
}

void EncodeReport(const TaskReport& report, wire::TaskReport::Builder out) {
  out.setTask(ToText(report.task));
  out.setAttempt(report.attempt.value());
  out.setPhase(static_cast<std::uint8_t>(report.phase));
  // An empty text takes one word in the message, an unset one takes none.
  if (!report.checkpoint.empty()) out.setCheckpoint(ToText(report.checkpoint));
  out.setCpuMillis(ClampToInt32(report.cpu_used.value()));
  out.setMemoryMb(ClampToInt32(report.memory_used.value()));
  out.setThrottlePercent(static_cast<std::uint8_t>(report.throttle_percent));
}

TaskReport DecodeReport(wire::TaskReport::Reader in) {
  TaskReport report;
  report.task = FromText(in.getTask());
  report.attempt = Attempt(in.getAttempt());
  report.phase =
      DecodeEnum(in.getPhase(), TaskPhase::kFailed, TaskPhase::kRunning);
  report.checkpoint = FromText(in.getCheckpoint());
  report.cpu_used = Millicores(in.getCpuMillis());
  report.memory_used = Mebibytes(in.getMemoryMb());
  report.throttle_percent = in.getThrottlePercent();
  return report;
}

void EncodeDigest(const WorkerDigest& digest, wire::WorkerDigest::Builder out) {
  out.setVm(ToText(digest.vm.str()));
  out.setEpoch(digest.epoch.value());
  out.setAgeMs(static_cast<std::uint32_t>(digest.age.count()));
  out.setFull(digest.full);
  if (!digest.full) return;
  out.setBootId(ToText(digest.boot_id));
  out.setAddress(ToText(digest.address));
  out.setAcceptsWork(digest.accepts_work);
  auto tasks = out.initTasks(static_cast<unsigned>(digest.tasks.size()));
  for (unsigned i = 0; i < tasks.size(); ++i) {
    EncodeReport(digest.tasks[i], tasks[i]);
  }
  auto services =
      out.initServices(static_cast<unsigned>(digest.services.size()));
  for (unsigned i = 0; i < services.size(); ++i) {
    const ServiceReport& service = digest.services[i];
    services[i].setService(ToText(service.service.str()));
    services[i].setP99Ms(static_cast<float>(service.p99_ms));
    services[i].setRequests(static_cast<std::uint32_t>(service.requests));
  }
}

WorkerDigest DecodeDigest(wire::WorkerDigest::Reader in) {
  WorkerDigest digest;
  digest.vm = VmName(FromText(in.getVm()));
  digest.epoch = Epoch(in.getEpoch());
  digest.age = Milliseconds(in.getAgeMs());
  digest.full = in.getFull();
  digest.boot_id = FromText(in.getBootId());
  digest.address = FromText(in.getAddress());
  digest.accepts_work = in.getAcceptsWork();
  for (const auto task : in.getTasks()) {
    digest.tasks.push_back(DecodeReport(task));
  }
  for (const auto service : in.getServices()) {
    digest.services.push_back({ServiceName(FromText(service.getService())),
                               service.getP99Ms(), service.getRequests()});
  }
  return digest;
}

}  // namespace

void Encode(const TaskCall& call, wire::TaskCall::Builder out) {
  const mangospread::TaskCommand& command = call.command;
  out.setSchedulerEpoch(call.scheduler_epoch.value());
  out.setVm(ToText(call.vm.str()));
  auto command_out = out.initCommand();
  command_out.setVerb(static_cast<std::uint8_t>(command.verb));
  command_out.setTask(ToText(command.task));
  command_out.setAttempt(command.attempt.value());
  command_out.setCheckpoint(ToText(command.checkpoint));
  command_out.setTaskClass(ToText(command.task_class));
  command_out.setCpuMillis(command.cpu.value());
  command_out.setMemoryMb(command.memory.value());
  command_out.setAccelerators(command.accelerators.value());
  command_out.setRunTimeMs(command.run_time.count());
  command_out.setThrottlePercent(command.throttle_percent);
}

TaskCall Decode(wire::TaskCall::Reader in) {
  TaskCall call;
  call.scheduler_epoch = Epoch(in.getSchedulerEpoch());
  call.vm = VmName(FromText(in.getVm()));
  const auto command_in = in.getCommand();
  mangospread::TaskCommand& command = call.command;
  // An unknown verb decodes to kCheckpoint, which neither starts nor stops the
  // task.
  command.verb = DecodeEnum(command_in.getVerb(), TaskVerb::kForget,
                            TaskVerb::kCheckpoint);
  command.task = FromText(command_in.getTask());
  command.attempt = Attempt(command_in.getAttempt());
  command.checkpoint = FromText(command_in.getCheckpoint());
  command.task_class = FromText(command_in.getTaskClass());
  command.cpu = Millicores(command_in.getCpuMillis());
  command.memory = Mebibytes(command_in.getMemoryMb());
  command.accelerators = Accelerators(command_in.getAccelerators());
  command.run_time = Milliseconds(command_in.getRunTimeMs());
  command.throttle_percent = command_in.getThrottlePercent();
  return call;
}

void Encode(const Result<TaskReport>& result,
            wire::TaskCallResult::Builder out) {
  if (result.ok()) return EncodeReport(result.value(), out.initReport());
  out.setError(static_cast<std::int32_t>(result.error().code));
  out.setSubject(ToText(result.error().subject));
}

Result<TaskReport> Decode(wire::TaskCallResult::Reader in) {
  const std::int32_t error = in.getError();
  if (error == 0) return DecodeReport(in.getReport());
  const bool is_known_code =
      error > 0 && error <= static_cast<std::int32_t>(Errc::kShuttingDown);
  return Error{is_known_code ? static_cast<Errc>(error) : Errc::kUnknown,
               FromText(in.getSubject())};
}

void Encode(const NodeReport& report, wire::NodeReport::Builder out) {
  out.setNode(ToText(report.node.str()));
  out.setSchedulerEpoch(report.scheduler_epoch.value());
  auto workers = out.initWorkers(static_cast<unsigned>(report.workers.size()));
  for (unsigned i = 0; i < workers.size(); ++i) {
    EncodeDigest(report.workers[i], workers[i]);
  }
}

NodeReport Decode(wire::NodeReport::Reader in) {
  NodeReport report;
  report.node = NodeId(FromText(in.getNode()));
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
