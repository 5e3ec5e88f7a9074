// Guards against new work on an endpoint that is leaving, whichever source
// says so first: the VM list, the worker itself or an operator's drain.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "base/loop/clock.hpp"
#include "integration/harness/checks/ownership.hpp"

namespace mangospread::testing {
namespace {

/// Requests that reached the worker, whether it ran or refused them.
std::uint64_t Arrived(const Cluster& cluster) {
  const auto record = cluster.WorkerRecord(0);
  return record.at("served").get<std::uint64_t>() +
         record.at("leaving_refused").get<std::uint64_t>();
}

/// Sends a burst through every node; true if none of it reached worker 0.
bool BurstAvoidsWorker(const Cluster& cluster) {
  constexpr int kBurst = 20;
  const auto before = Arrived(cluster);
  for (int round = 0; round < kBurst; ++round) {
    for (int i = 0; i < cluster.nodes(); ++i) CHECK(Serves(cluster, i));
  }
  return Arrived(cluster) == before;
}

void CheckNoNewWork(const Cluster& cluster) {
  const MonotonicTime begun = base::MonotonicNow();
  WaitUntil("no new work on the leaving worker", kWaitDeadline,
            [&] { return BurstAvoidsWorker(cluster); });
  const auto took =
      std::chrono::duration_cast<Milliseconds>(base::MonotonicNow() - begun);
  MESSAGE("new work ended within " << took.count() << " ms");
  // It must not come back, for example with the next poll of a lagging list.
  for (int i = 0; i < 5; ++i) CHECK(BurstAvoidsWorker(cluster));
}

TEST_CASE("the VM list says that a VM is leaving") {
  Cluster cluster({});
  REQUIRE_FALSE(BurstAvoidsWorker(cluster));
  cluster.PublishVms({0});
  CheckNoNewWork(cluster);
}

TEST_CASE("a worker says that it is leaving while the list lags") {
  Cluster cluster({});
  REQUIRE_FALSE(BurstAvoidsWorker(cluster));
  REQUIRE(Post(cluster.worker(0).address("http"), "/standin/leave", "").ok());
  CheckNoNewWork(cluster);
}

TEST_CASE("an operator drains a VM while the list lags") {
  Cluster cluster({});
  REQUIRE_FALSE(BurstAvoidsWorker(cluster));
  const Reply reply = Put(cluster.http(1), "/v1/resources/policy/maintenance",
                          R"({"drain":["vm-0"]})");
  REQUIRE(reply.status / 100 == 2);
  CheckNoNewWork(cluster);
}

}  // namespace
}  // namespace mangospread::testing
