// Guards against workers that stay without an owner, or have two, when their
// owner is killed, or paused for longer than its lease and resumed.
#include <doctest/doctest.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/clock.hpp"
#include "integration/harness/checks/ownership.hpp"

namespace mangospread::testing {
namespace {

/// Sends requests to nodes other than `except` until told to stop.
class Traffic {
 public:
  Traffic(const Cluster& cluster, int except)
      : thread_([this, &cluster, except] {
          while (!stop_) {
            for (int i = 0; i < cluster.nodes(); ++i) {
              if (i != except) (void)Serves(cluster, i);
            }
          }
        }) {}
  ~Traffic() {
    stop_ = true;
    thread_.join();
  }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

 private:
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

/// Workers owned by the nodes other than `except`.
int OwnedByOthers(const Cluster& cluster, int except) {
  int owned = 0;
  for (int i = 0; i < cluster.nodes(); ++i) {
    if (i != except) owned += std::max(0, cluster.OwnedWorkers(i));
  }
  return owned;
}

TEST_CASE("a killed owner's workers are served by others") {
  for (const bool table_down : {false, true}) {
    CAPTURE(table_down);
    ClusterOptions options;
    options.workers = 6;
    Cluster cluster(options);
    const int killed = AnyOwner(cluster);
    REQUIRE(killed >= 0);
    const Traffic traffic(cluster, killed);
    if (table_down) cluster.SetTableFaults(R"({"down":true})");
    const MonotonicTime begun = base::MonotonicNow();
    cluster.node(killed).Kill();
    WaitUntil("all workers owned by others", kWaitDeadline, [&] {
      return OwnedByOthers(cluster, killed) == cluster.workers();
    });
    const auto gap =
        std::chrono::duration_cast<Milliseconds>(base::MonotonicNow() - begun);
    MESSAGE("without service for " << gap.count() << " ms");
    CheckOwnershipRecords(cluster);
  }
}

TEST_CASE("a paused owner loses its workers and takes none back by force") {
  for (const bool table_down : {false, true}) {
    CAPTURE(table_down);
    ClusterOptions options;
    options.workers = 6;
    Cluster cluster(options);
    const int paused = AnyOwner(cluster);
    REQUIRE(paused >= 0);
    const Traffic traffic(cluster, paused);
    if (table_down) cluster.SetTableFaults(R"({"down":true})");
    cluster.node(paused).Pause();
    WaitUntil("all workers owned by others", kWaitDeadline, [&] {
      return OwnedByOthers(cluster, paused) == cluster.workers();
    });
    cluster.node(paused).Resume();
    WaitUntil("the resumed node serves", kWaitDeadline,
              [&] { return Serves(cluster, paused); });
    WaitUntil("each worker owned by one node", kWaitDeadline,
              [&] { return OwnedByAll(cluster) == cluster.workers(); });
    CheckOwnershipRecords(cluster);
    if (table_down) cluster.SetTableFaults(R"({"down":false})");
    WaitUntil("each worker owned by one node in the end", kWaitDeadline,
              [&] { return OwnedByAll(cluster) == cluster.workers(); });
    CheckOwnershipRecords(cluster);
  }
}

}  // namespace
}  // namespace mangospread::testing
