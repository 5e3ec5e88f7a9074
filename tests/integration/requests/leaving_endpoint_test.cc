// Guards against new work on an endpoint that is leaving, whichever source
// reports it first: the VM list, the worker itself or an operator's drain.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "base/loop/clock.hpp"
#include "integration/harness/checks/ownership.hpp"

namespace mangospread::testing {
namespace {

/// Number of requests that reached worker 0, run or refused.
std::uint64_t RequestsReceived(const Cluster& cluster) {
  const auto record = cluster.WorkerRecord(0);
  return record.at("served").get<std::uint64_t>() +
         record.at("leaving_refused").get<std::uint64_t>();
}

/// Sends a burst of requests through every node; true if none reached worker 0.
bool BurstAvoidsWorker(const Cluster& cluster) {
  constexpr int kBurst = 20;
  const auto before = RequestsReceived(cluster);
  for (int round = 0; round < kBurst; ++round) {
    for (int i = 0; i < cluster.nodes(); ++i) CHECK(CanServe(cluster, i));
  }
  return RequestsReceived(cluster) == before;
}

void CheckNoNewWork(const Cluster& cluster) {
  const MonotonicTime start = base::MonotonicNow();
  WaitUntil("no new work on the leaving worker", kWaitTimeout,
            [&] { return BurstAvoidsWorker(cluster); });
  const auto elapsed =
      std::chrono::duration_cast<Milliseconds>(base::MonotonicNow() - start);
  MESSAGE("new work ended within " << elapsed.count() << " ms");
  // New work must not resume, for example after the next poll of an outdated VM
  // list.
  for (int i = 0; i < 5; ++i) CHECK(BurstAvoidsWorker(cluster));
}

TEST_CASE("the VM list reports that a VM is leaving") {
  Cluster cluster({});
  REQUIRE_FALSE(BurstAvoidsWorker(cluster));
  cluster.PublishVms({0});
  CheckNoNewWork(cluster);
}

TEST_CASE("a worker reports that it is leaving before the VM list does") {
  Cluster cluster({});
  REQUIRE_FALSE(BurstAvoidsWorker(cluster));
  REQUIRE(Post(cluster.worker(0).address("http"), "/standin/leave", "").ok());
  CheckNoNewWork(cluster);
}

TEST_CASE("an operator drains a VM before the VM list reports it") {
  Cluster cluster({});
  REQUIRE_FALSE(BurstAvoidsWorker(cluster));
  const Response reply =
      Put(cluster.http(1), "/v1/resources/policy/maintenance",
          R"({"drain":["vm-0"]})");
  REQUIRE(reply.status / 100 == 2);
  CheckNoNewWork(cluster);
}

}  // namespace
}  // namespace mangospread::testing
