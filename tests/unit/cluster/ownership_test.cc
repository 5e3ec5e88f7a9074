#include "unit/cluster/ownership_cluster.hpp"

namespace mangospread::test {
namespace {

using Mode = FakeTableState::Mode;

/// The node that owns a VM's worker.
ClusterNode& OwnerOf(Cluster& cluster, const VmName& vm) {
  for (const auto& node : cluster.nodes) {
    if (node->manager.FindOwned(vm) != nullptr) return *node;
  }
  FAIL("no owner");
  return *cluster.nodes.front();
}

// Guards against workers without an owner because the claim waits for the
// table, in each failure mode of the table.
TEST_CASE("dead owner's workers are claimed while the table is down") {
  for (const Mode mode : {Mode::kRefusing, Mode::kUnresponsive,
                          Mode::kRepliesLost, Mode::kReadOnly}) {
    CAPTURE(static_cast<int>(mode));
    // With a single worker, no other write is queued behind its own to expire.
    for (const auto& [vms, outage_before_kill] :
         {std::pair(4, true), std::pair(4, false), std::pair(1, true)}) {
      const int count = vms;
      CAPTURE(count);
      Cluster cluster(count);
      for (const char* name : {"a", "b", "c"}) cluster.Start(name);
      REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
      if (outage_before_kill) {
        cluster.table.mode = mode;
        cluster.RunFor(Milliseconds(80));
      }
      cluster.Kill(OwnerOf(cluster, cluster.vms[0].name));
      // The outage starts while the write of the takeover is in flight.
      if (!outage_before_kill) cluster.RunFor(Milliseconds(75));
      cluster.table.mode = mode;
      REQUIRE(
          cluster.RunUntil([&] { return cluster.EachWorkerHasOneOwner(); }));
      cluster.table.mode = Mode::kUp;
      REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
      cluster.CheckOneOwnerPerEpoch();
    }
  }
}

// Guards against a worker that no node claims: its last owner is not the
// proposed one, and the proposed owner considers the last owner alive.
TEST_CASE("unrecorded grant lost in a worker restart is replaced") {
  Cluster cluster(1);
  const VmName vm = cluster.vms[0].name;
  for (const char* name : {"a", "b"}) cluster.Start(name);
  REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  auto& proposed = OwnerOf(cluster, vm);
  const std::string name = proposed.id.str();
  cluster.table.mode = Mode::kRefusing;
  cluster.Kill(proposed);
  REQUIRE(cluster.RunUntil([&] { return cluster.EachWorkerHasOneOwner(); }));
  auto& current_owner = OwnerOf(cluster, vm);
  auto& restarted = cluster.Start(name);
  restarted.manager.AdoptVms(current_owner.manager.Vms());
  restarted.manager.AdoptRows(current_owner.manager.Rows());
  cluster.RunFor(Milliseconds(300));
  cluster.workers[vm].Restart();
  cluster.RunFor(Milliseconds(100));
  cluster.table.mode = Mode::kUp;
  REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  cluster.CheckOneOwnerPerEpoch();
}

// Guards against a restarted node that cannot serve without the table or the VM
// list.
TEST_CASE("node that starts without the table uses a peer's rows") {
  Cluster cluster(6);
  auto& first = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  cluster.table.mode = Mode::kUnresponsive;
  cluster.vm_list_up = false;
  auto& second = cluster.Start("b");
  cluster.RunFor(Milliseconds(50));
  CHECK(second.manager.needs_peers());
  second.manager.AdoptVms(first.manager.Vms());
  second.manager.AdoptRows(first.manager.Rows());
  cluster.RunFor(Milliseconds(250));
  // According to the rows the owner is alive, so no worker is claimed.
  CHECK(second.manager.counters().claims == 0);
  cluster.Kill(first);
  REQUIRE(cluster.RunUntil([&] { return cluster.EachWorkerHasOneOwner(); }));
  cluster.table.mode = Mode::kUp;
  REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  cluster.CheckOneOwnerPerEpoch();
}

// Guards against a node without ownership rows that finds a worker's epoch by
// one refused claim per epoch.
TEST_CASE("node without ownership rows is granted the worker's epoch + 1") {
  Cluster cluster(1);
  auto& worker = cluster.workers[cluster.vms[0].name];
  worker.epoch = Epoch(500);
  cluster.table.mode = Mode::kRefusing;
  cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return cluster.EachWorkerHasOneOwner(); }));
  CHECK(worker.epoch == Epoch(501));
  CHECK(worker.claims == 1);
}

// Guards against two nodes that own a worker under one epoch, or that claim it
// in turn with ever higher epochs, after a row was written with an epoch that
// the worker had granted as well.
TEST_CASE("row and grant of one epoch for two nodes converge") {
  for (const std::uint64_t row_epoch : {4, 5, 6, 9}) {
    CAPTURE(row_epoch);
    Cluster cluster(1);
    const VmName vm = cluster.vms[0].name;
    cluster.workers[vm].epoch = Epoch(4);
    cluster.table.mode = Mode::kRefusing;
    auto& current_owner = cluster.Start("a");
    REQUIRE(cluster.RunUntil([&] { return cluster.EachWorkerHasOneOwner(); }));
    REQUIRE(cluster.workers[vm].epoch == Epoch(5));
    auto& other = cluster.Start("b");
    cluster.RunFor(Milliseconds(60));
    cluster.table.Transact(
        {{},
         {{ownership::OwnershipRowKey(vm),
           ownership::EncodeOwnership(
               {other.id, other.incarnation, Epoch(row_epoch)})}}});
    cluster.table.mode = Mode::kUp;
    REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
    cluster.RunFor(Milliseconds(100));
    const int claims = cluster.workers[vm].claims;
    cluster.RunFor(Milliseconds(200));
    CHECK(cluster.workers[vm].claims == claims);
    CHECK(cluster.Converged());
    cluster.CheckOneOwnerPerEpoch();
    CHECK(current_owner.manager.owned().size() + other.manager.owned().size() ==
          1);
  }
}

// Guards against an owner that returns to the table's lower epoch after a
// worker has restarted and lost the epoch that it had granted.
TEST_CASE("epoch does not decrease when a worker restarts") {
  Cluster cluster(1);
  const VmName vm = cluster.vms[0].name;
  auto& first = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  cluster.table.mode = Mode::kUnresponsive;
  cluster.Kill(first);
  cluster.Start("b").manager.AdoptVms(cluster.vms);
  REQUIRE(cluster.RunUntil([&] { return cluster.EachWorkerHasOneOwner(); }));
  const Epoch granted = cluster.workers[vm].epoch;
  cluster.workers[vm].Restart();
  REQUIRE(cluster.RunUntil([&] { return cluster.EachWorkerHasOneOwner(); }));
  CHECK(cluster.workers[vm].epoch > granted);
  cluster.table.mode = Mode::kUp;
  REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
}

// Guards against a worker owned by both a paused process and its replacement of
// the same name.
TEST_CASE("restarted node does not share an epoch with its predecessor") {
  for (const Mode mode : {Mode::kUp, Mode::kUnresponsive}) {
    Cluster cluster(2);
    const VmName vm = cluster.vms[0].name;
    auto& paused = cluster.Start("a");
    REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
    cluster.table.mode = mode;
    paused.link->is_paused = true;
    auto& replacement = cluster.Start("a");
    REQUIRE(cluster.RunUntil(
        [&] { return replacement.manager.owned().size() == 2; }));
    const auto old_worker = paused.manager.FindOwned(vm);
    REQUIRE(old_worker != nullptr);
    CHECK_FALSE(cluster.workers[vm].ServeWithFence(old_worker->fence()));
    cluster.Kill(paused);
    cluster.table.mode = Mode::kUp;
    REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
    cluster.CheckOneOwnerPerEpoch();
  }
}

// Guards against a worker owned by both a paused process and its replacement
// when the replacement's row has the epoch that the worker granted to the
// paused process without a table record.
TEST_CASE("replacement uses a higher epoch than its predecessor's grant") {
  Cluster cluster(1);
  const VmName vm = cluster.vms[0].name;
  cluster.workers[vm].epoch = Epoch(4);
  cluster.table.mode = Mode::kRefusing;
  auto& paused = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return cluster.EachWorkerHasOneOwner(); }));
  paused.link->is_paused = true;
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
  CHECK_FALSE(cluster.workers[vm].ServeWithFence(old_worker->fence()));
}

// Guards against a hand-over between live owners that leaves a worker unserved.
TEST_CASE("planned hand-over leaves no worker unserved") {
  Cluster cluster(6);
  auto& leaving = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  cluster.Start("b");
  cluster.Start("c");
  REQUIRE(cluster.RunUntil([&] {
    return cluster.Converged() &&
           cluster.nodes[1]->membership.peers().size() == 2;
  }));
  bool done = false;
  // A stopping node does the same: without the new state, peers propose the
  // leaving node and hand workers back to it.
  leaving.state = rpc::NodeState::kLeaving;
  leaving.membership.Announce();
  leaving.manager.HandOverAll(Milliseconds(10'000), [&] { done = true; });
  const std::string leaving_owner =
      "a/" + std::to_string(leaving.incarnation.value());
  bool always_owned = true;
  REQUIRE(cluster.RunUntil([&] {
    for (const VmInfo& vm : cluster.vms) {
      const NodeId& owner = cluster.workers[vm.name].owner;
      const bool leaving_owns = leaving.manager.FindOwned(vm.name) != nullptr;
      always_owned = always_owned && !owner.empty() &&
                     (owner.str() != leaving_owner || leaving_owns);
    }
    return done && leaving.manager.owned().empty();
  }));
  CHECK(always_owned);
  cluster.Kill(leaving);
  REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
  cluster.CheckOneOwnerPerEpoch();
}

/// One random fault or repair.
void InjectRandomFault(Cluster& cluster, std::mt19937& random,
                       int& name_index) {
  auto& nodes = cluster.nodes;
  ClusterNode& node = *nodes[random() % nodes.size()];
  switch (random() % 11) {
    case 0:
    case 1:
      cluster.table.mode = static_cast<Mode>(random() % 5);
      return;
    case 2:
      node.link->is_paused = true;
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
        auto& added = cluster.Start(std::string(1, "abcd"[++name_index % 4]));
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

// Guards against faults that only some interleavings of outages, cut links,
// pauses, crashes and restarts cause, which the tests above do not cover: two
// owners in one epoch, a decreasing epoch in the table, a worker that stays
// unserved, or nodes that claim a worker in turn without end.
TEST_CASE("random faults never give a worker two owners") {
  constexpr unsigned kSeeds = 200;
  constexpr int kFaults = 25;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Cluster cluster(3);
    int name_index = 2;
    for (const char* name : {"a", "b", "c"}) cluster.Start(name);
    cluster.RunFor(Milliseconds(60));
    for (int i = 0; i < kFaults; ++i) {
      InjectRandomFault(cluster, random, name_index);
      cluster.RunFor(Milliseconds(5 + random() % 60));
      // Records the owners that the workers serve now.
      (void)cluster.EachWorkerHasOneOwner();
    }
    cluster.table.mode = Mode::kUp;
    cluster.cut.clear();
    for (const auto& node : cluster.nodes) node->link->Resume();
    // In a real deployment, only one of two processes of one name keeps
    // running.
    std::set<NodeId> seen;
    for (std::size_t i = cluster.nodes.size(); i-- > 0;) {
      if (!seen.insert(cluster.nodes[i]->id).second) {
        cluster.Kill(*cluster.nodes[i]);
      }
    }
    REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
    cluster.RunFor(Milliseconds(200));
    REQUIRE(cluster.RunUntil([&] { return cluster.Converged(); }));
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
