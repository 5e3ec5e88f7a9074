#include "unit/cluster/ownership_cluster.hpp"

namespace mangospread::test {
namespace {

using Mode = FakeTableState::Mode;

/// The node that owns the first worker.
ClusterNode& OwnerOf(Cluster& cluster, const VmName& vm) {
  for (const auto& node : cluster.nodes) {
    if (node->manager.FindOwned(vm) != nullptr) return *node;
  }
  FAIL("no owner");
  return *cluster.nodes.front();
}

// Guards against workers that stay without an owner because the claim waits
// for the table, in each way in which the table can fail.
TEST_CASE("dead owner's workers are claimed while the table is down") {
  for (const Mode mode :
       {Mode::kRefusing, Mode::kSilent, Mode::kRepliesLost, Mode::kReadOnly}) {
    CAPTURE(static_cast<int>(mode));
    // A single worker's write has nothing queued behind it that would expire.
    for (const auto& [vms, before] :
         {std::pair(4, true), std::pair(4, false), std::pair(1, true)}) {
      const int count = vms;
      CAPTURE(count);
      Cluster cluster(count);
      for (const char* name : {"a", "b", "c"}) cluster.Start(name);
      REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
      if (before) {
        cluster.table.mode = mode;
        cluster.RunFor(Milliseconds(80));
      }
      cluster.Kill(OwnerOf(cluster, cluster.vms[0].name));
      // The outage begins with the take-over's write in flight.
      if (!before) cluster.RunFor(Milliseconds(75));
      cluster.table.mode = mode;
      REQUIRE(cluster.RunUntil([&] { return cluster.Served(); }));
      cluster.table.mode = Mode::kUp;
      REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
      cluster.CheckOneOwnerPerEpoch();
    }
  }
}

// Guards against a worker that nobody claims: its last holder is not the
// proposed owner, and the proposed owner takes the holder for alive.
TEST_CASE("unrecorded grant that a worker forgot is replaced") {
  Cluster cluster(1);
  const VmName vm = cluster.vms[0].name;
  for (const char* name : {"a", "b"}) cluster.Start(name);
  REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
  auto& proposed = OwnerOf(cluster, vm);
  const std::string name = proposed.id.str();
  cluster.table.mode = Mode::kRefusing;
  cluster.Kill(proposed);
  REQUIRE(cluster.RunUntil([&] { return cluster.Served(); }));
  auto& holder = OwnerOf(cluster, vm);
  auto& again = cluster.Start(name);
  again.manager.AdoptVms(holder.manager.Vms());
  again.manager.AdoptRows(holder.manager.Rows());
  cluster.RunFor(Milliseconds(300));
  cluster.workers[vm].Restart();
  cluster.RunFor(Milliseconds(100));
  cluster.table.mode = Mode::kUp;
  REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
  cluster.CheckOneOwnerPerEpoch();
}

// Guards against a node that needs the table or the VM list to serve again.
TEST_CASE("node that starts without the table works from a peer's rows") {
  Cluster cluster(6);
  auto& first = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
  cluster.table.mode = Mode::kSilent;
  cluster.vm_list_up = false;
  auto& second = cluster.Start("b");
  cluster.RunFor(Milliseconds(50));
  CHECK(second.manager.needs_peers());
  second.manager.AdoptVms(first.manager.Vms());
  second.manager.AdoptRows(first.manager.Rows());
  cluster.RunFor(Milliseconds(250));
  // The rows tell that the owner lives, so no worker is asked.
  CHECK(second.manager.counters().claims == 0);
  cluster.Kill(first);
  REQUIRE(cluster.RunUntil([&] { return cluster.Served(); }));
  cluster.table.mode = Mode::kUp;
  REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
  cluster.CheckOneOwnerPerEpoch();
}

// Guards against a node without any knowledge that searches a worker's epoch
// one refusal at a time.
TEST_CASE("node without knowledge is granted the worker's epoch + 1") {
  Cluster cluster(1);
  auto& worker = cluster.workers[cluster.vms[0].name];
  worker.epoch = Epoch(500);
  cluster.table.mode = Mode::kRefusing;
  cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return cluster.Served(); }));
  CHECK(worker.epoch == Epoch(501));
  CHECK(worker.claims == 1);
}

// Guards against two nodes that hold one epoch, or that outbid each other,
// when a row was written while a worker had granted the same epoch.
TEST_CASE("row and grant with one epoch for two nodes settle") {
  for (const std::uint64_t row_epoch : {4, 5, 6, 9}) {
    CAPTURE(row_epoch);
    Cluster cluster(1);
    const VmName vm = cluster.vms[0].name;
    cluster.workers[vm].epoch = Epoch(4);
    cluster.table.mode = Mode::kRefusing;
    auto& holder = cluster.Start("a");
    REQUIRE(cluster.RunUntil([&] { return cluster.Served(); }));
    REQUIRE(cluster.workers[vm].epoch == Epoch(5));
    auto& other = cluster.Start("b");
    cluster.RunFor(Milliseconds(60));
    cluster.table.Transact(
        {{},
         {{ownership::OwnershipRowKey(vm),
           ownership::EncodeOwnership(
               {other.id, other.incarnation, Epoch(row_epoch)})}}});
    cluster.table.mode = Mode::kUp;
    REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
    cluster.RunFor(Milliseconds(100));
    const int claims = cluster.workers[vm].claims;
    cluster.RunFor(Milliseconds(200));
    CHECK(cluster.workers[vm].claims == claims);
    CHECK(cluster.Settled());
    cluster.CheckOneOwnerPerEpoch();
    CHECK(holder.manager.owned().size() + other.manager.owned().size() == 1);
  }
}

// Guards against an owner that falls back to the table's older epoch after a
// worker restarted and forgot the epoch that it had granted.
TEST_CASE("epoch does not go back when a worker restarts") {
  Cluster cluster(1);
  const VmName vm = cluster.vms[0].name;
  auto& first = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
  cluster.table.mode = Mode::kSilent;
  cluster.Kill(first);
  cluster.Start("b").manager.AdoptVms(cluster.vms);
  REQUIRE(cluster.RunUntil([&] { return cluster.Served(); }));
  const Epoch granted = cluster.workers[vm].epoch;
  cluster.workers[vm].Restart();
  REQUIRE(cluster.RunUntil([&] { return cluster.Served(); }));
  CHECK(cluster.workers[vm].epoch > granted);
  cluster.table.mode = Mode::kUp;
  REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
}

// Guards against a paused process and its replacement of the same name that
// both hold a worker.
TEST_CASE("restarted node does not share an epoch with its predecessor") {
  for (const Mode mode : {Mode::kUp, Mode::kSilent}) {
    Cluster cluster(2);
    const VmName vm = cluster.vms[0].name;
    auto& paused = cluster.Start("a");
    REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
    cluster.table.mode = mode;
    paused.link->held = true;
    auto& replacement = cluster.Start("a");
    REQUIRE(cluster.RunUntil(
        [&] { return replacement.manager.owned().size() == 2; }));
    const auto old_worker = paused.manager.FindOwned(vm);
    REQUIRE(old_worker != nullptr);
    CHECK_FALSE(cluster.workers[vm].Serve(old_worker->fence()));
    cluster.Kill(paused);
    cluster.table.mode = Mode::kUp;
    REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
    cluster.CheckOneOwnerPerEpoch();
  }
}

// Guards against the same when the replacement's row carries the epoch that a
// worker granted to the predecessor without the table.
TEST_CASE("replacement passes its predecessor's unrecorded epoch") {
  Cluster cluster(1);
  const VmName vm = cluster.vms[0].name;
  cluster.workers[vm].epoch = Epoch(4);
  cluster.table.mode = Mode::kRefusing;
  auto& paused = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return cluster.Served(); }));
  paused.link->held = true;
  cluster.table.Transact(
      {{},
       {{ownership::OwnershipRowKey(vm),
         ownership::EncodeOwnership({NodeId("z"), {}, Epoch(4)})}}});
  cluster.table.mode = Mode::kUp;
  auto& replacement = cluster.Start("a");
  REQUIRE(cluster.RunUntil(
      [&] { return replacement.manager.FindOwned(vm) != nullptr; }));
  const auto old_worker = paused.manager.FindOwned(vm);
  REQUIRE(old_worker != nullptr);
  CHECK_FALSE(cluster.workers[vm].Serve(old_worker->fence()));
}

// Guards against a move between live owners that leaves a worker unserved.
TEST_CASE("planned hand-over leaves no gap") {
  Cluster cluster(6);
  auto& leaving = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
  cluster.Start("b");
  cluster.Start("c");
  REQUIRE(cluster.RunUntil([&] {
    return cluster.Settled() &&
           cluster.nodes[1]->membership.peers().size() == 2;
  }));
  bool done = false;
  // As a node does at its stop: without the new state, peers propose the
  // leaving node and hand workers back to it.
  leaving.state = rpc::NodeState::kLeaving;
  leaving.membership.Announce();
  leaving.manager.HandOverAll(Milliseconds(10'000), [&] { done = true; });
  const std::string self = "a/" + std::to_string(leaving.incarnation.value());
  bool always_owned = true;
  REQUIRE(cluster.RunUntil([&] {
    for (const VmInfo& vm : cluster.vms) {
      const NodeId& owner = cluster.workers[vm.name].owner;
      const bool holds = leaving.manager.FindOwned(vm.name) != nullptr;
      always_owned =
          always_owned && !owner.empty() && (owner.str() != self || holds);
    }
    return done && leaving.manager.owned().empty();
  }));
  CHECK(always_owned);
  cluster.Kill(leaving);
  REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
  cluster.CheckOneOwnerPerEpoch();
}

/// One random fault or repair.
void Disturb(Cluster& cluster, std::mt19937& random, int& names) {
  auto& nodes = cluster.nodes;
  ClusterNode& node = *nodes[random() % nodes.size()];
  switch (random() % 11) {
    case 0:
    case 1:
      cluster.table.mode = static_cast<Mode>(random() % 5);
      return;
    case 2:
      node.link->held = true;
      return;
    case 3:
    case 4:
      node.link->Resume();
      return;
    case 5:
      if (nodes.size() > 2) cluster.Kill(node);
      return;
    case 6:
      if (nodes.size() < 4) {
        auto& added = cluster.Start(std::string(1, "abcd"[++names % 4]));
        added.manager.AdoptVms(cluster.vms);
      }
      return;
    case 7:
    case 8:
      cluster.Cut(node, *nodes[random() % nodes.size()]);
      return;
    case 9:
      cluster.cut.clear();
      return;
    default:
      cluster.workers[cluster.vms[random() % cluster.vms.size()].name]
          .Restart();
  }
}

// Guards against interleavings of outages, cut links, pauses, deaths and
// restarts that no single test above foresees: two owners of one epoch, an
// epoch in the table that goes back, a worker that stays unserved, or nodes
// that claim a worker in turn without end.
TEST_CASE("random faults never give a worker two owners") {
  constexpr unsigned kSeeds = 200;
  constexpr int kFaults = 25;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Cluster cluster(3);
    int names = 2;
    for (const char* name : {"a", "b", "c"}) cluster.Start(name);
    cluster.RunFor(Milliseconds(60));
    for (int i = 0; i < kFaults; ++i) {
      Disturb(cluster, random, names);
      cluster.RunFor(Milliseconds(5 + random() % 60));
      (void)cluster.Served();  // Records who is served now.
    }
    cluster.table.mode = Mode::kUp;
    cluster.cut.clear();
    for (const auto& node : cluster.nodes) node->link->Resume();
    // Two processes of one name do not both stay in a real deployment.
    std::set<NodeId> seen;
    for (std::size_t i = cluster.nodes.size(); i-- > 0;) {
      if (!seen.insert(cluster.nodes[i]->id).second) {
        cluster.Kill(*cluster.nodes[i]);
      }
    }
    REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
    cluster.RunFor(Milliseconds(200));
    REQUIRE(cluster.RunUntil([&] { return cluster.Settled(); }));
    cluster.CheckOneOwnerPerEpoch();
    int claims = 0;
    for (auto& [vm, worker] : cluster.workers) claims -= worker.claims;
    cluster.RunFor(Milliseconds(200));
    for (auto& [vm, worker] : cluster.workers) claims += worker.claims;
    CHECK(claims <= 6);
  }
}

}  // namespace
}  // namespace mangospread::test
