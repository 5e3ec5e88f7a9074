// Cases in which live nodes do not receive each other's heartbeats.
#include "unit/cluster/ownership_cluster.hpp"

namespace mangospread::test {
namespace {

using Mode = FakeTableState::Mode;
using membership::Liveness;

/// Many times the period without heartbeats after which a node counts as dead
/// (80 ms).
constexpr Milliseconds kPartitionDuration{2'000};

bool ConsidersDead(const ClusterNode& node, const ClusterNode& other) {
  const auto* peer = node.membership.Find(other.id);
  return peer != nullptr && peer->liveness == Liveness::kDead;
}

// Guards against two live nodes that consider each other dead and claim each
// other's workers in turn, with and without a third node linked to both.
TEST_CASE("nodes that consider each other dead keep their own workers") {
  for (const bool third_node : {false, true}) {
    CAPTURE(third_node);
    Cluster cluster(8);
    auto& a = cluster.Start("a");
    auto& b = cluster.Start("b");
    if (third_node) cluster.Start("c");
    REQUIRE(cluster.RunUntil([&] {
      return cluster.Converged() && !a.manager.owned().empty() &&
             !b.manager.owned().empty();
    }));
    cluster.RunFor(Milliseconds(200));
    const int claims = cluster.Claims();
    cluster.Cut(a, b);
    REQUIRE(cluster.RunUntil(
        [&] { return ConsidersDead(a, b) && ConsidersDead(b, a); }));
    cluster.RunFor(kPartitionDuration);
    // A third node may hand over a worker to the node that it proposes.
    CHECK(cluster.Claims() - claims <=
          2 * static_cast<int>(cluster.vms.size()));
    REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));

    cluster.cut.clear();
    REQUIRE(cluster.RunUntil(
        [&] { return !ConsidersDead(a, b) && !ConsidersDead(b, a); }));
    REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
    cluster.CheckOneOwnerPerEpoch();
  }
}

// Guards against workers that stay unserved because their dead owner cannot be
// distinguished from a live one behind a cut link, whose workers must not be
// taken over (the case above).
TEST_CASE("node that dies during a partition is replaced") {
  for (const Mode mode : {Mode::kUp, Mode::kRefusing}) {
    CAPTURE(static_cast<int>(mode));
    Cluster cluster(8);
    auto& a = cluster.Start("a");
    auto& b = cluster.Start("b");
    REQUIRE(cluster.RunUntil([&] {
      return cluster.Converged() && !a.manager.owned().empty() &&
             !b.manager.owned().empty();
    }));
    cluster.Cut(a, b);
    cluster.RunFor(kPartitionDuration);
    cluster.table.mode = mode;
    cluster.Kill(a);
    REQUIRE(cluster.RunUntil([&] { return cluster.EachWorkerHasOneOwner(); }));
    CHECK(b.manager.owned().size() == cluster.vms.size());
    cluster.table.mode = Mode::kUp;
    REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
    cluster.CheckOneOwnerPerEpoch();
  }
}

// Guards against a node that refuses all requests but still renews the leases
// of its workers, so that the nodes that serve cannot claim them.
TEST_CASE("isolated node's workers are claimed by others") {
  for (const Mode mode : {Mode::kUp, Mode::kRefusing}) {
    CAPTURE(static_cast<int>(mode));
    Cluster cluster(6);
    auto& isolated = cluster.Start("a");
    auto& b = cluster.Start("b");
    auto& c = cluster.Start("c");
    REQUIRE(cluster.RunUntil([&] {
      return cluster.Converged() && !isolated.manager.owned().empty();
    }));
    cluster.table.mode = mode;
    cluster.Cut(isolated, b);
    cluster.Cut(isolated, c);
    isolated.table.cut = true;
    isolated.isolated = true;
    REQUIRE(cluster.RunUntil([&] {
      return isolated.manager.owned().empty() &&
             cluster.EachWorkerHasOneOwner();
    }));
    const int claims = cluster.Claims();
    cluster.RunFor(Milliseconds(300));
    CHECK(cluster.Claims() == claims);
    isolated.isolated = false;
    isolated.table.cut = false;
    cluster.cut.clear();
    cluster.table.mode = Mode::kUp;
    REQUIRE(cluster.RunUntil([&] {
      return !ConsidersDead(isolated, b) && !ConsidersDead(isolated, c) &&
             cluster.Converged();
    }));
    cluster.CheckOneOwnerPerEpoch();
  }
}

// Guards against workers that wait for a stopped node's lease to expire because
// the node could not hand them over through the table.
TEST_CASE("planned stop without the table leaves no worker unserved") {
  for (const Mode mode :
       {Mode::kRefusing, Mode::kUnresponsive, Mode::kReadOnly}) {
    CAPTURE(static_cast<int>(mode));
    Cluster cluster(6);
    auto& leaving = cluster.Start("a");
    cluster.Start("b");
    cluster.Start("c");
    REQUIRE(cluster.RunUntil([&] {
      return cluster.Converged() && !leaving.manager.owned().empty() &&
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
        const bool owned_by_leaving = worker.owner.str().starts_with("a/");
        served = served && !worker.owner.empty() &&
                 (!owned_by_leaving ||
                  leaving.manager.FindOwned(vm.name) != nullptr);
      }
      return done && leaving.manager.owned().empty();
    }));
    CHECK(served);
    cluster.Kill(leaving);
    cluster.table.mode = Mode::kUp;
    REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
    cluster.CheckOneOwnerPerEpoch();
  }
}

}  // namespace
}  // namespace mangospread::test
