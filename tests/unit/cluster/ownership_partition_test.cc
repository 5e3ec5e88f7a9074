// Cases in which nodes that live do not hear each other.
#include "unit/cluster/ownership_cluster.hpp"

namespace mangospread::test {
namespace {

using Mode = FakeTableState::Mode;
using membership::Liveness;

/// Many times the silence after which a node is taken for dead (80 ms).
constexpr Milliseconds kPartition{2'000};

bool TakesForDead(const ClusterNode& node, const ClusterNode& other) {
  const auto* peer = node.membership.Find(other.id);
  return peer != nullptr && peer->liveness == Liveness::kDead;
}

// Guards against two live nodes that take each other for dead and claim each
// other's workers in turn, with and without a third node that hears both.
TEST_CASE("nodes that do not hear each other leave each other's workers") {
  for (const bool third : {false, true}) {
    CAPTURE(third);
    Cluster cluster(8);
    auto& a = cluster.Start("a");
    auto& b = cluster.Start("b");
    if (third) cluster.Start("c");
    REQUIRE(cluster.RunUntil([&] {
      return cluster.Settled() && !a.manager.owned().empty() &&
             !b.manager.owned().empty();
    }));
    cluster.RunFor(Milliseconds(200));
    const int claims = cluster.Claims();
    cluster.Cut(a, b);
    REQUIRE(cluster.RunUntil(
        [&] { return TakesForDead(a, b) && TakesForDead(b, a); }));
    cluster.RunFor(kPartition);
    // A third node may hand a worker on to the node that it proposes.
    CHECK(cluster.Claims() - claims <=
          2 * static_cast<int>(cluster.vms.size()));
    REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));

    cluster.cut.clear();
    REQUIRE(cluster.RunUntil(
        [&] { return !TakesForDead(a, b) && !TakesForDead(b, a); }));
    REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
    cluster.CheckOneOwnerPerEpoch();
  }
}

// Guards against a remedy for the case above that keeps a dead node's workers
// idle because it looks like one behind a cut link.
TEST_CASE("node that dies during a partition is replaced") {
  for (const Mode mode : {Mode::kUp, Mode::kRefusing}) {
    CAPTURE(static_cast<int>(mode));
    Cluster cluster(8);
    auto& a = cluster.Start("a");
    auto& b = cluster.Start("b");
    REQUIRE(cluster.RunUntil([&] {
      return cluster.Settled() && !a.manager.owned().empty() &&
             !b.manager.owned().empty();
    }));
    cluster.Cut(a, b);
    cluster.RunFor(kPartition);
    cluster.table.mode = mode;
    cluster.Kill(a);
    REQUIRE(cluster.RunUntil([&] { return cluster.Served(); }));
    CHECK(b.manager.owned().size() == cluster.vms.size());
    cluster.table.mode = Mode::kUp;
    REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
    cluster.CheckOneOwnerPerEpoch();
  }
}

// Guards against a node that refuses all requests and yet keeps its workers
// from the nodes that serve, because it still renews their leases.
TEST_CASE("isolated node's workers are claimed by others") {
  for (const Mode mode : {Mode::kUp, Mode::kRefusing}) {
    CAPTURE(static_cast<int>(mode));
    Cluster cluster(6);
    auto& isolated = cluster.Start("a");
    auto& b = cluster.Start("b");
    auto& c = cluster.Start("c");
    REQUIRE(cluster.RunUntil([&] {
      return cluster.Settled() && !isolated.manager.owned().empty();
    }));
    cluster.table.mode = mode;
    cluster.Cut(isolated, b);
    cluster.Cut(isolated, c);
    isolated.table.cut = true;
    isolated.isolated = true;
    REQUIRE(cluster.RunUntil(
        [&] { return isolated.manager.owned().empty() && cluster.Served(); }));
    const int claims = cluster.Claims();
    cluster.RunFor(Milliseconds(300));
    CHECK(cluster.Claims() == claims);
    isolated.isolated = false;
    isolated.table.cut = false;
    cluster.cut.clear();
    cluster.table.mode = Mode::kUp;
    REQUIRE(cluster.RunUntil([&] {
      return !TakesForDead(isolated, b) && !TakesForDead(isolated, c) &&
             cluster.Settled();
    }));
    cluster.CheckOneOwnerPerEpoch();
  }
}

// Guards against workers that wait for a stopped node's lease to run out
// because it could not hand them over through the table.
TEST_CASE("planned stop without the table leaves no gap") {
  for (const Mode mode : {Mode::kRefusing, Mode::kSilent, Mode::kReadOnly}) {
    CAPTURE(static_cast<int>(mode));
    Cluster cluster(6);
    auto& leaving = cluster.Start("a");
    cluster.Start("b");
    cluster.Start("c");
    REQUIRE(cluster.RunUntil([&] {
      return cluster.Settled() && !leaving.manager.owned().empty() &&
             leaving.membership.peers().size() == 2;
    }));
    cluster.table.mode = mode;
    cluster.RunFor(Milliseconds(150));
    bool done = false;
    leaving.state = rpc::NodeState::kLeaving;
    leaving.membership.Announce();
    leaving.manager.HandOverAll(Milliseconds(15'000), [&] { done = true; });
    bool served = true;
    REQUIRE(cluster.RunUntil([&] {
      for (const VmInfo& vm : cluster.vms) {
        const auto& worker = cluster.workers[vm.name];
        const bool self = worker.owner.str().starts_with("a/");
        served = served && !worker.owner.empty() &&
                 (!self || leaving.manager.FindOwned(vm.name) != nullptr);
      }
      return done && leaving.manager.owned().empty();
    }));
    CHECK(served);
    cluster.Kill(leaving);
    cluster.table.mode = Mode::kUp;
    REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
    cluster.CheckOneOwnerPerEpoch();
  }
}

}  // namespace
}  // namespace mangospread::test
