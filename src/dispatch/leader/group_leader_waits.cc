// Log lines of the tasks that wait.
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
constexpr MonotonicTime kWaitCheckPeriod = std::chrono::seconds(1);
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
  WaitLog::Lines lines =
      wait_log_.Take(dispatcher_->Waiting(now, started_at_), now);
  for (WaitingTasks& waiting : lines.due) {
    dispatcher_->AddRejections(waiting, now);
    AddLease(waiting);
    LogWait(waiting, lines.left_out);
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

void GroupLeader::LogWait(const WaitingTasks& waiting,
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
  base::Log(
      base::Event::kTaskWaits,
      {{"request", waiting.task.submission.str()},
       {"task", task},
       {"tasks", waiting.tasks},
       {"reason", WaitReasonName(waiting.wait.reason)},
       {"waited_ms", duration_cast<milliseconds>(waiting.wait.waited).count()},
       {"long_running", waiting.long_running},
       {"vm", waiting.vm.str()},
       {"run", waiting.run},
       {"lease_left_ms", lease_left},
       {"lease_evidence", evidence},
       {"workers", workers},
       {"beside", image},
       {"confirmed", deps_.confirmed()},
       {"left_out", left_out}});
}

std::vector<WaitingTasks> GroupLeader::ExplainWaits(
    const SubmissionId& id) const {
  const MonotonicTime now = base::MonotonicNow();
  std::vector<WaitingTasks> waiting =
      dispatcher_->Waiting(id, now, started_at_);
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
