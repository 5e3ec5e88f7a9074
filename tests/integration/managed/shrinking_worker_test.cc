// Guards against starts that bring a worker over its capacity after that has
// shrunk (LIMIT). The workers do not refuse such starts; they record them.
#include <doctest/doctest.h>

#include <functional>

#include "integration/harness/managed.hpp"
#include "integration/harness/wait.hpp"

namespace mangospread::testing {
namespace {

constexpr int kOk = 200;
constexpr std::size_t kWorkers = 4;
constexpr int kLong = 1;
constexpr int kShort = 2;
/// Seven tasks on each worker, longer than the nodes may take to observe a
/// change of the capacity.
constexpr int kLongTasks = 28;
constexpr int kLongTaskMs = 8'000;
constexpr int kShortTasks = 40;
constexpr int kShortTaskMs = 100;
constexpr int kShrunkRuns = 4;

/// Fills most of the capacity, shrinks the workers below what they run, and
/// then submits more.
/// @param disturb called after the change.
void Shrink(ManagedCluster& site, const std::function<void()>& disturb) {
  site.WaitUntilReady();
  CHECK(site.Submit(0, kLong, kLongTasks, kLongTaskMs).status == kOk);
  WaitUntil("the tasks run", kWaitTimeout,
            [&] { return site.GetCounters().starts == kLongTasks; });
  for (std::size_t i = 0; i < kWorkers; ++i) site.SetCapacity(i, kShrunkRuns);
  disturb();
  WaitUntil("the nodes must know the capacity", kWaitTimeout,
            [&] { return site.GetCounters().capacities_known; });
  CHECK(site.Submit(0, kShort, kShortTasks, kShortTaskMs).status == kOk);
  for (const int submission : {kLong, kShort}) {
    WaitUntil("the submission is complete", kWaitTimeout,
              [&] { return site.GetState(0, submission) == "complete"; });
  }
  const RunCounters counts = site.GetCounters();
  CHECK(counts.overloads == 0);
  CheckNoTaskRanTwice(counts);
}

TEST_CASE("a worker that shrinks below what it runs gets no more work") {
  ManagedCluster site(2, kWorkers);
  Shrink(site, [] {});
}

// Each node is killed in turn, so the leader is among them.
TEST_CASE("a new leader observes a capacity that has shrunk") {
  ManagedCluster site(2, kWorkers);
  Shrink(site, [&site] {
    for (std::size_t killed = 0; killed < site.nodes(); ++killed) {
      site.node(killed).Kill();
      site.RestartNode(killed);
      site.WaitUntilReady();
    }
  });
}

}  // namespace
}  // namespace mangospread::testing
