/// @file
/// Stand-ins and nodes of one test.
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "integration/harness/http.hpp"
#include "integration/harness/process.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {

/// A fault proxy process.
class ProxyControl {
 public:
  ProxyControl(const std::string& directory, const std::string& name);

  [[nodiscard]] Address address() const { return process_.address("proxy"); }
  void SetTarget(const Address& target);
  /// Replaces all faults by those of the JSON object; "{}" ends them.
  void SetFaults(const std::string& json);
  /// Closes all open connections.
  void Cut();
  /// All open connections go silent for good.
  void Silence();
  [[nodiscard]] nlohmann::json Record() const;

 private:
  void Control(const std::string& target, const std::string& body);

  Process process_;
};

struct ClusterOptions {
  int nodes = 3;
  int workers = 2;
  bool proxy_table = false;
  bool proxy_workers = false;
  bool proxy_rpc = false;
  bool proxy_http = false;
  std::vector<std::string> node_arguments;
  std::vector<std::string> worker_arguments;
  /// Spec of the service "coverage".
  std::string service =
      R"({"team":"branches","pool":"counter","timeout_ms":2000})";
};

inline constexpr char kServicePath[] = "/svc/coverage/plan";

/// Starts everything and returns when all nodes are ready and all workers
/// owned. Not safe for use from several threads, except for the const members.
class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  [[nodiscard]] int nodes() const { return static_cast<int>(nodes_.size()); }
  [[nodiscard]] int workers() const {
    return static_cast<int>(workers_.size());
  }

  /// Where callers reach the node; the proxy if there is one.
  [[nodiscard]] Address http(int node) const;
  /// The node itself.
  [[nodiscard]] Address direct_http(int node) const;
  [[nodiscard]] Process& node(int index) { return *nodes_.at(index); }
  [[nodiscard]] Process& worker(int index) { return *workers_.at(index); }
  [[nodiscard]] Process& table() { return *table_; }
  [[nodiscard]] ProxyControl& table_proxy() { return *table_proxy_; }
  [[nodiscard]] ProxyControl& worker_proxy(int i) {
    return *worker_proxies_.at(i);
  }
  [[nodiscard]] ProxyControl& rpc_proxy(int i) { return *rpc_proxies_.at(i); }
  [[nodiscard]] ProxyControl& http_proxy(int i) { return *http_proxies_.at(i); }

  /// Starts a node again under its old name, with fresh ports.
  void RestartNode(int index);

  /// Kills a worker process and starts a new one behind the same proxy.
  void RestartWorker(int index);
  /// File with a line for each start and end of a task on the worker, and one
  /// for each time that it was killed.
  [[nodiscard]] std::string TaskLog(int worker) const;

  /// Faults of the table stand-in.
  void SetTableFaults(const std::string& json);
  /// Replaces the VM list by all workers.
  /// Those in `leaving` have that state.
  void PublishVms(const std::set<int>& leaving = {});

  /// /standin/record of a worker stand-in.
  [[nodiscard]] nlohmann::json WorkerRecord(int worker) const;
  /// Sum over the workers of how often each value of Idempotency-Key ran.
  [[nodiscard]] nlohmann::json RunsByKey() const;
  /// Parsed body of a GET at a node; null when it gave none.
  [[nodiscard]] nlohmann::json Status(int node,
                                      const std::string& target) const;
  /// Workers owned by the node as it reports itself; -1 without an answer.
  [[nodiscard]] int OwnedWorkers(int node) const;
  [[nodiscard]] bool Ready(int node) const;
  [[nodiscard]] std::uint64_t Revision(int node) const;

  /// Waits until the running nodes are ready and own all workers.
  void WaitUntilServing();

 private:
  [[nodiscard]] std::vector<std::string> NodeArguments(int index) const;
  void StartNode(int index);
  [[nodiscard]] std::unique_ptr<Process> StartWorker(int index);
  void StartProxies();

  ClusterOptions options_;
  LogDirectory logs_;
  std::unique_ptr<Process> table_;
  std::unique_ptr<Process> vm_list_;
  std::vector<std::unique_ptr<Process>> workers_;
  std::unique_ptr<ProxyControl> table_proxy_;
  std::vector<std::unique_ptr<ProxyControl>> worker_proxies_;
  std::vector<std::unique_ptr<ProxyControl>> rpc_proxies_;
  std::vector<std::unique_ptr<ProxyControl>> http_proxies_;
  std::vector<std::unique_ptr<Process>> nodes_;
  int starts_ = 0;
};

}  // namespace mangospread::testing
