#include "scheduler/lifecycle/scheduler.hpp"

#include <algorithm>
#include <utility>

#include "base/loop/clock.hpp"

namespace mangospread::scheduler {
namespace {

constexpr Milliseconds kSlowTick{1'000};
constexpr Milliseconds kReloadDelay{500};
constexpr double kJitter = 0.1;

}  // namespace

Scheduler::Scheduler(SchedulerDependencies dependencies,
                     SchedulerOptions options)
    : deps_(std::move(dependencies)), options_(options) {}

Scheduler::~Scheduler() { Stop(); }

void Scheduler::Start() {
  connections_.push_back(deps_.role.acquired().connect([this] { Activate(); }));
  connections_.push_back(deps_.role.lost().connect([this] { Deactivate(); }));
  // The signals need a mutable store; this class does not modify its contents.
  auto& store = const_cast<config::Store&>(deps_.store);  // NOLINT
  connections_.push_back(store.changed().connect([this](const Change& change) {
    if (change.key.kind != ResourceKind::kJob) {
      resync_ = true;
      return;
    }
    const JobName name(change.key.name);
    // Handled at once, because a job of the same name may be created before the
    // next tick.
    if (change.deleted && phase_ == Phase::kDeciding) OnJobDeleted(name);
    changed_jobs_.insert(name);
  }));
  connections_.push_back(store.replaced().connect([this] { resync_ = true; }));
  tick_timer_ = deps_.loop.Every(options_.tick, kJitter, [this] { Tick(); });
  slow_timer_ = deps_.loop.Every(kSlowTick, kJitter, [this] { SlowTick(); });
}

void Scheduler::Stop() {
  for (auto& connection : connections_) connection.disconnect();
  connections_.clear();
  tick_timer_.reset();
  slow_timer_.reset();
  Deactivate();
}

void Scheduler::Activate() {
  Deactivate();
  phase_ = Phase::kLoading;
  activated_at_ = base::MonotonicNow();
  engine_ = deps_.make_engine();
  commands_ = std::make_unique<CommandQueue>(
      CommandQueue::Hooks{
          [this](const auto& vm, const auto& queued) {
            return Prepare(vm, queued);
          },
          [this](const auto& vm, TaskCommand command, auto done) {
            Send(vm, std::move(command), std::move(done));
          },
          [this](const auto& vm, const auto& queued, const auto& result) {
            OnCommandDone(vm, queued, result);
          }},
      options_.max_commands);
  registry_ = std::make_unique<TaskRegistry>(
      deps_.table, deps_.writer, deps_.role.condition(),
      TaskRegistryHooks{
          [this](Task& task) { OnSaved(task); },
          [this](Task& task) { OnNotAssigned(task); },
          [this](const auto& keys) { OnConflict(keys); },
          [this](const JobName& name) { changed_jobs_.insert(name); }});
  registry_->Load([this](const Result<Revision>& revision) {
    if (!revision.ok()) {
      reload_timer_ = deps_.loop.After(kReloadDelay, [this] {
        if (deps_.role.held()) Activate();
      });
      return;
    }
    required_revision_ = revision.value();
    phase_ = Phase::kCatchingUp;
  });
}

void Scheduler::Deactivate() {
  phase_ = Phase::kInactive;
  reload_timer_.reset();
  if (registry_ != nullptr) registry_->Close();
  if (commands_ != nullptr) commands_->Close();
  // A callback of one of these may be on the stack.
  deps_.loop.Post(
      [registry = std::shared_ptr<TaskRegistry>(std::move(registry_)),
       commands = std::shared_ptr<CommandQueue>(std::move(commands_))] {});
  engine_.reset();
  worker_views_.clear();
  live_tasks_.clear();
  lost_tasks_.clear();
  assigning_ = 0;
}

void Scheduler::BeginDeciding() {
  phase_ = Phase::kDeciding;
  const MonotonicTime now = base::MonotonicNow();
  RefreshVms();
  SyncPolicies();
  std::vector<JobName> names;
  for (const auto& [name, job] : registry_->jobs()) names.push_back(name);
  for (const auto& [name, row] : registry_->summaries()) names.push_back(name);
  for (const Resource& resource : deps_.store.List(ResourceKind::kJob)) {
    names.emplace_back(resource.key.name);
  }
  // Live tasks are registered first, since the engine needs the tasks that
  // occupy the workers before it places others.
  for (auto& [name, job] : registry_->jobs()) {
    for (Task* task : job.tasks) {
      if (!IsLive(task->record.state)) continue;
      live_tasks_[task->record.vm].insert(task->id);
      task->maybe_started = true;
      task->placed_at = now;
      task->confirmed_at = now;
      task->started_at = now;
      task->taken_over = task->record.state == TaskState::kRunning;
    }
  }
  for (const JobName& name : names) SyncJob(name);
  for (auto& [vm, view] : worker_views_) Reconcile(vm);
  base::Log(base::Event::kSchedulerRebuilt,
            {{"epoch", deps_.role.row().epoch.value()},
             {"jobs", registry_->jobs().size()},
             {"workers", worker_views_.size()},
             {"queued", engine_->queued()}});
}

void Scheduler::Tick() {
  const MonotonicTime now = base::MonotonicNow();
  if (phase_ == Phase::kCatchingUp && deps_.store.loaded() &&
      deps_.store.revision() >= required_revision_ &&
      now - activated_at_ >= options_.report_wait) {
    BeginDeciding();
  }
  if (phase_ != Phase::kDeciding) return;
  if (std::exchange(resync_, false)) {
    SyncPolicies();
    for (const Resource& resource : deps_.store.List(ResourceKind::kJob)) {
      changed_jobs_.insert(JobName(resource.key.name));
    }
    for (const auto& [key, job] : registry_->jobs()) changed_jobs_.insert(key);
    for (const auto& [name, job] : registry_->summaries()) {
      changed_jobs_.insert(name);
    }
  }
  for (const JobName& name : std::exchange(changed_jobs_, {})) SyncJob(name);
  registry_->RetryFailedWrites();
  if (phase_ != Phase::kDeciding) return;
  EnqueueLost(now);
  Decide(now);
}

void Scheduler::SlowTick() {
  if (phase_ != Phase::kDeciding) return;
  RefreshVms();
  RequeueExpired(base::MonotonicNow());
}

void Scheduler::Decide(MonotonicTime now) {
  // Without a recent confirmation of the role the table may be unavailable, and
  // no task is started then.
  if (!deps_.role.IsConfirmed() || assigning_ >= options_.max_assigning) return;
  for (const Decision& decision :
       engine_->Decide(now, options_.max_placements_per_tick)) {
    if (const auto* place = std::get_if<PlaceDecision>(&decision)) {
      Execute(*place, now);
    } else {
      std::visit(
          [this](const auto& other) {
            using Kind = std::decay_t<decltype(other)>;
            if constexpr (!std::is_same_v<Kind, PlaceDecision>) {
              Execute(other);
            }
          },
          decision);
    }
  }
}

void Scheduler::Execute(const PlaceDecision& decision, MonotonicTime now) {
  Task* task = registry_->Find(decision.task);
  const auto vm = vms_.find(decision.vm);
  if (task == nullptr || !task->enqueued || vm == vms_.end()) {
    engine_->OnNotStarted(decision.task, decision.vm);
    if (task != nullptr && task->enqueued) {
      engine_->Enqueue(DemandOf(*task), now);
    }
    return;
  }
  task->enqueued = false;
  task->record.state = TaskState::kAssigned;
  task->record.attempt = task->record.attempt.next();
  task->record.vm = decision.vm;
  task->record.address = ToString(vm->second.address);
  task->record.worker_epoch = worker_views_[decision.vm].digest.epoch;
  task->record.reason.clear();
  task->maybe_started = task->checkpointed = false;
  task->target_throttle_percent = task->throttle_percent = 0;
  task->cpu_used = Millicores();
  task->memory_used = Mebibytes();
  task->placed_at = now;
  task->started_at = MonotonicTime(0);
  task->taken_over = false;
  live_tasks_[decision.vm].insert(task->id);
  ++assigning_;
  log_.Record({base::Event::kTaskPlaced, task->id.str(), decision.vm,
               decision.reason, decision.cost, decision.runners_up});
  registry_->Save(*task);
}

void Scheduler::Execute(const EvictDecision& decision) {
  Task* task = registry_->Find(decision.task);
  if (task == nullptr || !IsLive(task->record.state) ||
      task->record.vm != decision.vm || task->stop != StopReason::kNone) {
    return;
  }
  log_.Record({base::Event::kTaskEvicted,
               task->id.str(),
               decision.vm,
               decision.reason,
               0,
               {}});
  task->stop = StopReason::kEvict;
  Push(*task, TaskVerb::kCheckpoint);
}

void Scheduler::Execute(const ThrottleDecision& decision) {
  Task* task = registry_->Find(decision.task);
  if (task == nullptr || !IsLive(task->record.state) ||
      task->record.vm != decision.vm) {
    return;
  }
  log_.Record({decision.throttle_percent > 0 ? base::Event::kGuardThrottled
                                             : base::Event::kGuardReleased,
               task->id.str(),
               decision.vm,
               decision.reason,
               static_cast<double>(decision.throttle_percent),
               {}});
  task->target_throttle_percent = decision.throttle_percent;
  Push(*task, TaskVerb::kThrottle);
}

void Scheduler::Execute(const CannotRunDecision& decision) {
  Task* task = registry_->Find(decision.task);
  if (task == nullptr || !IsPending(task->record.state)) return;
  task->enqueued = false;
  log_.Record({base::Event::kTaskNotPlaced,
               task->id.str(),
               VmName(),
               decision.reason,
               0,
               {}});
  task->record.state = TaskState::kCannotRun;
  task->record.reason = decision.reason;
  registry_->Save(*task);
}

void Scheduler::Execute(const QuarantineDecision& decision) {
  log_.Record({base::Event::kWorkerQuarantined,
               decision.vm.str(),
               decision.vm,
               decision.reason,
               0,
               {}});
}

void Scheduler::Enqueue(Task& task) {
  task.enqueued = true;
  engine_->Enqueue(DemandOf(task), base::MonotonicNow());
}

void Scheduler::EnqueueLost(MonotonicTime now) {
  const double elapsed =
      std::chrono::duration<double>(now - restart_budget_updated_at_).count();
  restart_budget_updated_at_ = now;
  restart_budget_ =
      std::min(options_.restarts_per_second,
               restart_budget_ + elapsed * options_.restarts_per_second);
  while (!lost_tasks_.empty() && restart_budget_ >= 1) {
    Task* task = registry_->Find(lost_tasks_.front());
    lost_tasks_.pop_front();
    if (task == nullptr || !std::exchange(task->lost, false)) continue;
    restart_budget_ -= 1;
    Enqueue(*task);
  }
}

TaskDemand Scheduler::DemandOf(const Task& task) {
  TaskDemand demand;
  demand.id = task.id;
  demand.job = JobOf(task.id);
  demand.evictions = task.record.evictions;
  if (const Job* job = registry_->FindJob(demand.job); job != nullptr) {
    const JobSpec& spec = job->spec;
    demand.team = spec.team;
    demand.task_class = TaskClass(spec.task_class);
    demand.urgent = spec.urgent;
    demand.cpu = spec.cpu;
    demand.memory = spec.memory;
    demand.accelerators = spec.accelerators;
    demand.run_time = spec.run_time;
  }
  return demand;
}

}  // namespace mangospread::scheduler
