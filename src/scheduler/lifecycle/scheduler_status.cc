// Status queries of operators.
#include <nlohmann/json.hpp>

#include "base/json/json_writer.hpp"
#include "scheduler/lifecycle/scheduler.hpp"

namespace mangospread::scheduler {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

rpc::QueryReply Reply(int status, const json& body) {
  return {status, base::DumpJson(body) + "\n"};
}

json CountsToJson(const std::array<int, kTaskStateCount>& counts) {
  json out = json::object();
  for (std::size_t i = 0; i < kTaskStateCount; ++i) {
    out[std::string(TaskStateName(static_cast<TaskState>(i)))] = counts[i];
  }
  return out;
}

}  // namespace

rpc::QueryReply Scheduler::Query(const std::string& path) {
  constexpr std::string_view kJobs = "/v1/jobs/";
  constexpr std::string_view kExplain = "/v1/explain/";
  if (phase_ != Phase::kDeciding) {
    return Reply(kServiceUnavailable, {{"error", "scheduler_not_ready"}});
  }
  if (path.starts_with(kJobs)) {
    return DescribeJob(JobName(path.substr(kJobs.size())));
  }
  if (path.starts_with(kExplain)) return Explain(path.substr(kExplain.size()));
  return Reply(kNotFound, {{"error", "not_found"}, {"subject", path}});
}

rpc::QueryReply Scheduler::DescribeJob(const JobName& name) {
  if (const JobSummary* summary = registry_->FindSummary(name)) {
    return Reply(kOk, {{"job", name.str()},
                       {"finished", true},
                       {"cancelled", summary->cancelled},
                       {"counts", CountsToJson(summary->counts)},
                       {"reason", summary->reason}});
  }
  const Job* job = registry_->FindJob(name);
  if (job == nullptr) {
    return Reply(kNotFound, {{"error", "not_found"}, {"subject", name.str()}});
  }
  std::array<int, kTaskStateCount> counts{};
  std::string reason;
  const Task* waiting = nullptr;
  for (const Task* task : job->tasks) {
    ++counts[static_cast<std::size_t>(task->record.state)];
    // The reason of a task that can never run takes precedence over those of
    // other tasks.
    if (reason.empty() || task->record.state == TaskState::kCannotRun) {
      reason = task->record.reason;
    }
    if (waiting == nullptr && task->enqueued) waiting = task;
  }
  if (reason.empty() && waiting != nullptr) {
    reason = engine_->WaitReason(waiting->id);
  }
  return Reply(kOk, {{"job", name.str()},
                     {"finished", false},
                     {"cancelled", job->cancelled},
                     {"counts", CountsToJson(counts)},
                     {"reason", reason}});
}

rpc::QueryReply Scheduler::Explain(const std::string& subject) {
  constexpr std::string_view kTask = "task/";
  const std::string key =
      subject.starts_with(kTask) ? subject.substr(kTask.size()) : subject;
  json decisions = json::array();
  for (const DecisionEntry& entry : log_.Find(key)) {
    json alternatives = json::array();
    for (const Alternative& other : entry.runners_up) {
      alternatives.push_back({{"vm", other.vm.str()}, {"cost", other.cost}});
    }
    decisions.push_back({{"time_ns", entry.time_ns},
                         {"event", static_cast<int>(entry.event)},
                         {"name", base::DescribeEvent(entry.event).name},
                         {"vm", entry.vm.str()},
                         {"why", entry.reason},
                         {"cost", entry.cost},
                         {"runners_up", std::move(alternatives)}});
  }
  if (decisions.empty() && registry_->Find(TaskId(key)) == nullptr) {
    return Reply(kNotFound, {{"error", "not_found"}, {"subject", key}});
  }
  json reply = {{"subject", key}, {"decisions", std::move(decisions)}};
  const std::string wait_reason = engine_->WaitReason(TaskId(key));
  if (!wait_reason.empty()) reply["waits"] = wait_reason;
  return Reply(kOk, reply);
}

}  // namespace mangospread::scheduler
