#include "rpc/peer_service.hpp"

#include <kj/async-io.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <future>
#include <map>
#include <set>
#include <utility>

#include "base/events.hpp"
#include "rpc/codec/codec.hpp"
#include "rpc/codec/task_codec.hpp"
#include "rpc/peer_connection.hpp"
#include "rpc/peer_server.hpp"
#include "rpc/rpc_thread.hpp"

namespace mangospread::rpc {
namespace {

constexpr Milliseconds kConnectTimeout{500};
/// Added to a forwarded request's own deadline, so that the owner's answer
/// about a timeout still arrives.
constexpr Milliseconds kForwardMargin{200};

/// A data connection is probed this often. A probe may wait behind bodies of
/// up to 8 MiB, so its bound grows with the calls in progress.
constexpr Milliseconds kProbePeriod{400};
constexpr Milliseconds kProbeTimeout{800};
constexpr Milliseconds kProbeTimeoutPerCall{100};

/// Peers send a heartbeat or a probe at least each second, so an accepted
/// connection without calls for this long was given up by its peer.
constexpr Milliseconds kAcceptedIdleLimit{30'000};

/// After a failed accept, for example without free file descriptors.
constexpr Milliseconds kAcceptRetry{100};

constexpr Milliseconds kFlushRecheck{5};

kj::Duration ToKj(Milliseconds time) { return time.count() * kj::MILLISECONDS; }

void SetNoDelay(kj::AsyncIoStream& stream) {
  const int on = 1;
  stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

namespace detail {

/// Bodies and snapshots have a connection of their own, so that heartbeats
/// and pushes do not wait behind them.
enum class Channel : unsigned char { kControl, kData };

/// What a call that exceeds its bound says about the connection. A heartbeat
/// is answered at once, so a late one means a silent connection; a forwarded
/// request may be slow on a healthy one.
enum class OnTimeout : unsigned char { kKeep, kClose };

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

  /// A peer's address with the connection to use.
  using Endpoint = std::pair<Address, Channel>;

  /// Calls `done` on the core thread when no answer is left to compute or to
  /// write, or after `limit`.
  void Flush(Milliseconds limit, std::function<void()> done) {
    thread_->Post([this, limit, done = std::move(done)] {
      auto idle = timer().afterDelay(ToKj(kFlushRecheck)).then([this] {
        return WaitIdle();
      });
      tasks_->add(idle.exclusiveJoin(timer().afterDelay(ToKj(limit)))
                      .then([this, done] { core_.Post(done); }));
    });
  }

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

  [[nodiscard]] const base::StallRecord& stalls() const noexcept {
    return thread_->stalls();
  }

  /// Makes a call on the peer's connection. `send` issues the request and
  /// returns its promise; the result or error reaches `done` on the core
  /// thread.
  template <typename T>
  void Call(Endpoint peer, Milliseconds timeout, OnTimeout on_timeout,
            ReplyCallback<T> done,
            std::function<kj::Promise<T>(wire::Peer::Client&)> send) {
    auto state = std::make_shared<CallState<T>>();
    state->done = std::move(done);
    state->send = std::move(send);
    // Moved, so that its connection is never destroyed on this thread.
    thread_->Post([this, peer, timeout, on_timeout, state = std::move(state)] {
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
    return listener_->accept()
        .then([this](kj::Own<kj::AsyncIoStream> stream) {
          Accept(kj::mv(stream));
        })
        .catch_([this](kj::Exception&& /*exception*/) {
          return timer().afterDelay(ToKj(kAcceptRetry));
        })
        .then([this] { return AcceptLoop(); });
  }

  void Accept(kj::Own<kj::AsyncIoStream> stream) {
    SetNoDelay(*stream);
    auto activity = std::make_shared<ServerActivity>();
    auto accepted = kj::heap<AcceptedPeer>(
        kj::mv(stream), kj::heap<PeerServer>(bridge_, handlers_, activity));
    AcceptedPeer* raw = accepted.get();
    accepted_.insert(raw);
    auto gone = raw->network.onDisconnect().exclusiveJoin(WaitUnused(activity));
    tasks_->add(gone.attach(kj::defer([this, raw] { accepted_.erase(raw); }),
                            kj::mv(accepted)));
  }

  /// Resolves when the connection has had no call for the limit.
  kj::Promise<void> WaitUnused(std::shared_ptr<ServerActivity> activity) {
    return timer()
        .afterDelay(ToKj(kAcceptedIdleLimit))
        .then([this, activity]() -> kj::Promise<void> {
          if (base::MonotonicNow() - activity->last_call > kAcceptedIdleLimit) {
            return kj::READY_NOW;
          }
          return WaitUnused(activity);
        });
  }

  [[nodiscard]] bool Idle() {
    if (bridge_.pending() > 0) return false;
    for (AcceptedPeer* peer : accepted_) {
      if (peer->network.getCurrentQueueSize() > 0) return false;
    }
    for (const auto& [endpoint, connection] : connections_) {
      if (connection->network.getCurrentQueueSize() > 0) return false;
    }
    return true;
  }

  /// An answer is queued one turn after it was computed, so the queues have
  /// to be empty twice.
  kj::Promise<void> WaitIdle(int seen = 0) {
    const int idle = Idle() ? seen + 1 : 0;
    if (idle == 2) return kj::READY_NOW;
    return timer().afterDelay(ToKj(kFlushRecheck)).then([this, idle] {
      return WaitIdle(idle);
    });
  }

  kj::Promise<ConnectionPtr> Connect(const Endpoint& peer) {
    const auto it = connections_.find(peer);
    if (it != connections_.end()) return ConnectionPtr(it->second);
    return timer()
        .timeoutAfter(ToKj(kConnectTimeout),
                      network()
                          .parseAddress(peer.first.ip, peer.first.port)
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
          // The control connection is probed by the heartbeats.
          if (peer.second == Channel::kData) {
            tasks_->add(ProbeLoop(peer, connection));
          }
          return connection;
        });
  }

  /// Closes a connection that went silent, so that its calls fail at once and
  /// the next call opens a new one.
  kj::Promise<void> ProbeLoop(Endpoint peer, ConnectionPtr connection) {
    return timer()
        .afterDelay(ToKj(kProbePeriod))
        .then([this, peer, connection]() -> kj::Promise<void> {
          const auto it = connections_.find(peer);
          if (it == connections_.end() || it->second != connection) {
            return kj::READY_NOW;
          }
          const Milliseconds bound =
              kProbeTimeout + connection->calls * kProbeTimeoutPerCall;
          return timer()
              .timeoutAfter(
                  ToKj(bound),
                  connection->peer.pingRequest().send().ignoreResult())
              .then([this, peer,
                     connection] { return ProbeLoop(peer, connection); },
                    [this, peer, connection](kj::Exception&& /*exception*/) {
                      Drop(peer, connection);
                      return kj::Promise<void>(kj::READY_NOW);
                    });
        });
  }

  template <typename T>
  struct CallState {
    ~CallState() {
      if (connection != nullptr) --connection->calls;
    }
    ReplyCallback<T> done;
    std::function<kj::Promise<T>(wire::Peer::Client&)> send;
    ConnectionPtr connection;
  };

  template <typename T>
  void StartCall(const Endpoint& peer, Milliseconds timeout,
                 OnTimeout on_timeout,
                 const std::shared_ptr<CallState<T>>& state) {
    auto call = Connect(peer).then([state](ConnectionPtr connection) {
      state->connection = connection;
      ++connection->calls;
      return state->send(connection->peer);
    });
    tasks_->add(
        timer()
            .timeoutAfter(ToKj(timeout), kj::mv(call))
            .then(
                [this, state](T value) { Deliver<T>(state, std::move(value)); },
                [this, state, peer, on_timeout](kj::Exception&& exception) {
                  const bool late = IsTimeout(exception);
                  const auto connection = state->connection;
                  Deliver<T>(state,
                             ToError(late, peer.first, connection != nullptr));
                  if (!late || on_timeout == OnTimeout::kClose) {
                    Drop(peer, connection);
                  }
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

  /// Forgets a failed connection and ends the calls on it. It is destroyed
  /// outside its own callbacks.
  void Drop(const Endpoint& peer, const ConnectionPtr& failed) {
    const auto it = connections_.find(peer);
    if (it == connections_.end() || it->second != failed) return;
    base::Log(base::Event::kPeerConnectionReset,
              {{"peer", ToString(peer.first)},
               {"data", peer.second == Channel::kData}});
    connections_.erase(it);
    thread_->Post([gone = failed] { (void)gone; });
    // Fails on a connection that the peer has reset, whose calls have ended.
    (void)kj::runCatchingExceptions([&failed] { failed->stream->abortRead(); });
  }

  base::EventLoop& core_;
  PeerHandlers handlers_;
  std::map<Endpoint, ConnectionPtr> connections_;
  std::set<AcceptedPeer*> accepted_;
  kj::Own<kj::ConnectionReceiver> listener_;
  kj::Own<kj::TaskSet> tasks_;
  std::shared_ptr<RpcThread> thread_;
  CoreBridge bridge_;
};

}  // namespace detail

PeerService::PeerService(base::EventLoop& core)
    : host_(std::make_unique<detail::PeerHost>(core)) {}

PeerService::~PeerService() = default;

void PeerService::Flush(Milliseconds limit, std::function<void()> done) {
  host_->Flush(limit, std::move(done));
}

const base::StallRecord& PeerService::stalls() const noexcept {
  return host_->stalls();
}

Result<Address> PeerService::Listen(const Address& address,
                                    PeerHandlers handlers) {
  return host_->Listen(address, std::move(handlers));
}

void PeerService::Heartbeat(const Address& peer, const NodeView& view,
                            Milliseconds timeout,
                            ReplyCallback<NodeView> done) {
  host_->Call<NodeView>({peer, detail::Channel::kControl}, timeout,
                        detail::OnTimeout::kClose, std::move(done),
                        [view](wire::Peer::Client& client) {
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
  host_->Call<ForwardReply>({peer, detail::Channel::kData}, timeout,
                            detail::OnTimeout::kKeep, std::move(done),
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
  host_->Call<Revision>({peer, detail::Channel::kControl}, timeout,
                        detail::OnTimeout::kKeep, std::move(done),
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
  host_->Call<ConfigDelta>({peer, detail::Channel::kData}, timeout,
                           detail::OnTimeout::kKeep, std::move(done),
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
      {peer, detail::Channel::kData}, timeout, detail::OnTimeout::kKeep,
      std::move(done), [](wire::Peer::Client& client) {
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
      {peer, detail::Channel::kControl}, timeout, detail::OnTimeout::kKeep,
      std::move(done),
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
      {peer, detail::Channel::kControl}, timeout, detail::OnTimeout::kKeep,
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
      {peer, detail::Channel::kData}, timeout, detail::OnTimeout::kKeep,
      std::move(done),
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
      {peer, detail::Channel::kData}, timeout, detail::OnTimeout::kKeep,
      std::move(done), [path = std::move(path)](wire::Peer::Client& client) {
        auto request = client.schedulerQueryRequest();
        request.setPath(path);
        return request.send().then([](auto&& answer) {
          return QueryReply{answer.getStatus(), answer.getBody()};
        });
      });
}

}  // namespace mangospread::rpc
