/// @file
/// The active scheduler's tasks and jobs, and their rows in the table.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangospread/resource.hpp"
#include "scheduler/lifecycle/tasks/rows.hpp"
#include "table/writer.hpp"

namespace mangospread::scheduler {

/// Why a running attempt is to be stopped.
enum class StopReason : unsigned char {
  kNone,
  kEvict,
  kCancel,
  kAbandon,  ///< Refused, but an earlier start may still arrive.
};

struct Task {
  TaskId id;
  TaskRecord record;  ///< As decided.
  TaskRecord saved;   ///< As in the table.
  RowVersion version;
  bool dirty = false;
  bool writing = false;
  bool enqueued = false;
  bool counted = false;        ///< Its job knows that it has ended.
  bool maybe_started = false;  ///< A start's outcome was not known.
  bool checkpointed = false;
  bool lost = false;  ///< Restarted at the paced rate.
  StopReason stop = StopReason::kNone;
  int throttle_wanted = 0;
  int throttle_percent = 0;
  MonotonicTime placed_at{0};
  MonotonicTime confirmed_at{0};
  Millicores cpu_used;
  Mebibytes memory_used;
};

struct Job {
  JobName name;
  JobSpec spec;
  std::vector<Task*> tasks;
  int open = 0;  ///< Tasks that have not ended.
  bool cancelled = false;
  bool deleted = false;
  bool finishing = false;
  bool summarised = false;
};

struct BookHooks {
  /// The task's record is in the table.
  std::function<void(Task&)> saved;
  /// The record `assigned` definitely is not, and will not be.
  std::function<void(Task&)> not_assigned;
  /// A write conflicted.
  std::function<void(const std::vector<std::string>& failed_keys)> conflict;
  /// The job's rows are deleted; it is about to be dropped.
  std::function<void(const JobName&)> removed;
};

/// Every write requires the role row's version that `role` gives, so that a
/// scheduler that lost the role changes nothing.
class TaskBook {
 public:
  TaskBook(Table& table, table::Writer& writer, Condition role,
           BookHooks hooks);
  ~TaskBook();
  TaskBook(const TaskBook&) = delete;
  TaskBook& operator=(const TaskBook&) = delete;

  /// No hook is called from then on.
  void Close() noexcept { *alive_ = false; }

  /// Reads all rows. No other scheduler can write once the role is held, so
  /// the pages fit together. `done` gets the configuration revision that the
  /// table has: decisions need at least that one.
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
  /// Adds the tasks that the specification has and the job lacks.
  void AddTasks(Job& job);

  /// Writes the task's record; grouped with other writes.
  void Save(Task& task);
  /// Submits again what the table did not take.
  void RetryDirty();
  /// Replaces the rows of a job without open tasks by a summary, or deletes
  /// all of them when the job was deleted.
  void Finish(Job& job, std::string reason);
  /// Deletes the summary of a deleted job.
  void DeleteSummary(const JobName& name);

 private:
  /// False if the deletion of a job's rows failed; it is tried again later, or
  /// the role is lost.
  [[nodiscard]] bool IsDeleted(const JobName& name,
                               const table::WriteResult& result);
  void ReadPage(std::string after, std::function<void(Result<Revision>)> done);
  void TakeRow(const Row& row);
  Task& AddTask(Job& job, const TaskId& id);
  void Submit(Task& task);
  void OnWritten(const TaskId& id, const TaskRecord& record,
                 const table::WriteResult& result);
  void DeleteRows(const JobName& name);
  /// Takes a copy, since callers pass the name in the job that is erased.
  void Remove(JobName name);

  Table& table_;
  table::Writer& writer_;
  Condition role_;
  BookHooks hooks_;
  std::unordered_map<TaskId, std::unique_ptr<Task>> tasks_;
  std::map<JobName, Job> jobs_;
  std::map<JobName, JobSummary> summaries_;
  std::set<TaskId> dirty_;
  std::set<JobName> unfinished_deletes_;
  Revision revision_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangospread::scheduler
