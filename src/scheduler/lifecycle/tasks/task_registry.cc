#include "scheduler/lifecycle/tasks/task_registry.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "config/rows.hpp"

namespace mangospread::scheduler {
namespace {

constexpr std::size_t kRowsPerPage = 2'000;

/// Limited, so that the deletion of the rows of a job of 100,000 tasks is split
/// over many transactions.
constexpr std::size_t kDeletesPerTransaction = 200;

}  // namespace

TaskRegistry::TaskRegistry(Table& table, table::Writer& writer, Condition role,
                           TaskRegistryHooks hooks)
    : table_(table),
      writer_(writer),
      role_(std::move(role)),
      hooks_(std::move(hooks)) {}

TaskRegistry::~TaskRegistry() { *alive_ = false; }

void TaskRegistry::Load(std::function<void(Result<Revision>)> done) {
  ReadRequest request;
  request.keys.emplace_back(config::kRevisionKey);
  request.ranges.push_back({kJobPrefix, "", 1'000'000});
  table_.Read(std::move(request),
              [this, done = std::move(done), alive = alive_](const auto& rows) {
                if (!*alive) return;
                if (!rows.ok()) return done(rows.error());
                const auto revision = config::DecodeRevision(
                    config::FindRow(rows.value(), config::kRevisionKey));
                if (!revision.ok()) return done(revision.error());
                revision_ = revision.value();
                for (const Row& row : rows.value()) {
                  if (!row.key.starts_with(kJobPrefix)) continue;
                  const auto summary = DecodeJob(row);
                  const JobName name(row.key.substr(std::size(kJobPrefix) - 1));
                  if (summary.ok()) summaries_[name] = summary.value();
                }
                ReadPage("", done);
              });
}

void TaskRegistry::ReadPage(std::string after,
                            std::function<void(Result<Revision>)> done) {
  ReadRequest request;
  request.ranges.push_back({kTaskPrefix, std::move(after), kRowsPerPage});
  table_.Read(std::move(request),
              [this, done = std::move(done), alive = alive_](const auto& rows) {
                if (!*alive) return;
                if (!rows.ok()) return done(rows.error());
                for (const Row& row : rows.value()) LoadRow(row);
                if (rows.value().size() < kRowsPerPage) return done(revision_);
                ReadPage(rows.value().back().key, done);
              });
}

void TaskRegistry::LoadRow(const Row& row) {
  const TaskId id(row.key.substr(std::size(kTaskPrefix) - 1));
  const auto record = DecodeTask(row);
  if (JobOf(id).empty()) return;
  Task& task = AddTask(AddJob(JobOf(id)), id);
  if (record.ok()) {
    task.record = record.value();
  } else {
    // It is unknown whether the task runs, so it must not be started.
    task.record.state = TaskState::kFailed;
    task.record.reason = "unreadable row";
  }
  task.saved = task.record;
  task.version = row.version;
}

Task* TaskRegistry::Find(const TaskId& id) {
  const auto it = tasks_.find(id);
  return it == tasks_.end() ? nullptr : it->second.get();
}

Job* TaskRegistry::FindJob(const JobName& name) {
  const auto it = jobs_.find(name);
  return it == jobs_.end() ? nullptr : &it->second;
}

const JobSummary* TaskRegistry::FindSummary(const JobName& name) const {
  const auto it = summaries_.find(name);
  return it == summaries_.end() ? nullptr : &it->second;
}

Job& TaskRegistry::AddJob(const JobName& name) {
  Job& job = jobs_[name];
  job.name = name;
  return job;
}

Task& TaskRegistry::AddTask(Job& job, const TaskId& id) {
  auto& task = tasks_[id];
  if (task == nullptr) {
    task = std::make_unique<Task>();
    task->id = id;
    job.tasks.push_back(task.get());
    ++job.open_tasks;
  }
  return *task;
}

void TaskRegistry::AddTasks(Job& job) {
  for (int i = 0; i < job.spec.tasks; ++i) {
    AddTask(job, MakeTaskId(job.name, i));
  }
}

void TaskRegistry::Save(Task& task) {
  task.dirty = true;
  if (!task.writing) Submit(task);
}

void TaskRegistry::RetryFailedWrites() {
  const auto writes = std::exchange(failed_writes_, {});
  for (const TaskId& id : writes) {
    Task* task = Find(id);
    if (task != nullptr && task->dirty && !task->writing) Submit(*task);
  }
  const auto deletes = std::exchange(failed_deletes_, {});
  for (const JobName& name : deletes) {
    if (FindJob(name) != nullptr) {
      DeleteRows(name);
    } else {
      DeleteSummary(name);
    }
  }
}

void TaskRegistry::Submit(Task& task) {
  task.writing = true;
  task.dirty = false;
  Transaction transaction;
  const std::string key = TaskRowKey(task.id);
  transaction.conditions.push_back(role_);
  transaction.conditions.push_back({key, task.version});
  transaction.writes.push_back({key, Encode(task.record)});
  writer_.Submit(std::move(transaction),
                 [this, id = task.id, record = task.record,
                  alive = alive_](const table::WriteResult& result) {
                   if (*alive) OnWritten(id, record, result);
                 });
}

void TaskRegistry::OnWritten(const TaskId& id, const TaskRecord& record,
                             const table::WriteResult& result) {
  Task* task = Find(id);
  if (task == nullptr) return;
  task->writing = false;
  switch (result.status) {
    case table::WriteStatus::kCommitted:
      task->version = result.version;
      task->saved = record;
      if (task->dirty) return Submit(*task);
      return hooks_.saved(*task);
    case table::WriteStatus::kConflict:
      return hooks_.conflict(result.failed_keys);
    case table::WriteStatus::kUnavailable:
    case table::WriteStatus::kRejected:
      if (record.state == TaskState::kAssigned && !task->dirty) {
        return hooks_.not_assigned(*task);
      }
      task->dirty = true;
      failed_writes_.insert(id);
      return;
  }
}

void TaskRegistry::Finish(Job& job, std::string reason) {
  if (std::exchange(job.finishing, true)) return;
  if (!job.deleted && !job.summary_written) {
    JobSummary summary;
    summary.reason = std::move(reason);
    summary.cancelled = job.cancelled;
    for (const Task* task : job.tasks) {
      ++summary.counts[static_cast<std::size_t>(task->record.state)];
    }
    summaries_[job.name] = std::move(summary);
  }
  DeleteRows(job.name);
}

void TaskRegistry::DeleteRows(const JobName& name) {
  Job& job = jobs_.at(name);
  Transaction transaction;
  transaction.conditions.push_back(role_);
  // The summary is written in the transaction of the first deletions: a later
  // scheduler that finds it deletes the remaining rows.
  if (!job.deleted && !job.summary_written) {
    transaction.writes.push_back(
        {JobRowKey(name), Encode(summaries_.at(name))});
  }
  std::vector<TaskId> deleted;
  for (const Task* task : job.tasks) {
    if (task->version == RowVersion()) continue;
    if (deleted.size() >= kDeletesPerTransaction) break;
    transaction.writes.push_back({TaskRowKey(task->id), std::nullopt});
    deleted.push_back(task->id);
  }
  if (transaction.writes.empty()) return Remove(name);
  writer_.Submit(std::move(transaction),
                 [this, name, deleted, alive = alive_](const auto& result) {
                   if (!*alive || !HandleDeleteResult(name, result)) return;
                   jobs_.at(name).summary_written = true;
                   for (const TaskId& id : deleted) {
                     Find(id)->version = RowVersion();
                   }
                   DeleteRows(name);
                 });
}

bool TaskRegistry::HandleDeleteResult(const JobName& name,
                                      const table::WriteResult& result) {
  switch (result.status) {
    case table::WriteStatus::kCommitted:
      return true;
    case table::WriteStatus::kConflict:
      hooks_.conflict(result.failed_keys);
      return false;
    case table::WriteStatus::kUnavailable:
    case table::WriteStatus::kRejected:
      failed_deletes_.insert(name);
      return false;
  }
  return false;
}

void TaskRegistry::Remove(JobName name) {
  for (const Task* task : jobs_.at(name).tasks) {
    const TaskId id = task->id;
    tasks_.erase(id);
  }
  jobs_.erase(name);
  hooks_.removed(name);
}

void TaskRegistry::DeleteSummary(const JobName& name) {
  Transaction transaction;
  transaction.conditions.push_back(role_);
  transaction.writes.push_back({JobRowKey(name), std::nullopt});
  writer_.Submit(std::move(transaction),
                 [this, name, alive = alive_](const auto& result) {
                   if (!*alive || !HandleDeleteResult(name, result)) return;
                   summaries_.erase(name);
                   hooks_.removed(name);
                 });
}

}  // namespace mangospread::scheduler
