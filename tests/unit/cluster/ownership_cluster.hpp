/// @file
/// Nodes, a table and workers in one process, with simulated time, timeouts
/// scaled down thirtyfold and links that a test can pause or cut.
#pragma once

#include <doctest/doctest.h>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/loop/clock.hpp"
#include "base/loop/simulated_clock.hpp"
#include "ownership/manager.hpp"
#include "ownership/rows.hpp"
#include "table/memory_table.hpp"

namespace mangospread::test {

using ownership::KnownOwner;
using ownership::OwnershipRow;

/// Functions that run after a delay. Those pending when the cluster is
/// destroyed are destroyed with it, together with the objects that they own.
class DelayedCalls {
 public:
  explicit DelayedCalls(base::EventLoop& loop) : loop_(loop) {}

  void Run(Milliseconds time, std::function<void()> fn) {
    const auto timer = timers_.emplace(timers_.end());
    *timer = loop_.After(time, [this, timer, fn = std::move(fn)] {
      timers_.erase(timer);
      fn();
    });
  }

 private:
  base::EventLoop& loop_;
  std::list<base::Timer> timers_;
};

/// Carries all messages that one node sends and receives. While the link is
/// paused, messages in both directions are queued, as for a paused process.
struct Link : std::enable_shared_from_this<Link> {
  explicit Link(DelayedCalls& delayed_calls) : delayed_calls(delayed_calls) {}

  void Send(std::function<void()> fn) {
    if (is_closed) return;
    if (is_paused) return queued.push_back(std::move(fn));
    delayed_calls.Run(Milliseconds(1), [self = shared_from_this(), fn] {
      if (!self->is_closed) self->is_paused ? self->queued.push_back(fn) : fn();
    });
  }
  void Resume() {
    is_paused = false;
    for (auto& fn : std::exchange(queued, {})) Send(std::move(fn));
  }

  /// Drops the queued messages, which own references to this link.
  void Close() {
    is_closed = true;
    std::exchange(queued, {}).clear();
  }

  DelayedCalls& delayed_calls;
  bool is_paused = false;
  bool is_closed = false;
  std::deque<std::function<void()>> queued;
};

/// A worker that fences exactly as the protocol requires and records which
/// owners it has served.
struct FakeWorkerState {
  Result<WorkerReport> Claim(const Fence& fence, ClaimBasis basis,
                             Milliseconds lease) {
    const bool same_owner = fence.owner == owner;
    Epoch granted = fence.epoch;
    if (basis == ClaimBasis::kLeaseExpired) {
      if (!same_owner && lease_until > base::MonotonicNow()) {
        return Error{Errc::kLeaseHeld, ""};
      }
      granted = std::max(granted, epoch.next());
    }
    if (granted < epoch || (granted == epoch && !same_owner)) return Refusal();
    owner = fence.owner;
    epoch = granted;
    lease_until = base::MonotonicNow() + lease;
    ++claims;
    return Report();
  }
  Result<WorkerReport> Renew(const Fence& fence, Milliseconds lease) {
    if (!ServeWithFence(fence)) return Refusal();
    lease_until = base::MonotonicNow() + lease;
    return Report();
  }
  /// Records that `fence` serves the worker, if it is the current one.
  /// @return false when it is not.
  bool ServeWithFence(const Fence& fence) {
    if (fence.owner != owner || fence.epoch != epoch || owner.empty()) {
      return false;
    }
    served_by[{restarts, epoch}].insert(owner);
    return true;
  }
  /// Restarts the worker, which loses its epoch.
  void Restart() {
    epoch = Epoch();
    owner = NodeId();
    lease_until = MonotonicTime(0);
    ++restarts;
  }
  /// The error of a claim or renewal with a stale epoch.
  [[nodiscard]] Error Refusal() const {
    return {Errc::kStaleEpoch, std::to_string(epoch.value())};
  }
  [[nodiscard]] WorkerReport Report() const {
    WorkerReport report;
    report.epoch = epoch;
    report.owner = owner;
    return report;
  }

  Epoch epoch;
  NodeId owner;
  MonotonicTime lease_until{0};
  int restarts = 0;
  int claims = 0;
  /// Owners that served the worker, by number of restarts and epoch.
  std::map<std::pair<int, Epoch>, std::set<NodeId>> served_by;
};

/// Client of a worker. A node destroys it when it loses the worker or claims it
/// again, while calls are still in flight, so calls refer only to the state.
class FakeWorker final : public Worker {
 public:
  FakeWorker(FakeWorkerState& state, std::shared_ptr<Link> link)
      : state_(state), link_(std::move(link)) {}

  void Claim(Fence fence, ClaimBasis basis, Milliseconds lease,
             ReportCallback done) override {
    Call(std::move(done),
         [=, &state = state_] { return state.Claim(fence, basis, lease); });
  }
  void Renew(Fence fence, Milliseconds lease, ReportCallback done) override {
    Call(std::move(done),
         [=, &state = state_] { return state.Renew(fence, lease); });
  }
  void Release(Fence /*fence*/, ReportCallback /*done*/) override {}
  void Command(Fence /*fence*/, TaskCommand /*command*/,
               std::function<void(Result<TaskReport>)> /*done*/) override {}

 private:
  void Call(ReportCallback done, std::function<Result<WorkerReport>()> handle) {
    link_->Send(
        [link = link_, done = std::move(done), handle = std::move(handle)] {
          link->Send([done, report = handle()] { done(report); });
        });
  }

  FakeWorkerState& state_;
  std::shared_ptr<Link> link_;
};

/// The table service. Fails the test when an ownership epoch decreases.
struct FakeTableState {
  enum class Mode : unsigned char {
    kUp,
    kRefusing,      ///< Definitely unavailable.
    kUnresponsive,  ///< Requests take no effect and time out.
    kRepliesLost,   ///< Requests take effect and time out.
    kReadOnly,      ///< Reads succeed; writes take no effect and time out.
  };

  TransactResult Transact(const Transaction& transaction) {
    auto result = rows.Transact(transaction);
    if (result.status != TransactResult::Status::kCommitted) return result;
    for (const Write& write : transaction.writes) {
      if (!write.key.starts_with(ownership::kOwnershipPrefix)) continue;
      const auto row =
          ownership::DecodeOwnership({write.key, *write.value, {}});
      REQUIRE(row.ok());
      CHECK(row.value().epoch > epochs[write.key]);
      epochs[write.key] = row.value().epoch;
    }
    return result;
  }

  Mode mode = Mode::kUp;
  table::MemoryRows rows;
  /// Last epoch written to each ownership row, by row key.
  std::map<std::string, Epoch> epochs;
};

class FakeTable final : public Table {
 public:
  FakeTable(FakeTableState& state, std::shared_ptr<Link> link)
      : state_(state), link_(std::move(link)) {}

  void Read(ReadRequest request, ReadCallback done) override {
    link_->Send([this, link = link_, request, done] {
      if (cut) return Defer([done] { done(Error{Errc::kTimeout, "table"}); });
      if (state_.mode == Mode::kUp || state_.mode == Mode::kReadOnly) {
        return link->Send(
            [done, rows = state_.rows.Read(request)] { done(rows); });
      }
      Defer([done] { done(Error{Errc::kTimeout, "table"}); });
    });
  }
  void Transact(Transaction transaction, TransactCallback done) override {
    link_->Send([this, link = link_, transaction, done] {
      using Status = TransactResult::Status;
      if (cut || state_.mode == Mode::kRefusing) {
        return link->Send([done] { done({Status::kUnavailable, {}, {}}); });
      }
      if (state_.mode == Mode::kUnresponsive ||
          state_.mode == Mode::kReadOnly) {
        return Defer([done] { done({Status::kUnknown, {}, {}}); });
      }
      const auto result = state_.Transact(transaction);
      if (state_.mode == Mode::kUp) {
        return link->Send([done, result] { done(result); });
      }
      Defer([done] { done({Status::kUnknown, {}, {}}); });
    });
  }

  /// True while this node alone cannot reach the table.
  bool cut = false;

 private:
  using Mode = FakeTableState::Mode;

  /// Runs `fn` after the time at which a request without a response times out.
  void Defer(std::function<void()> fn) {
    link_->delayed_calls.Run(
        Milliseconds(30),
        [link = link_, fn = std::move(fn)] { link->Send(fn); });
  }

  FakeTableState& state_;
  std::shared_ptr<Link> link_;
};

class FakeVmList final : public VmList {
 public:
  FakeVmList(const std::vector<VmInfo>& vms, const bool& up,
             std::shared_ptr<Link> link)
      : vms_(vms), up_(up), link_(std::move(link)) {}
  void Fetch(std::function<void(Result<std::vector<VmInfo>>)> done) override {
    link_->Send([this, done = std::move(done)] {
      if (!up_) return done(Error{Errc::kUnavailable, "vms"});
      done(vms_);
    });
  }

 private:
  const std::vector<VmInfo>& vms_;
  const bool& up_;
  std::shared_ptr<Link> link_;
};

struct Cluster;

struct ClusterNode {
  ClusterNode(Cluster& cluster, const std::string& name, std::uint64_t number);
  ~ClusterNode() { link->Close(); }
  ClusterNode(const ClusterNode&) = delete;
  ClusterNode& operator=(const ClusterNode&) = delete;

  [[nodiscard]] rpc::NodeView View() const;

  std::shared_ptr<Link> link;
  rpc::NodeState state = rpc::NodeState::kReady;
  /// Set by a test for a node that can reach neither the table nor a peer.
  bool isolated = false;
  NodeId id;
  Incarnation incarnation;
  Address address;
  FakeTable table;
  FakeVmList vm_list;
  table::Writer writer;
  config::Store store;
  membership::Membership membership;
  ownership::Manager manager;
};

struct Cluster {
  explicit Cluster(int vm_count) {
    for (int i = 0; i < vm_count; ++i) {
      VmInfo vm;
      vm.name = VmName("vm-" + std::to_string(i));
      vm.address = {"127.0.0.1", 1};
      vms.push_back(vm);
    }
  }

  ClusterNode& Start(const std::string& name) {
    nodes.push_back(
        std::make_unique<ClusterNode>(*this, name, ++started_nodes));
    return *nodes.back();
  }
  void Kill(ClusterNode& node) {
    std::erase_if(nodes, [&](const auto& n) { return n.get() == &node; });
  }
  [[nodiscard]] ClusterNode* FindNode(const Address& address) const {
    for (const auto& node : nodes) {
      if (node->address == address) return node.get();
    }
    return nullptr;
  }
  /// Cuts the link between two nodes in both directions; both can still reach
  /// the table and the workers.
  void Cut(const ClusterNode& a, const ClusterNode& b) {
    cut.insert({a.address.port, b.address.port});
    cut.insert({b.address.port, a.address.port});
  }
  [[nodiscard]] bool IsCut(const Address& a, const Address& b) const {
    return cut.contains({a.port, b.port});
  }
  /// Number of claims granted by all workers so far.
  [[nodiscard]] int Claims() const {
    int claims = 0;
    for (const auto& [vm, worker] : workers) claims += worker.claims;
    return claims;
  }
  /// Sends a change of ownership from one node to all others.
  void Push(const ClusterNode& from, const KnownOwner& known) const {
    for (const auto& node : nodes) {
      if (node.get() == &from || IsCut(from.address, node->address)) continue;
      from.link->Send([this, to = node->address, known] {
        ClusterNode* node = FindNode(to);
        if (node == nullptr) return;
        node->link->Send([node, known] { node->manager.AdoptRows({known}); });
      });
    }
  }

  /// Runs the loop until `done` holds; the limit is reached only by a failed
  /// test.
  /// @return the value of `done` at the end.
  bool RunUntil(const std::function<bool()>& done,
                Milliseconds limit = Milliseconds(20'000)) {
    const MonotonicTime until = base::MonotonicNow() + limit;
    const auto timer = loop.Every(Milliseconds(2), 0, [&] {
      if (done() || base::MonotonicNow() > until) loop.Stop();
    });
    loop.Run();
    return done();
  }
  void RunFor(Milliseconds time) {
    RunUntil([] { return false; }, time);
  }

  [[nodiscard]] std::optional<OwnershipRow> RowOf(const VmName& vm) const {
    const auto found = table.rows.Read({{ownership::OwnershipRowKey(vm)}, {}});
    if (found.empty()) return std::nullopt;
    return ownership::DecodeOwnership(found[0]).value();
  }
  /// True if each worker is served by exactly one node.
  [[nodiscard]] bool EachWorkerHasOneOwner() {
    for (const VmInfo& vm : vms) {
      int owners = 0;
      for (const auto& node : nodes) {
        const auto worker = node->manager.FindOwned(vm.name);
        if (worker != nullptr &&
            workers[vm.name].ServeWithFence(worker->fence())) {
          ++owners;
        }
      }
      if (owners != 1) return false;
    }
    return true;
  }
  /// True if, in addition, the table records each worker's owner and epoch.
  [[nodiscard]] bool Converged() {
    for (const VmInfo& vm : vms) {
      const auto row = RowOf(vm.name);
      if (!row || row->epoch != workers[vm.name].epoch ||
          workers[vm.name].owner.str() !=
              row->node.str() + "/" +
                  std::to_string(row->incarnation.value())) {
        return false;
      }
    }
    return EachWorkerHasOneOwner();
  }
  void CheckOneOwnerPerEpoch() const {
    for (const auto& [vm, worker] : workers) {
      for (const auto& [key, owners] : worker.served_by) {
        CHECK(owners.size() == 1);
      }
    }
  }

  base::SimulatedClock clock;
  base::EventLoop loop;
  DelayedCalls delayed_calls{loop};
  FakeTableState table;
  std::vector<VmInfo> vms;
  bool vm_list_up = true;
  std::map<VmName, FakeWorkerState> workers;
  std::uint64_t started_nodes = 0;
  /// Ports of the nodes between which the link is cut, in both orders.
  std::set<std::pair<std::uint16_t, std::uint16_t>> cut;
  std::vector<std::unique_ptr<ClusterNode>> nodes;
};

inline ownership::ManagerOptions ScaledOptions(const NodeId& id,
                                               Incarnation incarnation,
                                               const bool& isolated) {
  ownership::ManagerOptions options;
  options.is_isolated = [&isolated] { return isolated; };
  options.node = id;
  options.incarnation = incarnation;
  options.lease = {Milliseconds(100), Milliseconds(15), Milliseconds(70)};
  options.tick_period = Milliseconds(5);
  options.refresh_period = Milliseconds(15);
  options.full_refresh_period = Milliseconds(300);
  options.vm_list_period = Milliseconds(30);
  options.discovery_period = Milliseconds(100);
  options.max_write_wait = Milliseconds(20);
  options.write_retry_delay = Milliseconds(30);
  options.lease_held_retry_delay = Milliseconds(10);
  options.max_moves_per_second = 200;
  return options;
}

inline membership::MembershipOptions ScaledMembership(const Cluster& cluster) {
  membership::MembershipOptions options;
  for (const auto& node : cluster.nodes) options.seeds.push_back(node->address);
  options.heartbeat_period = Milliseconds(10);
  options.suspect_after = Milliseconds(40);
  options.dead_after = Milliseconds(80);
  return options;
}

inline table::WriterOptions ScaledWriter() {
  table::WriterOptions options;
  options.budget = 2'000;
  options.burst = 2'000;
  options.max_wait = Milliseconds(60);
  return options;
}

inline ClusterNode::ClusterNode(Cluster& cluster, const std::string& name,
                                std::uint64_t number)
    : link(std::make_shared<Link>(cluster.delayed_calls)),
      id(name),
      incarnation(number),
      address{"127.0.0.1", static_cast<std::uint16_t>(number)},
      table(cluster.table, link),
      vm_list(cluster.vms, cluster.vm_list_up, link),
      writer(cluster.loop, table, "writer/" + std::to_string(number),
             ScaledWriter()),
      membership(
          cluster.loop, ScaledMembership(cluster), [this] { return View(); },
          [this, &cluster](const Address& to, const rpc::NodeView& view,
                           Milliseconds /*timeout*/, auto done) {
            link->Send([this, &cluster, to, view, done] {
              ClusterNode* peer = cluster.FindNode(to);
              if (peer == nullptr || peer->link->is_paused ||
                  cluster.IsCut(address, to)) {
                return cluster.delayed_calls.Run(
                    Milliseconds(30), [link = link, done] {
                      if (!link->is_closed) {
                        done(Error{Errc::kTimeout, ""});
                      }
                    });
              }
              link->Send([done, reply = peer->membership.OnHeartbeat(view)] {
                done(reply);
              });
            });
          }),
      manager(
          cluster.loop, ScaledOptions(id, incarnation, isolated), table, writer,
          vm_list, membership, store, [this, &cluster](const VmInfo& vm) {
            ownership::WorkerLink worker_link;
            worker_link.make_control = [this, &cluster, name = vm.name] {
              return std::make_unique<FakeWorker>(cluster.workers[name], link);
            };
            worker_link.requests =
                net::HttpClientPool::Create(cluster.loop, vm.address, {});
            return worker_link;
          }) {
  manager.owner_changed().connect([this, &cluster](const KnownOwner& known) {
    cluster.Push(*this, known);
  });
  membership.Start();
  manager.Start();
}

inline rpc::NodeView ClusterNode::View() const {
  rpc::NodeView view;
  view.node = id;
  view.incarnation = incarnation;
  view.state = state;
  view.rpc_address = address;
  view.known_peers = membership.KnownAddresses();
  return view;
}

}  // namespace mangospread::test
