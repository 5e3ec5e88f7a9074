// Log lines of the tasks that wait.
#include <algorithm>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "dispatch/leader/group_leader.hpp"

namespace mangospread::dispatch {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// All tasks are looked at for the lines, so not at every tick.
/// With a tick on top, the lines of an idle submission are less than 1 s apart.
constexpr MonotonicTime kWaitCheckPeriod = std::chrono::milliseconds(700);
/// Bounds the processor time for an answer: the counts of further steps are
/// left out.
constexpr int kMaxCountedSteps = 20;

/// Number of workers by reason, without those that are 0.
std::string WorkerCounts(const Rejections& rejections) {
  std::string counts;
  for (std::size_t i = 0; i < kRejectionCount; ++i) {
    if (rejections.workers[i] == 0) continue;
    if (!counts.empty()) counts += ',';
    counts += RejectionName(static_cast<Rejection>(i));
    counts += ':' + std::to_string(rejections.workers[i]);
  }
  return counts.empty() ? "none" : counts;
}

}  // namespace

void GroupLeader::LogWaits(MonotonicTime now) {
  if (now - waits_checked_at_ < kWaitCheckPeriod) return;
  waits_checked_at_ = now;
  std::vector<WaitingTasks> all = dispatcher_->Waiting(now, started_at_);
  LogIdle(all, now);
  WaitLog::Lines lines = wait_log_.Take(std::move(all), now);
  dispatcher_->AddCapacity(lines.due, now);
  for (WaitingTasks& waiting : lines.due) {
    dispatcher_->AddRejections(waiting, now);
    AddLease(waiting);
    LogWait(waiting, "waits", lines.left_out);
  }
}

void GroupLeader::LogIdle(const std::vector<WaitingTasks>& waiting,
                          MonotonicTime now) {
  std::vector<WaitingTasks> idle;
  std::copy_if(waiting.begin(), waiting.end(), std::back_inserter(idle),
               [](const WaitingTasks& tasks) {
                 return tasks.runs.idle && !WaitsAsPlanned(tasks.wait.reason);
               });
  dispatcher_->AddCapacity(idle, now);
  const IdleSubmissions::Lines lines =
      idle_submissions_.Update(std::move(idle), now);
  for (const MonotonicTime duration : lines.ended) {
    deps_.observe(Timing::kIdle, duration);
  }
  for (const WaitingTasks& tasks : lines.due) {
    LogWait(tasks, "idle", lines.left_out);
  }
}

void GroupLeader::AddLease(WaitingTasks& waiting) const {
  if (waiting.wait.reason != WaitReason::kWorkerSilent) return;
  const auto it = workers_.find(waiting.vm);
  if (it == workers_.end()) return;
  const WorkerEntry& entry = it->second;
  // The bound does not cover a lease that the agent may still extend.
  if (entry.may_be_granted || !entry.lease.known()) return;
  waiting.lease =
      LeaseWait{LeaseLeft(entry), LeaseEvidenceName(entry.lease.raised_by())};
}

void GroupLeader::LogWait(const WaitingTasks& waiting, std::string_view cause,
                          std::size_t left_out) const {
  const std::string task = ToString(waiting.task);
  const std::string workers =
      waiting.rejections ? WorkerCounts(*waiting.rejections) : "";
  const std::string image =
      waiting.rejections ? waiting.rejections->image.str() : "";
  const std::string lease_left =
      waiting.lease ? std::to_string(waiting.lease->left.count()) : "";
  const std::string_view evidence =
      waiting.lease ? waiting.lease->evidence : "";
  const std::string idle =
      waiting.runs.idle
          ? std::to_string(
                duration_cast<milliseconds>(*waiting.runs.idle).count())
          : "";
  const FreeCapacity capacity = waiting.capacity.value_or(FreeCapacity());
  base::Log(
      base::Event::kTaskWaits,
      {{"request", waiting.task.submission.str()},
       {"task", task},
       {"tasks", waiting.tasks},
       {"reason", WaitReasonName(waiting.wait.reason)},
       {"waited_ms", duration_cast<milliseconds>(waiting.wait.waited).count()},
       {"long_running", waiting.long_running},
       {"running", waiting.runs.running},
       {"paused", waiting.runs.paused},
       {"idle_ms", idle},
       {"reserved", capacity.reserved},
       {"fits", capacity.fits},
       {"vm", waiting.vm.str()},
       {"run", waiting.run},
       {"lease_left_ms", lease_left},
       {"lease_evidence", evidence},
       {"workers", workers},
       {"beside", image},
       {"confirmed", deps_.confirmed()},
       {"cause", cause},
       {"left_out", left_out}});
}

std::vector<WaitingTasks> GroupLeader::ExplainWaits(
    const SubmissionId& id) const {
  const MonotonicTime now = base::MonotonicNow();
  std::vector<WaitingTasks> waiting =
      dispatcher_->Waiting(id, now, started_at_);
  dispatcher_->AddCapacity(waiting, now);
  int counted = 0;
  for (WaitingTasks& tasks : waiting) {
    AddLease(tasks);
    if (!WaitsForWorker(tasks.wait.reason)) continue;
    if (++counted > kMaxCountedSteps) continue;
    dispatcher_->AddRejections(tasks, now);
  }
  return waiting;
}

}  // namespace mangospread::dispatch
