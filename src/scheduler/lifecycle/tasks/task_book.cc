#include "scheduler/lifecycle/tasks/task_book.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "config/rows.hpp"

namespace mangospread::scheduler {
namespace {

constexpr std::size_t kPageRows = 2'000;

/// Rows deleted by one change, so that a job of 100,000 tasks does not fill a
/// transaction.
constexpr std::size_t kDeletesPerChange = 200;

}  // namespace

TaskBook::TaskBook(Table& table, table::Writer& writer, Condition role,
                   BookHooks hooks)
    : table_(table),
      writer_(writer),
      role_(std::move(role)),
      hooks_(std::move(hooks)) {}

TaskBook::~TaskBook() { *alive_ = false; }

void TaskBook::Load(std::function<void(Result<Revision>)> done) {
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

void TaskBook::ReadPage(std::string after,
                        std::function<void(Result<Revision>)> done) {
  ReadRequest request;
  request.ranges.push_back({kTaskPrefix, std::move(after), kPageRows});
  table_.Read(std::move(request),
              [this, done = std::move(done), alive = alive_](const auto& rows) {
                if (!*alive) return;
                if (!rows.ok()) return done(rows.error());
                for (const Row& row : rows.value()) TakeRow(row);
                if (rows.value().size() < kPageRows) return done(revision_);
                ReadPage(rows.value().back().key, done);
              });
}

void TaskBook::TakeRow(const Row& row) {
  const TaskId id(row.key.substr(std::size(kTaskPrefix) - 1));
  const auto record = DecodeTask(row);
  if (JobOf(id).empty()) return;
  Task& task = AddTask(AddJob(JobOf(id)), id);
  if (record.ok()) {
    task.record = record.value();
  } else {
    // Nobody knows whether it runs, so it must not be started.
    task.record.state = TaskState::kFailed;
    task.record.reason = "unreadable row";
  }
  task.saved = task.record;
  task.version = row.version;
}

Task* TaskBook::Find(const TaskId& id) {
  const auto it = tasks_.find(id);
  return it == tasks_.end() ? nullptr : it->second.get();
}

Job* TaskBook::FindJob(const JobName& name) {
  const auto it = jobs_.find(name);
  return it == jobs_.end() ? nullptr : &it->second;
}

const JobSummary* TaskBook::FindSummary(const JobName& name) const {
  const auto it = summaries_.find(name);
  return it == summaries_.end() ? nullptr : &it->second;
}

Job& TaskBook::AddJob(const JobName& name) {
  Job& job = jobs_[name];
  job.name = name;
  return job;
}

Task& TaskBook::AddTask(Job& job, const TaskId& id) {
  auto& task = tasks_[id];
  if (task == nullptr) {
    task = std::make_unique<Task>();
    task->id = id;
    job.tasks.push_back(task.get());
    ++job.open;
  }
  return *task;
}

void TaskBook::AddTasks(Job& job) {
  for (int i = 0; i < job.spec.tasks; ++i) {
    AddTask(job, MakeTaskId(job.name, i));
  }
}

void TaskBook::Save(Task& task) {
  task.dirty = true;
  if (!task.writing) Submit(task);
}

void TaskBook::RetryDirty() {
  const auto dirty = std::exchange(dirty_, {});
  for (const TaskId& id : dirty) {
    Task* task = Find(id);
    if (task != nullptr && task->dirty && !task->writing) Submit(*task);
  }
  const auto deletes = std::exchange(unfinished_deletes_, {});
  for (const JobName& name : deletes) {
    if (FindJob(name) != nullptr) {
      DeleteRows(name);
    } else {
      DeleteSummary(name);
    }
  }
}

void TaskBook::Submit(Task& task) {
  task.writing = true;
  task.dirty = false;
  Transaction change;
  const std::string key = TaskRowKey(task.id);
  change.conditions.push_back(role_);
  change.conditions.push_back({key, task.version});
  change.writes.push_back({key, Encode(task.record)});
  writer_.Submit(std::move(change),
                 [this, id = task.id, record = task.record,
                  alive = alive_](const table::WriteResult& result) {
                   if (*alive) OnWritten(id, record, result);
                 });
}

void TaskBook::OnWritten(const TaskId& id, const TaskRecord& record,
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
      if (record.state == TaskState::kAssigned && !task->dirty) {
        return hooks_.not_assigned(*task);
      }
      task->dirty = true;
      dirty_.insert(id);
      return;
  }
}

void TaskBook::Finish(Job& job, std::string reason) {
  if (std::exchange(job.finishing, true)) return;
  if (!job.deleted && !job.summarised) {
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

void TaskBook::DeleteRows(const JobName& name) {
  Job& job = jobs_.at(name);
  Transaction change;
  change.conditions.push_back(role_);
  // The summary is written with the first deletions, and before all others:
  // whoever finds it deletes the rows that are left.
  if (!job.deleted && !job.summarised) {
    change.writes.push_back({JobRowKey(name), Encode(summaries_.at(name))});
  }
  std::vector<TaskId> deleted;
  for (const Task* task : job.tasks) {
    if (task->version == RowVersion()) continue;
    if (deleted.size() >= kDeletesPerChange) break;
    change.writes.push_back({TaskRowKey(task->id), std::nullopt});
    deleted.push_back(task->id);
  }
  if (change.writes.empty()) return Remove(name);
  writer_.Submit(std::move(change),
                 [this, name, deleted, alive = alive_](const auto& result) {
                   if (!*alive || !IsDeleted(name, result)) return;
                   jobs_.at(name).summarised = true;
                   for (const TaskId& id : deleted) {
                     Find(id)->version = RowVersion();
                   }
                   DeleteRows(name);
                 });
}

bool TaskBook::IsDeleted(const JobName& name,
                         const table::WriteResult& result) {
  switch (result.status) {
    case table::WriteStatus::kCommitted:
      return true;
    case table::WriteStatus::kConflict:
      hooks_.conflict(result.failed_keys);
      return false;
    case table::WriteStatus::kUnavailable:
      unfinished_deletes_.insert(name);
      return false;
  }
  return false;
}

void TaskBook::Remove(JobName name) {
  for (const Task* task : jobs_.at(name).tasks) {
    const TaskId id = task->id;
    tasks_.erase(id);
  }
  jobs_.erase(name);
  hooks_.removed(name);
}

void TaskBook::DeleteSummary(const JobName& name) {
  Transaction change;
  change.conditions.push_back(role_);
  change.writes.push_back({JobRowKey(name), std::nullopt});
  writer_.Submit(std::move(change),
                 [this, name, alive = alive_](const auto& result) {
                   if (!*alive || !IsDeleted(name, result)) return;
                   summaries_.erase(name);
                   hooks_.removed(name);
                 });
}

}  // namespace mangospread::scheduler
