/// @file
/// Jobs in tests, and the check of what ran.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "integration/harness/cluster.hpp"

namespace mangospread::testing {

/// One execution of a task as a worker recorded it. Times are of the machine's
/// own clock, which all workers of a test share.
struct TaskRun {
  std::string task;
  int attempt = 0;
  int worker = 0;
  std::int64_t started_ns = 0;
  std::int64_t ended_ns = 0;  ///< The time of the query while it runs.
  std::int64_t from_checkpoint = 0;
  std::int64_t checkpoint = 0;
  std::string phase;
};

/// Runs recorded by all workers, by task and in order of their start.
[[nodiscard]] std::map<std::string, std::vector<TaskRun>> CollectRuns(
    const Cluster& cluster);

/// Fails the test case if two runs of a task overlap or if an attempt ran
/// twice.
void CheckRunsDoNotOverlap(const Cluster& cluster);

/// Creates a job at a node.
void CreateJob(const Cluster& cluster, int node, const std::string& name,
               const std::string& spec);

/// Status of a job from any node that answers.
[[nodiscard]] nlohmann::json JobStatus(const Cluster& cluster,
                                       const std::string& name);

/// Number of tasks in a state; -1 without an answer.
[[nodiscard]] int CountIn(const nlohmann::json& status,
                          const std::string& state);

/// Index of the node that schedules; -1 when none says so.
[[nodiscard]] int SchedulerNode(const Cluster& cluster);

/// Waits until a job has finished.
void WaitForJob(const Cluster& cluster, const std::string& name);

}  // namespace mangospread::testing
