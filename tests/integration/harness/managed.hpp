/// @file
/// Managed nodes of a test and the stand-in for their platform.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "integration/harness/http.hpp"
#include "integration/harness/process.hpp"
#include "mangospread/ids.hpp"
#include "mangospread/units.hpp"

namespace mangospread::testing {

/// Counters that the platform stand-in keeps for all of its workers.
struct RunCounters {
  int starts = 0;        ///< Runs that were started.
  int done = 0;          ///< Runs that ended as done.
  int running = 0;       ///< Tasks that run at present.
  int overlaps = 0;      ///< Starts of a task that was already running.
  int repeats = 0;       ///< Starts of a task whose success was acknowledged.
  int overloads = 0;     ///< Starts that would exceed the capacity of a worker.
  int expired_runs = 0;  ///< Runs ended by a worker whose lease expired.
  std::set<std::string> started;  ///< Ids of submissions of which a task ran.
  std::map<std::string, int> crashes;  ///< Workers that each task has crashed.
  /// The nodes must observe the present capacity of every worker.
  bool capacities_known = false;
};

/// Checks that no task was started while it was running, nor after its success
/// had been acknowledged.
void CheckNoTaskRanTwice(const RunCounters& counts);

/// Id of the submission with the given number: 16 hexadecimal digits.
[[nodiscard]] std::string SubmissionIdOf(int submission);

/// Default of the number of tasks that a worker runs at most.
inline constexpr int kRunsPerWorker = 8;

/// What a node's VM bears, as its settings name it.
struct NodeLimits {
  int memory_mb = 260;
  int max_fds = 4'100;
};

/// A platform stand-in with `workers` workers and the nodes "n1" to "n<nodes>",
/// each of which reaches the platform's table through a fault proxy. The
/// constructor starts them without waiting until the nodes are ready.
class ManagedCluster {
 public:
  /// @param runs number of tasks that each worker runs at most.
  /// @param data_centers the workers are spread over "dc", "dc2" and so on.
  ManagedCluster(int nodes, int workers, int runs = kRunsPerWorker,
                 NodeLimits limits = {}, int data_centers = 1);

  /// Control address of the fault proxy between a node and the table.
  [[nodiscard]] Address table_proxy(std::size_t node) const {
    return table_proxies_[node]->address("control");
  }
  /// HTTP address of the platform stand-in.
  [[nodiscard]] Address platform_address() const {
    return platform_.address("http");
  }

  /// Sends a request to the control address of every node's table proxy.
  void PostToTableProxies(const std::string& target, const std::string& body);

  /// Waits until the readiness check of every node succeeds.
  void WaitUntilReady();
  /// Starts a node again after it has ended.
  void RestartNode(std::size_t node);
  [[nodiscard]] Process& node(std::size_t index) { return *nodes_[index]; }
  [[nodiscard]] std::size_t nodes() const noexcept { return nodes_.size(); }
  /// True if the readiness check of the node succeeds.
  [[nodiscard]] bool IsReady(std::size_t node);

  /// Sends a request for the submission with the given number to a node.
  Response SendRequest(std::size_t node, net::Method method, int submission,
                       const std::string& body = "");
  /// Submits one step of `tasks` tasks, each of which runs for `task_ms`
  /// milliseconds.
  Response Submit(std::size_t node, int submission, int tasks, int task_ms);
  /// Submits one step of `tasks` long-running tasks.
  Response SubmitLongRunning(std::size_t node, int submission, int tasks);
  /// Submits one step of `tasks` tasks, each of which fails after 200 ms.
  Response SubmitFailing(std::size_t node, int submission, int tasks);
  /// Submits one task that crashes the worker which starts it.
  /// @param spec "crash", after which the worker restarts under its id, or
  ///   "crash-new-id", after which another one starts in its place.
  Response SubmitCrashing(std::size_t node, int submission,
                          const std::string& spec);
  /// The state of a submission as returned by a node; empty if the request
  /// fails.
  [[nodiscard]] std::string GetState(std::size_t node, int submission);

  /// Index of the node that leads; the number of nodes if none does.
  [[nodiscard]] std::size_t Leader();
  /// Waits until a node leads, and returns its index. It may still refuse
  /// calls, as a new leader does until it has read the stored rows.
  [[nodiscard]] std::size_t AwaitLeader();
  /// Waits until a node leads and serves callers, and returns its index.
  [[nodiscard]] std::size_t AwaitServingLeader();
  /// True if the node runs and leads.
  [[nodiscard]] bool IsLeading(std::size_t node);
  /// Epoch of the leader's row in the table.
  [[nodiscard]] Epoch LeaderEpoch();
  /// Index of the agent to which the node, as the leader, has assigned the
  /// worker last, by its log.
  [[nodiscard]] std::size_t AgentOf(std::size_t leader, const std::string& vm);
  /// Waits until every worker has an agent, each node other than the leader is
  /// the agent of one, and the leader of none. Before that, the first agent
  /// that connects may have all workers, and the leader moves them when others
  /// follow.
  void AwaitSpreadWorkers(std::size_t leader);
  /// True if the stored row of agents names the node, so it may have granted
  /// leases that are still valid.
  [[nodiscard]] bool IsStoredAgent(std::size_t node);
  /// Ends a worker for good. Its address does not respond any more.
  void RemoveWorker(std::size_t worker);
  /// Discards all data between the nodes and a worker, or ends that.
  void SilenceWorker(std::size_t worker, bool silent);
  /// Changes the number of tasks that a worker can run.
  void SetCapacity(std::size_t worker, int runs);
  /// Starts another worker and returns its index.
  std::size_t AddWorker();
  /// Number of runs that have ended on the worker.
  [[nodiscard]] int EndedRuns(std::size_t worker);
  /// Makes a worker list rows as running that do not describe any of its runs.
  void ListOddRuns(std::size_t worker, const nlohmann::json& rows);
  /// Writes an entry among those of the workers, as another writer does.
  void PutWorkerEntry(const std::string& key, const std::string& value);
  /// Requests the evacuation of a data centre, or takes it back, and waits
  /// until all running nodes know that `in_force` evacuations are in force.
  void Evacuate(const std::string& data_center, bool evacuated, int in_force);
  /// Number of runs that each worker has started, by its name.
  [[nodiscard]] std::map<std::string, int> StartsByWorker();
  /// Replaces the faults of the table by those of the JSON object.
  void SetTableFaults(const std::string& faults);
  /// Delays all data between every node and the table, in each direction.
  void DelayTable(Milliseconds delay);
  /// Reads the counters from the platform stand-in.
  [[nodiscard]] RunCounters GetCounters();
  /// Directory of the log files of all processes.
  [[nodiscard]] const std::string& log_directory() const {
    return logs_.path();
  }

 private:
  [[nodiscard]] nlohmann::json GetRecord();
  /// The metrics of a node; empty if it does not run or respond.
  [[nodiscard]] std::string GetMetrics(std::size_t node);
  [[nodiscard]] std::unique_ptr<Process> StartNode(std::size_t index);

  NodeLimits limits_;
  LogDirectory logs_;
  Process platform_;
  std::vector<std::unique_ptr<Process>> table_proxies_;
  std::vector<std::unique_ptr<Process>> nodes_;
};

}  // namespace mangospread::testing
