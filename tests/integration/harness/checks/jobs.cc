#include "integration/harness/checks/jobs.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/loop/clock.hpp"
#include "integration/harness/checks/lines.hpp"

namespace mangospread::testing {
namespace {

using nlohmann::json;

constexpr int kCreated = 201;

TaskRun ReadRun(const json& item, int worker) {
  TaskRun run;
  run.task = item.at("task").get<std::string>();
  run.attempt = item.at("attempt").get<int>();
  run.worker = worker;
  run.started_ns = item.at("started_ns").get<std::int64_t>();
  run.ended_ns = item.at("ended_ns").get<std::int64_t>();
  run.from_checkpoint = item.at("from_checkpoint").get<std::int64_t>();
  run.checkpoint = std::atoll(item.at("checkpoint").get<std::string>().c_str());
  run.phase = item.at("phase").get<std::string>();
  return run;
}

}  // namespace

std::map<std::string, std::vector<TaskRun>> CollectRuns(
    const Cluster& cluster) {
  std::map<std::string, std::vector<TaskRun>> runs;
  for (int i = 0; i < cluster.workers(); ++i) {
    std::map<std::pair<std::string, int>, TaskRun> unfinished;
    std::ifstream log(cluster.TaskLog(i));
    for (const std::string& line : ReadCompleteLines(log)) {
      const json item = json::parse(line);
      const std::string event = item.at("event").get<std::string>();
      const std::int64_t ended = item.at("ended_ns").get<std::int64_t>();
      if (event == "killed") {
        for (auto& [key, run] : unfinished) {
          run.ended_ns = ended;
          run.phase = "killed";
          runs[run.task].push_back(run);
        }
        unfinished.clear();
        continue;
      }
      const TaskRun run = ReadRun(item, i);
      unfinished.erase({run.task, run.attempt});
      if (event == "start") {
        unfinished[{run.task, run.attempt}] = run;
      } else {
        runs[run.task].push_back(run);
      }
    }
    for (auto& [key, run] : unfinished) {
      run.ended_ns = base::MonotonicNow().count();
      runs[run.task].push_back(run);
    }
  }
  for (auto& [task, task_runs] : runs) {
    std::sort(task_runs.begin(), task_runs.end(),
              [](const auto& a, const auto& b) {
                return a.started_ns < b.started_ns;
              });
  }
  return runs;
}

void CheckRunsDoNotOverlap(const Cluster& cluster) {
  for (const auto& entry : CollectRuns(cluster)) {
    const std::vector<TaskRun>& runs = entry.second;
    for (std::size_t i = 1; i < runs.size(); ++i) {
      INFO("task ", entry.first, " attempts ", runs[i - 1].attempt, " and ",
           runs[i].attempt, " on workers ", runs[i - 1].worker, " and ",
           runs[i].worker);
      CHECK(runs[i].started_ns >= runs[i - 1].ended_ns);
      CHECK(runs[i].attempt > runs[i - 1].attempt);
    }
  }
}

void CreateJob(const Cluster& cluster, int node, const std::string& name,
               const std::string& spec) {
  const Response response =
      Put(cluster.direct_http(node), "/v1/resources/job/" + name, spec);
  REQUIRE(response.status == kCreated);
}

json JobStatus(const Cluster& cluster, const std::string& name) {
  for (int i = 0; i < cluster.nodes(); ++i) {
    const Response response = Get(cluster.direct_http(i), "/v1/jobs/" + name);
    if (!response.ok()) continue;
    json body = json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("counts")) return body;
  }
  return {};
}

int CountTasksInState(const json& status, const std::string& state) {
  if (!status.is_object()) return -1;
  return status.at("counts").value(state, -1);
}

int SchedulerNode(const Cluster& cluster) {
  for (int i = 0; i < cluster.nodes(); ++i) {
    const Response response = Get(cluster.direct_http(i), "/metrics");
    if (response.body.find("scheduler_active 1") != std::string::npos) return i;
  }
  return -1;
}

void WaitForJob(const Cluster& cluster, const std::string& name) {
  constexpr Milliseconds kJobTimeout{120'000};
  WaitUntil("job " + name + " finished", kJobTimeout, [&cluster, &name] {
    const json status = JobStatus(cluster, name);
    return status.is_object() && status.at("finished").get<bool>();
  });
}

}  // namespace mangospread::testing
