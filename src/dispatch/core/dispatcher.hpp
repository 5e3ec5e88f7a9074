/// @file
/// Decides what runs where. Has no sockets and no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/core/end_ledger.hpp"
#include "dispatch/core/job.hpp"
#include "dispatch/model/messages.hpp"
#include "dispatch/policy/fill_guard.hpp"
#include "dispatch/policy/order.hpp"
#include "dispatch/policy/placement.hpp"
#include "dispatch/policy/worker_book.hpp"
#include "dispatch/policy/worker_health.hpp"

namespace mangospread::dispatch {

struct DispatcherHooks {
  /// Sends an order to the agent of the worker that it names.
  std::function<void(AgentOrder)> send;
  /// The submission's progress must be stored; SavedUpTo follows.
  std::function<void(const SubmissionId&)> save;
  /// A submission's first task is ordered to start, so long after acceptance.
  std::function<void(MonotonicTime)> first_start;
  /// Records a decision for the log.
  std::function<void(const TaskName&, const VmName&, std::string_view what,
                     std::string_view why)>
      log;
};

/// Counts of decisions since the start.
struct DispatcherCounters {
  std::uint64_t started = 0;
  std::uint64_t refused = 0;
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
  std::uint64_t requeued = 0;
  std::uint64_t stalled = 0;
  std::uint64_t excluded = 0;
};

/// State of all submissions of a group and of the workers that run them.
///
/// A task is started again only when its previous run certainly cannot run any
/// more: its worker listed its end, refused the start for good, ended itself,
/// or its lease is over. An end is acknowledged to the worker only after the
/// progress that it causes was stored, and a final state is shown only then.
class Dispatcher {
 public:
  /// @param first_run lowest number for starts, above those of any earlier
  ///   scheduler of the group.
  /// @param unix_epoch the Unix epoch as a monotonic time.
  Dispatcher(DispatcherHooks hooks, std::uint32_t first_run,
             MonotonicTime unix_epoch);

  // Submissions.

  /// Adds an accepted (stored) submission.
  void Add(Submission submission, QueuePolicy policy, MonotonicTime now);
  /// Adds a submission read back from the store. Its tasks start only after
  /// Resume: until then a worker may still list them as running.
  void Restore(Submission submission, QueuePolicy policy,
               const JobProgress& progress, MonotonicTime accepted_at);
  /// Every worker that may run restored tasks is attached or certainly ended.
  void Resume() { resumed_ = true; }
  /// Ends a submission at the caller's wish; its runs are stopped once the
  /// cancellation is stored. False if there is no such submission.
  bool Cancel(const SubmissionId& id, MonotonicTime now);
  /// The state that callers may be shown: final states only once stored.
  [[nodiscard]] std::optional<SubmissionState> State(
      const SubmissionId& id) const;
  [[nodiscard]] int Pending(const QueueName& queue) const;
  /// Progress to be stored and the generation that it stands for.
  [[nodiscard]] JobProgress Progress(const SubmissionId& id) const;
  [[nodiscard]] const QueueName& Queue(const SubmissionId& id) const {
    return entries_.at(id).job->policy().queue;
  }
  [[nodiscard]] std::uint64_t Generation(const SubmissionId& id) const;
  /// Progress of that generation is stored.
  void OnSaved(const SubmissionId& id, std::uint64_t generation,
               MonotonicTime now);

  /// Drops an ended submission, of which nothing is known from then on.
  void Forget(const SubmissionId& id);

  // Workers.

  /// Adds a worker or takes over what it says of itself. Work on a worker that
  /// left the list counts until its end is certain.
  void OnWorker(const WorkerInfo& info);
  /// Counts runs as placed on a worker that cannot be asked now.
  void Assume(const VmName& vm, const std::vector<RememberedRun>& runs,
              MonotonicTime now);
  void OnEvent(const AgentEvent& event, MonotonicTime now);
  /// The worker's process or its lease is certainly over.
  void OnWorkerOver(const VmName& vm, std::string_view why, MonotonicTime now);

  /// Starts waiting tasks where there is room.
  void Decide(MonotonicTime now);

  /// Starts ordered on a worker so far.
  [[nodiscard]] std::uint64_t StartsOrdered(const VmName& vm) const;
  /// Runs that may be on a worker.
  [[nodiscard]] std::vector<RememberedRun> Runs(const VmName& vm) const;
  [[nodiscard]] const WorkerBook& book() const noexcept { return book_; }
  [[nodiscard]] const SharingModel& sharing() const noexcept {
    return sharing_;
  }
  /// Starts from what an earlier leadership has learned.
  void ImportSharing(const std::vector<LearnedSharing>& learned) {
    sharing_.Import(learned);
  }
  [[nodiscard]] const DispatcherCounters& counters() const noexcept {
    return counters_;
  }
  [[nodiscard]] std::size_t active() const noexcept { return active_.size(); }

 private:
  struct Entry {
    std::unique_ptr<Job> job;
    std::uint64_t generation = 0;
    std::uint64_t saved_generation = 0;
    SubmissionState shown = SubmissionState::kQueued;
    bool restored = false;
  };
  struct Candidate;
  /// A task by its name.
  struct Located {
    Entry* entry = nullptr;
    TaskIndex index;
    TaskName name;
    Task* task = nullptr;

    [[nodiscard]] Job& job() const { return *entry->job; }
    [[nodiscard]] Step& step() const { return job().StepAt(index); }
    [[nodiscard]] const StepSpec& spec() const { return step().spec; }
  };

  /// None when there is no such task.
  [[nodiscard]] std::optional<Located> Locate(const TaskName& name);
  [[nodiscard]] std::optional<Located> Locate(const std::string& text);
  /// Only if the run is the task's present one on that worker.
  [[nodiscard]] std::optional<Located> LocateRun(WorkerSlot slot,
                                                 const std::string& text,
                                                 Attempt run);
  // Workers (dispatcher_workers.cc).
  void OnAttached(WorkerSlot slot, const Attached& attached, MonotonicTime now);
  void Adopt(WorkerSlot slot, const RunningRun& running, MonotonicTime now);
  void OnEnded(WorkerSlot slot, WorkerBirth born, const EndedRun& end,
               MonotonicTime now);
  void ApplyEnd(const Located& at, const EndedRun& end, const VmName& vm,
                MonotonicTime now);
  void ApplyDone(const Located& at, bool current, MonotonicTime now);
  void ApplyFailure(const Located& at, const EndedRun& end);
  void OnNotStarted(WorkerSlot slot, const RunNotStarted& event,
                    MonotonicTime now);
  void OnStarted(WorkerSlot slot, const RunStarted& event, MonotonicTime now);
  void OnStalled(WorkerSlot slot, const RunStalled& event, MonotonicTime now);
  void OnLoad(WorkerSlot slot, const WorkerLoad& load, MonotonicTime now);
  void Blame(const VmName& vm, const SubmissionId& id, MonotonicTime now);
  void Acknowledge(const VmName& vm, WorkerBirth born);

  // Runs.
  Entry* FindEntry(const SubmissionId& id);
  void Occupy(const Located& at, WorkerSlot slot, const PlacedRun& placed);
  /// Takes a run off its worker's books.
  void Vacate(const Located& at);
  /// The run is over without a result: the task waits again.
  void Requeue(const Located& at, std::string_view why, MonotonicTime now);
  void StopTask(const Located& at, MonotonicTime now);
  void StopAll(Entry& entry, MonotonicTime now);
  /// Members of a gang work only together: stops those that are left.
  void StopGang(Entry& entry, int step, MonotonicTime now);
  void MarkChanged(Entry& entry);
  /// Stops filling tasks that are paused for too long, to run elsewhere.
  void MovePaused(WorkerSlot slot, MonotonicTime now);
  /// Stops what would end with a draining worker, to run elsewhere.
  void Evacuate(MonotonicTime now);

  // Decisions.
  [[nodiscard]] std::vector<Candidate> Candidates(MonotonicTime now);
  /// Places waiting tasks of a step; returns false if one found no room.
  bool PlaceStep(const Candidate& candidate, MonotonicTime now);
  /// True if a long-running step may take room now. Where room is scarce it
  /// takes only what short work has left unused for a while.
  bool MayTakeRoom(const Candidate& candidate, MonotonicTime now);
  /// Share of a service's processors that no task has requested.
  [[nodiscard]] double FreeShare(const ServiceName& service,
                                 MonotonicTime now) const;
  /// Places all members of a gang or none.
  bool PlaceGang(const Candidate& candidate, MonotonicTime now);
  void Place(Entry& entry, const TaskIndex& index, WorkerSlot slot,
             std::uint32_t run, MonotonicTime now);
  [[nodiscard]] Placement Choose(const Entry& entry, int step,
                                 MonotonicTime now) const;
  /// Records once that a step waits, and why.
  void LogWait(const Candidate& candidate, NoPlace why);
  [[nodiscard]] std::uint32_t NextRun(const Task& task) const;
  [[nodiscard]] static int TasksOfStep(const Entry& entry, int step,
                                       WorkerSlot slot);
  [[nodiscard]] static RunTraits TraitsOf(const StepSpec& spec);

  DispatcherHooks hooks_;
  std::uint32_t first_run_;
  MonotonicTime unix_epoch_;
  bool resumed_ = true;
  std::unordered_map<SubmissionId, Entry> entries_;
  /// Submissions that are not final, in order of acceptance.
  std::vector<Entry*> active_;
  WorkerBook book_;
  WorkerHealth health_;
  SharingModel sharing_;
  EndLedger ledger_;
  DispatcherCounters counters_;
};

}  // namespace mangospread::dispatch
