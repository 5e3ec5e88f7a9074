/// @file
/// Creates jobs in tests and checks the recorded runs of their tasks.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "integration/harness/cluster.hpp"

namespace mangospread::testing {

/// One run of a task as its worker recorded it. Times are read from the
/// machine's monotonic clock, which all workers of a test share.
struct TaskRun {
  std::string task;
  int attempt = 0;
  int worker = 0;  ///< Index of the worker in the cluster.
  std::int64_t started_ns = 0;
  std::int64_t ended_ns = 0;  ///< Time of the query if the task still runs.
  /// Work in milliseconds that the checkpoint of the former attempt covers.
  std::int64_t from_checkpoint = 0;
  /// Work in milliseconds that the last checkpoint of this run covers.
  std::int64_t checkpoint = 0;
  std::string phase;  ///< "running", "stopped", "done", "failed" or "killed".
};

/// Collects the runs recorded by all workers, by task and in order of their
/// start.
[[nodiscard]] std::map<std::string, std::vector<TaskRun>> CollectRuns(
    const Cluster& cluster);

/// Fails the test case if two runs of a task overlap or if the attempt numbers
/// of its runs do not increase, as when an attempt ran twice.
void CheckRunsDoNotOverlap(const Cluster& cluster);

/// Creates the job `name` with a request to a node and requires success.
void CreateJob(const Cluster& cluster, int node, const std::string& name,
               const std::string& spec);

/// Gets the status of a job from the first node that returns it; null if none
/// does.
[[nodiscard]] nlohmann::json JobStatus(const Cluster& cluster,
                                       const std::string& name);

/// Number of tasks in `state` according to a job status; -1 if it is null or
/// lacks the state.
[[nodiscard]] int CountTasksInState(const nlohmann::json& status,
                                    const std::string& state);

/// Index of the node whose metrics report an active scheduler; -1 if there is
/// none.
[[nodiscard]] int SchedulerNode(const Cluster& cluster);

/// Waits until a job has finished.
void WaitForJob(const Cluster& cluster, const std::string& name);

}  // namespace mangospread::testing
