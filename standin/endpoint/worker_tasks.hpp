/// @file
/// Tasks of the worker stand-in.
#pragma once

#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "mangospread/platform/worker.hpp"
#include "options.hpp"

namespace mangospread::standin {

/// Runs tasks as timers and records the start and the end of every run. Stops
/// all tasks when the owner has not renewed its lease for the duration of the
/// task lease.
class WorkerTasks {
 public:
  /// Options: --task-lease-ms, the duration of the task lease; --task-log, a
  /// file to which one JSON line is appended for each start and end and which
  /// survives a killed process; --fail-tasks N, the number of starts, from the
  /// first, that end as failed.
  WorkerTasks(base::EventLoop& loop, const Options& options);
  ~WorkerTasks();
  WorkerTasks(const WorkerTasks&) = delete;
  WorkerTasks& operator=(const WorkerTasks&) = delete;

  /// Records that the owner claimed the worker or renewed its lease.
  void OnLeaseRenewed();
  /// Executes a command whose fence has been checked.
  /// @return the task's report; nothing if the worker rejects the command: it
  ///   does not have the task or the attempt, or it has seen a later attempt
  ///   than the one to start.
  [[nodiscard]] std::optional<TaskReport> Execute(const TaskCommand& command);
  [[nodiscard]] std::vector<TaskReport> Reports() const;
  /// All runs as JSON objects with task, attempt, phase, started_ns, ended_ns
  /// (0 while running), from_checkpoint and checkpoint.
  [[nodiscard]] nlohmann::json Runs() const;
  [[nodiscard]] std::size_t size() const noexcept { return tasks_.size(); }

 private:
  struct Task;

  std::optional<TaskReport> Start(const TaskCommand& command);
  void Run(Task& task, const TaskCommand& command);
  void TakeCheckpoint(Task& task);
  void End(Task& task, TaskPhase phase);
  void CheckLease();
  void AppendToLog(const char* event, const Task& task);
  [[nodiscard]] static nlohmann::json ToJson(const Task& task);

  base::EventLoop& loop_;
  Milliseconds task_lease_;
  int fail_tasks_;
  std::FILE* task_log_ = nullptr;
  std::map<std::string, std::unique_ptr<Task>> tasks_;
  /// Highest attempt of each discarded task, so that a late start is rejected.
  std::map<std::string, Attempt> discarded_;
  std::unique_ptr<nlohmann::json> ended_runs_;
  MonotonicTime renewed_at_{0};
  base::Timer lease_timer_;
};

}  // namespace mangospread::standin
