// The promise to accepted submissions, checked by what the workers run and not
// by what the dispatcher knows.
#include <algorithm>
#include <sstream>

#include "unit/dispatch/starved_world.hpp"

namespace mangospread::dispatch::test {
namespace {

constexpr double kHalf = 0.5;
/// A task "fits twice" with places for two of them; a gang is placed as one.
constexpr int kTwice = 2;

std::string StepPrefix(const std::string& id, std::size_t step) {
  return id + ".0." + std::to_string(step) + ".";
}

std::string TaskOf(const std::string& id, std::size_t step, int index) {
  return StepPrefix(id, step) + std::to_string(index);
}

}  // namespace

bool StarvedWorld::Runs(const std::string& id) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& worker) {
    return std::any_of(worker.second.runs.begin(), worker.second.runs.end(),
                       [&](const auto& run) {
                         return run.first.starts_with(id + ".") &&
                                run.second.percent > 0;
                       });
  });
}

// A task is not ready while it may run on a worker that does not respond: a
// second run would break TWICE, which holds for all machines.
std::set<std::string> StarvedWorld::HeldTasks() const {
  std::set<std::string> held;
  for (const WorkerState& worker : dispatcher.registry().workers()) {
    if (worker.slot_free || workers_.at(worker.info.vm.str()).attached) {
      continue;
    }
    for (const auto& [name, placed] : worker.runs) held.insert(ToString(name));
  }
  return held;
}

double StarvedWorld::ReservedShare(const ServiceName& service) const {
  double capacity = 0;
  double reserved = 0;
  for (const auto& [name, worker] : workers_) {
    if (worker.info.service != service || !worker.attached) continue;
    capacity += static_cast<double>(worker.info.capacity.cpu.value());
    for (const auto& [task, run] : worker.runs) {
      // Best-effort tasks receive what the others leave.
      if (run.spec->best_effort) continue;
      reserved += static_cast<double>(run.spec->cpu.value());
    }
  }
  return capacity > 0 ? reserved / capacity : 1;
}

int StarvedWorld::Places(const ServiceName& service, const StepSpec& spec,
                         const std::string& step_prefix) const {
  int places = 0;
  for (const auto& [name, worker] : workers_) {
    const WorkerInfo& info = worker.info;
    if (info.service != service || !worker.attached) continue;
    if (!spec.required_label.empty() &&
        std::find(info.labels.begin(), info.labels.end(),
                  spec.required_label) == info.labels.end()) {
      continue;
    }
    auto cpu = info.capacity.cpu.value();
    auto memory = info.capacity.memory.value();
    auto accelerators = info.capacity.accelerators.value();
    int of_step = 0;
    for (const auto& [task, run] : worker.runs) {
      cpu -= run.spec->cpu.value();
      memory -= run.spec->memory.value();
      accelerators -= run.spec->accelerators.value();
      of_step += task.starts_with(step_prefix) ? 1 : 0;
    }
    const auto fits = [&] {
      return cpu >= spec.cpu.value() && memory >= spec.memory.value() &&
             accelerators >= spec.accelerators.value() &&
             (spec.max_per_worker == 0 || of_step < spec.max_per_worker);
    };
    for (; fits(); ++places, ++of_step) {
      if (places >= kTwice * spec.count) return places;
      cpu -= spec.cpu.value();
      memory -= spec.memory.value();
      accelerators -= spec.accelerators.value();
    }
  }
  return places;
}

bool StarvedWorld::HasReadyTaskThatFitsTwice(
    const Accepted& accepted, const std::set<std::string>& held) const {
  const std::string& id = accepted.submission.id.str();
  const auto& steps = accepted.submission.steps;
  const auto is_done = [&](std::size_t step, int index) {
    return accepted.done.contains(TaskOf(id, step, index));
  };
  for (std::size_t s = 0; s < steps.size(); ++s) {
    const StepSpec& spec = steps[s];
    const bool turn_has_come =
        std::all_of(spec.after.begin(), spec.after.end(), [&](int before) {
          const auto earlier = static_cast<std::size_t>(before);
          for (int t = 0; t < steps[earlier].count; ++t) {
            if (!is_done(earlier, t)) return false;
          }
          return true;
        });
    if (!turn_has_come) continue;
    int ready = 0;
    int held_tasks = 0;
    for (int t = 0; t < spec.count; ++t) {
      if (is_done(s, t)) continue;
      held.contains(TaskOf(id, s, t)) ? ++held_tasks : ++ready;
    }
    if (ready == 0 || (spec.gang && held_tasks > 0)) continue;
    const int needed = kTwice * (spec.gang ? spec.count : 1);
    const int places = Places(accepted.policy.service, spec, StepPrefix(id, s));
    if (places >= needed) return true;
  }
  return false;
}

void StarvedWorld::CheckPromise() {
  std::set<std::string> held;
  if (leads_ && resumed_) held = HeldTasks();
  std::map<ServiceName, double> reserved;
  for (const std::string& service : services_) {
    reserved[ServiceName(service)] = ReservedShare(ServiceName(service));
  }
  for (auto& [id, accepted] : accepted_) {
    const bool owed = leads_ && resumed_ && !IsFinal(accepted.stored.state) &&
                      reserved.at(accepted.policy.service) < kHalf &&
                      !Runs(id) && HasReadyTaskThatFitsTwice(accepted, held);
    if (!owed) {
      accepted.starved_for = MonotonicTime(0);
      continue;
    }
    owed_.insert(id);
    const bool was_starved = accepted.starved_for > kMaxStarved;
    accepted.starved_for += kTick;
    if (was_starved || accepted.starved_for <= kMaxStarved) continue;
    const bool seen =
        std::any_of(starved_.begin(), starved_.end(),
                    [&id = id](const auto& other) { return other.id == id; });
    if (!seen) starved_.push_back(Describe(accepted));
  }
}

StarvedSubmission StarvedWorld::Describe(const Accepted& accepted) const {
  const SubmissionId& id = accepted.submission.id;
  StarvedSubmission starved;
  starved.id = id.str();
  starved.at = now;
  std::set<std::string> causes;
  std::ostringstream state;
  state << "accepted " << Milli(now - accepted.at) << " ms before, resumed "
        << Milli(now - resumed_at_) << " ms before; reserved "
        << ReservedShare(accepted.policy.service) << ";";
  for (WaitingTasks waiting : dispatcher.Waiting(id, now, resumed_at_)) {
    const StepSpec& spec =
        accepted.submission.steps[static_cast<std::size_t>(waiting.index.step)];
    dispatcher.AddRejections(waiting, now);
    state << "\n  " << ToString(waiting.task) << " "
          << WaitReasonName(waiting.wait.reason) << " x" << waiting.tasks
          << " for " << Milli(waiting.wait.waited) << " ms, cpu "
          << spec.cpu.value() << " memory " << spec.memory.value() << " image "
          << spec.image.str() << (spec.best_effort ? " best effort" : "")
          << (spec.gang ? " gang" : "") << " run " << waiting.run;
    if (waiting.rejections) {
      for (std::size_t r = 0; r < waiting.rejections->workers.size(); ++r) {
        const int count = waiting.rejections->workers[r];
        if (count == 0) continue;
        state << " " << RejectionName(static_cast<Rejection>(r)) << ":"
              << count;
      }
    }
    if (waiting.wait.reason == WaitReason::kEarlierStep) continue;
    std::string cause;
    if (spec.best_effort) cause += "best_effort ";
    if (spec.gang) cause += "gang ";
    causes.insert(cause + std::string(WaitReasonName(waiting.wait.reason)));
  }
  for (const auto& [name, worker] : workers_) {
    if (worker.info.service != accepted.policy.service) continue;
    state << "\n  " << name << (worker.attached ? "" : " not attached")
          << " cpu " << worker.info.capacity.cpu.value() << " memory "
          << worker.info.capacity.memory.value() << ":";
    for (const auto& [task, run] : worker.runs) {
      state << " " << task << "(" << run.spec->cpu.value() << ", "
            << run.percent << "%)";
    }
  }
  for (const std::string& cause : causes) {
    starved.cause += (starved.cause.empty() ? "" : ", ") + cause;
  }
  starved.state = state.str();
  return starved;
}

}  // namespace mangospread::dispatch::test
