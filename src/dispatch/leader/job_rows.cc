#include "dispatch/leader/job_rows.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "base/json/json_reader.hpp"
#include "base/json/json_writer.hpp"
#include "dispatch/leader/done_tasks.hpp"
#include "dispatch/leader/lines.hpp"

namespace mangospread::dispatch {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxTextBytes = 1024 * 1024;
constexpr std::int64_t kMaxCount = INT32_MAX;
constexpr std::int64_t kMaxTimeMs = INT64_MAX;
/// The last field, the losses, is missing if there are none.
constexpr std::size_t kMinTaskFields = 6;
constexpr std::size_t kMaxTaskFields = 7;

json EncodeTask(const TaskProgress& task) {
  json row = json::array({task.task.step, task.task.index, task.done, task.run,
                          task.failed_runs, task.checkpoint});
  if (task.losses.empty()) return row;
  json losses = json::array();
  for (const TaskLoss& loss : task.losses) {
    losses.push_back(json::array(
        {loss.run, static_cast<int>(loss.suspicion), loss.certain}));
  }
  row.push_back(std::move(losses));
  return row;
}

/// True for a number from 0 to kMaxCount.
bool IsCount(const json& number) {
  return number.is_number_unsigned() &&
         number.get<std::uint64_t>() <= static_cast<std::uint64_t>(kMaxCount);
}

bool DecodeLosses(const json& rows, std::vector<TaskLoss>& losses) {
  if (!rows.is_array()) return false;
  constexpr std::size_t kLossFields = 3;
  constexpr auto kMaxSuspicion = static_cast<std::uint64_t>(Suspicion::kSole);
  for (const json& row : rows) {
    if (!row.is_array() || row.size() != kLossFields || !IsCount(row[0]) ||
        !row[1].is_number_unsigned() ||
        row[1].get<std::uint64_t>() > kMaxSuspicion || !row[2].is_boolean()) {
      return false;
    }
    losses.push_back({row[0].get<std::uint32_t>(),
                      static_cast<Suspicion>(row[1].get<int>()),
                      row[2].get<bool>()});
  }
  return true;
}

bool DecodeTask(const json& row, TaskProgress& task) {
  if (!row.is_array() || row.size() < kMinTaskFields ||
      row.size() > kMaxTaskFields || !IsCount(row[0]) || !IsCount(row[1]) ||
      !row[2].is_boolean() || !IsCount(row[3]) || !row[4].is_array() ||
      !row[5].is_string()) {
    return false;
  }
  for (const json& run : row[4]) {
    if (!IsCount(run)) return false;
  }
  task = {{row[0].get<int>(), row[1].get<int>()},
          row[2].get<bool>(),
          row[3].get<std::uint32_t>(),
          row[4].get<std::vector<std::uint32_t>>(),
          row[5].get<std::string>(),
          {}};
  return row.size() < kMaxTaskFields || DecodeLosses(row[6], task.losses);
}

constexpr char kPartSeparator = '.';

/// The fields of a row with progress except the tasks, without the last brace.
std::string EncodeHead(const ProgressRow& row) {
  std::string head =
      base::DumpJson({{"queue", row.queue.str()},
                      {"state", std::string(StateName(row.progress.state))}});
  head.pop_back();
  return head;
}

/// @param tasks JSON rows, each followed by a comma.
std::string JoinRow(const std::string& head, std::string tasks) {
  if (!tasks.empty()) tasks.pop_back();
  return head + ",\"tasks\":[" + tasks + "]}";
}

/// True if nothing is stored of a task but that it has lost a run.
bool HasOnlyLostRun(const TaskProgress& task) {
  return !task.done && task.failed_runs.empty() && task.checkpoint.empty() &&
         task.losses.empty();
}

/// Appends a task to the last part or to a new one. Returns false, without a
/// change, if it would need more than kMaxProgressRows.
/// @param reserved bytes of the first part that other fields use.
bool AppendTask(const std::string& task, std::size_t space,
                std::size_t reserved, std::vector<std::string>& parts) {
  const std::size_t used = parts.size() == 1 ? reserved : 0;
  if (parts.back().size() + task.size() + used > space) {
    if (task.size() > space || parts.size() == kMaxProgressRows) return false;
    parts.emplace_back();
  }
  parts.back() += task;
  return true;
}

}  // namespace

std::string EncodeJobRow(const JobRow& row) {
  return base::DumpJson({{"queue", row.policy.queue.str()},
                         {"service", row.policy.service.str()},
                         {"priority", row.policy.priority},
                         {"attempts", row.policy.attempts},
                         {"stretch", row.policy.stretch},
                         {"target_ms", row.policy.latency_target.count()},
                         {"accepted_at_ms", row.accepted_at_ms},
                         {"payload", row.payload}});
}

Result<JobRow> DecodeJobRow(std::string_view value) {
  const auto parsed = base::ParseJson(value, "job");
  if (!parsed.ok()) return parsed.error();
  base::ObjectReader reader(parsed.value(), "job");
  constexpr auto kRequired = base::Presence::kRequired;
  JobRow row;
  std::string queue;
  std::string service;
  std::int64_t target = 0;
  reader.String("queue", kMaxTextBytes, queue, kRequired);
  reader.String("service", kMaxTextBytes, service, kRequired);
  reader.Integer("priority", 0, kMaxCount, row.policy.priority);
  reader.Integer("attempts", 1, kMaxCount, row.policy.attempts);
  reader.Number("stretch", 0, 1e9, row.policy.stretch);
  reader.Integer("target_ms", 0, kMaxDuration.count(), target);
  reader.Integer("accepted_at_ms", 0, kMaxTimeMs, row.accepted_at_ms);
  reader.String("payload", kMaxTextBytes, row.payload, kRequired);
  if (const auto error = reader.Finish()) return *error;
  row.policy.queue = QueueName(std::move(queue));
  row.policy.service = ServiceName(std::move(service));
  row.policy.latency_target = Milliseconds(target);
  return row;
}

Result<std::vector<std::string>> EncodeProgressRows(const ProgressRow& row,
                                                    std::size_t max_bytes) {
  // Space for the number of further rows and for what joins the fields.
  constexpr std::size_t kReservedBytes = 64;
  const std::string head = EncodeHead(row);
  std::string listed;
  std::vector<std::string> tasks;
  std::vector<std::string> only_lost;
  for (const TaskProgress& task : row.progress.tasks) {
    std::string encoded = base::DumpJson(EncodeTask(task)) + ",";
    listed += encoded;
    auto& list = HasOnlyLostRun(task) ? only_lost : tasks;
    list.push_back(std::move(encoded));
  }
  const std::size_t used = head.size() + kReservedBytes;
  const std::size_t space = max_bytes - std::min(max_bytes, used);
  if (listed.size() <= space &&
      CanListDone(row.progress.done, space - listed.size())) {
    return std::vector<std::string>{
        JoinRow(head, ListDone(row.progress.done) + listed)};
  }
  const std::string done = "," + EncodeDone(row.progress.done);
  if (done.size() > space) return Error{Errc::kTooLarge, "progress"};
  std::vector<std::string> parts = {{}};
  for (const std::string& task : tasks) {
    if (!AppendTask(task, space, done.size(), parts)) {
      return Error{Errc::kTooLarge, "progress"};
    }
  }
  for (const std::string& task : only_lost) {
    if (!AppendTask(task, space, done.size(), parts)) break;
  }
  const std::string first_head =
      head + done + ",\"parts\":" + std::to_string(parts.size() - 1);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i] = JoinRow(i == 0 ? first_head : head, std::move(parts[i]));
  }
  return parts;
}

std::vector<std::string> EncodeRoster(const std::set<VmName>& workers,
                                      std::size_t max_bytes) {
  std::vector<std::string> rows(1);
  for (const VmName& vm : workers) {
    const std::string line = vm.str() + "\n";
    if (!rows.back().empty() && rows.back().size() + line.size() > max_bytes) {
      rows.emplace_back();
    }
    rows.back() += line;
  }
  return rows;
}

void DecodeRoster(std::string_view value, std::set<VmName>& workers) {
  while (!value.empty()) {
    workers.emplace(std::string(detail::TakeLine(value)));
  }
}

std::string RosterKey(int part) {
  std::string key = kRosterKey;
  if (part > 0) key += kPartSeparator + std::to_string(part);
  return key;
}

std::string ProgressKey(const SubmissionId& id, int part) {
  std::string key = kProgressPrefix + id.str();
  if (part > 0) key += kPartSeparator + std::to_string(part);
  return key;
}

std::pair<SubmissionId, int> ParseProgressKey(std::string_view key) {
  const std::size_t separator = key.rfind(kPartSeparator);
  int part = 0;
  if (separator != std::string_view::npos) {
    const char* end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + separator + 1, end, part);
    if (parsed.ec != std::errc() || parsed.ptr != end || part < 1) part = 0;
  }
  if (part > 0) key = key.substr(0, separator);
  return {SubmissionId(std::string(key)), part};
}

bool StoredProgress::Add(std::string_view key, std::string_view value) {
  const auto [id, part] = ParseProgressKey(key);
  if (part > 0) {
    int& highest = parts[id];
    highest = std::max(highest, part);
  }
  auto decoded = DecodeProgressRow(value);
  if (!decoded.ok()) return false;
  if (part == 0) {
    rows.emplace(id, std::move(decoded.value()));
    return true;
  }
  const auto first = rows.find(id);
  // A former version stores no further rows and leaves those that there are.
  if (first == rows.end() || part > first->second.parts) return true;
  auto& tasks = first->second.progress.tasks;
  for (TaskProgress& task : decoded.value().progress.tasks) {
    tasks.push_back(std::move(task));
  }
  return true;
}

Result<ProgressRow> DecodeProgressRow(std::string_view value) {
  const auto parsed = base::ParseJson(value, "progress");
  if (!parsed.ok()) return parsed.error();
  const json& object = parsed.value();
  const Error malformed{Errc::kMalformed, "progress"};
  if (!object.is_object() || !object.contains("queue") ||
      !object.contains("state") || !object.contains("tasks") ||
      !object["queue"].is_string() || !object["state"].is_string() ||
      !object["tasks"].is_array()) {
    return malformed;
  }
  ProgressRow row;
  row.queue = QueueName(object["queue"].get<std::string>());
  const auto state = ParseState(object["state"].get<std::string>());
  if (!state) return malformed;
  row.progress.state = *state;
  for (const json& entry : object["tasks"]) {
    TaskProgress task;
    if (!DecodeTask(entry, task)) return malformed;
    row.progress.tasks.push_back(std::move(task));
  }
  const auto parts = object.find("parts");
  if (parts != object.end()) {
    if (!IsCount(*parts)) return malformed;
    row.parts = parts->get<int>();
  }
  if (!DecodeDone(object, row.progress.done)) return malformed;
  return row;
}

}  // namespace mangospread::dispatch
