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

/// Runs tasks as timers and records every run with its start and end. A task
/// whose owner's lease was not renewed for the task lease is stopped.
class WorkerTasks {
 public:
  /// Options: --task-lease-ms; --task-log, a file that gets one JSON line for
  /// each start and end and survives a killed process; --fail-tasks N, the
  /// number of starts that end as failed.
  WorkerTasks(base::EventLoop& loop, const Options& options);
  ~WorkerTasks();
  WorkerTasks(const WorkerTasks&) = delete;
  WorkerTasks& operator=(const WorkerTasks&) = delete;

  /// The owner renewed its lease.
  void OnLease();
  /// Carries out a fenced command.
  /// @return nothing if the worker refuses it as unknown.
  [[nodiscard]] std::optional<TaskReport> Command(const TaskCommand& command);
  [[nodiscard]] std::vector<TaskReport> Reports() const;
  /// All runs: task, attempt, started_ns, ended_ns (0 while running),
  /// from_checkpoint, checkpoint.
  [[nodiscard]] nlohmann::json Runs() const;
  [[nodiscard]] std::size_t size() const noexcept { return tasks_.size(); }

 private:
  struct Task;

  std::optional<TaskReport> Start(const TaskCommand& command);
  void Run(Task& task, const TaskCommand& command);
  void TakeCheckpoint(Task& task);
  void End(Task& task, TaskPhase phase);
  void CheckLease();
  void Append(const char* what, const Task& task);
  [[nodiscard]] static nlohmann::json ToJson(const Task& task);

  base::EventLoop& loop_;
  Milliseconds task_lease_;
  int fail_tasks_;
  std::FILE* log_ = nullptr;
  std::map<std::string, std::unique_ptr<Task>> tasks_;
  /// Highest attempt of forgotten tasks, so that a late start is refused.
  std::map<std::string, Attempt> forgotten_;
  std::unique_ptr<nlohmann::json> ended_;
  MonotonicTime renewed_at_{0};
  base::Timer lease_timer_;
};

}  // namespace mangospread::standin
