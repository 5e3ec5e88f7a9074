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
    case ClientRefusal::kAhead:
      return "ahead";
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
/// Memory that a read takes at least: evhttp moves whole blocks of a chunked
/// body, however few bytes they hold.
constexpr std::size_t kReadBytes = 1'024;
/// More than the operator's limit of a head.
constexpr std::size_t kMaxScannedBytes = std::size_t{64} * 1024;
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
  if (connections_.size() - closing_ >= limits_.max_connections) {
    const auto victim = LeastProgress(false);
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
  const std::size_t unread =
      evbuffer_get_length(bufferevent_get_input(connection->socket));
  if (connection->phase >= Phase::kHandled &&
      unread > limits_.max_ahead_bytes) {
    // evhttp reads again when it writes the response.
    bufferevent_disable(connection->socket, EV_READ);
    if (connection->phase == Phase::kAnswered &&
        unread > 2 * limits_.max_ahead_bytes) {
      Close(*connection, ClientRefusal::kAhead);
    }
  }
  KeepBudget();
}

void ConnectionGuard::Count(Connections::iterator connection,
                            std::size_t size) {
  if (connection->phase < Phase::kHandled) {
    if (connection->phase == Phase::kIdle) Begin(connection, Phase::kHead);
    evbuffer* input = bufferevent_get_input(connection->socket);
    evbuffer_ptr added{};
    evbuffer_ptr_set(input, &added, evbuffer_get_length(input) - size,
                     EVBUFFER_PTR_SET);
    const auto bytes =
        static_cast<ev_ssize_t>(std::min(size, kMaxScannedBytes));
    const int count = evbuffer_peek(input, bytes, &added, nullptr, 0);
    std::vector<evbuffer_iovec> parts(static_cast<std::size_t>(count));
    evbuffer_peek(input, bytes, &added, parts.data(), count);
    for (const evbuffer_iovec& part : parts) {
      ScanHead(*connection, static_cast<const char*>(part.iov_base),
               part.iov_len);
    }
  }
  connection->received += size;
  ++connection->reads;
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

std::size_t ConnectionGuard::HeldBy(const Connection& connection) {
  if (connection.closing) return 0;
  const std::size_t copies =
      connection.phase == Phase::kHandled ? kCopiesOfRequest : 1;
  const std::size_t received =
      std::max(connection.received, connection.reads * kReadBytes);
  return kConnectionBytes + received * copies +
         connection.head_lines * kFieldBytes;
}

void ConnectionGuard::Charge(Connection& connection) {
  const std::size_t bytes = HeldBy(connection);
  budget_.Replace(std::exchange(connection.charged, bytes), bytes);
  const std::size_t handled =
      connection.phase == Phase::kHandled ? bytes : std::size_t{0};
  handled_bytes_ += handled;
  handled_bytes_ -= std::exchange(connection.handled, handled);
}

void ConnectionGuard::KeepBudget() {
  while (budget_.exceeded()) {
    const auto victim = LeastProgress(true);
    if (victim == connections_.end()) return;
    Close(*victim, ClientRefusal::kMemory);
  }
}

ConnectionGuard::Connections::iterator ConnectionGuard::LeastProgress(
    bool unfinished) {
  return std::find_if(connections_.begin(), connections_.end(),
                      [unfinished](const Connection& connection) {
                        return !connection.closing &&
                               connection.phase != Phase::kHandled &&
                               (!unfinished || connection.received > 0);
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

evhttp_connection* ConnectionGuard::HttpConnectionOf(
    const Connection& connection) {
  // evhttp passes its connection to its callbacks, and clears them when it
  // frees the connection.
  void* argument = nullptr;
  bufferevent_getcb(connection.socket, nullptr, nullptr, nullptr, &argument);
  return static_cast<evhttp_connection*>(argument);
}

void ConnectionGuard::SetRequestLimits(std::size_t max_header_bytes,
                                       std::size_t max_body_bytes) {
  for (const Connection& connection : connections_) {
    evhttp_connection* http = HttpConnectionOf(connection);
    if (http == nullptr) continue;
    evhttp_connection_set_max_headers_size(
        http, static_cast<ev_ssize_t>(max_header_bytes));
    evhttp_connection_set_max_body_size(
        http, static_cast<ev_ssize_t>(max_body_bytes));
  }
}

void ConnectionGuard::FreeClosed() {
  for (Connection& connection : connections_) {
    if (!connection.closing) continue;
    evhttp_connection* http = HttpConnectionOf(connection);
    if (http != nullptr) evhttp_connection_free(http);
  }
  ReleaseFreed();
}

void ConnectionGuard::ReleaseFreed() {
  for (auto it = connections_.begin(); it != connections_.end();) {
    const auto connection = it++;
    if (HttpConnectionOf(*connection) == nullptr) Release(connection);
  }
  if (connections_.size() < limits_.max_connections + kAcceptMargin) {
    SetAccepting(true);
  }
}

void ConnectionGuard::Release(Connections::iterator connection) {
  if (connection->closing) --closing_;
  budget_.Replace(connection->charged, 0);
  handled_bytes_ -= connection->handled;
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
  // Others are closed only if the request is accepted then.
  if (handled_bytes_ + HeldBy(*it) > budget_.limit()) {
    ++refusals_[static_cast<std::size_t>(ClientRefusal::kMemory)];
    return false;
  }
  Charge(*it);
  KeepBudget();
  return true;
}

void ConnectionGuard::OnResponse(bufferevent* connection) {
  const auto it = Find(connection);
  if (it == connections_.end()) return;
  it->phase = Phase::kAnswered;
  it->since = base::MonotonicNow();
  // What remains was sent ahead.
  it->received = evbuffer_get_length(bufferevent_get_input(it->socket));
  it->reads = it->head_lines = 0;
  Charge(*it);
}

void ConnectionGuard::OnResponseTaken(bufferevent* connection) {
  const auto it = Find(connection);
  if (it == connections_.end() || it->closing) return;
  const std::size_t unread =
      evbuffer_get_length(bufferevent_get_input(it->socket));
  it->received = it->reads = it->head_lines = 0;
  Begin(it, Phase::kIdle);
  if (unread > 0) return Count(it, unread);
  Charge(*it);
}

}  // namespace detail
}  // namespace mangospread::net
