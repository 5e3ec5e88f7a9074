#include "net/connection_guard.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "base/events.hpp"
#include "base/loop/clock.hpp"

namespace mangospread::net {

const char* ClientRefusalName(ClientRefusal refusal) noexcept {
  switch (refusal) {
    case ClientRefusal::kMemory:
      return "memory";
    case ClientRefusal::kConnections:
      return "connections";
    case ClientRefusal::kTime:
      return "time";
  }
  return "unknown";
}

namespace detail {
namespace {

/// Memory of a connection that has sent nothing.
constexpr std::size_t kConnectionBytes = 4'096;
/// Memory of a header field besides its characters, as evhttp and as Headers
/// keep it.
constexpr std::size_t kFieldBytes = 192;
/// A complete body is held by the exchange, by the call and by the frame that
/// carries it to the leader.
constexpr std::size_t kCopiesOfRequest = 3;
/// Connections that are accepted while as many are being closed.
constexpr std::size_t kAcceptMargin = 16;
constexpr Milliseconds kCheckPeriod{250};

}  // namespace

ConnectionGuard::ConnectionGuard(base::EventLoop& loop, ClientLimits limits,
                                 std::function<void(bool)> set_accepting)
    : loop_(loop),
      limits_(limits),
      set_accepting_(std::move(set_accepting)),
      budget_(limits.max_held_bytes),
      check_timer_(loop.Every(kCheckPeriod, 0, [this] {
        ReleaseFreed();
        CloseOverdue();
      })) {}

void ConnectionGuard::Detach() {
  set_accepting_ = nullptr;
  check_timer_.reset();
  free_timer_.reset();
  while (!connections_.empty()) Release(connections_.begin());
}

bufferevent* ConnectionGuard::MakeConnection() {
  if (connections_.size() >= limits_.max_connections) ReleaseFreed();
  if (connections_.size() - closing_ >= limits_.max_connections) {
    const auto victim = LeastProgress();
    if (victim != connections_.end()) {
      Close(*victim, ClientRefusal::kConnections);
    }
  }
  const auto connection = connections_.emplace(connections_.end());
  connection->guard = this;
  connection->since = base::MonotonicNow();
  connection->socket =
      bufferevent_socket_new(loop_.raw(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_incref(connection->socket);
  by_socket_.emplace(connection->socket, connection);
  evbuffer_add_cb(
      bufferevent_get_input(connection->socket),
      [](evbuffer* /*input*/, const evbuffer_cb_info* info, void* arg) {
        if (info->n_added == 0) return;
        auto* added = static_cast<Connection*>(arg);
        added->guard->OnInput(added->guard->Find(added->socket), info->n_added);
      },
      &*connection);
  Charge(*connection);
  KeepBudget();
  if (connections_.size() >= limits_.max_connections + kAcceptMargin) {
    SetAccepting(false);
  }
  return connection->socket;
}

void ConnectionGuard::SetAccepting(bool accepting) {
  if (std::exchange(accepting_, accepting) == accepting) return;
  if (set_accepting_) set_accepting_(accepting);
}

void ConnectionGuard::OnInput(Connections::iterator connection,
                              std::size_t size) {
  if (connection == connections_.end() || connection->closing) return;
  Count(connection, size);
  // evhttp reads again for the next request.
  if (connection->ahead > limits_.max_ahead_bytes) {
    bufferevent_disable(connection->socket, EV_READ);
  }
  KeepBudget();
}

void ConnectionGuard::Count(Connections::iterator connection,
                            std::size_t size) {
  if (connection->phase >= Phase::kHandled) {
    connection->ahead += size;
  } else {
    if (connection->phase == Phase::kIdle) Begin(connection, Phase::kHead);
    evbuffer* input = bufferevent_get_input(connection->socket);
    evbuffer_ptr added{};
    evbuffer_ptr_set(input, &added, evbuffer_get_length(input) - size,
                     EVBUFFER_PTR_SET);
    const auto bytes = static_cast<ev_ssize_t>(size);
    const int count = evbuffer_peek(input, bytes, &added, nullptr, 0);
    std::vector<evbuffer_iovec> parts(static_cast<std::size_t>(count));
    evbuffer_peek(input, bytes, &added, parts.data(), count);
    for (const evbuffer_iovec& part : parts) {
      ScanHead(*connection, static_cast<const char*>(part.iov_base),
               part.iov_len);
    }
  }
  connection->received += size;
  Charge(*connection);
}

void ConnectionGuard::ScanHead(Connection& connection, const char* bytes,
                               std::size_t size) {
  for (std::size_t i = 0; i < size && connection.phase == Phase::kHead; ++i) {
    if (bytes[i] == '\r') continue;
    if (bytes[i] != '\n') {
      connection.line_empty = false;
      continue;
    }
    ++connection.head_lines;
    if (std::exchange(connection.line_empty, true)) {
      connection.phase = Phase::kBody;
      connection.since = base::MonotonicNow();
    }
  }
}

void ConnectionGuard::Begin(Connections::iterator connection, Phase phase) {
  connection->phase = phase;
  connection->since = base::MonotonicNow();
  connection->line_empty = false;
  connections_.splice(connections_.end(), connections_, connection);
}

void ConnectionGuard::Charge(Connection& connection) {
  std::size_t bytes = 0;
  if (!connection.closing) {
    const std::size_t copies =
        connection.phase == Phase::kHandled ? kCopiesOfRequest : 1;
    bytes = kConnectionBytes + connection.received * copies +
            connection.head_lines * kFieldBytes;
  }
  budget_.Replace(std::exchange(connection.charged, bytes), bytes);
}

void ConnectionGuard::KeepBudget() {
  while (budget_.exceeded()) {
    const auto victim = LeastProgress();
    if (victim == connections_.end()) return;
    Close(*victim, ClientRefusal::kMemory);
  }
}

ConnectionGuard::Connections::iterator ConnectionGuard::LeastProgress() {
  return std::find_if(connections_.begin(), connections_.end(),
                      [](const Connection& connection) {
                        return !connection.closing &&
                               connection.phase != Phase::kHandled;
                      });
}

void ConnectionGuard::Close(Connection& connection, ClientRefusal reason) {
  if (connection.closing) return;
  connection.closing = true;
  ++closing_;
  ++refusals_[static_cast<std::size_t>(reason)];
  base::Log(base::Event::kClientClosed, {{"reason", ClientRefusalName(reason)},
                                         {"received", connection.received},
                                         {"held", budget_.used()},
                                         {"connections", connections_.size()}});
  Charge(connection);
  // Not at once, since evhttp may be reading from the connection.
  if (!free_timer_.active()) {
    free_timer_ = loop_.After(Milliseconds(0), [this] { FreeClosed(); });
  }
}

void ConnectionGuard::FreeClosed() {
  for (Connection& connection : connections_) {
    if (!connection.closing) continue;
    // The argument of evhttp's callbacks is its connection; null once that is
    // freed.
    void* argument = nullptr;
    bufferevent_getcb(connection.socket, nullptr, nullptr, nullptr, &argument);
    if (argument == nullptr) continue;
    evhttp_connection_free(static_cast<evhttp_connection*>(argument));
  }
  ReleaseFreed();
}

void ConnectionGuard::ReleaseFreed() {
  for (auto it = connections_.begin(); it != connections_.end();) {
    const auto connection = it++;
    void* argument = nullptr;
    bufferevent_getcb(connection->socket, nullptr, nullptr, nullptr, &argument);
    if (argument == nullptr) Release(connection);
  }
  if (connections_.size() < limits_.max_connections + kAcceptMargin) {
    SetAccepting(true);
  }
}

void ConnectionGuard::Release(Connections::iterator connection) {
  if (connection->closing) --closing_;
  budget_.Replace(connection->charged, 0);
  by_socket_.erase(connection->socket);
  bufferevent_decref(connection->socket);
  connections_.erase(connection);
}

void ConnectionGuard::CloseOverdue() {
  const MonotonicTime now = base::MonotonicNow();
  for (Connection& connection : connections_) {
    if (connection.closing) continue;
    const MonotonicTime age = now - connection.since;
    const bool overdue =
        (connection.phase == Phase::kHead && age > limits_.head_timeout) ||
        (connection.phase == Phase::kBody && age > limits_.body_timeout) ||
        (connection.phase == Phase::kAnswered && age > limits_.answer_timeout);
    if (overdue) Close(connection, ClientRefusal::kTime);
  }
}

ConnectionGuard::Connections::iterator ConnectionGuard::Find(
    bufferevent* connection) {
  const auto it = by_socket_.find(connection);
  return it == by_socket_.end() ? connections_.end() : it->second;
}

bool ConnectionGuard::OnRequest(bufferevent* connection) {
  const auto it = Find(connection);
  if (it == connections_.end()) return true;
  // It is freed soon, so nobody may keep its request.
  if (it->closing) return false;
  it->phase = Phase::kHandled;
  it->since = base::MonotonicNow();
  it->ahead = 0;
  Charge(*it);
  KeepBudget();
  if (!budget_.exceeded()) return true;
  ++refusals_[static_cast<std::size_t>(ClientRefusal::kMemory)];
  return false;
}

void ConnectionGuard::OnResponse(bufferevent* connection) {
  const auto it = Find(connection);
  if (it == connections_.end()) return;
  it->phase = Phase::kAnswered;
  it->since = base::MonotonicNow();
  Charge(*it);
}

void ConnectionGuard::OnResponseTaken(bufferevent* connection) {
  const auto it = Find(connection);
  if (it == connections_.end() || it->closing) return;
  const std::size_t unread =
      evbuffer_get_length(bufferevent_get_input(it->socket));
  it->received = it->ahead = it->head_lines = 0;
  Begin(it, Phase::kIdle);
  if (unread > 0) return Count(it, unread);
  Charge(*it);
}

}  // namespace detail
}  // namespace mangospread::net
