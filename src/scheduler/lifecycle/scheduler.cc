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
  connections_.push_back(deps_.role.taken().connect([this] { Activate(); }));
  connections_.push_back(deps_.role.lost().connect([this] { Deactivate(); }));
  // The store is the only part that this class watches; it does not change it.
  auto& store = const_cast<config::Store&>(deps_.store);  // NOLINT
  connections_.push_back(store.changed().connect([this](const Change& change) {
    if (change.key.kind != ResourceKind::kJob) {
      resync_ = true;
      return;
    }
    const JobName name(change.key.name);
    // A job of the same name may be created before the next tick.
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
  book_ = std::make_unique<TaskBook>(
      deps_.table, deps_.writer, deps_.role.condition(),
      BookHooks{[this](Task& task) { OnSaved(task); },
                [this](Task& task) { OnNotAssigned(task); },
                [this](const auto& keys) { OnConflict(keys); },
                [this](const JobName& name) { changed_jobs_.insert(name); }});
  book_->Load([this](const Result<Revision>& revision) {
    if (!revision.ok()) {
      reload_timer_ = deps_.loop.After(kReloadDelay, [this] {
        if (deps_.role.held()) Activate();
      });
      return;
    }
    needed_revision_ = revision.value();
    phase_ = Phase::kCatchingUp;
  });
}

void Scheduler::Deactivate() {
  phase_ = Phase::kInactive;
  reload_timer_.reset();
  if (book_ != nullptr) book_->Close();
  if (commands_ != nullptr) commands_->Close();
  // A callback of one of these may be on the stack.
  deps_.loop.Post(
      [book = std::shared_ptr<TaskBook>(std::move(book_)),
       commands = std::shared_ptr<CommandQueue>(std::move(commands_))] {});
  engine_.reset();
  views_.clear();
  live_.clear();
  lost_.clear();
  assigning_ = 0;
}

void Scheduler::BeginDeciding() {
  phase_ = Phase::kDeciding;
  const MonotonicTime now = base::MonotonicNow();
  RefreshVms();
  SyncPolicies();
  std::vector<JobName> names;
  for (const auto& [name, job] : book_->jobs()) names.push_back(name);
  for (const auto& [name, summary] : book_->summaries()) names.push_back(name);
  for (const Resource& resource : deps_.store.List(ResourceKind::kJob)) {
    names.emplace_back(resource.key.name);
  }
  // Rows first, since the engine has to know what occupies the workers.
  for (auto& [name, job] : book_->jobs()) {
    for (Task* task : job.tasks) {
      if (!IsLive(task->record.state)) continue;
      live_[task->record.vm].insert(task->id);
      task->maybe_started = true;
      task->placed_at = now;
      task->confirmed_at = now;
    }
  }
  for (const JobName& name : names) SyncJob(name);
  for (auto& [vm, view] : views_) Reconcile(vm);
  base::Log(base::Event::kSchedulerRebuilt,
            {{"epoch", deps_.role.row().epoch.value()},
             {"jobs", book_->jobs().size()},
             {"workers", views_.size()},
             {"queued", engine_->queued()}});
}

void Scheduler::Tick() {
  const MonotonicTime now = base::MonotonicNow();
  if (phase_ == Phase::kCatchingUp && deps_.store.loaded() &&
      deps_.store.revision() >= needed_revision_ &&
      now - activated_at_ >= options_.report_wait) {
    BeginDeciding();
  }
  if (phase_ != Phase::kDeciding) return;
  if (std::exchange(resync_, false)) {
    SyncPolicies();
    for (const Resource& resource : deps_.store.List(ResourceKind::kJob)) {
      changed_jobs_.insert(JobName(resource.key.name));
    }
    for (const auto& [name, job] : book_->jobs()) changed_jobs_.insert(name);
    for (const auto& [name, job] : book_->summaries()) {
      changed_jobs_.insert(name);
    }
  }
  for (const JobName& name : std::exchange(changed_jobs_, {})) SyncJob(name);
  book_->RetryDirty();
  if (phase_ != Phase::kDeciding) return;
  DrainLost(now);
  Decide(now);
}

void Scheduler::SlowTick() {
  if (phase_ != Phase::kDeciding) return;
  RefreshVms();
  LoseExpired(base::MonotonicNow());
}

void Scheduler::Decide(MonotonicTime now) {
  // Without a fresh confirmation of the role the table may be down, and then
  // nothing is started.
  if (!deps_.role.IsFresh() || assigning_ >= options_.max_assigning) return;
  for (const Decision& decision :
       engine_->Decide(now, options_.places_per_tick)) {
    if (const auto* place = std::get_if<PlaceDecision>(&decision)) {
      CarryOut(*place, now);
    } else {
      std::visit(
          [this](const auto& other) {
            using Kind = std::decay_t<decltype(other)>;
            if constexpr (!std::is_same_v<Kind, PlaceDecision>) {
              CarryOut(other);
            }
          },
          decision);
    }
  }
}

void Scheduler::CarryOut(const PlaceDecision& decision, MonotonicTime now) {
  Task* task = book_->Find(decision.task);
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
  task->record.worker_epoch = views_[decision.vm].digest.epoch;
  task->record.reason.clear();
  task->maybe_started = task->checkpointed = false;
  task->throttle_wanted = task->throttle_percent = 0;
  task->cpu_used = Millicores();
  task->memory_used = Mebibytes();
  task->placed_at = now;
  live_[decision.vm].insert(task->id);
  ++assigning_;
  log_.Record({base::Event::kTaskPlaced, task->id.str(), decision.vm,
               decision.why, decision.cost, decision.runners_up});
  book_->Save(*task);
}

void Scheduler::CarryOut(const EvictDecision& decision) {
  Task* task = book_->Find(decision.task);
  if (task == nullptr || !IsLive(task->record.state) ||
      task->record.vm != decision.vm || task->stop != StopReason::kNone) {
    return;
  }
  log_.Record({base::Event::kTaskEvicted,
               task->id.str(),
               decision.vm,
               decision.why,
               0,
               {}});
  task->stop = StopReason::kEvict;
  Push(*task, TaskVerb::kCheckpoint);
}

void Scheduler::CarryOut(const ThrottleDecision& decision) {
  Task* task = book_->Find(decision.task);
  if (task == nullptr || !IsLive(task->record.state) ||
      task->record.vm != decision.vm) {
    return;
  }
  log_.Record({decision.throttle_percent > 0 ? base::Event::kGuardThrottled
                                             : base::Event::kGuardReleased,
               task->id.str(),
               decision.vm,
               decision.why,
               static_cast<double>(decision.throttle_percent),
               {}});
  task->throttle_wanted = decision.throttle_percent;
  Push(*task, TaskVerb::kThrottle);
}

void Scheduler::CarryOut(const CannotRunDecision& decision) {
  Task* task = book_->Find(decision.task);
  if (task == nullptr || !IsWaiting(task->record.state)) return;
  task->enqueued = false;
  log_.Record({base::Event::kTaskNotPlaced,
               task->id.str(),
               VmName(),
               decision.why,
               0,
               {}});
  task->record.state = TaskState::kCannotRun;
  task->record.reason = decision.why;
  book_->Save(*task);
}

void Scheduler::CarryOut(const QuarantineDecision& decision) {
  log_.Record({base::Event::kWorkerQuarantined,
               decision.vm.str(),
               decision.vm,
               decision.why,
               0,
               {}});
}

void Scheduler::Enqueue(Task& task) {
  task.enqueued = true;
  engine_->Enqueue(DemandOf(task), base::MonotonicNow());
}

void Scheduler::DrainLost(MonotonicTime now) {
  const double elapsed =
      std::chrono::duration<double>(now - restart_time_).count();
  restart_time_ = now;
  restart_budget_ =
      std::min(options_.restarts_per_second,
               restart_budget_ + elapsed * options_.restarts_per_second);
  while (!lost_.empty() && restart_budget_ >= 1) {
    Task* task = book_->Find(lost_.front());
    lost_.pop_front();
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
  if (const Job* job = book_->FindJob(demand.job); job != nullptr) {
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
