#include "net/http_server.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <optional>
#include <utility>

#include "base/loop/protected_call.hpp"
#include "net/body_buffer.hpp"

namespace mangospread::net {
namespace {

constexpr int kInternalError = 500;
/// Sent when the requests in progress hold too much memory.
constexpr const char* kRetryAfterSeconds = "1";

std::optional<Method> ToMethod(evhttp_cmd_type type) {
  switch (type) {
    case EVHTTP_REQ_GET:
      return Method::kGet;
    case EVHTTP_REQ_HEAD:
      return Method::kHead;
    case EVHTTP_REQ_POST:
      return Method::kPost;
    case EVHTTP_REQ_PUT:
      return Method::kPut;
    case EVHTTP_REQ_DELETE:
      return Method::kDelete;
    case EVHTTP_REQ_OPTIONS:
      return Method::kOptions;
    case EVHTTP_REQ_PATCH:
      return Method::kPatch;
    default:
      return std::nullopt;
  }
}

Request ReadRequest(evhttp_request* raw, Method method) {
  Request request;
  request.method = method;
  request.target = evhttp_request_get_uri(raw);
  const evkeyvalq* fields = evhttp_request_get_input_headers(raw);
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    request.headers.Add(field->key, field->value);
  }
  request.body = TakeBody(evhttp_request_get_input_buffer(raw));
  return request;
}

void AddHeaders(evhttp_request* raw, const Headers& headers) {
  evkeyvalq* output_headers = evhttp_request_get_output_headers(raw);
  for (const auto& [name, value] : headers) {
    evhttp_add_header(output_headers, name.c_str(), value.c_str());
  }
}

/// The bufferevent of the request's connection, which is open.
bufferevent* BuffereventOf(evhttp_request* raw) {
  return evhttp_connection_get_bufferevent(evhttp_request_get_connection(raw));
}

/// Counts a response until it is written to its socket or its connection ends.
void CountUntilWritten(evhttp_request* raw, detail::ServerState& server) {
  evhttp_connection* connection = evhttp_request_get_connection(raw);
  if (connection == nullptr) return;
  ++server.unwritten_responses;
  if (server.guard) server.guard->OnResponse(BuffereventOf(raw));
  evhttp_request_set_on_complete_cb(
      raw,
      [](evhttp_request* completed, void* arg) {
        auto* state = static_cast<detail::ServerState*>(arg);
        --state->unwritten_responses;
        if (state->guard) {
          state->guard->OnResponseTaken(BuffereventOf(completed));
        }
        evhttp_connection_set_closecb(evhttp_request_get_connection(completed),
                                      nullptr, nullptr);
      },
      &server);
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* closed, void* arg) {
        --static_cast<detail::ServerState*>(arg)->unwritten_responses;
        evhttp_connection_set_closecb(closed, nullptr, nullptr);
      },
      &server);
}

/// Disables Nagle's algorithm, so that small responses do not wait for an
/// acknowledgement.
void SetNoDelay(evhttp_request* raw) {
  evhttp_connection* connection = evhttp_request_get_connection(raw);
  if (connection == nullptr) return;
  const int fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

}  // namespace

HttpExchange::HttpExchange(evhttp_request* raw, Request request,
                           std::shared_ptr<detail::ServerState> server)
    : raw_(raw), server_(std::move(server)), request_(std::move(request)) {}

HttpExchange::~HttpExchange() {
  if (raw() == nullptr) return;
  if (streaming_) {
    EndStream();
  } else {
    Reply({kInternalError, {}, {}});
  }
}

void HttpExchange::Reply(const Response& response) {
  if (raw() == nullptr || streaming_) return;
  evhttp_request* replied_request = std::exchange(raw_, nullptr);
  AddHeaders(replied_request, response.headers);
  if (server_ != nullptr && server_->closing) {
    evhttp_add_header(evhttp_request_get_output_headers(replied_request),
                      "Connection", "close");
  }
  evbuffer* body = evbuffer_new();
  AddBody(body, response.body);
  if (server_ != nullptr) CountUntilWritten(replied_request, *server_);
  evhttp_send_reply(replied_request, response.status, nullptr, body);
  evbuffer_free(body);
}

void HttpExchange::StartStream(const Response& head) {
  if (raw() == nullptr || streaming_) return;
  streaming_ = true;
  AddHeaders(raw_, head.headers);
  evhttp_send_reply_start(raw_, head.status, nullptr);
}

void HttpExchange::SendChunk(std::string_view data) {
  if (!connected() || !streaming_) return;
  evbuffer* chunk = evbuffer_new();
  evbuffer_add(chunk, data.data(), data.size());
  evhttp_send_reply_chunk(raw_, chunk);
  evbuffer_free(chunk);
}

void HttpExchange::EndStream() {
  if (raw() == nullptr || !streaming_) return;
  evhttp_send_reply_end(std::exchange(raw_, nullptr));
}

bool HttpExchange::connected() const noexcept {
  return raw() != nullptr && evhttp_request_get_connection(raw_) != nullptr;
}

bool HttpExchange::caller_disconnected() const noexcept {
  if (raw() == nullptr) return false;
  evhttp_connection* connection = evhttp_request_get_connection(raw_);
  if (connection == nullptr) return true;
  const int fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  char byte = 0;
  const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool HttpExchange::from_loopback() const noexcept {
  if (!connected()) return false;
  const sockaddr* peer =
      evhttp_connection_get_addr(evhttp_request_get_connection(raw_));
  if (peer == nullptr || peer->sa_family != AF_INET) return false;
  const auto ip =
      ntohl(reinterpret_cast<const sockaddr_in*>(peer)->sin_addr.s_addr);
  return ip >> IN_CLASSA_NSHIFT == IN_LOOPBACKNET;
}

HttpServer::HttpServer(base::EventLoop& loop, HttpServerLimits limits,
                       Handler handler)
    : http_(evhttp_new(loop.raw())), handler_(std::move(handler)) {
  SetRequestLimits(limits.max_header_bytes, limits.max_body_bytes);
  evhttp_set_timeout(http_, static_cast<int>(limits.timeout.count()));
  evhttp_set_default_content_type(http_, nullptr);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD |
                                        EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                        EVHTTP_REQ_PATCH);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* raw, void* arg) {
        static_cast<HttpServer*>(arg)->OnRequest(raw);
      },
      this);
  if (!limits.clients) return;
  state_->guard = std::make_shared<detail::ConnectionGuard>(
      loop, *limits.clients,
      [this](bool accepting) { SetAccepting(accepting); });
  evhttp_set_bevcb(
      http_,
      [](event_base* /*base*/, void* arg) {
        return static_cast<detail::ConnectionGuard*>(arg)->MakeConnection();
      },
      state_->guard.get());
}

HttpServer::~HttpServer() {
  state_->alive = false;
  if (state_->guard) state_->guard->Detach();
  evhttp_free(http_);
}

void HttpServer::OnRequest(evhttp_request* raw) {
  const auto method = ToMethod(evhttp_request_get_command(raw));
  if (!method) {
    evhttp_send_error(raw, HTTP_BADMETHOD, nullptr);
    return;
  }
  SetNoDelay(raw);
  if (state_->guard && !state_->guard->OnRequest(BuffereventOf(raw))) {
    evhttp_add_header(evhttp_request_get_output_headers(raw), "Retry-After",
                      kRetryAfterSeconds);
    evhttp_add_header(evhttp_request_get_output_headers(raw), "Connection",
                      "close");
    CountUntilWritten(raw, *state_);
    evhttp_send_reply(raw, HTTP_SERVUNAVAIL, nullptr, nullptr);
    return;
  }
  // The destructor of the exchange responds if the handler throws.
  base::CallProtected("http_server", [&] {
    handler_(
        std::make_shared<HttpExchange>(raw, ReadRequest(raw, *method), state_));
  });
}

void HttpServer::SetAccepting(bool accepting) {
  if (socket_ == nullptr) return;
  evconnlistener* listener = evhttp_bound_socket_get_listener(socket_);
  if (accepting) {
    evconnlistener_enable(listener);
  } else {
    evconnlistener_disable(listener);
  }
}

void HttpServer::SetRequestLimits(std::size_t max_header_bytes,
                                  std::size_t max_body_bytes) {
  evhttp_set_max_headers_size(http_, static_cast<ev_ssize_t>(max_header_bytes));
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(max_body_bytes));
  if (state_->guard) {
    state_->guard->SetRequestLimits(max_header_bytes, max_body_bytes);
  }
}

Result<Address> HttpServer::Listen(const Address& address) {
  socket_ =
      evhttp_bind_socket_with_handle(http_, address.ip.c_str(), address.port);
  if (socket_ == nullptr) return Error{Errc::kUnavailable, ToString(address)};
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(evhttp_bound_socket_get_fd(socket_),
              reinterpret_cast<sockaddr*>(&bound), &size);
  return Address{address.ip, ntohs(bound.sin_port)};
}

void HttpServer::StopListening() {
  if (socket_ == nullptr) return;
  evhttp_del_accept_socket(http_, std::exchange(socket_, nullptr));
}

}  // namespace mangospread::net
