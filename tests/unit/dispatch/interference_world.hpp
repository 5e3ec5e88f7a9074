/// @file
/// Simulated workers on which best-effort tasks slow down latency-critical
/// ones.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {

/// A dispatcher with simulated workers. The tail latency of a latency-critical
/// task follows from its utilisation: its own load, which oscillates, and the
/// effects of the best-effort tasks beside it.
struct InterferenceWorld : DispatcherFixture {
  static constexpr MonotonicTime kTick = std::chrono::milliseconds(50);
  static constexpr MonotonicTime kReportPeriod = std::chrono::milliseconds(500);
  /// Time until a change of speed is in force.
  static constexpr MonotonicTime kSpeedDelay = std::chrono::milliseconds(100);
  static constexpr double kIdleTailMs = 10;
  static constexpr Milliseconds kTarget{45};
  static constexpr double kMeanLoad = 0.42;
  static constexpr double kLoadSwing = 0.5;  ///< Share of the mean.
  static constexpr double kLoadPeriodSeconds = 10;
  /// Relative standard deviation of a reported tail latency.
  static constexpr double kTailNoise = 0.04;

  struct Run {
    std::string vm;
    Attempt number;
    StepSpec spec;
    double phase = 0;  ///< Of a latency-critical task's load.
    int percent = 100;
    int next_percent = 100;
    MonotonicTime next_percent_at{0};
    double seconds_left = 0;  ///< At full speed.
    MonotonicTime over_target_for{0};
  };

  explicit InterferenceWorld(std::uint64_t seed) : random(seed) {}

  /// Tasks on different workers.
  StepSpec LatencyCritical(const std::string& image, int count) const {
    StepSpec step = MakeStep(count, 4'000);
    step.long_running = true;
    step.max_per_worker = 1;
    step.image = ImageName(image);
    step.latency_target = kTarget;
    return step;
  }

  StepSpec BestEffort(const std::string& image, int count, int millicores,
                      Milliseconds duration) const {
    StepSpec step = MakeStep(count, millicores);
    step.best_effort = true;
    step.checkpoints = true;
    step.image = ImageName(image);
    step.estimate = duration;
    return step;
  }

  void AddStep(const std::string& id, const StepSpec& step) {
    Add(id.c_str(), {step});
    specs[id] = step;
  }

  /// Advances the time, with decisions and reports of the workers.
  void RunFor(MonotonicTime duration) {
    for (const MonotonicTime end = now + duration; now < end; now += kTick) {
      dispatcher.Decide(now);
      Store();
      Obey();
      Move();
      if (now.count() % kReportPeriod.count() == 0) ReportLoads();
    }
  }

  [[nodiscard]] bool Done(const std::string& id) const {
    return dispatcher.State(SubmissionId(id)) == SubmissionState::kComplete;
  }

  [[nodiscard]] bool IsRunning(const std::string& task) const {
    return runs.contains(task);
  }

  /// Utilisation that a latency-critical task has of its own.
  [[nodiscard]] double Load(const Run& run) const {
    const double seconds = std::chrono::duration<double>(now).count();
    return kMeanLoad *
           (1 + kLoadSwing * std::sin(2 * M_PI * seconds / kLoadPeriodSeconds +
                                      run.phase));
  }

  /// Utilisation that the best-effort tasks beside it add.
  [[nodiscard]] double Added(const Run& run) const {
    double added = 0;
    for (const auto& [name, other] : runs) {
      if (!other.spec.best_effort || other.vm != run.vm) continue;
      added += effects.at({other.spec.image, run.spec.image}) * Cores(other);
    }
    return added;
  }

  [[nodiscard]] static double TailOf(double utilisation) {
    return kIdleTailMs / (1 - std::min(utilisation, 0.98));
  }

  std::mt19937_64 random;
  /// Utilisation per core by best-effort and latency-critical image.
  std::map<std::pair<ImageName, ImageName>, double> effects;
  std::map<std::string, StepSpec> specs;          ///< By submission.
  std::map<std::string, Run> runs;                ///< By task.
  std::map<std::string, double> seconds_left_of;  ///< By task, stored.
  std::map<std::string, std::uint64_t> ends;      ///< By worker.
  /// The longest time that a latency-critical task was above its target because
  /// of the best-effort tasks beside it.
  MonotonicTime longest_excess{0};

 private:
  static double Cores(const Run& run) {
    constexpr double kMillicoresPerCore = 1'000;
    return static_cast<double>(run.spec.cpu.value()) / kMillicoresPerCore *
           run.percent / 100;
  }

  void Store() {
    for (const SubmissionId& id : std::exchange(save_requests, {})) {
      Save(id.str().c_str());
    }
  }

  /// Carries out the commands of the dispatcher.
  void Obey() {
    for (const AgentCommand& command : std::exchange(commands, {})) {
      if (const auto* start = std::get_if<StartRun>(&command)) Start(*start);
      if (const auto* stop = std::get_if<StopRun>(&command)) {
        EndRun(stop->task, RunEnd::kStopped);
      }
      if (const auto* throttle = std::get_if<ThrottleRun>(&command)) {
        const auto it = runs.find(throttle->task);
        if (it == runs.end()) continue;
        it->second.next_percent = throttle->percent;
        it->second.next_percent_at = now + kSpeedDelay;
      }
    }
  }

  void Start(const StartRun& start) {
    Run run;
    run.vm = start.vm.str();
    run.number = start.run;
    run.spec = specs.at(start.task.substr(0, start.task.find('.')));
    run.phase = std::uniform_real_distribution<double>(0, 2 * M_PI)(random);
    run.seconds_left = std::chrono::duration<double>(run.spec.estimate).count();
    const auto stored = seconds_left_of.find(start.task);
    if (stored != seconds_left_of.end()) run.seconds_left = stored->second;
    runs[start.task] = run;
    Event(start.vm.str().c_str(), RunStarted{start.task, start.run});
  }

  void EndRun(const std::string& task, RunEnd end_kind) {
    const auto it = runs.find(task);
    if (it == runs.end()) return;
    const Run run = it->second;
    seconds_left_of[task] = run.seconds_left;
    runs.erase(it);
    End(run.vm.c_str(), ++ends[run.vm], task, run.number.value(), end_kind);
  }

  /// Advances the runs by a tick.
  void Move() {
    std::vector<std::string> done;
    for (auto& [name, run] : runs) {
      if (now >= run.next_percent_at) run.percent = run.next_percent;
      if (!run.spec.best_effort) {
        Judge(run);
        continue;
      }
      run.seconds_left -=
          std::chrono::duration<double>(kTick).count() * run.percent / 100;
      if (run.seconds_left <= 0) done.push_back(name);
    }
    for (const std::string& task : done) EndRun(task, RunEnd::kDone);
  }

  void Judge(Run& run) {
    const double load = Load(run);
    const auto target = static_cast<double>(kTarget.count());
    const bool over =
        TailOf(load) <= target && TailOf(load + Added(run)) > target;
    run.over_target_for = over ? run.over_target_for + kTick : MonotonicTime(0);
    longest_excess = std::max(longest_excess, run.over_target_for);
  }

  void ReportLoads() {
    std::map<std::string, WorkerLoad> loads;
    std::normal_distribution<double> noise(1, kTailNoise);
    for (const auto& [name, run] : runs) {
      constexpr double kMillicoresPerCore = 1'000;
      const double measured =
          run.spec.best_effort ? Cores(run) * kMillicoresPerCore
                               : TailOf(Load(run) + Added(run)) * noise(random);
      loads[run.vm].runs.push_back(
          {name, run.number, measured, run.spec.best_effort ? 50 : 100});
    }
    for (auto& [vm, load] : loads) Event(vm.c_str(), std::move(load));
  }
};

}  // namespace mangospread::dispatch::test
