// Runs that are lost with the process of their worker.
#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "scheduler/lifecycle/scheduler.hpp"

namespace mangospread::scheduler {
namespace {

bool Lists(const rpc::WorkerDigest& digest, const Task& task) {
  return std::any_of(digest.tasks.begin(), digest.tasks.end(),
                     [&](const TaskReport& report) {
                       return report.task == task.id.str() &&
                              report.attempt == task.record.attempt;
                     });
}

bool StartConfirmed(const Task& task) {
  return task.record.state == TaskState::kRunning;
}

void LogLost(const crash::LostRun& lost, const Task& task) {
  using std::chrono::duration_cast;
  base::Log(
      base::Event::kRunLost,
      {{"task", task.id.str()},
       {"run", lost.run},
       {"vm", task.record.vm.str()},
       {"start_confirmed", lost.start_confirmed},
       {"exposure_ms", duration_cast<Milliseconds>(lost.exposure).count()},
       {"suspicion", crash::SuspicionName(lost.suspicion)},
       {"certain", lost.certain},
       {"earlier_losses", lost.earlier.size()}});
}

}  // namespace

bool Scheduler::IsNextProcess(const WorkerView& former,
                              const rpc::WorkerDigest& digest) {
  return !former.digest.boot_id.empty() && !digest.boot_id.empty() &&
         former.digest.boot_id != digest.boot_id &&
         former.digest.address == digest.address;
}

std::vector<Task*> Scheduler::RunsOfFormerProcess(
    const rpc::WorkerDigest& digest, MonotonicTime requested_at) {
  std::vector<Task*> tasks;
  for (const TaskId& id : live_tasks_[digest.vm]) {
    Task* task = registry_->Find(id);
    if (task == nullptr || task->record.address != digest.address) continue;
    const bool started_before =
        task->started_at.count() > 0 && task->started_at < requested_at;
    if (started_before && !task->loss && !Lists(digest, *task)) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

void Scheduler::JudgeLosses(const WorkerView& former,
                            const rpc::WorkerDigest& digest,
                            MonotonicTime now) {
  // A leaving worker ends its process as planned.
  if (!former.digest.accepts_work) return;
  const std::vector<Task*> tasks =
      RunsOfFormerProcess(digest, now - digest.age);
  // The process responded last to a report or to a start.
  MonotonicTime silent_since = former.last_response_at;
  for (const Task* task : tasks) {
    if (!StartConfirmed(*task) || task->taken_over) continue;
    silent_since = std::max(silent_since, task->started_at);
  }
  std::vector<crash::LostRun> lost;
  lost.reserve(tasks.size());
  for (const Task* task : tasks) {
    crash::LostRun run;
    run.run = static_cast<std::uint32_t>(task->record.attempt.value());
    run.start_confirmed = StartConfirmed(*task);
    // The process may have ended at any time after its last response, so a
    // start that it may have received later counts as a start just before.
    run.exposure = std::max<MonotonicTime>(silent_since - task->started_at, {});
    if (task->taken_over) {
      run.exposure = std::max(run.exposure, crash::kStartTrial);
    }
    run.earlier = task->record.losses;
    lost.push_back(std::move(run));
  }
  crash::AssignSuspicion(lost, /*process_ended=*/true);
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    LogLost(lost[i], *tasks[i]);
    tasks[i]->loss = std::move(lost[i]);
  }
}

bool Scheduler::CountLoss(Task& task) {
  const auto lost = std::exchange(task.loss, std::nullopt);
  if (!lost) return false;
  auto& losses = task.record.losses;
  if (crash::ClearsSuspicion(*lost)) losses.clear();
  if (lost->suspicion == crash::Suspicion::kNone) return false;
  losses.push_back({lost->run, lost->suspicion, lost->certain});
  return crash::CrashesWorkers(*lost);
}

}  // namespace mangospread::scheduler
