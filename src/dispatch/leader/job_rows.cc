#include "dispatch/leader/job_rows.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

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
/// Before the number of a block, which former versions take for no part.
constexpr char kBlockMark = 'b';

/// The fields of a row with progress except the tasks, without the last brace.
std::string EncodeHead(const ProgressRow& row) {
  std::string head =
      base::DumpJson({{"queue", row.queue.str()},
                      {"state", std::string(StateName(row.progress.state))}});
  head.pop_back();
  if (!row.submitted) head += R"(,"submitted":false)";
  return head;
}

/// @param tasks JSON rows, each followed by a comma.
std::string JoinRow(const std::string& head, std::string tasks) {
  if (!tasks.empty()) tasks.pop_back();
  return head + ",\"tasks\":[" + tasks + "]}";
}

/// Space for the number of further rows and for what joins the fields.
constexpr std::size_t kReservedBytes = 64;
/// Least size of a task in a row.
constexpr std::size_t kMinTaskBytes = 20;

/// Bytes that a row with this head has for tasks.
std::size_t SpaceBeside(const std::string& head, std::size_t max_bytes) {
  return max_bytes - std::min(max_bytes, head.size() + kReservedBytes);
}

/// JSON rows of the tasks, each followed by a comma.
std::string ListTasks(std::span<const TaskProgress> tasks) {
  std::string listed;
  for (const TaskProgress& task : tasks) {
    listed += base::DumpJson(EncodeTask(task)) + ",";
  }
  return listed;
}

std::string JoinBlock(std::string tasks) {
  if (!tasks.empty()) tasks.pop_back();
  return R"({"tasks":[)" + tasks + "]}";
}

/// Removes the longest checkpoint of the tasks. Returns false if there is none.
bool DropLongestCheckpoint(std::vector<TaskProgress>& tasks) {
  const auto longest =
      std::max_element(tasks.begin(), tasks.end(),
                       [](const TaskProgress& a, const TaskProgress& b) {
                         return a.checkpoint.size() < b.checkpoint.size();
                       });
  if (longest == tasks.end() || longest->checkpoint.empty()) return false;
  longest->checkpoint.clear();
  return true;
}

/// Sets the flag if the object has the field. Returns false if it is malformed.
bool DecodeFlag(const json& object, const char* field, bool& flag) {
  const auto it = object.find(field);
  if (it == object.end()) return true;
  if (!it->is_boolean()) return false;
  flag = it->get<bool>();
  return true;
}

/// Decodes the list "tasks". Returns false if it is malformed.
bool DecodeTasks(const json& object, std::vector<TaskProgress>& tasks) {
  const auto list = object.find("tasks");
  if (list == object.end() || !list->is_array()) return false;
  for (const json& entry : *list) {
    TaskProgress task;
    if (!DecodeTask(entry, task)) return false;
    tasks.push_back(std::move(task));
  }
  return true;
}

/// Returns nullopt if the text is not a number.
std::optional<int> ParseNumber(std::string_view text) {
  int number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

template <typename T>
void AppendBytes(std::string& bytes, const T& value) {
  bytes.append(reinterpret_cast<const char*>(&value), sizeof(value));
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

Result<std::string> EncodeProgressRow(const ProgressRow& row,
                                      std::size_t max_bytes) {
  const Error too_large{Errc::kTooLarge, "progress"};
  const std::string head = EncodeHead(row);
  const std::size_t space = SpaceBeside(head, max_bytes);
  if (row.progress.tasks.size() > space / kMinTaskBytes) return too_large;
  std::string listed = ListTasks(row.progress.tasks);
  if (listed.size() > space) return too_large;
  if (CanListDone(row.progress.done, space - listed.size())) {
    return JoinRow(head, ListDone(row.progress.done) + listed);
  }
  const std::string done = "," + EncodeDone(row.progress.done);
  if (done.size() + listed.size() > space) return too_large;
  return JoinRow(head + done, std::move(listed));
}

Result<std::string> EncodeBlockedProgressRow(const ProgressRow& row,
                                             std::size_t max_bytes) {
  const std::string head = EncodeHead(row);
  const std::string done = "," + EncodeDone(row.progress.done);
  if (done.size() > SpaceBeside(head, max_bytes)) {
    return Error{Errc::kTooLarge, "progress"};
  }
  return JoinRow(head + done + R"(,"blocked":true)", {});
}

std::string EncodeProgressBlock(std::span<const TaskProgress> tasks,
                                std::size_t max_bytes) {
  std::string row = JoinBlock(ListTasks(tasks));
  if (row.size() <= max_bytes) return row;
  std::vector<TaskProgress> reduced(tasks.begin(), tasks.end());
  while (row.size() > max_bytes && DropLongestCheckpoint(reduced)) {
    row = JoinBlock(ListTasks(reduced));
  }
  return row;
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

std::string ProgressBlockKey(const SubmissionId& id, int block) {
  return kProgressPrefix + id.str() + kPartSeparator + kBlockMark +
         std::to_string(block);
}

ProgressRowName ParseProgressKey(std::string_view key) {
  ProgressRowName whole{SubmissionId(std::string(key)), 0, std::nullopt};
  const std::size_t separator = key.rfind(kPartSeparator);
  if (separator == std::string_view::npos) return whole;
  std::string_view name = key.substr(separator + 1);
  const bool is_block = name.starts_with(kBlockMark);
  if (is_block) name.remove_prefix(1);
  const auto number = ParseNumber(name);
  const int least = is_block ? 0 : 1;
  if (!number || *number < least) return whole;
  const SubmissionId id(std::string(key.substr(0, separator)));
  if (is_block) return {id, 0, number};
  return {id, *number, std::nullopt};
}

std::uint64_t BlockDigest(std::span<const TaskProgress> tasks) {
  std::string bytes;
  for (const TaskProgress& task : tasks) {
    AppendBytes(bytes, task.task.step);
    AppendBytes(bytes, task.task.index);
    AppendBytes(bytes, task.done);
    AppendBytes(bytes, task.run);
    AppendBytes(bytes, task.failed_runs.size());
    for (const std::uint32_t run : task.failed_runs) AppendBytes(bytes, run);
    AppendBytes(bytes, task.checkpoint.size());
    bytes += task.checkpoint;
    AppendBytes(bytes, task.losses.size());
    for (const TaskLoss& loss : task.losses) {
      AppendBytes(bytes, loss.run);
      AppendBytes(bytes, loss.suspicion);
      AppendBytes(bytes, loss.certain);
    }
  }
  return XXH64(bytes.data(), bytes.size(), 0);
}

bool StoredProgress::Add(std::string_view key, std::string_view value) {
  const auto [id, part, block] = ParseProgressKey(key);
  if (block) return AddBlock(id, *block, value);
  if (part > 0) {
    int& highest = further[id].parts;
    highest = std::max(highest, part);
  }
  auto decoded = DecodeProgressRow(value);
  if (!decoded.ok()) return false;
  if (part == 0) {
    if (decoded.value().blocked) further[id].blocked = true;
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

bool StoredProgress::AddBlock(const SubmissionId& id, int block,
                              std::string_view value) {
  std::uint64_t& digest = further[id].blocks[block];
  const auto decoded = DecodeProgressBlock(value);
  if (!decoded.ok()) return false;
  digest = BlockDigest(decoded.value());
  const auto first = rows.find(id);
  // The row may be left from a time when the first one had no space.
  if (first == rows.end() || !first->second.blocked) return true;
  auto& tasks = first->second.progress.tasks;
  tasks.insert(tasks.end(), decoded.value().begin(), decoded.value().end());
  return true;
}

Result<ProgressRow> DecodeProgressRow(std::string_view value) {
  const auto parsed = base::ParseJson(value, "progress");
  if (!parsed.ok()) return parsed.error();
  const json& object = parsed.value();
  const Error malformed{Errc::kMalformed, "progress"};
  if (!object.is_object() || !object.contains("queue") ||
      !object.contains("state") || !object["queue"].is_string() ||
      !object["state"].is_string()) {
    return malformed;
  }
  ProgressRow row;
  row.queue = QueueName(object["queue"].get<std::string>());
  const auto state = ParseState(object["state"].get<std::string>());
  if (!state) return malformed;
  row.progress.state = *state;
  if (!DecodeTasks(object, row.progress.tasks)) return malformed;
  const auto parts = object.find("parts");
  if (parts != object.end()) {
    if (!IsCount(*parts)) return malformed;
    row.parts = parts->get<int>();
  }
  if (!DecodeFlag(object, "blocked", row.blocked) ||
      !DecodeFlag(object, "submitted", row.submitted)) {
    return malformed;
  }
  if (!DecodeDone(object, row.progress.done)) return malformed;
  return row;
}

Result<std::vector<TaskProgress>> DecodeProgressBlock(std::string_view value) {
  const auto parsed = base::ParseJson(value, "progress");
  if (!parsed.ok()) return parsed.error();
  std::vector<TaskProgress> tasks;
  if (!parsed.value().is_object() || !DecodeTasks(parsed.value(), tasks)) {
    return Error{Errc::kMalformed, "progress"};
  }
  return tasks;
}

}  // namespace mangospread::dispatch
