#include "app/node/node.hpp"

#include <algorithm>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "worker/http_worker.hpp"

namespace mangospread::app {
namespace {

constexpr Milliseconds kConfigPullTimeout{2'000};
constexpr Milliseconds kWorkerTimeout{1'000};
constexpr Milliseconds kHandOverLimit{5'000};
constexpr Milliseconds kStateCheckPeriod{100};
constexpr Milliseconds kStopCheckPeriod{20};
/// What is in flight this long before the limit of a stop is answered without a
/// result. Long enough to release the keys of requests that have not run.
constexpr Milliseconds kAnswerTime{1'500};

/// A node that receives neither a response of the table nor a heartbeat of a
/// peer for this long refuses requests.
constexpr MonotonicTime kIsolationTimeout = std::chrono::seconds(3);

/// Longest wait for the last RPC replies to be sent before the process exits,
/// so that a peer that does not read cannot block the shutdown.
constexpr Milliseconds kFlushLimit{2'000};

/// Connections to a worker for requests. The worker's own limit must also allow
/// for the control connections and for those of a previous owner.
constexpr std::size_t kRequestConnections = 16;
constexpr std::size_t kControlConnections = 2;

std::string WriterRow(const Settings& settings, Incarnation incarnation,
                      const char* purpose) {
  return "writer/" + settings.node.str() + "/" +
         std::to_string(incarnation.value()) + "/" + purpose;
}

/// Table transactions per second of the whole deployment for each purpose,
/// divided among the live nodes.
constexpr double kConfigBudget = 20;
constexpr double kOwnershipBudget = 60;
constexpr double kKeyBudget = 150;

table::WriterOptions MakeWriterOptions(double per_second) {
  table::WriterOptions options;
  options.budget = per_second;
  options.burst = 2 * per_second;
  return options;
}

membership::MembershipOptions MakeMembershipOptions(const Settings& settings) {
  membership::MembershipOptions options;
  options.seeds = settings.seeds;
  return options;
}

ownership::ManagerOptions MakeOwnershipOptions(
    const Settings& settings, Incarnation incarnation,
    std::function<bool()> is_ready, std::function<bool()> is_isolated) {
  ownership::ManagerOptions options;
  options.is_ready = std::move(is_ready);
  options.is_isolated = std::move(is_isolated);
  options.node = settings.node;
  options.incarnation = incarnation;
  options.data_center = settings.data_center;
  options.lease.lease = settings.worker_lease;
  options.claim_without_table = settings.claim_without_table;
  return options;
}

gateway::GatewayOptions MakeGatewayOptions(const Settings& settings,
                                           Incarnation incarnation) {
  gateway::GatewayOptions options;
  options.node = settings.node;
  options.incarnation = incarnation;
  return options;
}

gateway::KeyStoreOptions MakeKeyOptions(const Settings& settings,
                                        Incarnation incarnation) {
  gateway::KeyStoreOptions options;
  options.node = settings.node;
  options.incarnation = incarnation;
  return options;
}

ownership::LinkFactory MakeLinkFactory(base::EventLoop& loop) {
  return [&loop](const VmInfo& vm) {
    auto control = net::HttpClientPool::Create(loop, vm.address,
                                               {kControlConnections, 1 << 22});
    ownership::WorkerLink link;
    link.make_control = [control] {
      return std::make_unique<worker::HttpWorker>(control, kWorkerTimeout);
    };
    net::PoolLimits limits;
    limits.max_connections = kRequestConnections;
    link.requests = net::HttpClientPool::Create(loop, vm.address, limits);
    return link;
  };
}

}  // namespace

Node::Node(base::EventLoop& loop, Settings settings, PlatformClients platform,
           std::function<void(int)> on_stopped)
    : loop_(loop),
      settings_(std::move(settings)),
      incarnation_(base::WallNanoseconds()),
      platform_(std::move(platform)),
      on_stopped_(std::move(on_stopped)),
      stall_probe_(loop_, core_stalls_),
      peers_(loop_),
      config_writer_(loop_, *platform_.table,
                     WriterRow(settings_, incarnation_, "config"),
                     MakeWriterOptions(kConfigBudget)),
      ownership_writer_(loop_, *platform_.table,
                        WriterRow(settings_, incarnation_, "ownership"),
                        MakeWriterOptions(kOwnershipBudget)),
      key_writer_(loop_, *platform_.table,
                  WriterRow(settings_, incarnation_, "idempotency"),
                  MakeWriterOptions(kKeyBudget)),
      sync_(loop_, *platform_.table, store_, {},
            [this](const Address& peer, Revision since, auto done) {
              peers_.ConfigSince(peer, since, kConfigPullTimeout,
                                 std::move(done));
            }),
      editor_(loop_, *platform_.table, config_writer_,
              [this](const Change& change) { OnChangeAccepted(change); }),
      membership_(
          loop_, MakeMembershipOptions(settings_),
          [this] { return SelfView(); },
          [this](const Address& peer, const rpc::NodeView& view,
                 Milliseconds timeout, auto done) {
            peers_.Heartbeat(peer, view, timeout, std::move(done));
          }),
      ownership_(loop_,
                 MakeOwnershipOptions(
                     settings_, incarnation_,
                     [this] { return state_ != rpc::NodeState::kStarting; },
                     [this] { return IsIsolated(); }),
                 *platform_.table, ownership_writer_, *platform_.vm_list,
                 membership_, store_, MakeLinkFactory(loop_)),
      router_(store_, ownership_, membership_, settings_.data_center),
      keys_(loop_, MakeKeyOptions(settings_, incarnation_), *platform_.table,
            key_writer_,
            [this](const NodeId& node, Incarnation incarnation) {
              return IsTerminated(node, incarnation);
            }),
      key_sweep_(
          loop_, {}, *platform_.table, key_writer_,
          [this] { return IsKeySweeper(); }, &base::WallMilliseconds),
      gateway_(
          loop_, MakeGatewayOptions(settings_, incarnation_), store_, router_,
          keys_,
          [this](const Address& peer, rpc::ForwardRequest request, auto done) {
            peers_.Forward(peer, std::move(request), std::move(done));
          },
          [this] { return Admission(); }),
      scheduling_(
          settings_, incarnation_, WriterRow(settings_, incarnation_, "tasks"),
          {loop_, *platform_.table, store_, membership_, ownership_, peers_,
           [this](const NodeId& node, Incarnation incarnation) {
             return IsTerminated(node, incarnation);
           },
           [this] { return state_ == rpc::NodeState::kReady; }}),
      watches_(loop_, store_, {}),
      authenticator_(settings_.tokens),
      api_({authenticator_, store_, editor_, watches_, membership_, ownership_,
            [this] { return SelfView(); }, [this] { return Health(); },
            [this](auto& samples) { CollectSamples(samples); },
            [this](const std::string& path, auto done) {
              scheduling_.Query(path, std::move(done));
            }}),
      server_(loop_, {},
              [this](std::shared_ptr<net::HttpExchange> exchange) {
                Dispatch(std::move(exchange));
              }),
      supervisor_(loop_, {},
                  [this](const Error& /*error*/) { on_stopped_(1); }) {
  membership_.heartbeat_received().connect(
      [this](const rpc::NodeView& view) { OnPeerHeartbeat(view); });
  membership_.changed().connect(
      [this](const membership::Peer& /*peer*/) { DivideBudgets(); });
  ownership_.slot_free().connect([this] { gateway_.OnSlotAvailable(); });
  ownership_.owner_changed().connect(
      [this](const ownership::KnownOwner& owner) { OnOwnerChanged(owner); });
  AddChildren();
}

Node::~Node() = default;

void Node::AddChildren() {
  const auto stop_immediately = [](const std::function<void()>& done) {
    done();
  };
  supervisor_.Add({"rpc",
                   [this]() -> Result<Done> {
                     auto listen_address = peers_.Listen(settings_.rpc_listen,
                                                         MakePeerHandlers());
                     if (!listen_address.ok()) return listen_address.error();
                     rpc_listen_address_ = listen_address.value();
                     advertised_rpc_address_ = settings_.rpc_advertise.port != 0
                                                   ? settings_.rpc_advertise
                                                   : rpc_listen_address_;
                     return Done{};
                   },
                   [this](std::function<void()> done) {
                     peers_.Flush(kFlushLimit, std::move(done));
                   }});
  supervisor_.Add({"forwards", []() -> Result<Done> { return Done{}; },
                   [this](const std::function<void()>& done) {
                     // Peers forward nothing when they know of no free slots.
                     gateway_.StopForwards();
                     membership_.Announce();
                     WaitForForwards(done);
                   },
                   settings_.stop_limit});
  supervisor_.Add({"config",
                   [this]() -> Result<Done> {
                     sync_.Start();
                     return Done{};
                   },
                   stop_immediately});
  supervisor_.Add({"membership",
                   [this]() -> Result<Done> {
                     membership_.Start();
                     return Done{};
                   },
                   stop_immediately});
  supervisor_.Add(
      {"ownership",
       [this]() -> Result<Done> {
         ownership_.Start();
         key_sweep_.Start();
         return Done{};
       },
       [this](std::function<void()> done) { WaitForHandOver(std::move(done)); },
       kHandOverLimit + kStopCheckPeriod});
  supervisor_.Add({"scheduler",
                   [this]() -> Result<Done> {
                     scheduling_.Start();
                     return Done{};
                   },
                   [this](std::function<void()> done) {
                     scheduling_.Stop(std::move(done));
                   }});
  supervisor_.Add({"http",
                   [this]() -> Result<Done> {
                     auto listen_address =
                         server_.Listen(settings_.http_listen);
                     if (!listen_address.ok()) return listen_address.error();
                     http_address_ = listen_address.value();
                     return Done{};
                   },
                   [this](std::function<void()> done) {
                     requests_limit_at_ =
                         base::MonotonicNow() + settings_.stop_limit;
                     WaitForRequests(std::move(done));
                   },
                   settings_.stop_limit});
}

Result<Done> Node::Start() {
  base::Log(base::Event::kNodeStarting,
            {{"data_center", settings_.data_center.str()},
             {"incarnation", incarnation_.value()}});
  auto started = supervisor_.Start();
  if (!started.ok()) return started;
  state_timer_ = loop_.Every(kStateCheckPeriod, 0, [this] { UpdateState(); });
  return Done{};
}

void Node::DivideBudgets() {
  const auto& peers = membership_.peers();
  const auto dead = std::count_if(peers.begin(), peers.end(), [](auto& entry) {
    return entry.second.liveness == membership::Liveness::kDead;
  });
  const auto live =
      static_cast<double>(peers.size() + 1) - static_cast<double>(dead);
  config_writer_.SetBudget(kConfigBudget / live);
  ownership_writer_.SetBudget(kOwnershipBudget / live);
  key_writer_.SetBudget(kKeyBudget / live);
  gateway_.SetLimitShare(LimitShare());
}

gateway::NodeShare Node::LimitShare() const {
  gateway::NodeShare share;
  for (const auto& [node, peer] : membership_.peers()) {
    // A suspect node may still admit requests; a starting one refuses them.
    if (peer.liveness == membership::Liveness::kDead ||
        peer.view.state == rpc::NodeState::kStarting) {
      continue;
    }
    ++share.nodes;
    if (node < settings_.node) ++share.index;
  }
  return share;
}

void Node::UpdateState() {
  if (state_ != rpc::NodeState::kStarting || !store_.loaded()) return;
  state_ = rpc::NodeState::kReady;
  membership_.Announce();
  base::Log(base::Event::kNodeReady,
            {{"http", ToString(http_address_)},
             {"rpc", ToString(advertised_rpc_address_)},
             {"revision", store_.revision().value()}});
}

void Node::Stop() {
  if (state_ == rpc::NodeState::kLeaving) return;
  state_ = rpc::NodeState::kLeaving;
  base::Log(base::Event::kShutdownBegun, {{"in_flight", gateway_.in_flight()}});
  server_.CloseConnections();
  membership_.Announce();
  ownership_.HandOverAll(kHandOverLimit, [this] { handed_over_ = true; });
  // The load balancer takes this long to react to the failing health check; the
  // requests that it sends until then are still served.
  stop_timer_ = loop_.After(settings_.drain_notice, [this] {
    server_.StopListening();
    supervisor_.Stop([this] {
      base::Log(base::Event::kShutdownDone);
      on_stopped_(0);
    });
  });
}

void Node::WaitForRequests(std::function<void()> done) {
  watches_.CloseAll();
  const Milliseconds answer_time =
      std::min(kAnswerTime, settings_.stop_limit / 2);
  if (!requests_ended_ &&
      base::MonotonicNow() >= requests_limit_at_ - answer_time) {
    requests_ended_ = true;
    gateway_.CloseRequests();
  }
  const bool answered = requests_ended_ || gateway_.in_flight() == 0;
  if (answered && server_.unwritten_responses() == 0 && config_writer_.idle() &&
      keys_.idle()) {
    // A request that arrives from now on would be cut off when the process
    // ends.
    requests_ended_ = true;
    return done();
  }
  stop_timer_ =
      loop_.After(kStopCheckPeriod, [this, done = std::move(done)]() mutable {
        WaitForRequests(std::move(done));
      });
}

void Node::WaitForHandOver(std::function<void()> done) {
  if (handed_over_) return done();
  stop_timer_ =
      loop_.After(kStopCheckPeriod, [this, done = std::move(done)]() mutable {
        WaitForHandOver(std::move(done));
      });
}

void Node::WaitForForwards(std::function<void()> done) {
  if (gateway_.in_flight() == 0 || base::MonotonicNow() >= requests_limit_at_) {
    return done();
  }
  stop_timer_ =
      loop_.After(kStopCheckPeriod, [this, done = std::move(done)]() mutable {
        WaitForForwards(std::move(done));
      });
}

rpc::NodeView Node::SelfView() const {
  rpc::NodeView view;
  view.node = settings_.node;
  view.incarnation = incarnation_;
  view.state = state_;
  view.data_center = settings_.data_center;
  view.rpc_address = advertised_rpc_address_;
  view.http_address = http_address_;
  view.revision = store_.revision();
  view.table_reachable =
      base::MonotonicNow() - sync_.last_table_response() < kIsolationTimeout;
  view.known_peers = membership_.KnownAddresses();
  view.owned_workers = static_cast<std::uint32_t>(ownership_.owned().size());
  if (state_ != rpc::NodeState::kStarting && !gateway_.forwards_stopped()) {
    view.free_slots = router_.FreeSlots();
  }
  return view;
}

NotRunReason Node::Health() const {
  if (state_ == rpc::NodeState::kLeaving) return NotRunReason::kShuttingDown;
  return HasNoReachableWorkers() ? NotRunReason::kNodeNotReady : Admission();
}

bool Node::HasNoReachableWorkers() const {
  if (!ownership_.owned().empty() || ownership_.Vms().empty()) return false;
  const MonotonicTime last_peer_contact = membership_.last_heartbeat_at();
  return last_peer_contact.count() != 0 &&
         base::MonotonicNow() - last_peer_contact > kIsolationTimeout;
}

NotRunReason Node::Admission() const {
  if (requests_ended_) return NotRunReason::kShuttingDown;
  if (state_ == rpc::NodeState::kStarting) return NotRunReason::kNodeNotReady;
  return IsIsolated() ? NotRunReason::kNodeNotReady : NotRunReason::kNone;
}

bool Node::IsIsolated() const {
  if (IsSingleNode()) return false;
  const MonotonicTime last_contact =
      std::max(sync_.last_table_response(), membership_.last_heartbeat_at());
  return base::MonotonicNow() - last_contact > kIsolationTimeout;
}

bool Node::IsSingleNode() const {
  if (membership_.last_heartbeat_at().count() != 0) return false;
  return std::all_of(
      settings_.seeds.begin(), settings_.seeds.end(),
      [this](const Address& seed) { return seed == advertised_rpc_address_; });
}

bool Node::IsTerminated(const NodeId& node, Incarnation incarnation) const {
  if (node == settings_.node) return incarnation != incarnation_;
  const membership::Peer* peer = membership_.Find(node);
  if (peer == nullptr) {
    return base::MonotonicNow() - membership_.started() > kIsolationTimeout;
  }
  return peer->liveness == membership::Liveness::kDead ||
         peer->view.incarnation > incarnation;
}

bool Node::IsKeySweeper() const {
  if (state_ != rpc::NodeState::kReady) return false;
  for (const auto& [node, peer] : membership_.peers()) {
    if (peer.liveness == membership::Liveness::kAlive &&
        peer.view.state == rpc::NodeState::kReady && node < settings_.node) {
      return false;
    }
  }
  return true;
}

void Node::Dispatch(std::shared_ptr<net::HttpExchange> exchange) {
  constexpr std::string_view kServicePrefix = "/svc/";
  if (exchange->request().target.starts_with(kServicePrefix)) {
    gateway_.Handle(std::move(exchange));
  } else {
    api_.Handle(std::move(exchange));
  }
}

}  // namespace mangospread::app
