// Guards against a task of a job that crashes worker after worker: the job's
// scheduler has to give it up as the scheduler of submissions does.
#include <doctest/doctest.h>

#include <limits>

#include "unit/scheduler/lifecycle_fixture.hpp"

namespace mangospread::test {
namespace {

/// After three workers have crashed under a task, it may be started two more
/// times.
constexpr int kMaxCrashes = 5;
constexpr const char* kTask = "j/0";

/// Restarts every worker that runs the task. Returns their number.
int CrashRunning(LifecycleFixture& f) {
  int crashes = 0;
  for (auto& [vm, worker] : f.workers) {
    const auto running = worker.Running();
    if (std::find(running.begin(), running.end(), kTask) == running.end()) {
      continue;
    }
    worker.Restart();
    ++crashes;
  }
  return crashes;
}

TEST_CASE("a job's task that crashes workers is given up") {
  bool before_reply = false;
  SUBCASE("before the reply to its start") { before_reply = true; }
  SUBCASE("after its start") {}
  LifecycleFixture f(3);
  int crashes = 0;
  if (before_reply) {
    f.lose_replies = std::numeric_limits<int>::max();
    f.on_command = [&] { crashes += CrashRunning(f); };
  }
  f.AddNode("a");
  f.AddJob("j", R"({"team":"t","tasks":1})");
  RunUntil(f.loop, [&] {
    if (!before_reply &&
        f.Status("j").find("\"running\":1") != std::string::npos) {
      crashes += CrashRunning(f);
    }
    return crashes > kMaxCrashes || f.Finished("j");
  });
  CHECK(crashes <= kMaxCrashes);
  CHECK(f.Finished("j"));
}

}  // namespace
}  // namespace mangospread::test
