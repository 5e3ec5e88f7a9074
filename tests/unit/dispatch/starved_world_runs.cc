// Runs on the workers of a simulated service.
#include <algorithm>
#include <cmath>

#include "unit/dispatch/interference_world.hpp"
#include "unit/dispatch/starved_world.hpp"

namespace mangospread::dispatch::test {
namespace {

constexpr double kMillicoresPerCore = 1'000;

double CoresInUse(const StepSpec& spec, int percent) {
  return static_cast<double>(spec.cpu.value()) / kMillicoresPerCore * percent /
         100;
}

/// Tasks that write checkpoints continue there.
double SecondsLeft(const std::map<std::string, double>& stored,
                   const std::string& task, const StepSpec& spec) {
  const auto found = stored.find(task);
  if (spec.checkpoints && found != stored.end()) return found->second;
  return std::chrono::duration<double>(spec.estimate).count();
}

}  // namespace

void StarvedWorld::CarryOut(const AgentCommand& command) {
  const auto run_of = [this](const auto& of) -> WorkerRun* {
    Worker& worker = workers_.at(of.vm.str());
    if (!worker.reachable || !worker.up) return nullptr;
    const auto it = worker.runs.find(of.task);
    return it == worker.runs.end() || it->second.number != of.run ? nullptr
                                                                  : &it->second;
  };
  if (const auto* start = std::get_if<StartRun>(&command)) {
    StartTask(workers_.at(start->vm.str()), *start);
  }
  if (const auto* stop = std::get_if<StopRun>(&command)) {
    if (run_of(*stop) == nullptr) return;
    EndRun(workers_.at(stop->vm.str()), stop->task, RunEnd::kStopped);
  }
  if (const auto* throttle = std::get_if<ThrottleRun>(&command)) {
    WorkerRun* run = run_of(*throttle);
    if (run != nullptr) run->percent = throttle->percent;
  }
  if (const auto* describe = std::get_if<DescribeRun>(&command)) {
    WorkerRun* run = run_of(*describe);
    if (run != nullptr) run->percent = describe->percent;
  }
  if (const auto* acknowledged = std::get_if<AcknowledgeEnds>(&command)) {
    Worker& worker = workers_.at(acknowledged->vm.str());
    if (acknowledged->incarnation.value() != worker.incarnation) return;
    std::erase_if(worker.ended, [&](const EndedRun& end) {
      return end.number.value() <= acknowledged->number.value();
    });
  }
}

void StarvedWorld::StartTask(Worker& worker, const StartRun& start) {
  worker.starts_seen = start.number;
  if (!worker.reachable || !worker.up) return;
  const TaskName name = ParseTaskName(start.task).value();
  Accepted& accepted = accepted_.at(name.submission.str());
  WorkerRun run;
  run.number = start.run;
  run.spec =
      &accepted.submission.steps[static_cast<std::size_t>(name.task.step)];
  run.phase = Uniform(0, 2 * M_PI);
  run.started = now;
  run.seconds_left = SecondsLeft(accepted.seconds_left, start.task, *run.spec);
  worker.runs[start.task] = run;
  Event(start.vm.str().c_str(), RunStarted{start.task, start.run});
}

void StarvedWorld::EndRun(Worker& worker, const std::string& task,
                          RunEnd end_kind) {
  const auto it = worker.runs.find(task);
  if (it == worker.runs.end()) return;
  const WorkerRun run = it->second;
  worker.runs.erase(it);
  Accepted& accepted =
      accepted_.at(ParseTaskName(task).value().submission.str());
  accepted.seconds_left[task] = run.seconds_left;
  const EndedRun end{EndNumber(++worker.last_end), task, run.number, end_kind,
                     run.spec->checkpoints ? "c" : ""};
  worker.ended.push_back(end);
  if (!leads_ || !worker.attached) return;
  if (end_kind == RunEnd::kDone) NoteDone(task);
  Event(worker.info.vm.str().c_str(),
        RunEnded{WorkerIncarnation(worker.incarnation), end});
}

void StarvedWorld::MoveRuns() {
  std::vector<std::pair<Worker*, std::string>> done;
  for (auto& [name, worker] : workers_) {
    for (auto& [task, run] : worker.runs) {
      if (run.spec->long_running) {
        Judge(worker, run);
        continue;
      }
      run.seconds_left -=
          std::chrono::duration<double>(kTick).count() * run.percent / 100;
      if (run.seconds_left <= 0) done.emplace_back(&worker, task);
    }
  }
  for (const auto& [worker, task] : done) {
    const auto it = worker->runs.find(task);
    if (it == worker->runs.end()) continue;
    const bool gang = it->second.spec->gang;
    EndRun(*worker, task, RunEnd::kDone);
    if (gang) EndGang(ParseTaskName(task).value());
  }
}

void StarvedWorld::NoteDone(const std::string& task) {
  TaskName name = ParseTaskName(task).value();
  Accepted& accepted = accepted_.at(name.submission.str());
  accepted.done.insert(task);
  const StepSpec& spec =
      accepted.submission.steps[static_cast<std::size_t>(name.task.step)];
  // The members of a gang end together.
  for (int t = 0; spec.gang && t < spec.count; ++t) {
    name.task.index = t;
    accepted.done.insert(ToString(name));
  }
}

void StarvedWorld::EndGang(const TaskName& member) {
  const Accepted& accepted = accepted_.at(member.submission.str());
  const auto& steps = accepted.submission.steps;
  for (int t = 0; t < steps[static_cast<std::size_t>(member.task.step)].count;
       ++t) {
    TaskName other = member;
    other.task.index = t;
    for (auto& [name, worker] : workers_) {
      EndRun(worker, ToString(other), RunEnd::kDone);
    }
  }
}

double StarvedWorld::Load(const WorkerRun& run) const {
  const double seconds = std::chrono::duration<double>(now).count();
  return mean_load_ *
         (1 + InterferenceWorld::kLoadSwing *
                  std::sin(2 * M_PI * seconds /
                               InterferenceWorld::kLoadPeriodSeconds +
                           run.phase));
}

double StarvedWorld::Added(const Worker& worker, const WorkerRun& run) const {
  double added = 0;
  for (const auto& [task, other] : worker.runs) {
    if (!other.spec->best_effort) continue;
    added += effects_.at({other.spec->image, run.spec->image}) *
             CoresInUse(*other.spec, other.percent);
  }
  return added;
}

void StarvedWorld::Judge(const Worker& worker, WorkerRun& run) {
  const double load = Load(run);
  const auto target = static_cast<double>(run.spec->latency_target.count());
  const bool over =
      InterferenceWorld::TailOf(load) <= target &&
      InterferenceWorld::TailOf(load + Added(worker, run)) > target;
  // HARM asks for a leader in touch with the worker.
  const bool counts = over && leads_ && resumed_ && worker.attached;
  run.over_target_for = counts ? run.over_target_for + kTick : MonotonicTime(0);
  longest_excess_ = std::max(longest_excess_, run.over_target_for);
}

void StarvedWorld::ReportLoads() {
  if (now.count() % InterferenceWorld::kReportPeriod.count() != 0) return;
  std::normal_distribution<double> noise(1, InterferenceWorld::kTailNoise);
  for (auto& [name, worker] : workers_) {
    if (!worker.attached) continue;
    WorkerLoad load;
    for (const auto& [task, run] : worker.runs) {
      const double measured =
          run.spec->long_running
              ? InterferenceWorld::TailOf(Load(run) + Added(worker, run)) *
                    noise(random_)
              : CoresInUse(*run.spec, run.percent) * kMillicoresPerCore;
      load.runs.push_back(
          {task, run.number, measured, run.spec->long_running ? 100 : 50});
    }
    Event(name.c_str(), std::move(load));
  }
}

}  // namespace mangospread::dispatch::test
