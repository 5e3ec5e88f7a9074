// Leaders and workers of a simulated service.
#include "unit/dispatch/starved_world.hpp"

#include <algorithm>

namespace mangospread::dispatch::test {
namespace {

constexpr MonotonicTime kDuration = std::chrono::seconds(40);
constexpr MonotonicTime kLease = std::chrono::milliseconds(5'300);
constexpr MonotonicTime kInterferenceStored = std::chrono::seconds(2);
/// Run numbers that a leader may use.
constexpr std::uint32_t kRunsOfLeader = 1'000;

}  // namespace

StarvedWorld::StarvedWorld(std::uint64_t seed) : random_(seed) {
  DrawInterference();
  DrawServices();
  DrawArrivals();
  DrawFaults();
}

void StarvedWorld::Run() {
  for (const MonotonicTime end = now + kDuration; now < end; now += kTick) {
    while (!arrivals_.empty() && arrivals_.begin()->first <= now) {
      if (!leads_ || !resumed_) break;
      Accept(arrivals_.begin()->second);
      arrivals_.erase(arrivals_.begin());
    }
    MoveWorkers();
    MoveTakeover();
    MoveRuns();
    while (!in_flight_.empty() && in_flight_.front().first <= now) {
      const AgentCommand command = std::move(in_flight_.front().second);
      in_flight_.pop_front();
      CarryOut(command);
    }
    if (leads_) {
      ReportLoads();
      dispatcher.Decide(now);
      for (AgentCommand& command : std::exchange(commands, {})) {
        in_flight_.emplace_back(now + command_delay_, std::move(command));
      }
      Store();
      if (now.count() % kInterferenceStored.count() == 0) {
        stored_interference_ = dispatcher.interference().Export();
      }
    }
    CheckPromise();
  }
}

int StarvedWorld::done() const {
  return static_cast<int>(std::count_if(
      accepted_.begin(), accepted_.end(),
      [](const auto& entry) { return IsFinal(entry.second.stored.state); }));
}

void StarvedWorld::Accept(const Accepted& accepted) {
  const std::string id = accepted.submission.id.str();
  Accepted& entry = accepted_.emplace(id, accepted).first->second;
  entry.at = now;
  dispatcher.Add(entry.submission, entry.policy, now);
}

void StarvedWorld::Store() {
  for (const SubmissionId& id : std::exchange(save_requests, {})) {
    saves_.push_back({now + store_delay_, id, dispatcher.Generation(id),
                      dispatcher.Progress(id)});
  }
  while (!saves_.empty() && saves_.front().at <= now) {
    const Save save = std::move(saves_.front());
    saves_.pop_front();
    accepted_.at(save.id.str()).stored = save.progress;
    dispatcher.OnSaved(save.id, save.generation, now);
  }
}

// Workers.

void StarvedWorld::MoveWorkers() {
  while (!worker_losses_.empty() && worker_losses_.begin()->first <= now) {
    LoseWorker(worker_losses_.begin()->second);
    worker_losses_.erase(worker_losses_.begin());
  }
  for (auto& [name, worker] : workers_) {
    if (worker.lease_until.count() > 0 && now >= worker.lease_until) {
      RemoveExpired(worker);
    }
    if (!leads_ || worker.attached || worker.attaches_at.count() == 0 ||
        now < worker.attaches_at) {
      continue;
    }
    if (!worker.up) {
      worker.up = true;
      ++worker.incarnation;
      worker.last_end = 0;
      dispatcher.OnWorker(worker.info);
    }
    Attach(worker);
  }
}

void StarvedWorld::LoseWorker(bool after_start) {
  std::vector<Worker*> candidates;
  std::vector<Worker*> just_started;
  for (auto& [name, worker] : workers_) {
    if (!worker.attached) continue;
    candidates.push_back(&worker);
    const bool started = std::any_of(
        worker.runs.begin(), worker.runs.end(), [this](const auto& run) {
          return now - run.second.started < std::chrono::milliseconds(300);
        });
    if (started) just_started.push_back(&worker);
  }
  if (after_start && !just_started.empty()) candidates = just_started;
  if (candidates.empty()) return;
  ++losses_;
  Worker& worker = *candidates[static_cast<std::size_t>(
      Draw(0, static_cast<int>(candidates.size()) - 1))];
  if (after_start || Chance(0.5)) return Crash(worker);
  worker.reachable = false;
  worker.attached = false;
  worker.lease_until = now + kLease;
  worker.attaches_at = Chance(0.5) ? now + kTick * Draw(10, 80) : kLease * 100;
  if (leads_) Event(worker.info.vm.str().c_str(), WorkerUnreachable{});
}

void StarvedWorld::Crash(Worker& worker) {
  worker.up = false;
  worker.attached = false;
  worker.runs.clear();
  worker.ended.clear();
  worker.attaches_at = now + kTick * Draw(20, 120);
  if (leads_) Event(worker.info.vm.str().c_str(), WorkerEnded{});
  Forget(worker);
  worker.starts_seen = 0;
}

void StarvedWorld::Forget(const Worker& worker) {
  std::erase_if(in_flight_, [&](const auto& sent) {
    return std::visit(
        [&](const auto& command) {
          if constexpr (requires { command.vm; }) {
            return command.vm == worker.info.vm;
          } else {
            return false;
          }
        },
        sent.second);
  });
}

void StarvedWorld::RemoveExpired(Worker& worker) {
  worker.lease_until = MonotonicTime(0);
  const auto runs = worker.runs;
  for (const auto& [task, run] : runs) EndRun(worker, task, RunEnd::kExpired);
  if (!leads_) return;
  // The process goes on, and a later attachment lists the ends.
  dispatcher.OnWorkerRemoved(worker.info.vm, WorkerRemoval::kLeaseExpired, now);
  Forget(worker);
  worker.starts_seen = 0;
  worker.attaches_at = now + kTick * Draw(20, 120);
}

void StarvedWorld::Attach(Worker& worker) {
  worker.attached = true;
  worker.reachable = true;
  worker.lease_until = MonotonicTime(0);
  worker.attaches_at = MonotonicTime(0);
  dispatcher.OnWorker(worker.info);
  Attached attached;
  attached.incarnation = WorkerIncarnation(worker.incarnation);
  attached.starts_seen = worker.starts_seen;
  for (const auto& [task, run] : worker.runs) {
    attached.running.push_back({task, run.number, {}, 50, 0});
  }
  attached.ended = worker.ended;
  for (const EndedRun& end : worker.ended) {
    if (end.end_kind == RunEnd::kDone) NoteDone(end.task);
  }
  Event(worker.info.vm.str().c_str(), std::move(attached));
}

// Leaders.

void StarvedWorld::EndLeader() {
  leads_ = false;
  resumed_ = false;
  ++takeovers_;
  next_leader_at_ = now + kTick * Draw(4, 30);
  for (auto& [name, worker] : workers_) {
    worker.known_runs = dispatcher.Runs(worker.info.vm);
    worker.attached = false;
    worker.starts_seen = 0;
  }
  in_flight_.clear();
  saves_.clear();
  commands.clear();
  save_requests.clear();
}

void StarvedWorld::StartLeader() {
  leads_ = true;
  first_run_ += kRunsOfLeader;
  dispatcher = Dispatcher(MakeHooks(), first_run_, MonotonicTime(0));
  dispatcher.ImportInterference(stored_interference_);
  for (auto& [id, accepted] : accepted_) {
    if (IsFinal(accepted.stored.state)) continue;
    RestoreDone(accepted);
    dispatcher.Restore(accepted.submission, accepted.policy, accepted.stored,
                       accepted.at);
  }
  for (auto& [name, worker] : workers_) {
    if (!worker.up) {
      // Its end is known, so its runs are lost.
      dispatcher.OnWorker(worker.info);
      dispatcher.AddUnconfirmedRuns(worker.info.vm, worker.known_runs, now);
      dispatcher.OnWorkerRemoved(worker.info.vm, WorkerRemoval::kProcessEnded,
                                 now);
      continue;
    }
    dispatcher.OnWorker(worker.info);
    if (worker.reachable) {
      dispatcher.SetKnownRuns(worker.info.vm, worker.known_runs);
      worker.attaches_at = now + kTick * Draw(1, 12);
      continue;
    }
    dispatcher.AddUnconfirmedRuns(worker.info.vm, worker.known_runs, now);
    if (worker.lease_until.count() == 0) RemoveExpired(worker);
  }
}

void StarvedWorld::RestoreDone(Accepted& accepted) const {
  accepted.done.clear();
  std::vector<std::string> tasks;
  const auto& steps = accepted.submission.steps;
  for (std::size_t s = 0; s < steps.size(); ++s) {
    for (int t = 0; t < steps[s].count; ++t) {
      tasks.push_back(ToString(
          TaskName{accepted.submission.id, 0, {static_cast<int>(s), t}}));
    }
  }
  for (const DoneTasks& range : accepted.stored.done) {
    for (int i = range.position; i < range.position + range.count; ++i) {
      accepted.done.insert(tasks.at(static_cast<std::size_t>(i)));
    }
  }
  for (const TaskProgress& task : accepted.stored.tasks) {
    if (!task.done) continue;
    accepted.done.insert(
        ToString(TaskName{accepted.submission.id, 0, task.task}));
  }
}

void StarvedWorld::MoveTakeover() {
  if (leads_ && resumed_ && !leader_ends_.empty() &&
      *leader_ends_.begin() <= now) {
    leader_ends_.erase(leader_ends_.begin());
    EndLeader();
  }
  if (!leads_) {
    if (now < next_leader_at_) return;
    StartLeader();
  }
  if (resumed_) return;
  const bool all_reported =
      std::all_of(workers_.begin(), workers_.end(), [](const auto& entry) {
        const Worker& worker = entry.second;
        return worker.attached || !worker.up || !worker.reachable;
      });
  if (!all_reported) return;
  dispatcher.Resume();
  resumed_ = true;
  resumed_at_ = now;
}

}  // namespace mangospread::dispatch::test
