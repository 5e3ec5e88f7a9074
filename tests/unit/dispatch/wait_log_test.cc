// Which waiting tasks get a log line, and when.
#include "dispatch/leader/wait_log.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

namespace mangospread::dispatch {
namespace {

using std::chrono::seconds;

WaitingTasks MakeWaiting(const std::string& id, MonotonicTime waited,
                         WaitReason reason = WaitReason::kNoRoom) {
  WaitingTasks waiting;
  waiting.task.submission = SubmissionId(id);
  waiting.tasks = 1;
  waiting.wait = {reason, waited};
  return waiting;
}

// Guards against a task that waits for long without a line, or with one at
// each tick.
TEST_CASE("a waiting task has a line after 5 s and every 10 s after") {
  WaitLog log;
  std::vector<int> lines;
  for (int second = 1; second <= 30; ++second) {
    const auto taken =
        log.Take({MakeWaiting("a", seconds(second))}, seconds(100 + second));
    if (!taken.due.empty()) lines.push_back(second);
  }
  CHECK(lines == std::vector<int>{5, 15, 25});
}

// Guards against lines without bound in a backlog, and against some of its
// tasks that never get one, however many wait.
TEST_CASE("in a backlog lines are bounded and every task gets one in turn") {
  WaitLog log;
  std::set<std::string> logged;
  for (int second = 0; second < 20; ++second) {
    std::vector<WaitingTasks> waiting;
    waiting.reserve(90);
    for (int i = 0; i < 90; ++i) {
      waiting.push_back(
          MakeWaiting("s" + std::to_string(i), seconds(10 + second)));
    }
    const auto taken = log.Take(std::move(waiting), seconds(100 + second));
    CHECK(taken.due.size() <= 5);
    for (const WaitingTasks& line : taken.due) {
      logged.insert(line.task.submission.str());
    }
    if (second == 0) CHECK(taken.left_out == 85);
  }
  CHECK(logged.size() == 90);
}

// Guards against a long-running task without a run whose line is left out for
// those of batch tasks, which wait in their hundreds.
TEST_CASE("long-running tasks go first and tasks that are not due last") {
  WaitLog log;
  std::vector<WaitingTasks> waiting;
  waiting.reserve(8);
  for (int i = 0; i < 3; ++i) {
    waiting.push_back(MakeWaiting("due" + std::to_string(i), seconds(900),
                                  WaitReason::kDueLater));
  }
  for (int i = 0; i < 4; ++i) {
    waiting.push_back(MakeWaiting("b" + std::to_string(i), seconds(60)));
  }
  waiting.push_back(MakeWaiting("lasting", seconds(6)));
  waiting.back().long_running = true;
  const auto taken = log.Take(std::move(waiting), seconds(100));
  REQUIRE(taken.due.size() == 5);
  CHECK(taken.due[0].task.submission == SubmissionId("lasting"));
  for (const WaitingTasks& line : taken.due) {
    CHECK(line.wait.reason == WaitReason::kNoRoom);
  }
}

}  // namespace
}  // namespace mangospread::dispatch
