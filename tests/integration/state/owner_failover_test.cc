// Guards against workers that stay without an owner, or have two, when their
// owner is killed, or paused for longer than its lease and resumed.
#include <doctest/doctest.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/loop/clock.hpp"
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

/// A cluster with traffic at all nodes but one that owns workers, and with or
/// without its table.
struct Failover {
  explicit Failover(bool table_down)
      : cluster(Options()), owner(AnyOwner(cluster)), traffic(cluster, owner) {
    REQUIRE(owner >= 0);
    if (table_down) cluster.SetTableFaults(R"({"down":true})");
  }
  static ClusterOptions Options() {
    ClusterOptions options;
    options.workers = 6;
    return options;
  }

  Cluster cluster;
  const int owner;
  const Traffic traffic;
};

TEST_CASE("a killed owner's workers are served by others") {
  for (const bool table_down : {false, true}) {
    CAPTURE(table_down);
    Failover failover(table_down);
    Cluster& cluster = failover.cluster;
    const MonotonicTime begun = base::MonotonicNow();
    cluster.node(failover.owner).Kill();
    WaitUntilOwnedByOthers(cluster, failover.owner);
    const auto gap =
        std::chrono::duration_cast<Milliseconds>(base::MonotonicNow() - begun);
    MESSAGE("without service for " << gap.count() << " ms");
    CheckOwnershipRecords(cluster);
  }
}

TEST_CASE("a paused owner loses its workers and takes none back by force") {
  for (const bool table_down : {false, true}) {
    CAPTURE(table_down);
    Failover failover(table_down);
    Cluster& cluster = failover.cluster;
    const int paused = failover.owner;
    cluster.node(paused).Pause();
    WaitUntilOwnedByOthers(cluster, paused);
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
