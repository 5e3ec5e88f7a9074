#include "rpc/peer_service.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <future>
#include <map>
#include <utility>

#include "base/events.hpp"
#include "rpc/codec.hpp"
#include "rpc/rpc_thread.hpp"
#include "rpc/task_codec.hpp"

namespace mangospread::rpc {
namespace {

/// Bodies are limited to 8 MiB at the gateway; a message holds one body and
/// its headers.
constexpr std::uint64_t kMaxMessageWords = 2 * 1024 * 1024;

constexpr Milliseconds kConnectTimeout{500};
/// Added to a forwarded request's own deadline, so that the owner's answer
/// about a timeout still arrives.
constexpr Milliseconds kForwardMargin{200};

capnp::ReaderOptions MakeReaderOptions() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  return options;
}

kj::Duration ToKj(Milliseconds time) { return time.count() * kj::MILLISECONDS; }

void SetNoDelay(kj::AsyncIoStream& stream) {
  const int on = 1;
  stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

namespace detail {

/// What a call that exceeds its bound says about the connection. A heartbeat
/// is answered at once, so a late one means a silent connection; a forwarded
/// request may be slow on a healthy one.
enum class OnTimeout : unsigned char { kKeep, kClose };

/// Runs a handler on the core thread and returns its answer as a promise.
class CoreBridge {
 public:
  CoreBridge(base::EventLoop& core, std::shared_ptr<RpcThread> thread)
      : core_(core), thread_(std::move(thread)) {}

  /// `start` is called on the core thread with the function to answer with.
  template <typename T>
  kj::Promise<T> Call(std::function<void(std::function<void(T)>)> start) {
    auto paf = kj::newPromiseAndFulfiller<T>();
    // Fulfillers belong to the KJ thread; the core thread only carries it.
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<T>>>(
        kj::mv(paf.fulfiller));
    auto hold = std::make_shared<Holder<T>>(thread_, std::move(fulfiller));
    core_.Post([start = std::move(start), hold = std::move(hold)] {
      start([hold](T value) { hold->Fulfill(std::move(value)); });
    });
    return kj::mv(paf.promise);
  }

 private:
  /// Returns the fulfiller to the KJ thread even if it is never used.
  template <typename T>
  class Holder {
   public:
    using Fulfiller = std::shared_ptr<kj::Own<kj::PromiseFulfiller<T>>>;
    Holder(std::shared_ptr<RpcThread> thread, Fulfiller fulfiller)
        : thread_(std::move(thread)), fulfiller_(std::move(fulfiller)) {}
    ~Holder() {
      if (fulfiller_ == nullptr) return;
      thread_->Post(
          [moved = std::move(fulfiller_)]() mutable { moved.reset(); });
    }
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    void Fulfill(T value) {
      if (fulfiller_ == nullptr) return;
      auto shared = std::make_shared<T>(std::move(value));
      thread_->Post([moved = std::move(fulfiller_), shared]() mutable {
        (*moved)->fulfill(kj::mv(*shared));
        moved.reset();
      });
    }

   private:
    std::shared_ptr<RpcThread> thread_;
    Fulfiller fulfiller_;
  };

  base::EventLoop& core_;
  std::shared_ptr<RpcThread> thread_;
};

template <typename T, typename Init>
void EncodeList(const std::vector<T>& items, Init init) {
  auto list = init(static_cast<unsigned>(items.size()));
  for (unsigned i = 0; i < list.size(); ++i) Encode(items[i], list[i]);
}

template <typename T, typename List>
std::vector<T> DecodeList(const List& list) {
  std::vector<T> items;
  items.reserve(list.size());
  for (const auto item : list) items.push_back(Decode(item));
  return items;
}

/// Serves peers' calls on the KJ thread.
class PeerServer final : public wire::Peer::Server {
 public:
  PeerServer(CoreBridge& bridge, const PeerHandlers& handlers)
      : bridge_(bridge), handlers_(handlers) {}

  kj::Promise<void> heartbeat(HeartbeatContext context) override {  // NOLINT
    NodeView view = Decode(context.getParams().getView());
    return bridge_
        .Call<NodeView>([this, view = std::move(view)](auto reply) {
          reply(handlers_.heartbeat(view));
        })
        .then([context](NodeView own) mutable {
          Encode(own, context.getResults().initView());
        });
  }

  kj::Promise<void> forward(ForwardContext context) override {  // NOLINT
    auto request = std::make_shared<ForwardRequest>(
        Decode(context.getParams().getRequest()));
    context.releaseParams();
    return bridge_
        .Call<ForwardReply>([this, request](auto reply) {
          handlers_.forward(std::move(*request), std::move(reply));
        })
        .then([context](ForwardReply answer) mutable {
          Encode(answer, context.getResults().initReply());
        });
  }

  kj::Promise<void> pushConfig(PushConfigContext context) override {  // NOLINT
    ConfigDelta delta = Decode(context.getParams().getDelta());
    return bridge_
        .Call<Revision>([this, delta = std::move(delta)](auto reply) {
          reply(handlers_.push_config(delta));
        })
        .then([context](Revision revision) mutable {
          context.getResults().setRevision(revision.value());
        });
  }

  kj::Promise<void> configSince(  // NOLINT
      ConfigSinceContext context) override {
    const Revision revision(context.getParams().getRevision());
    return bridge_
        .Call<ConfigDelta>([this, revision](auto reply) {
          reply(handlers_.config_since(revision));
        })
        .then([context](ConfigDelta delta) mutable {
          Encode(delta, context.getResults().initDelta());
        });
  }

  kj::Promise<void> ownershipSnapshot(  // NOLINT
      OwnershipSnapshotContext context) override {
    return bridge_
        .Call<OwnershipSnapshot>(
            [this](auto reply) { reply(handlers_.ownership_snapshot()); })
        .then([context](OwnershipSnapshot snapshot) mutable {
          auto results = context.getResults();
          EncodeList(snapshot.entries,
                     [&results](unsigned n) { return results.initEntries(n); });
          EncodeList(snapshot.vms,
                     [&results](unsigned n) { return results.initVms(n); });
        });
  }

  kj::Promise<void> pushOwnership(  // NOLINT
      PushOwnershipContext context) override {
    auto entries = DecodeList<OwnershipEntry>(context.getParams().getEntries());
    return bridge_
        .Call<Done>([this, entries = std::move(entries)](auto reply) {
          handlers_.push_ownership(entries);
          reply(Done{});
        })
        .ignoreResult();
  }

  kj::Promise<void> taskCommand(  // NOLINT
      TaskCommandContext context) override {
    TaskCall call = Decode(context.getParams().getCall());
    return bridge_
        .Call<Result<TaskReport>>([this, call = std::move(call)](auto reply) {
          handlers_.task_command(call, std::move(reply));
        })
        .then([context](Result<TaskReport> result) mutable {
          Encode(result, context.getResults().initResult());
        });
  }

  kj::Promise<void> reportTasks(  // NOLINT
      ReportTasksContext context) override {
    auto report =
        std::make_shared<NodeReport>(Decode(context.getParams().getReport()));
    return bridge_
        .Call<NodeReportReply>([this, report](auto reply) {
          reply(handlers_.report_tasks(*report));
        })
        .then([context](NodeReportReply answer) mutable {
          auto results = context.getResults();
          results.setSchedulerEpoch(answer.scheduler_epoch.value());
          results.setAccepted(answer.accepted);
        });
  }

  kj::Promise<void> schedulerQuery(  // NOLINT
      SchedulerQueryContext context) override {
    std::string path = context.getParams().getPath();
    return bridge_
        .Call<QueryReply>([this, path = std::move(path)](auto reply) {
          reply(handlers_.scheduler_query(path));
        })
        .then([context](QueryReply answer) mutable {
          auto results = context.getResults();
          results.setStatus(static_cast<std::uint16_t>(answer.status));
          results.setBody(answer.body);
        });
  }

 private:
  CoreBridge& bridge_;
  const PeerHandlers& handlers_;
};

/// A connection to a peer, kept alive by the calls that use it.
struct PeerConnection {
  PeerConnection(kj::Own<kj::AsyncIoStream> opened)  // NOLINT
      : stream(kj::mv(opened)),
        network(*stream, capnp::rpc::twoparty::Side::CLIENT,
                MakeReaderOptions()),
        rpc(capnp::makeRpcClient(network)),
        peer(Bootstrap()) {}

  wire::Peer::Client Bootstrap() {
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(vat).castAs<wire::Peer>();
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
  wire::Peer::Client peer;
};

/// Accepted connection and its RPC system.
struct AcceptedPeer {
  AcceptedPeer(kj::Own<kj::AsyncIoStream> accepted,
               capnp::Capability::Client bootstrap)
      : stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER,
                MakeReaderOptions()),
        rpc(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

/// Everything that lives on the KJ thread.
class PeerHost final : private kj::TaskSet::ErrorHandler {
 public:
  explicit PeerHost(base::EventLoop& core)
      : core_(core),
        thread_(std::make_shared<RpcThread>()),
        bridge_(core, thread_) {
    thread_->Run([this] { tasks_ = kj::heap<kj::TaskSet>(errors()); });
  }

  ~PeerHost() {
    thread_->Run([this] {
      tasks_ = nullptr;
      connections_.clear();
      listener_ = nullptr;
    });
    thread_->Stop();
  }

  PeerHost(const PeerHost&) = delete;
  PeerHost& operator=(const PeerHost&) = delete;

  Result<Address> Listen(const Address& address, PeerHandlers handlers) {
    handlers_ = std::move(handlers);
    std::promise<Result<Address>> bound;
    thread_->Run([&] {
      tasks_->add(
          network()
              .parseAddress(address.ip, address.port)
              .then(
                  [this, &bound, &address](kj::Own<kj::NetworkAddress> parsed) {
                    listener_ = parsed->listen();
                    const unsigned port = listener_->getPort();
                    tasks_->add(AcceptLoop());
                    bound.set_value(
                        Address{address.ip, static_cast<std::uint16_t>(port)});
                  })
              .catch_([&bound, &address](kj::Exception&& /*exception*/) {
                bound.set_value(Error{Errc::kUnavailable, ToString(address)});
              }));
    });
    return bound.get_future().get();
  }

  /// Makes a call on the peer's connection. `send` issues the request and
  /// returns its promise; the result or error reaches `done` on the core
  /// thread.
  template <typename T>
  void Call(const Address& peer, Milliseconds timeout, OnTimeout on_timeout,
            ReplyCallback<T> done,
            std::function<kj::Promise<T>(wire::Peer::Client&)> send) {
    auto state = std::make_shared<CallState<T>>();
    state->done = std::move(done);
    state->send = std::move(send);
    thread_->Post([this, peer, timeout, on_timeout, state] {
      StartCall<T>(peer, timeout, on_timeout, state);
    });
  }

 private:
  using ConnectionPtr = std::shared_ptr<PeerConnection>;

  kj::TaskSet::ErrorHandler& errors() { return *this; }
  kj::Network& network() { return thread_->io().provider->getNetwork(); }
  kj::Timer& timer() { return thread_->io().provider->getTimer(); }
  void taskFailed(kj::Exception&& /*exception*/) override {}  // NOLINT

  kj::Promise<void> AcceptLoop() {
    return listener_->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
      SetNoDelay(*stream);
      auto accepted = kj::heap<AcceptedPeer>(
          kj::mv(stream), kj::heap<PeerServer>(bridge_, handlers_));
      auto gone = accepted->network.onDisconnect();
      tasks_->add(gone.attach(kj::mv(accepted)));
      return AcceptLoop();
    });
  }

  kj::Promise<ConnectionPtr> Connect(const Address& peer) {
    const auto it = connections_.find(peer);
    if (it != connections_.end()) return ConnectionPtr(it->second);
    return timer()
        .timeoutAfter(ToKj(kConnectTimeout),
                      network()
                          .parseAddress(peer.ip, peer.port)
                          .then([](kj::Own<kj::NetworkAddress> address) {
                            auto connecting = address->connect();
                            return connecting.attach(kj::mv(address));
                          }))
        .then([this, peer](kj::Own<kj::AsyncIoStream> stream) {
          // Another call may have connected meanwhile; one is enough.
          const auto existing = connections_.find(peer);
          if (existing != connections_.end()) return existing->second;
          SetNoDelay(*stream);
          auto connection = std::make_shared<PeerConnection>(kj::mv(stream));
          connections_.emplace(peer, connection);
          return connection;
        });
  }

  template <typename T>
  struct CallState {
    ReplyCallback<T> done;
    std::function<kj::Promise<T>(wire::Peer::Client&)> send;
    ConnectionPtr connection;
  };

  template <typename T>
  void StartCall(const Address& peer, Milliseconds timeout,
                 OnTimeout on_timeout,
                 const std::shared_ptr<CallState<T>>& state) {
    auto call = Connect(peer).then([state](ConnectionPtr connection) {
      state->connection = connection;
      return state->send(connection->peer);
    });
    tasks_->add(
        timer()
            .timeoutAfter(ToKj(timeout), kj::mv(call))
            .then(
                [this, state](T value) { Deliver<T>(state, std::move(value)); },
                [this, state, peer, on_timeout](kj::Exception&& exception) {
                  const bool late = IsTimeout(exception);
                  if (!late || on_timeout == OnTimeout::kClose) {
                    Drop(peer, state->connection);
                  }
                  Deliver<T>(state,
                             ToError(late, peer, state->connection != nullptr));
                }));
  }

  static bool IsTimeout(const kj::Exception& exception) {
    return exception.getType() == kj::Exception::Type::OVERLOADED;
  }

  static Error ToError(bool late, const Address& peer, bool connected) {
    if (!connected) return {Errc::kConnectFailed, ToString(peer)};
    return {late ? Errc::kTimeout : Errc::kConnectionLost, ToString(peer)};
  }

  template <typename T>
  void Deliver(const std::shared_ptr<CallState<T>>& state, Result<T> result) {
    core_.Post([done = std::move(state->done),
                result = std::make_shared<Result<T>>(std::move(result))] {
      done(std::move(*result));
    });
  }

  /// Forgets a failed connection. It is destroyed outside its own callbacks.
  void Drop(const Address& peer, const ConnectionPtr& failed) {
    const auto it = connections_.find(peer);
    if (it == connections_.end() || it->second != failed) return;
    base::Log(base::Event::kPeerConnectionReset, {{"peer", ToString(peer)}});
    thread_->Post([gone = it->second] { (void)gone; });
    connections_.erase(it);
  }

  base::EventLoop& core_;
  PeerHandlers handlers_;
  std::map<Address, ConnectionPtr> connections_;
  kj::Own<kj::ConnectionReceiver> listener_;
  kj::Own<kj::TaskSet> tasks_;
  std::shared_ptr<RpcThread> thread_;
  CoreBridge bridge_;
};

}  // namespace detail

PeerService::PeerService(base::EventLoop& core)
    : host_(std::make_unique<detail::PeerHost>(core)) {}

PeerService::~PeerService() = default;

Result<Address> PeerService::Listen(const Address& address,
                                    PeerHandlers handlers) {
  return host_->Listen(address, std::move(handlers));
}

void PeerService::Heartbeat(const Address& peer, const NodeView& view,
                            Milliseconds timeout,
                            ReplyCallback<NodeView> done) {
  host_->Call<NodeView>(peer, timeout, detail::OnTimeout::kClose,
                        std::move(done), [view](wire::Peer::Client& client) {
                          auto call = client.heartbeatRequest();
                          Encode(view, call.initView());
                          return call.send().then([](auto&& answer) {
                            return Decode(answer.getView());
                          });
                        });
}

void PeerService::Forward(const Address& peer, ForwardRequest request,
                          ReplyCallback<ForwardReply> done) {
  const Milliseconds timeout = request.timeout + kForwardMargin;
  auto shared = std::make_shared<ForwardRequest>(std::move(request));
  host_->Call<ForwardReply>(peer, timeout, detail::OnTimeout::kKeep,
                            std::move(done),
                            [shared](wire::Peer::Client& client) {
                              auto call = client.forwardRequest();
                              Encode(*shared, call.initRequest());
                              return call.send().then([](auto&& answer) {
                                return Decode(answer.getReply());
                              });
                            });
}

void PeerService::PushConfig(const Address& peer, ConfigDelta delta,
                             Milliseconds timeout,
                             ReplyCallback<Revision> done) {
  host_->Call<Revision>(peer, timeout, detail::OnTimeout::kKeep,
                        std::move(done),
                        [delta = std::move(delta)](wire::Peer::Client& client) {
                          auto call = client.pushConfigRequest();
                          Encode(delta, call.initDelta());
                          return call.send().then([](auto&& answer) {
                            return Revision(answer.getRevision());
                          });
                        });
}

void PeerService::ConfigSince(const Address& peer, Revision revision,
                              Milliseconds timeout,
                              ReplyCallback<ConfigDelta> done) {
  host_->Call<ConfigDelta>(peer, timeout, detail::OnTimeout::kKeep,
                           std::move(done),
                           [revision](wire::Peer::Client& client) {
                             auto call = client.configSinceRequest();
                             call.setRevision(revision.value());
                             return call.send().then([](auto&& answer) {
                               return Decode(answer.getDelta());
                             });
                           });
}

void PeerService::FetchOwnership(const Address& peer, Milliseconds timeout,
                                 ReplyCallback<OwnershipSnapshot> done) {
  host_->Call<OwnershipSnapshot>(
      peer, timeout, detail::OnTimeout::kKeep, std::move(done),
      [](wire::Peer::Client& client) {
        return client.ownershipSnapshotRequest().send().then([](auto&& answer) {
          return OwnershipSnapshot{
              detail::DecodeList<OwnershipEntry>(answer.getEntries()),
              detail::DecodeList<VmInfo>(answer.getVms())};
        });
      });
}

void PeerService::PushOwnership(const Address& peer,
                                std::vector<OwnershipEntry> entries,
                                Milliseconds timeout,
                                ReplyCallback<Done> done) {
  host_->Call<Done>(
      peer, timeout, detail::OnTimeout::kKeep, std::move(done),
      [entries = std::move(entries)](wire::Peer::Client& client) {
        auto call = client.pushOwnershipRequest();
        detail::EncodeList(entries,
                           [&call](unsigned n) { return call.initEntries(n); });
        return call.send().then([](auto&& /*answer*/) { return Done{}; });
      });
}

void PeerService::TaskCommand(const Address& peer, TaskCall call,
                              Milliseconds timeout,
                              ReplyCallback<TaskReport> done) {
  // The callee's refusal is part of its answer; only its own errors say that
  // the command had no effect.
  host_->Call<Result<TaskReport>>(
      peer, timeout, detail::OnTimeout::kKeep,
      [done = std::move(done)](const Result<Result<TaskReport>>& answer) {
        if (!answer.ok()) return done(answer.error());
        done(answer.value());
      },
      [call = std::move(call)](wire::Peer::Client& client) {
        auto request = client.taskCommandRequest();
        Encode(call, request.initCall());
        return request.send().then(
            [](auto&& answer) { return Decode(answer.getResult()); });
      });
}

void PeerService::ReportTasks(const Address& peer, NodeReport report,
                              Milliseconds timeout,
                              ReplyCallback<NodeReportReply> done) {
  host_->Call<NodeReportReply>(
      peer, timeout, detail::OnTimeout::kKeep, std::move(done),
      [report = std::move(report)](wire::Peer::Client& client) {
        auto request = client.reportTasksRequest();
        Encode(report, request.initReport());
        return request.send().then([](auto&& answer) {
          return NodeReportReply{Epoch(answer.getSchedulerEpoch()),
                                 answer.getAccepted()};
        });
      });
}

void PeerService::SchedulerQuery(const Address& peer, std::string path,
                                 Milliseconds timeout,
                                 ReplyCallback<QueryReply> done) {
  host_->Call<QueryReply>(
      peer, timeout, detail::OnTimeout::kKeep, std::move(done),
      [path = std::move(path)](wire::Peer::Client& client) {
        auto request = client.schedulerQueryRequest();
        request.setPath(path);
        return request.send().then([](auto&& answer) {
          return QueryReply{answer.getStatus(), answer.getBody()};
        });
      });
}

}  // namespace mangospread::rpc
