#include "integration/harness/checks/restart.hpp"

#include <doctest/doctest.h>

#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 200;
constexpr int kSubmission = 1;

}  // namespace

std::size_t StartLongRunning(ManagedCluster& site, int tasks) {
  site.WaitUntilReady();
  const std::size_t leader = site.AwaitLeader();
  site.AwaitSpreadWorkers(leader);
  REQUIRE(site.SubmitLongRunning(0, kSubmission, tasks).status == kOk);
  WaitUntil("the tasks run", kWaitTimeout,
            [&] { return site.GetCounters().running == tasks; });
  return leader;
}

void CheckRestart(ManagedCluster& site, int tasks, MonotonicTime from) {
  WaitUntil("the tasks run again", kWaitTimeout,
            [&] { return site.GetCounters().running == tasks; });
  const auto waited =
      std::chrono::duration_cast<Milliseconds>(base::MonotonicNow() - from);
  CAPTURE(waited.count());
  CHECK(waited < kMaxRestart);
  CHECK(site.GetCounters().overlaps == 0);
}

}  // namespace mangospread::testing
