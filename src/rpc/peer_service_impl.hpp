/// @file
/// The connections of PeerService to and from peers, and the calls on them.
/// Included by peer_service.cc alone, since KJ headers are slow to compile.
#pragma once

#include <kj/async-io.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <type_traits>
#include <utility>

#include "base/events.hpp"
#include "base/loop/clock.hpp"
#include "base/loop/event_loop.hpp"
#include "rpc/peer_connection.hpp"
#include "rpc/peer_server.hpp"
#include "rpc/peer_service.hpp"
#include "rpc/rpc_thread.hpp"

namespace mangospread::rpc::detail {

inline constexpr Milliseconds kConnectTimeout{500};

/// Period of the probes of a data connection. A probe may wait behind bodies of
/// up to 8 MiB, so its timeout grows with the number of calls in progress.
inline constexpr Milliseconds kProbePeriod{400};
inline constexpr Milliseconds kProbeTimeout{800};
inline constexpr Milliseconds kProbeTimeoutPerCall{100};

/// Time without a response to a probe after which the calls that waited for
/// the peer end, too. It is longer than a node takes to count as dead.
inline constexpr Milliseconds kSilenceLimit{5'000};

/// Time without forwards to a peer that has stopped them. Longer than the
/// period of its heartbeats, which say that it has no free slots; another
/// process that listens on the address soon after gets forwards again.
inline constexpr Milliseconds kForwardsStoppedHold{500};

/// Peers send a heartbeat or a probe at least once per second, so an accepted
/// connection without calls for this long is no longer used by its peer.
inline constexpr Milliseconds kAcceptedIdleLimit{30'000};

/// Delay after a failed accept, for example when no file descriptor is free.
inline constexpr Milliseconds kAcceptRetryDelay{100};

/// Period of the checks whether Flush is complete.
inline constexpr Milliseconds kFlushPollPeriod{5};

inline kj::Duration ToKj(Milliseconds time) {
  return time.count() * kj::MILLISECONDS;
}

inline void SetNoDelay(kj::AsyncIoStream& stream) {
  const int enabled = 1;
  stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

/// Bodies and snapshots use a separate connection, so that heartbeats and
/// pushes do not wait behind them.
enum class Channel : unsigned char { kControl, kData };

/// What a call does when the peer does not respond for a while.
enum class OnSilence : unsigned char {
  /// Closes its connection when it exceeds its timeout. A heartbeat is replied
  /// to at once, so a late reply means that the peer is unreachable over this
  /// connection; a forwarded request may be slow on a healthy one.
  kCloseConnection,
  /// Ends when a probe of its data connection fails, and can be repeated.
  kFail,
  /// Waits for kSilenceLimit: it must not be repeated, and a peer that was
  /// paused still replies.
  kWait,
};

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
  /// written and the peers have closed their data connections, or after
  /// `limit`.
  void Flush(Milliseconds limit, std::function<void()> done) {
    thread_->Post([this, limit, done = std::move(done)] {
      auto idle = timer()
                      .afterDelay(ToKj(kFlushPollPeriod))
                      .then([this] { return WaitIdle(); })
                      .then([this] { return WaitForPeersToClose(); });
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
  void Call(ConnectionKey key, Milliseconds timeout, OnSilence on_silence,
            ReplyCallback<T> done,
            std::function<kj::Promise<T>(wire::Peer::Client&)> send) {
    auto state = std::make_shared<CallState<T>>();
    state->done = std::move(done);
    state->send = std::move(send);
    // The state is moved, so that the connection in it is never destroyed on
    // this thread.
    thread_->Post([this, key, timeout, on_silence, state = std::move(state)] {
      StartCall<T>(key, timeout, on_silence, state);
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
        kj::mv(stream), kj::heap<PeerServer>(bridge_, handlers_, activity),
        activity);
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

  /// Stops forwards when no reply waits to be computed or written. A reply is
  /// queued one turn of the loop after it was computed, so the queues must be
  /// empty in two consecutive checks.
  kj::Promise<void> WaitIdle(int previous_idle_checks = 0) {
    const int idle_checks = IsIdle() ? previous_idle_checks + 1 : 0;
    if (idle_checks == 2) {
      // No forward can be taken between the last check and this call.
      bridge_.StopForwards();
      return kj::READY_NOW;
    }
    return timer().afterDelay(ToKj(kFlushPollPeriod)).then([this, idle_checks] {
      return WaitIdle(idle_checks);
    });
  }

  /// Resolves when no data connection of a peer is left, nor one of unknown
  /// use. A peer closes its own when a probe tells it that forwards have
  /// stopped, so none of its requests is in transit after that.
  kj::Promise<void> WaitForPeersToClose() {
    const bool closed = std::none_of(
        accepted_.begin(), accepted_.end(), [](AcceptedPeer* peer) {
          return peer->activity->use != ConnectionUse::kControl;
        });
    if (closed) return kj::READY_NOW;
    return timer().afterDelay(ToKj(kFlushPollPeriod)).then([this] {
      return WaitForPeersToClose();
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

  /// Probes a connection until a probe times out or fails. The next call then
  /// opens a new connection, and those in progress end or wait for the peer.
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
          return Probe(*connection, probe_timeout)
              .then([this, key,
                     connection] { return ProbeLoop(key, connection); },
                    [this, key, connection](kj::Exception&& exception) {
                      return OnProbeFailed(key, connection, exception);
                    });
        });
  }

  kj::Promise<void> OnProbeFailed(const ConnectionKey& key,
                                  const ConnectionPtr& connection,
                                  const kj::Exception& exception) {
    RemoveConnection(key, connection);
    if (IsForwardsStopped(exception)) {
      connection->forwards_stopped = true;
      forwards_stopped_at_[key.first] = base::MonotonicNow();
      EndCalls(connection);
      return kj::READY_NOW;
    }
    connection->ReportSilence();
    return WaitForPeer(connection);
  }

  kj::Promise<void> Probe(PeerConnection& connection, Milliseconds timeout) {
    return timer().timeoutAfter(
        ToKj(timeout), connection.peer.pingRequest().send().ignoreResult());
  }

  /// Closes a removed connection when the calls in progress on it have ended,
  /// or when the peer has not responded for kSilenceLimit.
  kj::Promise<void> WaitForPeer(ConnectionPtr connection) {
    if (connection->calls_in_progress == 0) {
      EndCalls(connection);
      return kj::READY_NOW;
    }
    return Probe(*connection, kSilenceLimit)
        .then(
            [this, connection] {
              return timer().afterDelay(ToKj(kProbePeriod)).then([=, this] {
                return WaitForPeer(connection);
              });
            },
            [this, connection](kj::Exception&& /*exception*/) {
              EndCalls(connection);
              return kj::Promise<void>(kj::READY_NOW);
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

  /// True if calls with this reply are refused by the peer.
  template <typename T>
  bool IsStopped(const Address& peer) {
    if (!std::is_same_v<T, ForwardReply>) return false;
    const auto it = forwards_stopped_at_.find(peer);
    if (it == forwards_stopped_at_.end()) return false;
    if (base::MonotonicNow() - it->second < kForwardsStoppedHold) return true;
    forwards_stopped_at_.erase(it);
    return false;
  }

  template <typename T>
  void StartCall(const ConnectionKey& key, Milliseconds timeout,
                 OnSilence on_silence,
                 const std::shared_ptr<CallState<T>>& state) {
    if (IsStopped<T>(key.first)) {
      return Deliver<T>(state,
                        Error{Errc::kConnectFailed, ToString(key.first)});
    }
    auto call =
        Connect(key).then([state, on_silence](ConnectionPtr connection) {
          state->connection = connection;
          ++connection->calls_in_progress;
          auto reply = state->send(connection->peer);
          if (on_silence == OnSilence::kWait) return reply;
          return reply.exclusiveJoin(connection->silence.addBranch().then(
              []() -> kj::Promise<T> { return kj::NEVER_DONE; }));
        });
    tasks_->add(
        timer()
            .timeoutAfter(ToKj(timeout), kj::mv(call))
            .then(
                [this, state](T value) { Deliver<T>(state, std::move(value)); },
                [this, state, key, on_silence](kj::Exception&& exception) {
                  const bool timed_out = IsTimeout(exception);
                  const auto connection = state->connection;
                  Deliver<T>(state, ToError(timed_out, key.first,
                                            MayHaveRun<T>(connection)));
                  if (!timed_out || on_silence == OnSilence::kCloseConnection) {
                    CloseConnection(key, connection);
                  }
                }));
  }

  /// kj::Timer::timeoutAfter fails with an exception of type OVERLOADED.
  static bool IsTimeout(const kj::Exception& exception) {
    return exception.getType() == kj::Exception::Type::OVERLOADED;
  }

  /// False if the peer has not received a call without a reply, or has refused
  /// it.
  template <typename T>
  static bool MayHaveRun(const ConnectionPtr& connection) {
    if (connection == nullptr) return false;
    return !std::is_same_v<T, ForwardReply> || !connection->forwards_stopped;
  }

  static Error ToError(bool timed_out, const Address& peer, bool may_have_run) {
    if (!may_have_run) return {Errc::kConnectFailed, ToString(peer)};
    return {timed_out ? Errc::kTimeout : Errc::kConnectionLost, ToString(peer)};
  }

  template <typename T>
  void Deliver(const std::shared_ptr<CallState<T>>& state, Result<T> result) {
    core_.Post([done = std::move(state->done),
                result = std::make_shared<Result<T>>(std::move(result))] {
      done(std::move(*result));
    });
  }

  /// Removes a failed connection and ends the calls on it.
  void CloseConnection(const ConnectionKey& key, const ConnectionPtr& failed) {
    if (RemoveConnection(key, failed)) EndCalls(failed);
  }

  /// Lets the next call open a new connection.
  /// @return false if that was so before.
  bool RemoveConnection(const ConnectionKey& key, const ConnectionPtr& failed) {
    const auto it = connections_.find(key);
    if (it == connections_.end() || it->second != failed) return false;
    base::Log(base::Event::kPeerConnectionReset,
              {{"peer", ToString(key.first)},
               {"data", key.second == Channel::kData}});
    connections_.erase(it);
    return true;
  }

  /// Closes a removed connection, which ends the calls on it. It is destroyed
  /// outside its own callbacks.
  void EndCalls(const ConnectionPtr& connection) {
    thread_->Post([reference = connection] { (void)reference; });
    // abortRead throws if the peer has already reset the connection; its calls
    // have then ended.
    (void)kj::runCatchingExceptions(
        [&connection] { connection->stream->abortRead(); });
  }

  base::EventLoop& core_;
  PeerHandlers handlers_;
  std::map<ConnectionKey, ConnectionPtr> connections_;
  std::map<Address, MonotonicTime> forwards_stopped_at_;
  std::set<AcceptedPeer*> accepted_;
  kj::Own<kj::ConnectionReceiver> listener_;
  kj::Own<kj::TaskSet> tasks_;
  std::shared_ptr<RpcThread> thread_;
  CoreBridge bridge_;
};

}  // namespace mangospread::rpc::detail
