// Guards against workers that have no owner, or two owners, after their owner
// is killed, or paused for longer than its lease and resumed.
#include <doctest/doctest.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/loop/clock.hpp"
#include "integration/harness/checks/ownership.hpp"

namespace mangospread::testing {
namespace {

/// Sends requests to all nodes other than `except` until it is destroyed.
class BackgroundTraffic {
 public:
  BackgroundTraffic(const Cluster& cluster, int except)
      : thread_([this, &cluster, except] {
          while (!stop_) {
            for (int i = 0; i < cluster.nodes(); ++i) {
              if (i != except) (void)CanServe(cluster, i);
            }
          }
        }) {}
  ~BackgroundTraffic() {
    stop_ = true;
    thread_.join();
  }
  BackgroundTraffic(const BackgroundTraffic&) = delete;
  BackgroundTraffic& operator=(const BackgroundTraffic&) = delete;

 private:
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

/// A cluster with or without its table, and with traffic to all nodes except
/// one that owns workers.
struct FailoverFixture {
  explicit FailoverFixture(bool table_down)
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
  const BackgroundTraffic traffic;
};

TEST_CASE("a killed owner's workers are taken over by other nodes") {
  for (const bool table_down : {false, true}) {
    CAPTURE(table_down);
    FailoverFixture failover(table_down);
    Cluster& cluster = failover.cluster;
    const MonotonicTime killed_at = base::MonotonicNow();
    cluster.node(failover.owner).Kill();
    WaitUntilOwnedByOthers(cluster, failover.owner);
    const auto outage = std::chrono::duration_cast<Milliseconds>(
        base::MonotonicNow() - killed_at);
    MESSAGE("without service for " << outage.count() << " ms");
    CheckOwnershipRecords(cluster);
  }
}

TEST_CASE("a resumed owner does not share its workers with new owners") {
  for (const bool table_down : {false, true}) {
    CAPTURE(table_down);
    FailoverFixture failover(table_down);
    Cluster& cluster = failover.cluster;
    const int paused = failover.owner;
    cluster.node(paused).Pause();
    WaitUntilOwnedByOthers(cluster, paused);
    cluster.node(paused).Resume();
    WaitUntil(
        "the resumed node serves", kWaitTimeout,
        [&] { return CanServe(cluster, paused); },
        [&] { return DescribeServing(cluster, paused); });
    WaitUntil("each worker owned by one node", kWaitTimeout,
              [&] { return TotalOwnedWorkers(cluster) == cluster.workers(); });
    CheckOwnershipRecords(cluster);
    if (table_down) cluster.SetTableFaults(R"({"down":false})");
    WaitUntil("each worker owned by one node in the end", kWaitTimeout,
              [&] { return TotalOwnedWorkers(cluster) == cluster.workers(); });
    CheckOwnershipRecords(cluster);
  }
}

}  // namespace
}  // namespace mangospread::testing
