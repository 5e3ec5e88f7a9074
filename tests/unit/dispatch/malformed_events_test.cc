// Unexpected events and numbers that reach the dispatcher.
#include <doctest/doctest.h>

#include <limits>
#include <string>
#include <vector>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

// Guards against an index that overflows: a worker that lists a task with an
// enormous occurrence, step or index ends the leader's process.
TEST_CASE_FIXTURE(DispatcherFixture, "tasks that do not exist are stopped") {
  AddWorker("w1");
  Add("a", std::vector<StepSpec>(7, MakeStep(2, 1'000)));
  const std::vector<std::string> unknown = {"a.306783379.0.0",
                                            "a.613566757.4.0",
                                            "a.2147483647.6.0",
                                            "a.0.2147483647.0",
                                            "a.0.0.2147483647",
                                            "a.1.0.0",
                                            "a.0.7.0",
                                            "a.0.0.2",
                                            "a.-1.0.0",
                                            "a.0.-1.0",
                                            "a.0.0.-1",
                                            "a.0.0",
                                            "a",
                                            "",
                                            "....",
                                            "a.0.0.0x",
                                            "a.99999999999.0.0"};
  std::vector<RunningRun> running;
  running.reserve(unknown.size());
  for (const std::string& task : unknown) {
    running.push_back({task, Attempt(1), "", 0, 0});
  }
  Event("w1", Attached{WorkerIncarnation(1), 0, {}, running, {}});
  CHECK(TakeCommands<StopRun>().size() == unknown.size());
  std::uint64_t number = 0;
  for (const std::string& task : unknown) {
    CAPTURE(task);
    End("w1", ++number, task, 1, RunEnd::kDone);
    Event("w1", RunStarted{task, Attempt(1)});
    Event("w1", RunStalled{task, Attempt(1)});
    Event("w1", RunNotStarted{task, Attempt(1), CommandOutcome::kInvalid});
    Event("w1", WorkerLoad{{{task, Attempt(1), 5, 100}}, true});
    dispatcher.AddUnconfirmedRuns(VmName("w1"), {{task, Attempt(1), true}},
                                  now);
  }
  CHECK(Acknowledged() == unknown.size());
  Event("w1", Attached{WorkerIncarnation(1), 0, {}, {}, {}});
  CHECK(Decide().size() == 14);
}

// Guards against an objective that overflows and so lies in the past, where it
// would put ordinary work behind an expired submission or before it.
TEST_CASE_FIXTURE(DispatcherFixture,
                  "objectives stay in the future for extreme numbers") {
  AddWorker("w1", 1'000);
  StepSpec step = MakeStep(1, 1'000);
  step.estimate = Milliseconds(std::numeric_limits<std::int64_t>::max() / 4);
  QueuePolicy policy = Policy();
  for (const double stretch : {1e300, std::numeric_limits<double>::quiet_NaN(),
                               std::numeric_limits<double>::infinity()}) {
    CAPTURE(stretch);
    policy.stretch = stretch;
    policy.latency_target = Milliseconds::max();
    const Job job(MakeSubmission("x", {step}), policy, now, MonotonicTime(0));
    CHECK(job.objective() > now);
    CHECK(job.last_useful() > job.objective());
    CHECK_FALSE(UrgencyOf(job, job.steps()[0], now, false).expired);
  }
}

}  // namespace
}  // namespace mangospread::dispatch::test
