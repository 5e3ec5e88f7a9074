#include "endpoint/worker_tasks.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/loop/clock.hpp"

namespace mangospread::standin {
namespace {

using nlohmann::json;

constexpr std::int64_t kNanosPerMs = 1'000'000;
constexpr Milliseconds kLeaseCheck{100};

}  // namespace

struct WorkerTasks::Task {
  TaskReport report;
  std::int64_t from_checkpoint = 0;  ///< Milliseconds of work done before.
  std::int64_t started_ns = 0;       ///< 0 for an attempt that never ran.
  std::int64_t ended_ns = 0;
  base::Timer timer;
};

WorkerTasks::WorkerTasks(base::EventLoop& loop, const Options& options)
    : loop_(loop),
      task_lease_(options.Number("task-lease-ms", 60'000)),
      fail_tasks_(options.Number("fail-tasks", 0)),
      ended_(std::make_unique<json>(json::array())),
      renewed_at_(base::MonotonicNow()) {
  const std::string path = options.Text("task-log", "");
  if (!path.empty()) log_ = std::fopen(path.c_str(), "a");
  lease_timer_ = loop_.Every(kLeaseCheck, 0, [this] { CheckLease(); });
}

WorkerTasks::~WorkerTasks() {
  if (log_ != nullptr) std::fclose(log_);
}

void WorkerTasks::OnLease() {
  // A lease that ran out while the process was paused is noticed first.
  CheckLease();
  renewed_at_ = base::MonotonicNow();
}

void WorkerTasks::CheckLease() {
  if (base::MonotonicNow() - renewed_at_ < task_lease_) return;
  for (auto& [name, task] : tasks_) {
    if (task->report.phase == TaskPhase::kRunning) {
      End(*task, TaskPhase::kStopped);
    }
  }
}

std::optional<TaskReport> WorkerTasks::Command(const TaskCommand& command) {
  if (command.verb == TaskVerb::kStart) return Start(command);
  const auto it = tasks_.find(command.task);
  if (it == tasks_.end() || it->second->report.attempt < command.attempt) {
    if (command.verb != TaskVerb::kStop) return std::nullopt;
    // The stop overtook the start, which must find it.
    if (it != tasks_.end() && it->second->report.phase == TaskPhase::kRunning) {
      return std::nullopt;
    }
    auto task = std::make_unique<Task>();
    task->report.task = command.task;
    task->report.attempt = command.attempt;
    task->report.phase = TaskPhase::kStopped;
    const TaskReport report = task->report;
    tasks_[command.task] = std::move(task);
    return report;
  }
  Task& task = *it->second;
  if (task.report.attempt != command.attempt) return std::nullopt;
  const bool running = task.report.phase == TaskPhase::kRunning;
  switch (command.verb) {
    case TaskVerb::kThrottle:
      task.report.throttle_percent = command.throttle_percent;
      break;
    case TaskVerb::kCheckpoint:
      if (running) TakeCheckpoint(task);
      break;
    case TaskVerb::kStop:
      if (running) End(task, TaskPhase::kStopped);
      break;
    default:
      break;
  }
  const TaskReport report = task.report;
  if (command.verb == TaskVerb::kForget && !running) {
    forgotten_[command.task] = command.attempt;
    tasks_.erase(it);
  }
  return report;
}

std::optional<TaskReport> WorkerTasks::Start(const TaskCommand& command) {
  const auto gone = forgotten_.find(command.task);
  if (gone != forgotten_.end() && gone->second >= command.attempt) {
    return std::nullopt;
  }
  auto& task = tasks_[command.task];
  if (task != nullptr) {
    if (task->report.attempt > command.attempt) return std::nullopt;
    if (task->report.attempt == command.attempt) return task->report;
    // A scheduler that starts the next attempt while one runs is at fault;
    // the recorded runs show it, since this one goes on.
    if (task->report.phase == TaskPhase::kRunning) {
      tasks_[command.task + "#" +
             std::to_string(task->report.attempt.value())] = std::move(task);
    }
  }
  auto& slot = tasks_[command.task];
  slot = std::make_unique<Task>();
  Run(*slot, command);
  return slot->report;
}

void WorkerTasks::Run(Task& task, const TaskCommand& command) {
  task.report.task = command.task;
  task.report.attempt = command.attempt;
  task.report.checkpoint = command.checkpoint;
  task.report.cpu_used = command.cpu;
  task.report.memory_used = command.memory;
  task.from_checkpoint = std::atoll(command.checkpoint.c_str());
  task.started_ns = base::MonotonicNow().count();
  const bool fails = fail_tasks_ > 0;
  if (fails) --fail_tasks_;
  const Milliseconds left(std::max<std::int64_t>(
      1, command.run_time.count() - task.from_checkpoint));
  Append("start", task);
  task.timer = loop_.After(left, [this, &task, fails] {
    End(task, fails ? TaskPhase::kFailed : TaskPhase::kDone);
  });
}

void WorkerTasks::TakeCheckpoint(Task& task) {
  const std::int64_t done_ms =
      (base::MonotonicNow().count() - task.started_ns) / kNanosPerMs;
  task.report.checkpoint = std::to_string(task.from_checkpoint + done_ms);
}

void WorkerTasks::End(Task& task, TaskPhase phase) {
  if (phase == TaskPhase::kStopped) TakeCheckpoint(task);
  task.report.phase = phase;
  task.report.cpu_used = Millicores();
  task.report.memory_used = Mebibytes();
  task.ended_ns = base::MonotonicNow().count();
  ended_->push_back(ToJson(task));
  Append("end", task);
  task.timer.reset();
}

std::vector<TaskReport> WorkerTasks::Reports() const {
  std::vector<TaskReport> reports;
  for (const auto& [name, task] : tasks_) reports.push_back(task->report);
  return reports;
}

json WorkerTasks::ToJson(const Task& task) {
  constexpr const char* kPhases[] = {"running", "stopped", "done", "failed"};
  return {{"task", task.report.task},
          {"attempt", task.report.attempt.value()},
          {"phase", kPhases[static_cast<int>(task.report.phase)]},
          {"started_ns", task.started_ns},
          {"ended_ns", task.ended_ns},
          {"from_checkpoint", task.from_checkpoint},
          {"checkpoint", task.report.checkpoint}};
}

json WorkerTasks::Runs() const {
  json runs = *ended_;
  for (const auto& [name, task] : tasks_) {
    if (task->report.phase == TaskPhase::kRunning) {
      runs.push_back(ToJson(*task));
    }
  }
  return runs;
}

void WorkerTasks::Append(const char* what, const Task& task) {
  if (log_ == nullptr) return;
  json line = ToJson(task);
  line["event"] = what;
  std::fprintf(log_, "%s\n", line.dump().c_str());
  std::fflush(log_);
}

}  // namespace mangospread::standin
