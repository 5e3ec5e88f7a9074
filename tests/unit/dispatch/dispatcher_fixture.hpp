/// @file
/// A dispatcher whose commands and requests to store are recorded.
#pragma once

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "dispatch/core/dispatcher.hpp"

namespace mangospread::dispatch::test {

inline constexpr MonotonicTime kMillisecond = std::chrono::milliseconds(1);

struct DispatcherFixture {
  explicit DispatcherFixture(std::uint32_t first_run = 1)
      : dispatcher(MakeHooks(), first_run, MonotonicTime(0)) {}

  DispatcherHooks MakeHooks() {
    DispatcherHooks hooks;
    hooks.send = [this](AgentCommand command) {
      commands.push_back(std::move(command));
    };
    hooks.save = [this](const SubmissionId& id) {
      save_requests.push_back(id);
    };
    hooks.first_start = [](MonotonicTime) {};
    hooks.log = [](const TaskName&, const VmName&, std::string_view,
                   std::string_view) {};
    hooks.log_lost = [](const LostRun&, const VmName&) {};
    return hooks;
  }

  static QueuePolicy Policy() {
    QueuePolicy policy;
    policy.queue = QueueName("q");
    policy.service = ServiceName("s");
    policy.attempts = 3;
    policy.stretch = 2;
    policy.latency_target = Milliseconds(1'000);
    return policy;
  }

  static StepSpec MakeStep(int count, int millicores) {
    StepSpec step;
    step.count = count;
    step.cpu = Millicores(millicores);
    step.memory = Mebibytes(100);
    step.estimate = Milliseconds(1'000);
    return step;
  }

  static Submission MakeSubmission(const char* id,
                                   std::vector<StepSpec> steps) {
    Submission submission;
    submission.id = SubmissionId(id);
    submission.spec = "spec";
    submission.steps = std::move(steps);
    return submission;
  }

  /// Registers a worker and attaches it without runs.
  void AddWorker(const char* name, int millicores = 32'000) {
    WorkerInfo info;
    info.vm = VmName(name);
    info.service = ServiceName("s");
    info.capacity.cpu = Millicores(millicores);
    info.capacity.memory = Mebibytes(128'000);
    dispatcher.OnWorker(info);
    Event(name, Attached{WorkerIncarnation(1), 0, {}, {}, {}});
  }

  void Add(const char* id, std::vector<StepSpec> steps) {
    dispatcher.Add(MakeSubmission(id, std::move(steps)), Policy(), now);
  }

  void Event(const char* vm, decltype(AgentEvent::details) details) {
    dispatcher.OnEvent({VmName(vm), WorkerFence(1), std::move(details)}, now);
  }

  void End(const char* vm, std::uint64_t number, const std::string& task,
           std::uint64_t run, RunEnd end_kind) {
    Event(vm, RunEnded{WorkerIncarnation(1),
                       {EndNumber(number), task, Attempt(run), end_kind, {}}});
  }

  /// Stores the newest progress of a submission.
  void Save(const char* id) {
    dispatcher.OnSaved(SubmissionId(id),
                       dispatcher.Generation(SubmissionId(id)), now);
  }

  /// Adds a submission of one step, all of whose tasks start at once.
  void Run(const char* id, const StepSpec& step) {
    Add(id, {step});
    REQUIRE(Decide().size() == static_cast<std::size_t>(step.count));
  }

  /// Adds a worker, and a long-running task that fills it and starts at once.
  StepSpec RunLongRunning(const char* vm, const char* id, int millicores) {
    AddWorker(vm, millicores);
    StepSpec step = MakeStep(1, millicores);
    step.long_running = true;
    Run(id, step);
    return step;
  }

  /// Removes and returns the recorded commands of one type, oldest first.
  template <typename Kind>
  std::vector<Kind> TakeCommands() {
    std::vector<Kind> taken;
    std::vector<AgentCommand> remaining;
    for (AgentCommand& command : commands) {
      if (auto* matching = std::get_if<Kind>(&command)) {
        taken.push_back(std::move(*matching));
      } else {
        remaining.push_back(std::move(command));
      }
    }
    commands = std::move(remaining);
    return taken;
  }

  /// Highest end number acknowledged to a worker.
  std::uint64_t Acknowledged() {
    std::uint64_t highest = 0;
    for (const auto& command : TakeCommands<AcknowledgeEnds>()) {
      highest = std::max(highest, command.number.value());
    }
    return highest;
  }

  std::vector<StartRun> Decide() {
    dispatcher.Decide(now);
    return TakeCommands<StartRun>();
  }

  MonotonicTime now = std::chrono::seconds(100);
  std::vector<AgentCommand> commands;
  std::vector<SubmissionId> save_requests;
  Dispatcher dispatcher;
};

}  // namespace mangospread::dispatch::test
