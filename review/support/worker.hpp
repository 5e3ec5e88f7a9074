/// @file
/// Stand-in for a worker that receives its orders by call.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"
#include "record.hpp"

namespace review {

/// What one task of a step needs and how it behaves.
struct TaskDemand {
  int cpu = 0;
  int memory_mb = 0;
  int duration_ms = 0;  ///< 0 for a task that lasts.
  bool fails = false;   ///< Each run ends as failed, by the task's own fault.
};

/// A run that a worker has begun.
struct RunEvent {
  std::string worker;
  std::string task;
  std::uint64_t run = 0;
  std::string spec;
  std::int64_t begun_ms = 0;
  std::int64_t ended_ms = 0;  ///< 0 while it runs.
  std::string how;            ///< "lost" if it ended with its worker.
  std::int64_t listed_ms = 0;
  std::int64_t acknowledged_ms = 0;
};

/// All runs of all workers, in the order in which they began.
class RunLog {
 public:
  std::size_t Begin(RunEvent run) {
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
    return runs_.size() - 1;
  }
  void Change(std::size_t index, const std::function<void(RunEvent&)>& change) {
    const std::lock_guard lock(mutex_);
    change(runs_[index]);
  }
  [[nodiscard]] std::vector<RunEvent> All() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<RunEvent> runs_;
};

struct WorkerOptions {
  std::string id;
  std::string rack;
  int cpu = 32'000;
  int memory_mb = 128'000;
};

class Worker {
 public:
  using Demand = std::function<TaskDemand(const std::string& task)>;

  Worker(WorkerOptions options, Demand demand, RunLog& runs, Record& record);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// The entry that the worker writes about itself.
  [[nodiscard]] std::string Entry() const;
  [[nodiscard]] const std::string& id() const noexcept { return options_.id; }
  [[nodiscard]] std::size_t running() const;
  /// In thousandths of a core: the capacity, and what the runs take of it.
  [[nodiscard]] int cpu() const noexcept { return options_.cpu; }
  [[nodiscard]] int cpu_used() const;
  /// Ends that are not acknowledged.
  [[nodiscard]] std::size_t unacknowledged() const;
  void SetCut(bool cut);

 private:
  struct Run {
    std::uint64_t number = 0;
    std::size_t log_index = 0;
    TaskDemand demand;
    std::int64_t begun_ms = 0;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::size_t log_index = 0;
  };

  std::optional<Response> Handle(const Request& request);
  void Loop();
  void EndRun(const std::string& task, const std::string& how);
  [[nodiscard]] std::int64_t ClockMs() const { return NowMs() - born_steady_; }
  Response Lists();

  WorkerOptions options_;
  Demand demand_;
  RunLog& log_;
  Record& record_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool up_ = true;
  bool ending_ = false;
  std::int64_t born_ = 0;         ///< Unix milliseconds.
  std::int64_t born_steady_ = 0;  ///< The same on the steady clock.
  std::uint64_t fence_ = 0;
  std::int64_t deadline_ms_ = 0;
  std::uint64_t ends_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, std::uint64_t> highest_ended_run_;
  std::vector<End> ended_;
  HttpServer server_;
  std::thread loop_;
};

}  // namespace review
