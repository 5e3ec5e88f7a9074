// Guards against a task that crashes worker after worker.
#include <doctest/doctest.h>

#include <algorithm>

#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 200;
constexpr int kCrashing = 1;
constexpr int kInnocent = 2;
constexpr int kInnocentTasks = 24;
constexpr int kInnocentTaskMs = 600;
/// After three workers have crashed under a task, it may be started two more
/// times.
constexpr int kMaxCrashes = 5;

int MaxCrashes(ManagedCluster& site) {
  int highest = 0;
  for (const auto& [task, crashes] : site.GetCounters().crashes) {
    highest = std::max(highest, crashes);
  }
  return highest;
}

/// Checks that the crashing submission fails within the allowed number of
/// crashes and that the tasks beside it complete.
void CheckGivenUp(ManagedCluster& site) {
  WaitUntil("the crashing submission has failed", kWaitTimeout,
            [&] { return site.GetState(0, kCrashing) == "failed"; });
  WaitUntil("the submission beside it is complete", kWaitTimeout,
            [&] { return site.GetState(0, kInnocent) == "complete"; });
  const RunCounters counts = site.GetCounters();
  CHECK(MaxCrashes(site) >= 1);
  CHECK(MaxCrashes(site) <= kMaxCrashes);
  CheckNoTaskRanTwice(counts);
  CHECK(counts.overloads == 0);
}

TEST_CASE("a task that crashes workers is given up") {
  for (const char* spec : {"crash", "crash-new-id"}) {
    CAPTURE(std::string(spec));
    ManagedCluster site(3, 6);
    site.WaitUntilReady();
    CHECK(site.Submit(0, kInnocent, kInnocentTasks, kInnocentTaskMs).status ==
          kOk);
    CHECK(site.SubmitCrashing(1, kCrashing, spec).status == kOk);
    CheckGivenUp(site);
  }
}

// Each node is killed in turn after a crash, so the leader is among them.
TEST_CASE("crashes are counted across killed nodes") {
  ManagedCluster site(3, 6);
  site.WaitUntilReady();
  CHECK(site.Submit(0, kInnocent, kInnocentTasks, kInnocentTaskMs).status ==
        kOk);
  CHECK(site.SubmitCrashing(1, kCrashing, "crash").status == kOk);
  for (std::size_t killed = 0; killed < site.nodes(); ++killed) {
    const int before = MaxCrashes(site);
    WaitUntil("a worker has crashed or the submission has failed", kWaitTimeout,
              [&] {
                return MaxCrashes(site) > before ||
                       site.GetState(killed, kCrashing) == "failed";
              });
    site.node(killed).Kill();
    site.RestartNode(killed);
    site.WaitUntilReady();
  }
  CheckGivenUp(site);
}

}  // namespace
}  // namespace mangospread::testing
