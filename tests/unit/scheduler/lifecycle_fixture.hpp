/// @file
/// Schedulers, an owner, workers and a table in one process, with fault
/// injection.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/loop/clock.hpp"
#include "scheduler/lifecycle/owner_agent.hpp"
#include "scheduler/lifecycle/scheduler.hpp"
#include "table/memory_table.hpp"
#include "unit/run_until.hpp"

namespace mangospread::test {

using scheduler::TaskId;

/// In-memory table that replies after `delay`, can be made unavailable and
/// counts transactions.
class DelayedTable final : public Table {
 public:
  explicit DelayedTable(base::EventLoop& loop) : loop_(loop) {}

  void Read(ReadRequest request, ReadCallback done) override {
    Defer([this, request, done] {
      if (down) return done(Error{Errc::kUnavailable, "table"});
      done(rows.Read(request));
    });
  }
  void Transact(Transaction transaction, TransactCallback done) override {
    Defer([this, transaction, done] {
      using Status = TransactResult::Status;
      if (down) return done({Status::kUnavailable, {}, {}});
      ++transactions;
      if (on_event) on_event();
      done(rows.Transact(transaction));
    });
  }

  table::MemoryRows rows;
  bool down = false;  ///< Requests fail with kUnavailable.
  Milliseconds delay{0};
  int transactions = 0;
  /// Called before each transaction.
  std::function<void()> on_event;

 private:
  void Defer(std::function<void()> callback) {
    if (delay.count() == 0) return loop_.Post(std::move(callback));
    auto timer = std::make_shared<base::Timer>();
    *timer = loop_.After(
        delay, [timer, callback = std::move(callback)] { callback(); });
  }
  base::EventLoop& loop_;
};

/// A run of an attempt. `started` and `ended` are values of the event clock; 0
/// means that the event has not occurred.
struct FakeRun {
  Attempt attempt;
  std::string from_checkpoint;
  std::string checkpoint;
  int started = 0;
  int ended = 0;
};

/// Executes task commands according to the worker protocol. All workers share
/// the logical clock `event_clock`, so that the order of runs can be compared.
class FakeWorker {
 public:
  explicit FakeWorker(int& event_clock) : event_clock_(event_clock) {}

  Result<TaskReport> Command(const TaskCommand& command) {
    const Error not_found{Errc::kNotFound, command.task};
    auto it = report.tasks.begin();
    while (it != report.tasks.end() && it->task != command.task) ++it;
    const bool present = it != report.tasks.end();
    if (forgotten_[command.task] >= command.attempt) return not_found;
    if (present && it->attempt > command.attempt) return not_found;
    if (present && it->attempt == command.attempt) {
      return HandleExisting(command, it);
    }
    const bool start = command.verb == TaskVerb::kStart;
    if (!start && command.verb != TaskVerb::kStop) return not_found;
    if (present) report.tasks.erase(it);
    TaskReport added;
    added.task = command.task;
    added.attempt = command.attempt;
    added.checkpoint = command.checkpoint;
    added.phase = start ? TaskPhase::kRunning : TaskPhase::kStopped;
    if (start) {
      runs[command.task].push_back(
          {command.attempt, command.checkpoint, "", ++event_clock_, 0});
    }
    report.tasks.push_back(added);
    return added;
  }

  /// Ends a running task.
  void End(const std::string& task, TaskPhase phase) {
    for (TaskReport& item : report.tasks) {
      if (item.task != task || item.phase != TaskPhase::kRunning) continue;
      item.phase = phase;
      runs[task].back().ended = ++event_clock_;
      runs[task].back().checkpoint = item.checkpoint;
    }
  }
  [[nodiscard]] std::vector<std::string> Running() const {
    std::vector<std::string> names;
    for (const TaskReport& item : report.tasks) {
      if (item.phase == TaskPhase::kRunning) names.push_back(item.task);
    }
    return names;
  }
  /// Stops all tasks and discards their records.
  void Restart() {
    for (const std::string& task : Running()) End(task, TaskPhase::kStopped);
    report.tasks.clear();
    forgotten_.clear();
    report.boot_id += "+";
  }

  WorkerReport report;
  std::map<std::string, std::vector<FakeRun>> runs;

 private:
  using Position = std::vector<TaskReport>::iterator;
  TaskReport HandleExisting(const TaskCommand& command, Position it) {
    const bool running = it->phase == TaskPhase::kRunning;
    if (running && (command.verb == TaskVerb::kCheckpoint ||
                    command.verb == TaskVerb::kStop)) {
      it->checkpoint = "cp" + std::to_string(++event_clock_);
    }
    if (running && command.verb == TaskVerb::kStop) {
      End(command.task, TaskPhase::kStopped);
    }
    TaskReport reply = *it;
    if (command.verb == TaskVerb::kForget && !running) {
      forgotten_[command.task] = command.attempt;
      report.tasks.erase(it);
    }
    return reply;
  }

  int& event_clock_;
  /// Highest attempt of each task whose record was deleted on command.
  std::map<std::string, Attempt> forgotten_;
};

/// Places the oldest task on the worker with the fewest tasks, and evicts the
/// tasks listed in `evict`.
class LeastLoadedEngine final : public scheduler::DecisionEngine {
 public:
  explicit LeastLoadedEngine(std::size_t max_tasks_per_worker)
      : max_tasks_per_worker_(max_tasks_per_worker) {}

  void SetWeights(const scheduler::Weights& /*weights*/) override {}
  void SetQuotas(const std::vector<scheduler::TeamQuota>& /*quotas*/) override {
  }
  void UpdateWorker(const scheduler::WorkerState& worker) override {
    auto& [accepts_work, tasks] = workers_[worker.vm];
    accepts_work = worker.accepts_work;
    tasks.clear();
    for (const auto& task : worker.tasks) tasks.insert(task.demand.id);
  }
  void RemoveWorker(const VmName& vm) override { workers_.erase(vm); }
  void Enqueue(const scheduler::TaskDemand& task, MonotonicTime) override {
    queue_.push_back(task.id);
  }
  void Dequeue(const TaskId& task) override { std::erase(queue_, task); }
  [[nodiscard]] std::size_t queued() const override { return queue_.size(); }
  [[nodiscard]] std::vector<scheduler::Decision> Decide(
      MonotonicTime, std::size_t limit) override {
    std::vector<scheduler::Decision> decisions;
    for (; limit > 0 && !queue_.empty(); --limit) {
      auto best = workers_.end();
      for (auto it = workers_.begin(); it != workers_.end(); ++it) {
        const auto& [accepts_work, tasks] = it->second;
        if (!accepts_work || tasks.size() >= max_tasks_per_worker_) continue;
        if (best == workers_.end() ||
            tasks.size() < best->second.second.size()) {
          best = it;
        }
      }
      if (best == workers_.end()) break;
      best->second.second.insert(queue_.front());
      decisions.emplace_back(scheduler::PlaceDecision{
          queue_.front(), best->first, 0, {}, "least loaded"});
      queue_.pop_front();
    }
    for (const auto& [task, vm] : std::exchange(evict, {})) {
      decisions.emplace_back(scheduler::EvictDecision{task, vm, "test"});
    }
    return decisions;
  }
  void OnNotStarted(const TaskId& task, const VmName& vm) override {
    workers_[vm].second.erase(task);
  }
  void OnEnded(const TaskId& task, const VmName& vm, scheduler::AttemptEnd,
               MonotonicTime) override {
    workers_[vm].second.erase(task);
  }

  std::vector<std::pair<TaskId, VmName>> evict;

 private:
  std::size_t max_tasks_per_worker_;
  std::deque<TaskId> queue_;
  std::map<VmName, std::pair<bool, std::set<TaskId>>> workers_;
};

class LifecycleFixture {
 public:
  /// A node that competes for the scheduler's role.
  struct Node {
    Node(LifecycleFixture& fixture, const std::string& name)
        : writer(fixture.loop, fixture.table, "writer/" + name + "/1/tasks",
                 fixture.writer_options),
          role(
              fixture.loop, RoleOptions(name), fixture.table, writer,
              [&fixture](const scheduler::RoleRow& row) {
                return !fixture.nodes.contains(row.node);
              },
              [] { return true; }),
          scheduler(fixture.Dependencies(*this), fixture.options) {
      scheduler.Start();
      role.Start();
    }
    static scheduler::RoleOptions RoleOptions(const std::string& name) {
      scheduler::RoleOptions options;
      options.node = NodeId(name);
      options.incarnation = Incarnation(1);
      options.period = Milliseconds(10);
      return options;
    }
    table::Writer writer;
    scheduler::SchedulerRole role;
    LeastLoadedEngine* engine = nullptr;
    scheduler::Scheduler scheduler;
  };

  explicit LifecycleFixture(int worker_count = 2,
                            std::size_t max_tasks_per_worker = 4)
      : max_tasks_per_worker_(max_tasks_per_worker) {
    options.tick = Milliseconds(2);
    options.report_wait = Milliseconds(20);
    writer_options.budget = writer_options.burst = 100'000;
    store.InstallSnapshot(Revision(0), {});
    for (int i = 0; i < worker_count; ++i) {
      const VmName vm("vm-" + std::to_string(i));
      workers.emplace(vm, event_clock);
      workers.at(vm).report.boot_id = "boot";
      VmInfo info;
      info.name = vm;
      info.address = {"127.0.0.1", static_cast<std::uint16_t>(1'000 + i)};
      vms.push_back(info);
    }
    agent.Start();
  }

  Node& AddNode(const std::string& name) {
    auto& node = nodes[NodeId(name)];
    node = std::make_unique<Node>(*this, name);
    return *node;
  }
  void AddJob(const std::string& name, const std::string& spec) {
    Change change{
        store.revision().next(), {ResourceKind::kJob, name}, false, spec};
    store.Install(change);
  }
  /// Returns the job's status from the active scheduler; empty without one.
  [[nodiscard]] std::string Status(const std::string& job) const {
    for (const auto& [name, node] : nodes) {
      const auto reply = node->scheduler.Query("/v1/jobs/" + job);
      if (reply.status == 200) return reply.body;
    }
    return "";
  }
  [[nodiscard]] bool Finished(const std::string& job) const {
    return Status(job).find("\"finished\":true") != std::string::npos;
  }
  /// Ends all running tasks.
  void EndAll() {
    for (auto& [vm, worker] : workers) {
      for (const std::string& task : worker.Running()) {
        worker.End(task, TaskPhase::kDone);
      }
    }
  }
  /// From now on the owner has no newer report of any worker; commands still
  /// reach the workers.
  void FreezeReports() {
    frozen_since = base::MonotonicNow();
    for (const auto& [vm, worker] : workers) {
      frozen_reports[vm] = worker.report;
    }
  }
  /// Runs of a task on all workers, in order.
  [[nodiscard]] std::vector<FakeRun> Runs(const std::string& task) {
    std::vector<FakeRun> all;
    for (auto& [vm, worker] : workers) {
      const auto& runs = worker.runs[task];
      all.insert(all.end(), runs.begin(), runs.end());
    }
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
      return a.started < b.started;
    });
    return all;
  }

  base::EventLoop loop;
  int event_clock = 0;
  int commands = 0;  ///< Sent to workers so far.
  /// Number of further commands that are executed but whose reply is lost.
  int lose_replies = 0;
  /// Called after each command to a worker.
  std::function<void()> on_command;
  scheduler::SchedulerOptions options;
  table::WriterOptions writer_options;
  DelayedTable table{loop};
  config::Store store;
  std::map<VmName, FakeWorker> workers;
  std::vector<VmInfo> vms;
  /// Reports that the owner has instead of the workers' present ones.
  std::map<VmName, WorkerReport> frozen_reports;
  MonotonicTime frozen_since{0};
  std::map<NodeId, std::unique_ptr<Node>> nodes;
  scheduler::OwnerAgent agent{
      loop, {NodeId("owner"), Milliseconds(5)}, AgentHooks()};

 private:
  scheduler::AgentHooks AgentHooks() {
    scheduler::AgentHooks hooks;
    hooks.owned = [this] {
      std::vector<scheduler::OwnedWorkerState> owned;
      for (const VmInfo& vm : vms) {
        const bool frozen = frozen_reports.contains(vm.name);
        owned.push_back({vm.name, ToString(vm.address), Epoch(1), true,
                         frozen ? frozen_since : base::MonotonicNow(),
                         frozen ? &frozen_reports.at(vm.name)
                                : &workers.at(vm.name).report});
      }
      return owned;
    };
    hooks.command = [this](const VmName& vm, const TaskCommand& command,
                           auto done) {
      ++commands;
      Result<TaskReport> result = workers.at(vm).Command(command);
      if (lose_replies > 0) {
        --lose_replies;
        result = Error{Errc::kTimeout, "lost"};
      }
      if (on_command) on_command();
      loop.Post([done, result] { done(result); });
    };
    hooks.role = [this] {
      const auto rows = table.rows.Read({{"role/scheduler/default"}, {}});
      return rows.empty() ? scheduler::RoleRow()
                          : scheduler::DecodeRole(rows[0]).value();
    };
    hooks.send_report = [this](const NodeId& node, rpc::NodeReport report,
                               auto done) {
      loop.Post([this, node, report = std::move(report), done] {
        const auto it = nodes.find(node);
        if (it == nodes.end()) {
          return done(Error{Errc::kConnectFailed, node.str()});
        }
        done(it->second->scheduler.OnReport(report));
      });
    };
    return hooks;
  }

  scheduler::SchedulerDependencies Dependencies(Node& node) {
    return {loop,
            table,
            node.writer,
            node.role,
            store,
            [this] { return vms; },
            [this](const NodeId&, rpc::TaskCall call, auto done) {
              loop.Post([this, call, done] { agent.OnCommand(call, done); });
            },
            [this, &node] {
              auto engine =
                  std::make_unique<LeastLoadedEngine>(max_tasks_per_worker_);
              node.engine = engine.get();
              return engine;
            }};
  }

  std::size_t max_tasks_per_worker_;
};

}  // namespace mangospread::test
