#include "net/http_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "base/loop/clock.hpp"
#include "base/loop/protected_call.hpp"
#include "net/body_buffer.hpp"

namespace mangospread::net {
namespace {

/// Most bytes that one call of evbuffer_read takes from a socket.
constexpr std::size_t kLibeventReadBytes = 4 * 1024;
/// Bytes read from one connection in a pass of the loop before other
/// connections are read.
constexpr std::size_t kMaxReadBytesPerPass = 256 * 1024;

bool HasUnreadBytes(int fd) {
  int bytes = 0;
  return ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0;
}

evhttp_cmd_type ToEvhttpMethod(Method method) {
  switch (method) {
    case Method::kGet:
      return EVHTTP_REQ_GET;
    case Method::kHead:
      return EVHTTP_REQ_HEAD;
    case Method::kPost:
      return EVHTTP_REQ_POST;
    case Method::kPut:
      return EVHTTP_REQ_PUT;
    case Method::kDelete:
      return EVHTTP_REQ_DELETE;
    case Method::kOptions:
      return EVHTTP_REQ_OPTIONS;
    case Method::kPatch:
      return EVHTTP_REQ_PATCH;
  }
  return EVHTTP_REQ_GET;
}

Response ReadResponse(evhttp_request* raw) {
  Response response;
  response.status = evhttp_request_get_response_code(raw);
  const evkeyvalq* fields = evhttp_request_get_input_headers(raw);
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    response.headers.Add(field->key, field->value);
  }
  response.body = TakeBody(evhttp_request_get_input_buffer(raw));
  return response;
}

/// evhttp treats a body that is delimited by the end of the connection as
/// complete wherever the peer stops, so only a declared length or chunked
/// encoding proves that it is complete.
bool HasVerifiableEnd(const Response& response, Method method) {
  constexpr int kFirstFinalStatus = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  // evhttp treats an interim response other than 100 as the final one.
  if (response.status < kFirstFinalStatus) return false;
  return method == Method::kHead || response.status == kNoContent ||
         response.status == kNotModified ||
         response.headers.Has("Content-Length") ||
         EqualsIgnoreCase(response.headers.Get("Transfer-Encoding"), "chunked");
}

Errc ToErrc(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return Errc::kTimeout;
    case EVREQ_HTTP_INVALID_HEADER:
      return Errc::kMalformed;
    case EVREQ_HTTP_DATA_TOO_LONG:
      return Errc::kTooLarge;
    default:
      return Errc::kConnectionLost;
  }
}

}  // namespace

namespace detail {

struct PendingCall {
  Method method = Method::kGet;
  CallOptions options;
  std::string expected_echo;
  HttpClientPool::Callback done;
};

/// One evhttp connection. Owned by the pool; a callback in progress holds
/// another reference.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(HttpClientPool& pool) : pool_(pool) {
    connection_ = evhttp_connection_base_bufferevent_new(
        pool.loop_.raw(), nullptr, nullptr, pool.address_.ip.c_str(),
        pool.address_.port);
    constexpr ev_ssize_t kMaxHeaderBytes = 64 * 1024;
    evhttp_connection_set_max_headers_size(connection_, kMaxHeaderBytes);
    evhttp_connection_set_max_body_size(
        connection_, static_cast<ev_ssize_t>(pool.limits_.max_body_bytes));
    // The timer of the call enforces its timeout; the timeout of evhttp must
    // never expire first.
    constexpr int kEvhttpTimeoutSeconds = 3'600;
    evhttp_connection_set_timeout(connection_, kEvhttpTimeoutSeconds);
    evbuffer_add_cb(Input(), OnInputChanged, this);
    evbuffer_add_cb(Output(), OnOutputChanged, this);
  }

  ~ClientConnection() { Close(); }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  [[nodiscard]] bool busy() const noexcept { return call_ != nullptr; }

  /// True if the connection has received a response before, is open and has no
  /// unread bytes: surplus bytes would be parsed as part of the next response.
  [[nodiscard]] bool IsHealthy() const {
    if (last_response_time_.count() == 0) return false;
    if (evbuffer_get_length(Input()) > 0) return false;
    char byte = 0;
    const ssize_t n = recv(Socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  [[nodiscard]] MonotonicTime idle_time() const {
    return base::MonotonicNow() - last_response_time_;
  }

  void Start(const Request& request, const Headers& extra_headers,
             std::unique_ptr<PendingCall> call) {
    call_ = std::move(call);
    sent_ = false;
    send_forbidden_ = false;
    error_ = Errc::kConnectionLost;
    evhttp_request* raw = evhttp_request_new(OnDone, this);
    evhttp_request_set_error_cb(raw, OnError);
    evkeyvalq* output_headers = evhttp_request_get_output_headers(raw);
    for (const Headers* fields : {&request.headers, &extra_headers}) {
      for (const auto& [name, value] : *fields) {
        evhttp_add_header(output_headers, name.c_str(), value.c_str());
      }
    }
    if (!request.headers.Has("Host")) {
      evhttp_add_header(output_headers, "Host",
                        ToString(pool_.address_).c_str());
    }
    AddBody(evhttp_request_get_output_buffer(raw), request.body);
    timer_ = pool_.loop_.After(call_->options.timeout,
                               [this] { Fail(Errc::kTimeout); });
    in_make_request_ = true;
    const bool queued =
        evhttp_make_request(connection_, raw, ToEvhttpMethod(request.method),
                            request.target.c_str()) == 0;
    in_make_request_ = false;
    if (!queued) PostConnectFailure();
  }

  /// Drops the call in progress because the pool is being destroyed. The
  /// remaining references only close the connection.
  void Detach() {
    timer_.reset();
    call_.reset();
  }

 private:
  static void OnInputChanged(evbuffer* /*buffer*/,
                             const evbuffer_cb_info* change, void* arg) {
    auto* self = static_cast<ClientConnection*>(arg);
    if (self->reading_ || change->n_added < kLibeventReadBytes) return;
    self->ReadAvailable();
  }

  /// Called from within libevent's read, which takes at most kLibeventReadBytes
  /// in each pass of the loop: reads what else the socket has, since a busy
  /// loop would take seconds for a large response.
  void ReadAvailable() {
    reading_ = true;
    std::size_t total = kLibeventReadBytes;
    // The end of the connection and errors are left to libevent's next read,
    // which reports them to evhttp.
    while (total < kMaxReadBytesPerPass && HasUnreadBytes(Socket())) {
      const int n = evbuffer_read(Input(), Socket(), kLibeventReadBytes);
      if (n <= 0) break;
      total += static_cast<std::size_t>(n);
    }
    reading_ = false;
  }

  static void OnOutputChanged(evbuffer* /*buffer*/,
                              const evbuffer_cb_info* change, void* arg) {
    auto* self = static_cast<ClientConnection*>(arg);
    // After the shutdown, bytes leave the buffer only because they are
    // discarded.
    if (change->n_deleted > 0 && !self->send_forbidden_) self->sent_ = true;
    if (change->n_added > 0) self->CheckSendAllowed();
  }

  /// Called when bytes were queued. libevent may write them before it returns
  /// to the loop, so the write side of the socket is shut down if they must not
  /// be sent.
  void CheckSendAllowed() {
    if (call_ == nullptr || send_forbidden_ || !call_->options.may_send) return;
    if (call_->options.may_send()) return;
    send_forbidden_ = true;
    shutdown(Socket(), SHUT_WR);
    pool_.loop_.Post([self = shared_from_this()] {
      if (!self->send_forbidden_ || self->call_ == nullptr) return;
      self->Fail(Errc::kNotOwner);
    });
  }

  static void OnError(evhttp_request_error error, void* arg) {
    static_cast<ClientConnection*>(arg)->error_ = ToErrc(error);
  }

  static void OnDone(evhttp_request* raw, void* arg) {
    base::CallProtected("http_client", [&] {
      static_cast<ClientConnection*>(arg)->HandleDone(raw);
    });
  }

  [[nodiscard]] int Socket() const {
    return bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
  }

  [[nodiscard]] evbuffer* Input() const {
    return bufferevent_get_input(
        evhttp_connection_get_bufferevent(connection_));
  }

  [[nodiscard]] evbuffer* Output() const {
    return bufferevent_get_output(
        evhttp_connection_get_bufferevent(connection_));
  }

  void Close() {
    if (connection_ == nullptr) return;
    evbuffer_remove_cb(Input(), OnInputChanged, this);
    evbuffer_remove_cb(Output(), OnOutputChanged, this);
    evhttp_connection_free(std::exchange(connection_, nullptr));
  }

  /// Reports a failed connect from the loop, since `done` must not be called
  /// from within Send.
  void PostConnectFailure() {
    timer_ = pool_.loop_.After(MonotonicTime(0),
                               [this] { Fail(Errc::kConnectFailed); });
  }

  void HandleDone(evhttp_request* raw) {
    if (call_ == nullptr) return;
    if (in_make_request_) return PostConnectFailure();
    const bool has_response =
        raw != nullptr && evhttp_request_get_response_code(raw) != 0;
    if (!has_response) {
      const Errc code = sent_ ? error_ : Errc::kConnectFailed;
      Fail(code);
      return;
    }
    Response response = ReadResponse(raw);
    if (!HasVerifiableEnd(response, call_->method)) {
      Fail(Errc::kBodyUnverifiable);
      return;
    }
    const auto echoed = call_->options.echo_header.empty()
                            ? std::string_view()
                            : response.headers.Get(call_->options.echo_header);
    if (!echoed.empty() && echoed != call_->expected_echo) {
      Fail(Errc::kResponseMismatch);
      return;
    }
    Succeed(std::move(response));
  }

  void Succeed(Response response) {
    timer_.reset();
    const auto call = std::move(call_);
    const bool keep_alive =
        !EqualsIgnoreCase(response.headers.Get("Connection"), "close");
    last_response_time_ = base::MonotonicNow();
    SetNoDelay();
    if (!keep_alive) Discard();
    call->done({std::move(response), SendState::kMaybeSent});
  }

  /// Ends the call with an error and closes the connection.
  void Fail(Errc code) {
    const auto self = shared_from_this();
    timer_.reset();
    const auto call = std::move(call_);
    const auto send_state = sent_ ? SendState::kMaybeSent : SendState::kNotSent;
    Discard();
    if (call != nullptr) {
      call->done({Error{code, ToString(pool_.address_)}, send_state});
    }
  }

  /// Removes the connection from the pool; the evhttp connection is freed
  /// outside its own callbacks.
  void Discard() {
    pool_.loop_.Post([self = shared_from_this()] { self->Close(); });
    pool_.Remove(this);
  }

  void SetNoDelay() {
    if (no_delay_) return;
    no_delay_ = true;
    const int enabled = 1;
    setsockopt(Socket(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  }

  HttpClientPool& pool_;
  evhttp_connection* connection_ = nullptr;
  std::unique_ptr<PendingCall> call_;
  base::Timer timer_;
  MonotonicTime last_response_time_{0};
  Errc error_ = Errc::kConnectionLost;
  bool sent_ = false;            ///< Bytes of the request were written.
  bool send_forbidden_ = false;  ///< may_send has returned false.
  /// evhttp reports some failed connects from within evhttp_make_request.
  bool in_make_request_ = false;
  bool no_delay_ = false;
  bool reading_ = false;  ///< ReadAvailable is in progress.
};

}  // namespace detail

std::shared_ptr<HttpClientPool> HttpClientPool::Create(base::EventLoop& loop,
                                                       Address address,
                                                       PoolLimits limits) {
  return std::shared_ptr<HttpClientPool>(
      new HttpClientPool(loop, std::move(address), limits));
}

HttpClientPool::HttpClientPool(base::EventLoop& loop, Address address,
                               PoolLimits limits)
    : loop_(loop), address_(std::move(address)), limits_(limits) {}

HttpClientPool::~HttpClientPool() {
  for (auto& connection : std::exchange(connections_, {})) {
    // The pool may be destroyed inside this connection's callback.
    loop_.Post([connection] { (void)connection; });
    connection->Detach();
  }
}

void HttpClientPool::Send(const Request& request, const Headers& extra_headers,
                          CallOptions options, Callback done) {
  auto connection = Acquire(options.max_idle);
  if (connection == nullptr) {
    loop_.Post([done = std::move(done), subject = ToString(address_)] {
      done({Error{Errc::kNoCapacity, subject}, SendState::kNotSent});
    });
    return;
  }
  auto call = std::make_unique<detail::PendingCall>();
  call->method = request.method;
  if (!options.echo_header.empty()) {
    call->expected_echo = request.headers.Get(options.echo_header);
    if (call->expected_echo.empty()) {
      call->expected_echo = extra_headers.Get(options.echo_header);
    }
  }
  call->options = std::move(options);
  call->done = std::move(done);
  connection->Start(request, extra_headers, std::move(call));
}

bool HttpClientPool::HasCallInProgress() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& connection) { return connection->busy(); });
}

void HttpClientPool::CloseIdle() {
  CloseIdleIf([](const detail::ClientConnection&) { return true; });
}

void HttpClientPool::CloseIdleIf(
    const std::function<bool(const detail::ClientConnection&)>& predicate) {
  std::erase_if(connections_, [&](const auto& connection) {
    if (connection->busy() || !predicate(*connection)) return false;
    // The caller may be inside this connection's callback.
    loop_.Post([connection] { (void)connection; });
    return true;
  });
}

std::shared_ptr<detail::ClientConnection> HttpClientPool::Acquire(
    Milliseconds max_idle) {
  // Checking the socket costs a system call, so only the connection that would
  // be used is checked.
  for (auto it = connections_.rbegin(); it != connections_.rend(); ++it) {
    auto connection = *it;
    if (connection->busy() || connection->idle_time() > max_idle) continue;
    if (connection->IsHealthy()) return connection;
    CloseIdleIf([&connection](const auto& candidate) {
      return &candidate == connection.get();
    });
    return Acquire(max_idle);
  }
  if (connections_.size() >= limits_.max_connections) CloseIdle();
  if (connections_.size() >= limits_.max_connections) return nullptr;
  connections_.push_back(std::make_shared<detail::ClientConnection>(*this));
  return connections_.back();
}

bool HttpClientPool::HasLiveConnection() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& connection) {
                       return connection->busy() || connection->IsHealthy();
                     });
}

void HttpClientPool::Remove(const detail::ClientConnection* connection) {
  std::erase_if(connections_, [connection](const auto& candidate) {
    return candidate.get() == connection;
  });
}

}  // namespace mangospread::net
