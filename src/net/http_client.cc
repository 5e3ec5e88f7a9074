#include "net/http_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "base/loop/clock.hpp"
#include "net/body_buffer.hpp"

namespace mangospread::net {
namespace {

evhttp_cmd_type ToLibrary(Method method) {
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
  for (const evkeyval* kv = fields->tqh_first; kv != nullptr;
       kv = kv->next.tqe_next) {
    response.headers.Add(kv->key, kv->value);
  }
  response.body = TakeBody(evhttp_request_get_input_buffer(raw));
  return response;
}

/// evhttp takes a body that ends with the connection as complete wherever the
/// peer stops, so only a declared length or chunks prove the end.
bool HasVerifiableEnd(const Response& response, Method method) {
  constexpr int kFirstFinal = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  // evhttp takes an interim response other than 100 for the final one.
  if (response.status < kFirstFinal) return false;
  return method == Method::kHead || response.status == kNoContent ||
         response.status == kNotModified ||
         response.headers.Has("Content-Length") ||
         EqualsIgnoreCase(response.headers.Get("Transfer-Encoding"), "chunked");
}

Errc FromLibrary(evhttp_request_error error) {
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

/// One evhttp connection. Owned by the pool; a callback in progress holds a
/// further reference.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(HttpClientPool& pool) : pool_(pool) {
    connection_ = evhttp_connection_base_bufferevent_new(
        pool.loop_.raw(), nullptr, nullptr, pool.address_.ip.c_str(),
        pool.address_.port);
    evhttp_connection_set_max_body_size(
        connection_, static_cast<ev_ssize_t>(pool.limits_.max_body_bytes));
    // The call's own timer decides; the library's must never fire first.
    constexpr int kNeverFirstSeconds = 3'600;
    evhttp_connection_set_timeout(connection_, kNeverFirstSeconds);
    evbuffer_add_cb(Output(), OnOutput, this);
  }

  ~ClientConnection() { Close(); }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  [[nodiscard]] bool busy() const noexcept { return call_ != nullptr; }

  /// True if the connection has answered before, is open and has no byte
  /// waiting: surplus bytes would be taken for the next answer.
  [[nodiscard]] bool Healthy() const {
    if (last_answer_.count() == 0) return false;
    bufferevent* bev = evhttp_connection_get_bufferevent(connection_);
    if (evbuffer_get_length(bufferevent_get_input(bev)) > 0) return false;
    char byte = 0;
    const ssize_t n =
        recv(bufferevent_getfd(bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  [[nodiscard]] MonotonicTime idle_time() const {
    return base::MonotonicNow() - last_answer_;
  }

  void Start(const Request& request, const Headers& further,
             std::unique_ptr<PendingCall> call) {
    call_ = std::move(call);
    sent_ = false;
    forbidden_ = false;
    error_ = Errc::kConnectionLost;
    evhttp_request* raw = evhttp_request_new(OnDone, this);
    evhttp_request_set_error_cb(raw, OnError);
    evkeyvalq* out = evhttp_request_get_output_headers(raw);
    for (const Headers* fields : {&request.headers, &further}) {
      for (const auto& [name, value] : *fields) {
        evhttp_add_header(out, name.c_str(), value.c_str());
      }
    }
    if (!request.headers.Has("Host")) {
      evhttp_add_header(out, "Host", ToString(pool_.address_).c_str());
    }
    AddBody(evhttp_request_get_output_buffer(raw), request.body);
    timer_ = pool_.loop_.After(call_->options.timeout,
                               [this] { Finish(Errc::kTimeout); });
    starting_ = true;
    const bool made =
        evhttp_make_request(connection_, raw, ToLibrary(request.method),
                            request.target.c_str()) == 0;
    starting_ = false;
    if (!made) FailLater();
  }

  /// Drops the request in progress, since the pool is gone. Whoever still
  /// holds the connection only closes it.
  void Detach() {
    timer_.reset();
    call_.reset();
  }

 private:
  static void OnOutput(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                       void* arg) {
    auto* self = static_cast<ClientConnection*>(arg);
    // After the shutdown bytes leave the buffer only to be dropped.
    if (info->n_deleted > 0 && !self->forbidden_) self->sent_ = true;
    if (info->n_added > 0) self->CheckMaySend();
  }

  /// Bytes were queued and libevent may write them before it returns to the
  /// loop, so the socket itself is kept from sending them.
  void CheckMaySend() {
    if (call_ == nullptr || forbidden_ || !call_->options.may_send) return;
    if (call_->options.may_send()) return;
    forbidden_ = true;
    shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection_)),
             SHUT_WR);
    pool_.loop_.Post([self = shared_from_this()] {
      if (!self->forbidden_ || self->call_ == nullptr) return;
      self->Finish(Errc::kNotOwner);
    });
  }

  static void OnError(evhttp_request_error error, void* arg) {
    static_cast<ClientConnection*>(arg)->error_ = FromLibrary(error);
  }

  static void OnDone(evhttp_request* raw, void* arg) {
    static_cast<ClientConnection*>(arg)->HandleDone(raw);
  }

  [[nodiscard]] evbuffer* Output() const {
    return bufferevent_get_output(
        evhttp_connection_get_bufferevent(connection_));
  }

  void Close() {
    if (connection_ == nullptr) return;
    evbuffer_remove_cb(Output(), OnOutput, this);
    evhttp_connection_free(std::exchange(connection_, nullptr));
  }

  /// Reports a failed connect outside Send.
  void FailLater() {
    timer_ = pool_.loop_.After(MonotonicTime(0),
                               [this] { Finish(Errc::kConnectFailed); });
  }

  void HandleDone(evhttp_request* raw) {
    if (call_ == nullptr) return;
    if (starting_) return FailLater();
    const bool answered =
        raw != nullptr && evhttp_request_get_response_code(raw) != 0;
    if (!answered) {
      const Errc code = sent_ ? error_ : Errc::kConnectFailed;
      Finish(code);
      return;
    }
    Response response = ReadResponse(raw);
    if (!HasVerifiableEnd(response, call_->method)) {
      Finish(Errc::kBodyUnverifiable);
      return;
    }
    const auto echo = call_->options.echo_header.empty()
                          ? std::string_view()
                          : response.headers.Get(call_->options.echo_header);
    if (!echo.empty() && echo != call_->expected_echo) {
      Finish(Errc::kAnswerMismatch);
      return;
    }
    Succeed(std::move(response));
  }

  void Succeed(Response response) {
    timer_.reset();
    const auto call = std::move(call_);
    const bool keep =
        !EqualsIgnoreCase(response.headers.Get("Connection"), "close");
    last_answer_ = base::MonotonicNow();
    SetNoDelay();
    if (!keep) Discard();
    call->done({std::move(response), SendState::kMaybeSent});
  }

  /// Fails the call and closes the connection.
  void Finish(Errc code) {
    const auto self = shared_from_this();
    timer_.reset();
    const auto call = std::move(call_);
    const auto sent = sent_ ? SendState::kMaybeSent : SendState::kNotSent;
    Discard();
    if (call != nullptr) {
      call->done({Error{code, ToString(pool_.address_)}, sent});
    }
  }

  /// Takes the connection out of the pool; the evhttp connection is freed
  /// outside its own callbacks.
  void Discard() {
    pool_.loop_.Post([self = shared_from_this()] { self->Close(); });
    pool_.Remove(this);
  }

  void SetNoDelay() {
    if (no_delay_) return;
    no_delay_ = true;
    const int fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }

  HttpClientPool& pool_;
  evhttp_connection* connection_ = nullptr;
  std::unique_ptr<PendingCall> call_;
  base::Timer timer_;
  MonotonicTime last_answer_{0};
  Errc error_ = Errc::kConnectionLost;
  bool sent_ = false;
  bool forbidden_ = false;
  bool starting_ = false;
  bool no_delay_ = false;
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

void HttpClientPool::Send(const Request& request, const Headers& further,
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
      call->expected_echo = further.Get(options.echo_header);
    }
  }
  call->options = std::move(options);
  call->done = std::move(done);
  connection->Start(request, further, std::move(call));
}

void HttpClientPool::CloseIdle() {
  Retire([](const detail::ClientConnection&) { return true; });
}

void HttpClientPool::Retire(
    const std::function<bool(const detail::ClientConnection&)>& select) {
  std::erase_if(connections_, [&](const auto& connection) {
    if (connection->busy() || !select(*connection)) return false;
    // The caller may be inside this connection's callback.
    loop_.Post([connection] { (void)connection; });
    return true;
  });
}

std::shared_ptr<detail::ClientConnection> HttpClientPool::Acquire(
    Milliseconds max_idle) {
  // Asking the socket costs a system call, so only the connection to be used
  // is asked.
  for (auto it = connections_.rbegin(); it != connections_.rend(); ++it) {
    auto connection = *it;
    if (connection->busy() || connection->idle_time() > max_idle) continue;
    if (connection->Healthy()) return connection;
    Retire([&connection](const auto& candidate) {
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
                       return connection->busy() || connection->Healthy();
                     });
}

void HttpClientPool::Remove(const detail::ClientConnection* connection) {
  std::erase_if(connections_, [connection](const auto& candidate) {
    return candidate.get() == connection;
  });
}

}  // namespace mangospread::net
