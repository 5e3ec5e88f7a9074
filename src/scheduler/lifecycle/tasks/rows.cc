#include "scheduler/lifecycle/tasks/rows.hpp"

#include <nlohmann/json.hpp>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"

namespace mangospread::scheduler {
namespace {

using base::ObjectReader;
using base::Presence;
using nlohmann::json;

constexpr std::array<std::string_view, kTaskStateCount> kStateNames = {
    "queued", "assigned", "running",   "evicted",
    "done",   "failed",   "cancelled", "cannot_run"};

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxReasonBytes = 4096;
constexpr int kMaxCount = 1'000'000'000;

json EncodeLosses(const std::vector<crash::TaskLoss>& losses) {
  json rows = json::array();
  for (const crash::TaskLoss& loss : losses) {
    rows.push_back(json::array(
        {loss.run, static_cast<int>(loss.suspicion), loss.certain}));
  }
  return rows;
}

bool DecodeLosses(const json& rows, std::vector<crash::TaskLoss>& losses) {
  constexpr std::size_t kLossFields = 3;
  constexpr auto kMaxSuspicion =
      static_cast<std::uint64_t>(crash::Suspicion::kSole);
  if (!rows.is_array()) return false;
  for (const json& row : rows) {
    if (!row.is_array() || row.size() != kLossFields ||
        !row[0].is_number_unsigned() || !row[1].is_number_unsigned() ||
        row[1].get<std::uint64_t>() > kMaxSuspicion || !row[2].is_boolean()) {
      return false;
    }
    losses.push_back({row[0].get<std::uint32_t>(),
                      static_cast<crash::Suspicion>(row[1].get<int>()),
                      row[2].get<bool>()});
  }
  return true;
}

}  // namespace

std::string_view TaskStateName(TaskState state) noexcept {
  return kStateNames[static_cast<std::size_t>(state)];
}

bool IsLive(TaskState state) noexcept {
  return state == TaskState::kAssigned || state == TaskState::kRunning;
}

bool IsPending(TaskState state) noexcept {
  return state == TaskState::kQueued || state == TaskState::kEvicted;
}

bool IsTerminal(TaskState state) noexcept {
  return !IsLive(state) && !IsPending(state);
}

std::string RoleRowKey(const std::string& cell) {
  return "role/scheduler/" + cell;
}

std::string TaskRowKey(const TaskId& task) { return kTaskPrefix + task.str(); }

std::string JobRowKey(const JobName& job) { return kJobPrefix + job.str(); }

TaskId MakeTaskId(const JobName& job, int index) {
  return TaskId(job.str() + "/" + std::to_string(index));
}

JobName JobOf(const TaskId& task) {
  const auto slash = task.str().rfind('/');
  return slash == std::string::npos ? JobName()
                                    : JobName(task.str().substr(0, slash));
}

std::string Encode(const RoleRow& row) {
  return base::DumpJson(json{{"node", row.node.str()},
                             {"incarnation", row.incarnation.value()},
                             {"epoch", row.epoch.value()}});
}

std::string Encode(const TaskRecord& record) {
  json out{{"state", TaskStateName(record.state)},
           {"attempt", record.attempt.value()}};
  // Empty fields are omitted, since a row is written for every start.
  if (!record.vm.empty()) out["vm"] = record.vm.str();
  if (!record.address.empty()) out["address"] = record.address;
  if (record.worker_epoch.value() != 0) {
    out["epoch"] = record.worker_epoch.value();
  }
  if (!record.checkpoint.empty()) out["checkpoint"] = record.checkpoint;
  if (!record.reason.empty()) {
    out["reason"] = record.reason.substr(0, kMaxReasonBytes);
  }
  if (record.evictions != 0) out["evictions"] = record.evictions;
  if (record.failures != 0) out["failures"] = record.failures;
  if (!record.losses.empty()) out["losses"] = EncodeLosses(record.losses);
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string Encode(const JobSummary& summary) {
  json counts = json::object();
  for (std::size_t i = 0; i < kTaskStateCount; ++i) {
    if (summary.counts[i] > 0) {
      counts[std::string(kStateNames[i])] = summary.counts[i];
    }
  }
  return json{{"counts", std::move(counts)},
              {"reason", summary.reason.substr(0, kMaxReasonBytes)},
              {"cancelled", summary.cancelled}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<RoleRow> DecodeRole(const Row& row) {
  auto parsed = base::ParseJson(row.value, row.key);
  if (!parsed.ok()) return parsed.error();
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  ObjectReader reader(parsed.value(), row.key);
  reader.String("node", kMaxNameBytes, node);
  reader.Integer("incarnation", 0, INT64_MAX, incarnation);
  reader.Integer("epoch", 0, INT64_MAX, epoch, Presence::kRequired);
  if (auto error = reader.Finish()) return *error;
  return RoleRow{NodeId(std::move(node)), Incarnation(incarnation),
                 Epoch(epoch)};
}

Result<TaskRecord> DecodeTask(const Row& row) {
  auto parsed = base::ParseJson(row.value, row.key);
  if (!parsed.ok()) return parsed.error();
  std::string state;
  std::string vm;
  std::uint64_t attempt = 0;
  std::uint64_t epoch = 0;
  TaskRecord record;
  if (!parsed.value().is_object()) return Error{Errc::kMalformed, row.key};
  if (!DecodeLosses(parsed.value().value("losses", json::array()),
                    record.losses)) {
    return Error{Errc::kMalformed, row.key + ".losses"};
  }
  parsed.value().erase("losses");
  ObjectReader reader(parsed.value(), row.key);
  reader.String("state", kMaxNameBytes, state, Presence::kRequired);
  reader.Integer("attempt", 0, INT64_MAX, attempt, Presence::kRequired);
  reader.String("vm", kMaxNameBytes, vm);
  reader.String("address", kMaxNameBytes, record.address);
  reader.Integer("epoch", 0, INT64_MAX, epoch);
  reader.String("checkpoint", kMaxCheckpointBytes, record.checkpoint);
  reader.String("reason", kMaxReasonBytes, record.reason);
  reader.Integer("evictions", 0, kMaxCount, record.evictions);
  reader.Integer("failures", 0, kMaxCount, record.failures);
  if (auto error = reader.Finish()) return *error;
  for (std::size_t i = 0; i < kTaskStateCount; ++i) {
    if (kStateNames[i] != state) continue;
    record.state = static_cast<TaskState>(i);
    record.attempt = Attempt(attempt);
    record.vm = VmName(std::move(vm));
    record.worker_epoch = Epoch(epoch);
    return record;
  }
  return Error{Errc::kMalformed, row.key};
}

Result<JobSummary> DecodeJob(const Row& row) {
  auto parsed = base::ParseJson(row.value, row.key);
  if (!parsed.ok()) return parsed.error();
  if (!parsed.value().is_object()) return Error{Errc::kMalformed, row.key};
  const json counts = parsed.value().value("counts", json::object());
  parsed.value().erase("counts");
  JobSummary summary;
  ObjectReader reader(parsed.value(), row.key);
  reader.String("reason", kMaxReasonBytes, summary.reason);
  reader.Boolean("cancelled", summary.cancelled);
  if (auto error = reader.Finish()) return *error;
  ObjectReader count_reader(counts, row.key);
  for (std::size_t i = 0; i < kTaskStateCount; ++i) {
    count_reader.Integer(std::string(kStateNames[i]).c_str(), 0, kMaxCount,
                         summary.counts[i]);
  }
  if (auto error = count_reader.Finish()) return *error;
  return summary;
}

}  // namespace mangospread::scheduler
