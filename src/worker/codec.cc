#include "worker/codec.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"

namespace mangospread::worker {
namespace {

using nlohmann::json;

// Names in the protocol, indexed by the value of the enumerator.
constexpr std::array<const char*, 5> kTaskVerbs = {
    "start", "throttle", "checkpoint", "stop", "forget"};
constexpr std::array<const char*, 4> kTaskPhases = {"running", "stopped",
                                                    "done", "failed"};
constexpr std::array<const char*, 2> kClaimBases = {"table", "lease_expired"};
constexpr std::array<const char*, 2> kVmStates = {"live", "leaving"};

/// Reads fields leniently, as the platform may add fields: unknown fields are
/// ignored, and a missing field or one of the wrong type yields the default.
class LenientReader {
 public:
  explicit LenientReader(const json& object) : object_(object) {}

  [[nodiscard]] std::string Text(const char* field) const {
    const json* value = Find(field);
    return value != nullptr && value->is_string() ? value->get<std::string>()
                                                  : "";
  }
  [[nodiscard]] std::int64_t Integer(const char* field,
                                     std::int64_t fallback = 0) const {
    const json* value = Find(field);
    return value != nullptr && value->is_number_integer()
               ? value->get<std::int64_t>()
               : fallback;
  }
  [[nodiscard]] std::uint64_t Count(const char* field) const {
    const auto value = Integer(field);
    return value < 0 ? 0 : static_cast<std::uint64_t>(value);
  }
  [[nodiscard]] double Number(const char* field) const {
    const json* value = Find(field);
    return value != nullptr && value->is_number() ? value->get<double>() : 0;
  }
  [[nodiscard]] bool Flag(const char* field) const {
    const json* value = Find(field);
    return value != nullptr && value->is_boolean() && value->get<bool>();
  }
  [[nodiscard]] const json& Array(const char* field) const {
    static const json kEmpty = json::array();
    const json* value = Find(field);
    return value != nullptr && value->is_array() ? *value : kEmpty;
  }
  template <typename Enum, std::size_t N>
  [[nodiscard]] std::optional<Enum> Name(
      const char* field, const std::array<const char*, N>& names) const {
    const std::string text = Text(field);
    for (std::size_t i = 0; i < N; ++i) {
      if (text == names[i]) return static_cast<Enum>(i);
    }
    return std::nullopt;
  }

 private:
  [[nodiscard]] const json* Find(const char* field) const {
    if (!object_.is_object()) return nullptr;
    const auto it = object_.find(field);
    return it == object_.end() ? nullptr : &*it;
  }

  const json& object_;
};

Result<json> ParseObject(std::string_view text, const char* subject) {
  auto parsed = base::ParseJson(text, subject);
  if (!parsed.ok()) return parsed;
  if (!parsed.value().is_object()) return Error{Errc::kMalformed, subject};
  return parsed;
}

json FenceToJson(const Fence& fence) {
  return {{"owner", fence.owner.str()}, {"epoch", fence.epoch.value()}};
}

Fence ReadFence(const LenientReader& reader) {
  return {NodeId(reader.Text("owner")), Epoch(reader.Count("epoch"))};
}

json ToJson(const TaskReport& report) {
  return {{"task", report.task},
          {"attempt", report.attempt.value()},
          {"phase", kTaskPhases[static_cast<std::size_t>(report.phase)]},
          {"checkpoint", report.checkpoint},
          {"cpu_used_millis", report.cpu_used.value()},
          {"memory_used_mb", report.memory_used.value()},
          {"throttle_percent", report.throttle_percent}};
}

TaskReport ReadTaskReport(const json& object) {
  const LenientReader reader(object);
  TaskReport report;
  report.task = reader.Text("task");
  report.attempt = Attempt(reader.Count("attempt"));
  report.phase = reader.Name<TaskPhase>("phase", kTaskPhases)
                     .value_or(TaskPhase::kRunning);
  report.checkpoint = reader.Text("checkpoint");
  report.cpu_used = Millicores(reader.Integer("cpu_used_millis"));
  report.memory_used = Mebibytes(reader.Integer("memory_used_mb"));
  report.throttle_percent =
      static_cast<int>(reader.Integer("throttle_percent"));
  return report;
}

}  // namespace

std::string EncodeLease(const LeaseRequest& request) {
  json object = FenceToJson(request.fence);
  object["basis"] = kClaimBases[static_cast<std::size_t>(request.basis)];
  object["lease_ms"] = request.lease.count();
  return base::DumpJson(object);
}

Result<LeaseRequest> DecodeLease(std::string_view text) {
  const auto parsed = ParseObject(text, "lease");
  if (!parsed.ok()) return parsed.error();
  const LenientReader reader(parsed.value());
  const auto basis = reader.Name<ClaimBasis>("basis", kClaimBases);
  if (!basis) return Error{Errc::kMalformed, "lease.basis"};
  return LeaseRequest{ReadFence(reader), *basis,
                      Milliseconds(reader.Integer("lease_ms"))};
}

std::string EncodeTask(const TaskRequest& request) {
  const TaskCommand& command = request.command;
  json object = FenceToJson(request.fence);
  object["verb"] = kTaskVerbs[static_cast<std::size_t>(command.verb)];
  object["task"] = command.task;
  object["attempt"] = command.attempt.value();
  object["checkpoint"] = command.checkpoint;
  object["task_class"] = command.task_class;
  object["cpu_millis"] = command.cpu.value();
  object["memory_mb"] = command.memory.value();
  object["accelerators"] = command.accelerators.value();
  object["run_time_ms"] = command.run_time.count();
  object["throttle_percent"] = command.throttle_percent;
  return base::DumpJson(object);
}

Result<TaskRequest> DecodeTask(std::string_view text) {
  const auto parsed = ParseObject(text, "task");
  if (!parsed.ok()) return parsed.error();
  const LenientReader reader(parsed.value());
  const auto verb = reader.Name<TaskVerb>("verb", kTaskVerbs);
  if (!verb) return Error{Errc::kMalformed, "task.verb"};
  TaskRequest request;
  request.fence = ReadFence(reader);
  TaskCommand& command = request.command;
  command.verb = *verb;
  command.task = reader.Text("task");
  command.attempt = Attempt(reader.Count("attempt"));
  command.checkpoint = reader.Text("checkpoint");
  command.task_class = reader.Text("task_class");
  command.cpu = Millicores(reader.Integer("cpu_millis"));
  command.memory = Mebibytes(reader.Integer("memory_mb"));
  command.accelerators = Accelerators(reader.Integer("accelerators"));
  command.run_time = Milliseconds(reader.Integer("run_time_ms"));
  command.throttle_percent =
      static_cast<int>(reader.Integer("throttle_percent"));
  return request;
}

std::string EncodeReport(const WorkerReport& report) {
  json in_flight = json::array();
  for (const RequestId& id : report.in_flight) in_flight.push_back(id.str());
  json tasks = json::array();
  for (const TaskReport& task : report.tasks) tasks.push_back(ToJson(task));
  json services = json::array();
  for (const ServiceReport& service : report.services) {
    services.push_back({{"service", service.service.str()},
                        {"p99_ms", service.p99_ms},
                        {"requests", service.requests}});
  }
  return base::DumpJson(
      json{{"epoch", report.epoch.value()},
           {"owner", report.owner.str()},
           {"boot_id", report.boot_id},
           {"leaving", report.leaving},
           {"in_flight", std::move(in_flight)},
           {"tasks", std::move(tasks)},
           {"services", std::move(services)},
           {"lease_remaining_ms", report.lease_remaining.count()}});
}

Result<WorkerReport> DecodeReport(std::string_view text) {
  const auto parsed = ParseObject(text, "report");
  if (!parsed.ok()) return parsed.error();
  const LenientReader reader(parsed.value());
  WorkerReport report;
  report.epoch = Epoch(reader.Count("epoch"));
  report.owner = NodeId(reader.Text("owner"));
  report.boot_id = reader.Text("boot_id");
  report.leaving = reader.Flag("leaving");
  report.lease_remaining = Milliseconds(reader.Integer("lease_remaining_ms"));
  for (const json& id : reader.Array("in_flight")) {
    if (id.is_string()) report.in_flight.emplace_back(id.get<std::string>());
  }
  for (const json& task : reader.Array("tasks")) {
    report.tasks.push_back(ReadTaskReport(task));
  }
  for (const json& service : reader.Array("services")) {
    const LenientReader item(service);
    report.services.push_back({ServiceName(item.Text("service")),
                               item.Number("p99_ms"), item.Count("requests")});
  }
  return report;
}

std::string EncodeTaskReport(const TaskReport& report) {
  return base::DumpJson(ToJson(report));
}

Result<TaskReport> DecodeTaskReport(std::string_view text) {
  const auto parsed = ParseObject(text, "task_report");
  if (!parsed.ok()) return parsed.error();
  return ReadTaskReport(parsed.value());
}

std::string EncodeVms(const std::vector<VmInfo>& vms) {
  json list = json::array();
  for (const VmInfo& vm : vms) {
    list.push_back({{"name", vm.name.str()},
                    {"address", ToString(vm.address)},
                    {"data_center", vm.data_center.str()},
                    {"rack", vm.rack.str()},
                    {"pool", vm.pool},
                    {"state", kVmStates[static_cast<std::size_t>(vm.state)]},
                    {"slots", vm.capacity.slots},
                    {"connections", vm.capacity.connections},
                    {"cpu_millis", vm.capacity.cpu.value()},
                    {"memory_mb", vm.capacity.memory.value()},
                    {"accelerators", vm.capacity.accelerators.value()}});
  }
  return base::DumpJson(json{{"vms", std::move(list)}});
}

Result<std::vector<VmInfo>> DecodeVms(std::string_view text) {
  const auto parsed = ParseObject(text, "vms");
  if (!parsed.ok()) return parsed.error();
  std::vector<VmInfo> vms;
  for (const json& item : LenientReader(parsed.value()).Array("vms")) {
    const LenientReader reader(item);
    const auto address = ParseAddress(reader.Text("address"));
    if (!address.ok()) return Error{Errc::kMalformed, "vms.address"};
    VmInfo vm;
    vm.name = VmName(reader.Text("name"));
    vm.address = address.value();
    vm.data_center = DataCenter(reader.Text("data_center"));
    vm.rack = RackName(reader.Text("rack"));
    vm.pool = reader.Text("pool");
    vm.state =
        reader.Name<VmState>("state", kVmStates).value_or(VmState::kLeaving);
    const WorkerCapacity defaults;
    vm.capacity.slots =
        static_cast<int>(reader.Integer("slots", defaults.slots));
    vm.capacity.connections =
        static_cast<int>(reader.Integer("connections", defaults.connections));
    vm.capacity.cpu =
        Millicores(reader.Integer("cpu_millis", defaults.cpu.value()));
    vm.capacity.memory =
        Mebibytes(reader.Integer("memory_mb", defaults.memory.value()));
    vm.capacity.accelerators = Accelerators(reader.Integer("accelerators"));
    vms.push_back(std::move(vm));
  }
  return vms;
}

}  // namespace mangospread::worker
