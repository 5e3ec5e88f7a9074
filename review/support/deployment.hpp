/// @file
/// A small deployment: nodes of the product as processes, a store and workers.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"
#include "worker.hpp"

namespace review {

struct StepRequest {
  int count = 1;
  TaskDemand demand;
  std::vector<int> after;
  std::string rack;  ///< Where its data is; empty for none.
  bool long_running = false;
};

class Deployment {
 public:
  /// Starts the processes. @param program path of the product's binary.
  Deployment(const std::string& program, const std::string& record_path,
             int nodes, const std::vector<WorkerOptions>& workers);
  /// Ends all processes.
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Waits until every node is ready and serves; false after 20 s.
  bool WaitUntilReady();
  /// Sends a submission and returns the status; 0 without a response.
  int Submit(std::size_t node, const std::string& id, const std::string& spec,
             const std::vector<StepRequest>& steps);
  /// Sends it again at another node until there is a 2xx; false after
  /// `attempts`.
  bool SubmitWithRetries(const std::string& id, const std::string& spec,
                         const std::vector<StepRequest>& steps, int attempts);
  [[nodiscard]] std::vector<StepRequest> StepsOf(const std::string& id) const;
  /// State as a consumer sees it; "status N" if it isn't 200.
  std::string State(std::size_t node, const std::string& id);
  /// Waits for a state; returns the last one seen.
  std::string AwaitState(const std::string& id,
                         const std::vector<std::string>& states,
                         int timeout_ms);
  /// Writes a version of the configuration. @param attempts of its queue.
  void Configure(int version, int attempts);

  [[nodiscard]] Record& record() noexcept { return record_; }
  [[nodiscard]] Store& store() noexcept { return store_; }
  [[nodiscard]] const RunLog& runs() const noexcept { return runs_; }
  [[nodiscard]] Worker& worker(std::size_t index) { return *workers_[index]; }
  [[nodiscard]] std::size_t workers() const noexcept { return workers_.size(); }
  [[nodiscard]] std::size_t nodes() const noexcept { return nodes_.size(); }

 private:
  struct Node {
    pid_t process = -1;
    std::string log;
    int front_port = 0;
    int ready_port = 0;
  };

  void StartNode(std::size_t index);
  void WriteSettings(std::size_t index, int store_port) const;
  [[nodiscard]] std::string SettingsPath(std::size_t index) const;
  [[nodiscard]] TaskDemand DemandOf(const std::string& task) const;

  std::string program_;
  Record record_;
  RunLog runs_;
  Store store_;
  std::string folder_;
  std::vector<Node> nodes_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<StepRequest>> submissions_;
  std::vector<std::unique_ptr<Worker>> workers_;
};

/// True unless the variable TROUBLE is 0.
[[nodiscard]] bool Trouble();

/// Sleeps.
void Pause(int milliseconds);

/// Polls until the condition holds; false after the time.
bool WaitFor(const std::function<bool()>& condition, int timeout_ms);

/// Result of a case, which is also its exit status.
enum class Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

/// Runs a case with the arguments PROGRAM RECORD.
int RunCase(int argc, char** argv,
            const std::function<Verdict(const std::string& program,
                                        const std::string& record)>& run);

}  // namespace review
