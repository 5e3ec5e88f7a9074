// Why tasks wait, as logs, metrics and `explain` show it.
#include "dispatch/core/waiting.hpp"

#include <doctest/doctest.h>

#include <vector>

#include "unit/dispatch/dispatcher_fixture.hpp"

namespace mangospread::dispatch::test {
namespace {

using std::chrono::seconds;

struct WaitingFixture : DispatcherFixture {
  /// What waits; counts of restored tasks begin at 50 s.
  std::vector<WaitingTasks> Waiting() {
    return dispatcher.Waiting(now, seconds(50));
  }

  /// The only entry.
  WaitingTasks Only() {
    auto waiting = Waiting();
    REQUIRE(waiting.size() == 1);
    return waiting[0];
  }
};

// Guards against a pending task whose reason or age is not known once its line
// 1804 is dropped.
TEST_CASE_FIXTURE(WaitingFixture,
                  "a task without room waits since its submission") {
  AddWorker("w1", 2'000);
  AddWorker("w2", 2'000);
  Run("first", MakeStep(2, 2'000));
  Event("w1", RunStarted{"first.0.0.0", Attempt(1)});
  Event("w2", RunStarted{"first.0.0.1", Attempt(1)});
  Add("next", {MakeStep(3, 1'000)});
  CHECK(Only().wait.reason == WaitReason::kNotTried);
  Decide();
  now += seconds(6);
  WaitingTasks waiting = Only();
  CHECK(waiting.task.submission == SubmissionId("next"));
  CHECK(waiting.wait.reason == WaitReason::kNoRoom);
  CHECK(waiting.wait.waited == seconds(6));
  CHECK(waiting.tasks == 3);
  dispatcher.AddRejections(waiting, now);
  REQUIRE(waiting.rejections);
  CHECK(waiting.rejections->Of(Rejection::kProcessors) == 2);
  CHECK(dispatcher.CountWaiting(
            now, seconds(50))[static_cast<std::size_t>(WaitReason::kNoRoom)] ==
        std::array<int, kWaitAgeCount>{0, 0, 3, 0});
}

// Guards against a placed task without a run of which nothing is logged: a
// long-running one had none for 26 s under a living leader.
TEST_CASE_FIXTURE(WaitingFixture,
                  "a start that is not confirmed waits at its worker") {
  AddWorker("w1");
  StepSpec step = MakeStep(1, 1'000);
  step.long_running = true;
  Run("lasting", step);
  now += seconds(7);
  const WaitingTasks waiting = Only();
  CHECK(waiting.wait.reason == WaitReason::kStartUnconfirmed);
  CHECK(waiting.wait.waited == seconds(7));
  CHECK(waiting.vm == VmName("w1"));
  CHECK(waiting.run == 1);
  CHECK(waiting.long_running);
  Event("w1", RunStarted{"lasting.0.0.0", Attempt(1)});
  CHECK(Waiting().empty());
}

// Guards against a wait that seems to begin anew with each start that fails.
TEST_CASE_FIXTURE(WaitingFixture, "starts that fail do not end the wait") {
  AddWorker("w1");
  Run("lasting", MakeStep(1, 1'000));
  for (int start = 0; start < 6; ++start) {
    now += seconds(1);
    Event("w1", RunNotStarted{"lasting.0.0.0",
                              Attempt(static_cast<std::uint64_t>(start) + 1),
                              CommandOutcome::kUnhealthy});
    Decide();
  }
  CHECK(Only().wait.waited == seconds(6));
}

// Guards against a task that counts as running on a worker that does not
// respond, and of which nothing is logged.
TEST_CASE_FIXTURE(WaitingFixture, "a run on a silent worker waits") {
  AddWorker("w1");
  Run("lasting", MakeStep(1, 1'000));
  Event("w1", RunStarted{"lasting.0.0.0", Attempt(1)});
  dispatcher.OnDetached(VmName("w1"), now);
  now += seconds(5);
  CHECK(Only().wait.reason == WaitReason::kWorkerSilent);
  CHECK(Only().wait.waited == seconds(5));
}

// Guards against a wait for an earlier step that is shown as a lack of workers,
// and against one that counts the time before the step could run.
TEST_CASE_FIXTURE(WaitingFixture, "a later step waits once it can run") {
  AddWorker("w1", 1'000);
  StepSpec later = MakeStep(2, 1'000);
  later.after = {0};
  Add("chain", {MakeStep(1, 1'000), later});
  Decide();
  Event("w1", RunStarted{"chain.0.0.0", Attempt(1)});
  now += seconds(8);
  CHECK(Only().wait.reason == WaitReason::kEarlierStep);
  CHECK(Only().tasks == 2);
  End("w1", 1, "chain.0.0.0", 1, RunEnd::kDone);
  now += seconds(2);
  CHECK(Only().wait.reason == WaitReason::kNotTried);
  CHECK(Only().wait.waited == seconds(2));
}

// Guards against restored tasks whose wait counts their run under a former
// leader, and against a takeover that is not named as the reason.
TEST_CASE_FIXTURE(WaitingFixture, "a restored task waits since the takeover") {
  dispatcher.Restore(MakeSubmission("old", {MakeStep(1, 1'000)}), Policy(), {},
                     seconds(1));
  CHECK(Only().wait.reason == WaitReason::kTakeover);
  CHECK(Only().wait.waited == seconds(50));
  dispatcher.Resume();
  Decide();
  CHECK(Only().wait.reason == WaitReason::kNoUsableWorker);
}

}  // namespace
}  // namespace mangospread::dispatch::test
