#include "dispatch/core/job.hpp"

#include <algorithm>
#include <utility>

namespace mangospread::dispatch {
namespace {

/// A completion after this multiple of the time to the objective is worthless.
constexpr int kLastUsefulFactor = 3;

/// Added to due times, so that differing clocks delay a start rather than start
/// it early.
constexpr MonotonicTime kDueMargin = std::chrono::milliseconds(30);

/// Longest time from the acceptance of a submission to its objective. Multiples
/// of it can be added to any due time without overflow.
constexpr Milliseconds kMaxObjective = std::chrono::hours(24 * 365 * 30);

/// Time from the acceptance to the objective. The policy may come from another
/// node, so the result is bounded for any stretch, also for one that is not a
/// number.
MonotonicTime TimeToObjective(Milliseconds path, const QueuePolicy& policy) {
  using FractionalMs = std::chrono::duration<double, std::milli>;
  const FractionalMs time =
      FractionalMs(path) * policy.stretch + policy.latency_target;
  if (!(time < FractionalMs(kMaxObjective))) return kMaxObjective;
  return std::chrono::duration_cast<MonotonicTime>(
      std::max(time, FractionalMs(0)));
}

/// For each step, the critical path from its start to the end of the
/// submission.
std::vector<Milliseconds> CriticalPaths(const std::vector<StepSpec>& steps) {
  std::vector<Milliseconds> paths(steps.size(), Milliseconds(0));
  for (std::size_t i = steps.size(); i-- > 0;) {
    paths[i] += steps[i].estimate;
    for (const int prerequisite : steps[i].after) {
      auto& path = paths[static_cast<std::size_t>(prerequisite)];
      path = std::max(path, paths[i]);
    }
  }
  return paths;
}

/// Gives all members of a gang the same checkpoint, which any of them may have
/// written: their rows may have been stored at different times.
void ShareCheckpoint(Step& gang) {
  const auto saved =
      std::find_if(gang.tasks.begin(), gang.tasks.end(),
                   [](const Task& task) { return !task.checkpoint.empty(); });
  if (saved == gang.tasks.end()) return;
  const std::string checkpoint = saved->checkpoint;
  for (Task& member : gang.tasks) member.checkpoint = checkpoint;
}

/// Overhead of the memory that a step or a submission refers to.
constexpr std::size_t kAllocationBytes = 64;
/// What the leader and an agent hold of a task while it is placed.
constexpr std::size_t kRunBytes = 400;

}  // namespace

std::size_t MemoryOfJob(const Submission& submission) {
  std::size_t tasks = 0;
  for (const StepSpec& step : submission.steps) {
    tasks += static_cast<std::size_t>(step.count);
  }
  return MemoryOfEndedJob(submission) + submission.stored_bytes +
         tasks * kRunBytes;
}

std::size_t MemoryOfEndedJob(const Submission& submission) {
  std::size_t occurrence = 0;
  for (const StepSpec& step : submission.steps) {
    occurrence += sizeof(Step) + kAllocationBytes +
                  step.after.size() * sizeof(int) +
                  static_cast<std::size_t>(step.count) * sizeof(Task);
  }
  const auto occurrences =
      static_cast<std::size_t>(std::max(submission.occurrences, 1));
  return sizeof(Job) + kAllocationBytes + submission.spec.size() +
         occurrence * occurrences;
}

Job::Job(Submission submission, QueuePolicy policy, MonotonicTime accepted_at,
         MonotonicTime unix_epoch)
    : submission_(std::move(submission)),
      policy_(std::move(policy)),
      accepted_at_(accepted_at),
      unix_epoch_(unix_epoch) {
  critical_paths_ = CriticalPaths(submission_.steps);
  const Milliseconds path =
      critical_paths_.empty()
          ? Milliseconds(0)
          : *std::max_element(critical_paths_.begin(), critical_paths_.end());
  const MonotonicTime objective = TimeToObjective(path, policy_);
  objective_ = accepted_at + objective;
  last_useful_ = accepted_at + kLastUsefulFactor * objective;
  AddNextOccurrence();
}

int Job::OccurrenceCount() const noexcept {
  return std::max(1, submission_.occurrences);
}

MonotonicTime Job::DueTime(int occurrence) const {
  if (submission_.occurrences == 0) return MonotonicTime(0);
  return unix_epoch_ + submission_.first_due +
         submission_.interval * occurrence + kDueMargin;
}

void Job::AddDueOccurrences(MonotonicTime now) {
  while (occurrences_ < OccurrenceCount() && DueTime(occurrences_ - 1) <= now) {
    AddNextOccurrence();
  }
}

void Job::AddOccurrencesTo(int occurrence) {
  const int last = std::min(occurrence, OccurrenceCount() - 1);
  while (occurrences_ <= last) AddNextOccurrence();
}

void Job::AddNextOccurrence() {
  const int first = static_cast<int>(steps_.size());
  const MonotonicTime due = DueTime(occurrences_++);
  for (const StepSpec& spec : submission_.steps) {
    Step step;
    step.spec = spec;
    for (int& prerequisite : step.spec.after) prerequisite += first;
    step.tasks.resize(static_cast<std::size_t>(spec.count));
    step.unfinished = spec.count;
    step.pending = spec.count;
    step.due = due;
    step.critical_path = std::min(
        critical_paths_[steps_.size() - static_cast<std::size_t>(first)],
        kMaxObjective);
    step.ready = IsReady(step);
    steps_.push_back(std::move(step));
  }
}

MonotonicTime Job::ObjectiveOf(const Step& step) const noexcept {
  if (step.due.count() == 0) return objective_;
  return step.due + (objective_ - accepted_at_);
}

std::optional<TaskIndex> Job::IndexOf(const TaskName& name) {
  const auto is_index = [](int value, std::size_t size) {
    return value >= 0 && static_cast<std::size_t>(value) < size;
  };
  const std::size_t steps = submission_.steps.size();
  // The occurrence is checked before the multiplication, which would overflow
  // for the name of a task that does not exist.
  if (!is_index(name.task.step, steps) ||
      !is_index(name.occurrence, static_cast<std::size_t>(OccurrenceCount()))) {
    return std::nullopt;
  }
  AddOccurrencesTo(name.occurrence);
  const TaskIndex index{
      name.occurrence * static_cast<int>(steps) + name.task.step,
      name.task.index};
  const auto& tasks = steps_[static_cast<std::size_t>(index.step)].tasks;
  if (!is_index(index.index, tasks.size())) return std::nullopt;
  return index;
}

TaskName Job::NameOf(const TaskIndex& index) const {
  const auto steps = static_cast<int>(submission_.steps.size());
  return {
      submission_.id, index.step / steps, {index.step % steps, index.index}};
}

bool Job::has_pending() const noexcept {
  return std::any_of(steps_.begin(), steps_.end(), [](const Step& step) {
    return step.ready && step.pending > 0;
  });
}

bool Job::long_running() const noexcept {
  return std::any_of(submission_.steps.begin(), submission_.steps.end(),
                     [](const StepSpec& step) { return step.long_running; });
}

Task* Job::Find(const TaskIndex& index) {
  if (index.step < 0 || static_cast<std::size_t>(index.step) >= steps_.size()) {
    return nullptr;
  }
  auto& tasks = steps_[static_cast<std::size_t>(index.step)].tasks;
  if (index.index < 0 ||
      static_cast<std::size_t>(index.index) >= tasks.size()) {
    return nullptr;
  }
  return &tasks[static_cast<std::size_t>(index.index)];
}

void Job::SetPhase(const TaskIndex& index, TaskPhase phase, MonotonicTime now) {
  Task& task = *Find(index);
  Step& step = steps_[static_cast<std::size_t>(index.step)];
  step.pending += static_cast<int>(phase == TaskPhase::kPending) -
                  static_cast<int>(task.phase == TaskPhase::kPending);
  step.unfinished += static_cast<int>(task.phase == TaskPhase::kDone) -
                     static_cast<int>(phase == TaskPhase::kDone);
  // A start that fails does not interrupt the time without a run.
  if (phase != TaskPhase::kStarting && task.phase != TaskPhase::kStarting) {
    task.without_run_since = now;
  }
  task.phase = phase;
  task.since = now;
  if (phase == TaskPhase::kStarting && state_ == SubmissionState::kQueued) {
    state_ = SubmissionState::kRunning;
  }
}

bool Job::Finish(const TaskIndex& index, MonotonicTime now) {
  SetPhase(index, TaskPhase::kDone, now);
  if (steps_[static_cast<std::size_t>(index.step)].unfinished > 0) return false;
  UpdateReady();
  return occurrences_ == OccurrenceCount() &&
         std::all_of(steps_.begin(), steps_.end(),
                     [](const Step& step) { return step.unfinished == 0; });
}

bool Job::IsReady(const Step& step) const {
  return std::all_of(
      step.spec.after.begin(), step.spec.after.end(), [this](int prerequisite) {
        return steps_[static_cast<std::size_t>(prerequisite)].unfinished == 0;
      });
}

void Job::UpdateReady() {
  for (Step& step : steps_) step.ready = IsReady(step);
}

JobProgress Job::Progress() const {
  JobProgress progress;
  progress.state = state_;
  if (IsFinal(state_)) return progress;
  int position = 0;
  for (std::size_t s = 0; s < steps_.size(); ++s) {
    bool follows_done = false;
    for (std::size_t t = 0; t < steps_[s].tasks.size(); ++t, ++position) {
      const Task& task = steps_[s].tasks[t];
      const TaskIndex index{static_cast<int>(s), static_cast<int>(t)};
      const bool done = task.phase == TaskPhase::kDone;
      const bool lost_run = steps_[s].spec.long_running &&
                            task.phase == TaskPhase::kPending && task.run > 0;
      if (done && follows_done) {
        ++progress.done.back().count;
      } else if (done) {
        progress.done.push_back({position, 1, index});
      } else if (!task.failed_runs.empty() || !task.checkpoint.empty() ||
                 !task.losses.empty() || lost_run) {
        progress.tasks.push_back({index, false, task.run, task.failed_runs,
                                  task.checkpoint, task.losses, position});
      }
      follows_done = done;
    }
  }
  return progress;
}

void Job::AddOccurrencesOf(const JobProgress& progress) {
  const int steps = static_cast<int>(submission_.steps.size());
  int tasks = 0;
  for (const StepSpec& step : submission_.steps) tasks += step.count;
  if (tasks == 0) return;
  for (const TaskProgress& saved : progress.tasks) {
    AddOccurrencesTo(saved.task.step / steps);
  }
  for (const DoneTasks& range : progress.done) {
    AddOccurrencesTo((range.position + range.count - 1) / tasks);
  }
}

void Job::RestoreDone(const std::vector<DoneTasks>& done) {
  std::vector<int> ends;  // Position after the last task of each step.
  int total = 0;
  for (const Step& step : steps_) {
    total += static_cast<int>(step.tasks.size());
    ends.push_back(total);
  }
  for (const DoneTasks& range : done) {
    const int end = std::min(total, range.position + range.count);
    for (int position = range.position; position < end; ++position) {
      const auto step =
          std::upper_bound(ends.begin(), ends.end(), position) - ends.begin();
      const auto size =
          static_cast<int>(steps_[static_cast<std::size_t>(step)].tasks.size());
      const int first = ends[static_cast<std::size_t>(step)] - size;
      SetPhase({static_cast<int>(step), position - first}, TaskPhase::kDone,
               accepted_at_);
    }
  }
}

void Job::Restore(const JobProgress& progress) {
  state_ = progress.state;
  begun_ = state_ != SubmissionState::kQueued;
  AddOccurrencesOf(progress);
  for (const TaskProgress& saved : progress.tasks) {
    Task* task = Find(saved.task);
    if (task == nullptr) continue;
    task->run = saved.run;
    task->failed_runs = saved.failed_runs;
    task->checkpoint = saved.checkpoint;
    task->losses = saved.losses;
    if (saved.done) SetPhase(saved.task, TaskPhase::kDone, accepted_at_);
  }
  for (Step& step : steps_) {
    if (step.spec.gang) ShareCheckpoint(step);
  }
  RestoreDone(progress.done);
  UpdateReady();
}

}  // namespace mangospread::dispatch
