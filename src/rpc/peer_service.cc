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
/// Added to the deadline of a forwarded request, so that the owner's reply
/// about a timeout still arrives.
constexpr Milliseconds kForwardMargin{200};

/// Period of the probes of a data connection. A probe may wait behind bodies of
/// up to 8 MiB, so its timeout grows with the number of calls in progress.
constexpr Milliseconds kProbePeriod{400};
constexpr Milliseconds kProbeTimeout{800};
constexpr Milliseconds kProbeTimeoutPerCall{100};

/// Peers send a heartbeat or a probe at least once per second, so an accepted
/// connection without calls for this long is no longer used by its peer.
constexpr Milliseconds kAcceptedIdleLimit{30'000};

/// Delay after a failed accept, for example when no file descriptor is free.
constexpr Milliseconds kAcceptRetryDelay{100};

/// Period of the checks whether Flush is complete.
constexpr Milliseconds kFlushPollPeriod{5};

kj::Duration ToKj(Milliseconds time) { return time.count() * kj::MILLISECONDS; }

void SetNoDelay(kj::AsyncIoStream& stream) {
  const int enabled = 1;
  stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

}  // namespace

namespace detail {

/// Bodies and snapshots use a separate connection, so that heartbeats and
/// pushes do not wait behind them.
enum class Channel : unsigned char { kControl, kData };

/// Whether a call that exceeds its timeout closes the connection. A heartbeat
/// is replied to at once, so a late reply means that the peer is unreachable
/// over this connection; a forwarded request may be slow on a healthy one.
enum class OnTimeout : unsigned char { kKeep, kClose };

/// Implementation of PeerService. Its connections, listener and tasks are used
/// on the KJ thread only.
class PeerServiceImpl final : private kj::TaskSet::ErrorHandler {
 public:
  explicit PeerServiceImpl(base::EventLoop& core)
      : core_(core),
        thread_(std::make_shared<RpcThread>()),
        bridge_(core, thread_) {
    thread_->RunAndWait(
        [this] { tasks_ = kj::heap<kj::TaskSet>(error_handler()); });
  }

  ~PeerServiceImpl() {
    thread_->RunAndWait([this] {
      tasks_ = nullptr;
      connections_.clear();
      listener_ = nullptr;
    });
    thread_->Stop();
  }

  PeerServiceImpl(const PeerServiceImpl&) = delete;
  PeerServiceImpl& operator=(const PeerServiceImpl&) = delete;

  /// Identifies a connection to a peer.
  using ConnectionKey = std::pair<Address, Channel>;

  /// Calls `done` on the core thread when no reply remains to be computed or
  /// written, or after `limit`.
  void Flush(Milliseconds limit, std::function<void()> done) {
    thread_->Post([this, limit, done = std::move(done)] {
      auto idle = timer().afterDelay(ToKj(kFlushPollPeriod)).then([this] {
        return WaitIdle();
      });
      tasks_->add(idle.exclusiveJoin(timer().afterDelay(ToKj(limit)))
                      .then([this, done] { core_.Post(done); }));
    });
  }

  Result<Address> Listen(const Address& address, PeerHandlers handlers) {
    handlers_ = std::move(handlers);
    std::promise<Result<Address>> bound_address;
    thread_->RunAndWait([&] {
      tasks_->add(network()
                      .parseAddress(address.ip, address.port)
                      .then([this, &bound_address,
                             &address](kj::Own<kj::NetworkAddress> parsed) {
                        listener_ = parsed->listen();
                        const unsigned port = listener_->getPort();
                        tasks_->add(AcceptLoop());
                        bound_address.set_value(Address{
                            address.ip, static_cast<std::uint16_t>(port)});
                      })
                      .catch_([&bound_address,
                               &address](kj::Exception&& /*exception*/) {
                        bound_address.set_value(
                            Error{Errc::kUnavailable, ToString(address)});
                      }));
    });
    return bound_address.get_future().get();
  }

  [[nodiscard]] const base::StallRecord& stalls() const noexcept {
    return thread_->stalls();
  }

  /// Makes a call on the connection with this key. `send` issues the request
  /// and returns its promise; the result or the error is passed to `done` on
  /// the core thread.
  template <typename T>
  void Call(ConnectionKey key, Milliseconds timeout, OnTimeout on_timeout,
            ReplyCallback<T> done,
            std::function<kj::Promise<T>(wire::Peer::Client&)> send) {
    auto state = std::make_shared<CallState<T>>();
    state->done = std::move(done);
    state->send = std::move(send);
    // The state is moved, so that the connection in it is never destroyed on
    // this thread.
    thread_->Post([this, key, timeout, on_timeout, state = std::move(state)] {
      StartCall<T>(key, timeout, on_timeout, state);
    });
  }

 private:
  using ConnectionPtr = std::shared_ptr<PeerConnection>;

  kj::TaskSet::ErrorHandler& error_handler() { return *this; }
  kj::Network& network() { return thread_->io().provider->getNetwork(); }
  kj::Timer& timer() { return thread_->io().provider->getTimer(); }
  void taskFailed(kj::Exception&& /*exception*/) override {}  // NOLINT

  kj::Promise<void> AcceptLoop() {
    return listener_->accept()
        .then([this](kj::Own<kj::AsyncIoStream> stream) {
          Accept(kj::mv(stream));
        })
        .catch_([this](kj::Exception&& /*exception*/) {
          return timer().afterDelay(ToKj(kAcceptRetryDelay));
        })
        .then([this] { return AcceptLoop(); });
  }

  void Accept(kj::Own<kj::AsyncIoStream> stream) {
    SetNoDelay(*stream);
    auto activity = std::make_shared<ConnectionActivity>();
    auto accepted_peer = kj::heap<AcceptedPeer>(
        kj::mv(stream), kj::heap<PeerServer>(bridge_, handlers_, activity));
    AcceptedPeer* peer_ptr = accepted_peer.get();
    accepted_.insert(peer_ptr);
    auto disconnected_or_unused =
        peer_ptr->network.onDisconnect().exclusiveJoin(
            WaitUntilUnused(activity));
    tasks_->add(disconnected_or_unused.attach(
        kj::defer([this, peer_ptr] { accepted_.erase(peer_ptr); }),
        kj::mv(accepted_peer)));
  }

  /// Resolves when the connection has had no call for kAcceptedIdleLimit.
  kj::Promise<void> WaitUntilUnused(
      std::shared_ptr<ConnectionActivity> activity) {
    return timer()
        .afterDelay(ToKj(kAcceptedIdleLimit))
        .then([this, activity]() -> kj::Promise<void> {
          if (base::MonotonicNow() - activity->last_call > kAcceptedIdleLimit) {
            return kj::READY_NOW;
          }
          return WaitUntilUnused(activity);
        });
  }

  /// True if no reply waits to be computed or written.
  [[nodiscard]] bool IsIdle() {
    if (bridge_.pending() > 0) return false;
    for (AcceptedPeer* peer : accepted_) {
      if (peer->network.getCurrentQueueSize() > 0) return false;
    }
    for (const auto& [key, connection] : connections_) {
      if (connection->network.getCurrentQueueSize() > 0) return false;
    }
    return true;
  }

  /// A reply is queued one turn of the loop after it was computed, so the
  /// queues must be empty in two consecutive checks.
  kj::Promise<void> WaitIdle(int previous_idle_checks = 0) {
    const int idle_checks = IsIdle() ? previous_idle_checks + 1 : 0;
    if (idle_checks == 2) return kj::READY_NOW;
    return timer().afterDelay(ToKj(kFlushPollPeriod)).then([this, idle_checks] {
      return WaitIdle(idle_checks);
    });
  }

  kj::Promise<ConnectionPtr> Connect(const ConnectionKey& key) {
    const auto it = connections_.find(key);
    if (it != connections_.end()) return ConnectionPtr(it->second);
    return timer()
        .timeoutAfter(ToKj(kConnectTimeout),
                      network()
                          .parseAddress(key.first.ip, key.first.port)
                          .then([](kj::Own<kj::NetworkAddress> address) {
                            auto connecting = address->connect();
                            return connecting.attach(kj::mv(address));
                          }))
        .then([this, key](kj::Own<kj::AsyncIoStream> stream) {
          // Another call may have connected in the meantime; one connection is
          // enough.
          const auto existing = connections_.find(key);
          if (existing != connections_.end()) return existing->second;
          SetNoDelay(*stream);
          auto connection = std::make_shared<PeerConnection>(kj::mv(stream));
          connections_.emplace(key, connection);
          // Heartbeats probe the control connection.
          if (key.second == Channel::kData) {
            tasks_->add(ProbeLoop(key, connection));
          }
          return connection;
        });
  }

  /// Probes a connection and closes it when a probe times out or fails, so that
  /// its calls fail at once and the next call opens a new connection.
  kj::Promise<void> ProbeLoop(ConnectionKey key, ConnectionPtr connection) {
    return timer()
        .afterDelay(ToKj(kProbePeriod))
        .then([this, key, connection]() -> kj::Promise<void> {
          const auto it = connections_.find(key);
          if (it == connections_.end() || it->second != connection) {
            return kj::READY_NOW;
          }
          const Milliseconds probe_timeout =
              kProbeTimeout +
              connection->calls_in_progress * kProbeTimeoutPerCall;
          return timer()
              .timeoutAfter(
                  ToKj(probe_timeout),
                  connection->peer.pingRequest().send().ignoreResult())
              .then([this, key,
                     connection] { return ProbeLoop(key, connection); },
                    [this, key, connection](kj::Exception&& /*exception*/) {
                      CloseConnection(key, connection);
                      return kj::Promise<void>(kj::READY_NOW);
                    });
        });
  }

  template <typename T>
  struct CallState {
    ~CallState() {
      if (connection != nullptr) --connection->calls_in_progress;
    }
    ReplyCallback<T> done;
    std::function<kj::Promise<T>(wire::Peer::Client&)> send;
    ConnectionPtr connection;
  };

  template <typename T>
  void StartCall(const ConnectionKey& key, Milliseconds timeout,
                 OnTimeout on_timeout,
                 const std::shared_ptr<CallState<T>>& state) {
    auto call = Connect(key).then([state](ConnectionPtr connection) {
      state->connection = connection;
      ++connection->calls_in_progress;
      return state->send(connection->peer);
    });
    tasks_->add(
        timer()
            .timeoutAfter(ToKj(timeout), kj::mv(call))
            .then(
                [this, state](T value) { Deliver<T>(state, std::move(value)); },
                [this, state, key, on_timeout](kj::Exception&& exception) {
                  const bool timed_out = IsTimeout(exception);
                  const auto connection = state->connection;
                  Deliver<T>(state, ToError(timed_out, key.first,
                                            connection != nullptr));
                  if (!timed_out || on_timeout == OnTimeout::kClose) {
                    CloseConnection(key, connection);
                  }
                }));
  }

  /// kj::Timer::timeoutAfter fails with an exception of type OVERLOADED.
  static bool IsTimeout(const kj::Exception& exception) {
    return exception.getType() == kj::Exception::Type::OVERLOADED;
  }

  static Error ToError(bool timed_out, const Address& peer, bool connected) {
    if (!connected) return {Errc::kConnectFailed, ToString(peer)};
    return {timed_out ? Errc::kTimeout : Errc::kConnectionLost, ToString(peer)};
  }

  template <typename T>
  void Deliver(const std::shared_ptr<CallState<T>>& state, Result<T> result) {
    core_.Post([done = std::move(state->done),
                result = std::make_shared<Result<T>>(std::move(result))] {
      done(std::move(*result));
    });
  }

  /// Removes a failed connection and ends the calls on it. It is destroyed
  /// outside its own callbacks.
  void CloseConnection(const ConnectionKey& key, const ConnectionPtr& failed) {
    const auto it = connections_.find(key);
    if (it == connections_.end() || it->second != failed) return;
    base::Log(base::Event::kPeerConnectionReset,
              {{"peer", ToString(key.first)},
               {"data", key.second == Channel::kData}});
    connections_.erase(it);
    thread_->Post([reference = failed] { (void)reference; });
    // abortRead throws if the peer has already reset the connection; its calls
    // have then ended.
    (void)kj::runCatchingExceptions([&failed] { failed->stream->abortRead(); });
  }

  base::EventLoop& core_;
  PeerHandlers handlers_;
  std::map<ConnectionKey, ConnectionPtr> connections_;
  std::set<AcceptedPeer*> accepted_;
  kj::Own<kj::ConnectionReceiver> listener_;
  kj::Own<kj::TaskSet> tasks_;
  std::shared_ptr<RpcThread> thread_;
  CoreBridge bridge_;
};

}  // namespace detail

PeerService::PeerService(base::EventLoop& core)
    : impl_(std::make_unique<detail::PeerServiceImpl>(core)) {}

PeerService::~PeerService() = default;

void PeerService::Flush(Milliseconds limit, std::function<void()> done) {
  impl_->Flush(limit, std::move(done));
}

const base::StallRecord& PeerService::stalls() const noexcept {
  return impl_->stalls();
}

Result<Address> PeerService::Listen(const Address& address,
                                    PeerHandlers handlers) {
  return impl_->Listen(address, std::move(handlers));
}

void PeerService::Heartbeat(const Address& peer, const NodeView& view,
                            Milliseconds timeout,
                            ReplyCallback<NodeView> done) {
  impl_->Call<NodeView>({peer, detail::Channel::kControl}, timeout,
                        detail::OnTimeout::kClose, std::move(done),
                        [view](wire::Peer::Client& client) {
                          auto call = client.heartbeatRequest();
                          Encode(view, call.initView());
                          return call.send().then([](auto&& reply) {
                            return Decode(reply.getView());
                          });
                        });
}

void PeerService::Forward(const Address& peer, ForwardRequest request,
                          ReplyCallback<ForwardReply> done) {
  const Milliseconds timeout = request.timeout + kForwardMargin;
  auto shared_request = std::make_shared<ForwardRequest>(std::move(request));
  impl_->Call<ForwardReply>({peer, detail::Channel::kData}, timeout,
                            detail::OnTimeout::kKeep, std::move(done),
                            [shared_request](wire::Peer::Client& client) {
                              auto call = client.forwardRequest();
                              Encode(*shared_request, call.initRequest());
                              return call.send().then([](auto&& reply) {
                                return Decode(reply.getReply());
                              });
                            });
}

void PeerService::PushConfig(const Address& peer, ConfigDelta delta,
                             Milliseconds timeout,
                             ReplyCallback<Revision> done) {
  impl_->Call<Revision>({peer, detail::Channel::kControl}, timeout,
                        detail::OnTimeout::kKeep, std::move(done),
                        [delta = std::move(delta)](wire::Peer::Client& client) {
                          auto call = client.pushConfigRequest();
                          Encode(delta, call.initDelta());
                          return call.send().then([](auto&& reply) {
                            return Revision(reply.getRevision());
                          });
                        });
}

void PeerService::ConfigSince(const Address& peer, Revision revision,
                              Milliseconds timeout,
                              ReplyCallback<ConfigDelta> done) {
  impl_->Call<ConfigDelta>({peer, detail::Channel::kData}, timeout,
                           detail::OnTimeout::kKeep, std::move(done),
                           [revision](wire::Peer::Client& client) {
                             auto call = client.configSinceRequest();
                             call.setRevision(revision.value());
                             return call.send().then([](auto&& reply) {
                               return Decode(reply.getDelta());
                             });
                           });
}

void PeerService::FetchOwnership(const Address& peer, Milliseconds timeout,
                                 ReplyCallback<OwnershipSnapshot> done) {
  impl_->Call<OwnershipSnapshot>(
      {peer, detail::Channel::kData}, timeout, detail::OnTimeout::kKeep,
      std::move(done), [](wire::Peer::Client& client) {
        return client.ownershipSnapshotRequest().send().then([](auto&& reply) {
          return OwnershipSnapshot{
              detail::DecodeList<OwnershipEntry>(reply.getEntries()),
              detail::DecodeList<VmInfo>(reply.getVms())};
        });
      });
}

void PeerService::PushOwnership(const Address& peer,
                                std::vector<OwnershipEntry> entries,
                                Milliseconds timeout,
                                ReplyCallback<Done> done) {
  impl_->Call<Done>(
      {peer, detail::Channel::kControl}, timeout, detail::OnTimeout::kKeep,
      std::move(done),
      [entries = std::move(entries)](wire::Peer::Client& client) {
        auto call = client.pushOwnershipRequest();
        detail::EncodeList(entries,
                           [&call](unsigned n) { return call.initEntries(n); });
        return call.send().then([](auto&& /*reply*/) { return Done{}; });
      });
}

void PeerService::TaskCommand(const Address& peer, TaskCall call,
                              Milliseconds timeout,
                              ReplyCallback<TaskReport> done) {
  // A refusal by the called node is part of its reply and keeps its error code,
  // since some codes, unlike a failed call, guarantee that the command had no
  // effect.
  impl_->Call<Result<TaskReport>>(
      {peer, detail::Channel::kControl}, timeout, detail::OnTimeout::kKeep,
      [done = std::move(done)](const Result<Result<TaskReport>>& reply) {
        if (!reply.ok()) return done(reply.error());
        done(reply.value());
      },
      [call = std::move(call)](wire::Peer::Client& client) {
        auto request = client.taskCommandRequest();
        Encode(call, request.initCall());
        return request.send().then(
            [](auto&& reply) { return Decode(reply.getResult()); });
      });
}

void PeerService::ReportTasks(const Address& peer, NodeReport report,
                              Milliseconds timeout,
                              ReplyCallback<NodeReportReply> done) {
  impl_->Call<NodeReportReply>(
      {peer, detail::Channel::kData}, timeout, detail::OnTimeout::kKeep,
      std::move(done),
      [report = std::move(report)](wire::Peer::Client& client) {
        auto request = client.reportTasksRequest();
        Encode(report, request.initReport());
        return request.send().then([](auto&& reply) {
          return NodeReportReply{Epoch(reply.getSchedulerEpoch()),
                                 reply.getAccepted()};
        });
      });
}

void PeerService::SchedulerQuery(const Address& peer, std::string path,
                                 Milliseconds timeout,
                                 ReplyCallback<QueryReply> done) {
  impl_->Call<QueryReply>(
      {peer, detail::Channel::kData}, timeout, detail::OnTimeout::kKeep,
      std::move(done), [path = std::move(path)](wire::Peer::Client& client) {
        auto request = client.schedulerQueryRequest();
        request.setPath(path);
        return request.send().then([](auto&& reply) {
          return QueryReply{reply.getStatus(), reply.getBody()};
        });
      });
}

}  // namespace mangospread::rpc
