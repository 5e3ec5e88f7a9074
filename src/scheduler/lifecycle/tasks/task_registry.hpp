/// @file
/// Registry of the active scheduler's tasks and jobs, backed by table rows.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangospread/resource.hpp"
#include "scheduler/lifecycle/tasks/rows.hpp"
#include "table/writer.hpp"

namespace mangospread::scheduler {

/// Reason for stopping a live attempt.
enum class StopReason : unsigned char {
  kNone,
  kEvict,
  kCancel,
  kAbandon,  ///< Unknown to the worker, but a start may still arrive there.
};

struct Task {
  TaskId id;
  TaskRecord record;      ///< Current state, which may not be stored yet.
  TaskRecord saved;       ///< As stored in the table.
  RowVersion version;     ///< Of the task's row; the default if there is none.
  bool dirty = false;     ///< `record` still has to be written.
  bool writing = false;   ///< A write is in flight.
  bool enqueued = false;  ///< In the engine's queue.
  bool counted = false;   ///< Subtracted from its job's open tasks.
  bool maybe_started = false;  ///< The outcome of a start is unknown.
  bool checkpointed = false;   ///< A checkpoint for its eviction was taken.
  bool lost = false;  ///< Lost with its worker; requeued at a limited rate.
  StopReason stop = StopReason::kNone;  ///< Of a requested stop.
  int target_throttle_percent = 0;      ///< As decided by the engine.
  int throttle_percent = 0;             ///< As reported by the worker.
  /// Time of the placement, and of the first report that the task runs. For a
  /// task taken over from a former scheduler, both are the time at which this
  /// scheduler began to decide.
  MonotonicTime placed_at{0};
  MonotonicTime confirmed_at{0};
  /// Time of the last start command that may have reached the worker; 0 if
  /// there is none. As above for a task taken over.
  MonotonicTime started_at{0};
  /// The attempt was confirmed under a former scheduler, so that it is not
  /// known how long it has run.
  bool taken_over = false;
  /// Loss of the attempt with its worker's process, until it counts or the
  /// attempt is found on the worker.
  std::optional<crash::LostRun> loss;
  Millicores cpu_used;
  Mebibytes memory_used;
};

struct Job {
  JobName name;
  JobSpec spec;
  std::vector<Task*> tasks;
  int open_tasks = 0;  ///< Tasks that have not ended.
  bool cancelled = false;
  bool deleted = false;
  bool finishing = false;        ///< Its rows are being deleted.
  bool summary_written = false;  ///< The job's summary is in the table.
};

struct TaskRegistryHooks {
  /// The task's record has been stored in the table.
  std::function<void(Task&)> saved;
  /// The record with the state `assigned` definitely has not been stored and
  /// will not be.
  std::function<void(Task&)> not_assigned;
  /// The conditions of a write on `failed_keys` failed.
  std::function<void(const std::vector<std::string>& failed_keys)> conflict;
  /// The job's rows, or its summary, have been deleted and the job has been
  /// removed from the registry.
  std::function<void(const JobName&)> removed;
};

/// Stores tasks and jobs in memory and writes their changes to the table.
/// Every write requires the version of the role row given by `role`, so that a
/// scheduler that has lost the role cannot change any row.
class TaskRegistry {
 public:
  TaskRegistry(Table& table, table::Writer& writer, Condition role,
               TaskRegistryHooks hooks);
  ~TaskRegistry();
  TaskRegistry(const TaskRegistry&) = delete;
  TaskRegistry& operator=(const TaskRegistry&) = delete;

  /// Stops the registry; no hook is called afterwards.
  void Close() noexcept { *alive_ = false; }

  /// Reads all rows. No other scheduler can write while the role is held, so
  /// the pages are consistent with each other.
  /// @param done receives the configuration revision of the table; decisions
  ///   require at least this revision.
  void Load(std::function<void(Result<Revision>)> done);

  [[nodiscard]] Task* Find(const TaskId& id);
  [[nodiscard]] Job* FindJob(const JobName& name);
  [[nodiscard]] const JobSummary* FindSummary(const JobName& name) const;
  [[nodiscard]] std::map<JobName, Job>& jobs() noexcept { return jobs_; }
  [[nodiscard]] const std::map<JobName, JobSummary>& summaries()
      const noexcept {
    return summaries_;
  }

  Job& AddJob(const JobName& name);
  /// Adds the tasks of the job's specification that do not exist yet.
  void AddTasks(Job& job);

  /// Writes the task's record, batched with other writes.
  void Save(Task& task);
  /// Retries the writes and deletions that failed because the table was
  /// unavailable.
  void RetryFailedWrites();
  /// Replaces the rows of a job without open tasks by a summary, or deletes
  /// all of them if the job itself was deleted.
  void Finish(Job& job, std::string reason);
  /// Deletes the summary of a deleted job.
  void DeleteSummary(const JobName& name);

 private:
  /// Returns false if the deletion of a job's rows failed: it is retried later,
  /// or a conflict, such as the loss of the role, is reported to the hook.
  [[nodiscard]] bool HandleDeleteResult(const JobName& name,
                                        const table::WriteResult& result);
  void ReadPage(std::string after, std::function<void(Result<Revision>)> done);
  void LoadRow(const Row& row);
  Task& AddTask(Job& job, const TaskId& id);
  void Submit(Task& task);
  void OnWritten(const TaskId& id, const TaskRecord& record,
                 const table::WriteResult& result);
  void DeleteRows(const JobName& name);
  /// Takes the name by value, since callers pass the one stored in the job that
  /// is erased.
  void Remove(JobName name);

  Table& table_;
  table::Writer& writer_;
  Condition role_;
  TaskRegistryHooks hooks_;
  std::unordered_map<TaskId, std::unique_ptr<Task>> tasks_;
  std::map<JobName, Job> jobs_;
  std::map<JobName, JobSummary> summaries_;
  std::set<TaskId> failed_writes_;
  std::set<JobName> failed_deletes_;
  Revision revision_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::scheduler
