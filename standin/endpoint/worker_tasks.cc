#include "endpoint/worker_tasks.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/loop/clock.hpp"

namespace mangospread::standin {
namespace {

using nlohmann::json;

constexpr std::int64_t kNanosPerMs = 1'000'000;
constexpr Milliseconds kLeaseCheckPeriod{100};

}  // namespace

struct WorkerTasks::Task {
  TaskReport report;
  std::int64_t from_checkpoint = 0;  ///< Work of former attempts, in ms.
  std::int64_t started_ns = 0;       ///< 0 for an attempt that never ran.
  std::int64_t ended_ns = 0;
  base::Timer timer;
};

WorkerTasks::WorkerTasks(base::EventLoop& loop, const Options& options)
    : loop_(loop),
      task_lease_(options.Number("task-lease-ms", 60'000)),
      fail_tasks_(options.Number("fail-tasks", 0)),
      ended_runs_(std::make_unique<json>(json::array())),
      renewed_at_(base::MonotonicNow()) {
  const std::string path = options.Text("task-log", "");
  if (!path.empty()) task_log_ = std::fopen(path.c_str(), "a");
  lease_timer_ = loop_.Every(kLeaseCheckPeriod, 0, [this] { CheckLease(); });
}

WorkerTasks::~WorkerTasks() {
  if (task_log_ != nullptr) std::fclose(task_log_);
}

void WorkerTasks::OnLeaseRenewed() {
  // First detects a lease that expired while the process was paused.
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

std::optional<TaskReport> WorkerTasks::Execute(const TaskCommand& command) {
  if (command.verb == TaskVerb::kStart) return Start(command);
  const auto it = tasks_.find(command.task);
  if (it == tasks_.end() || it->second->report.attempt < command.attempt) {
    if (command.verb != TaskVerb::kStop) return std::nullopt;
    // The stop arrived before the start. It is recorded, so that the start does
    // not run the stopped attempt.
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
    discarded_[command.task] = command.attempt;
    tasks_.erase(it);
  }
  return report;
}

std::optional<TaskReport> WorkerTasks::Start(const TaskCommand& command) {
  const auto discarded = discarded_.find(command.task);
  if (discarded != discarded_.end() && discarded->second >= command.attempt) {
    return std::nullopt;
  }
  auto& task = tasks_[command.task];
  if (task != nullptr) {
    if (task->report.attempt > command.attempt) return std::nullopt;
    if (task->report.attempt == command.attempt) return task->report;
    // Starting the next attempt while one runs is a fault of the scheduler. The
    // running one continues under another name, so that the recorded runs show
    // the overlap.
    if (task->report.phase == TaskPhase::kRunning) {
      tasks_[command.task + "#" +
             std::to_string(task->report.attempt.value())] = std::move(task);
    }
  }
  auto& new_task = tasks_[command.task];
  new_task = std::make_unique<Task>();
  Run(*new_task, command);
  return new_task->report;
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
  const Milliseconds remaining(std::max<std::int64_t>(
      1, command.run_time.count() - task.from_checkpoint));
  AppendToLog("start", task);
  task.timer = loop_.After(remaining, [this, &task, fails] {
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
  ended_runs_->push_back(ToJson(task));
  AppendToLog("end", task);
  task.timer.reset();
}

std::vector<TaskReport> WorkerTasks::Reports() const {
  std::vector<TaskReport> reports;
  for (const auto& [name, task] : tasks_) reports.push_back(task->report);
  return reports;
}

json WorkerTasks::ToJson(const Task& task) {
  constexpr const char* kPhaseNames[] = {"running", "stopped", "done",
                                         "failed"};
  return {{"task", task.report.task},
          {"attempt", task.report.attempt.value()},
          {"phase", kPhaseNames[static_cast<int>(task.report.phase)]},
          {"started_ns", task.started_ns},
          {"ended_ns", task.ended_ns},
          {"from_checkpoint", task.from_checkpoint},
          {"checkpoint", task.report.checkpoint}};
}

json WorkerTasks::Runs() const {
  json runs = *ended_runs_;
  for (const auto& [name, task] : tasks_) {
    if (task->report.phase == TaskPhase::kRunning) {
      runs.push_back(ToJson(*task));
    }
  }
  return runs;
}

void WorkerTasks::AppendToLog(const char* event, const Task& task) {
  if (task_log_ == nullptr) return;
  json line = ToJson(task);
  line["event"] = event;
  std::fprintf(task_log_, "%s\n", line.dump().c_str());
  std::fflush(task_log_);
}

}  // namespace mangospread::standin
