#include "endpoint/raw_server.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include "host.hpp"
#include "sockets.hpp"

namespace mangospread::standin {
namespace {

constexpr std::string_view kEndOfHead = "\r\n\r\n";

std::optional<net::Method> ParseMethod(std::string_view name) {
  using net::Method;
  for (const Method method :
       {Method::kGet, Method::kHead, Method::kPost, Method::kPut,
        Method::kDelete, Method::kOptions, Method::kPatch}) {
    if (net::MethodName(method) == name) return method;
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeHead(const net::Response& response) {
  std::string head =
      "HTTP/1.1 " + std::to_string(response.status) + " Reply\r\n";
  for (const auto& [name, value] : response.headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  return head;
}

RawConnection::~RawConnection() { FreeBufferevent(); }

void RawConnection::FreeBufferevent() {
  if (bev_ != nullptr) bufferevent_free(std::exchange(bev_, nullptr));
}

void RawConnection::Start(int fd) {
  SetNoDelay(fd);
  bev_ = bufferevent_socket_new(server_.loop_.raw(), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      bev_,
      [](bufferevent* /*bev*/, void* arg) {
        static_cast<RawConnection*>(arg)->shared_from_this()->ProcessInput();
      },
      [](bufferevent* /*bev*/, void* arg) {
        auto* self = static_cast<RawConnection*>(arg);
        if (self->close_when_written_) self->Close();
      },
      [](bufferevent* /*bev*/, short /*events*/, void* arg) {  // NOLINT
        const auto self = static_cast<RawConnection*>(arg)->shared_from_this();
        self->FreeBufferevent();
        self->server_.connections_.erase(self);
      },
      this);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
}

bool RawConnection::ParseHead(std::string_view head) {
  const auto next_line = [&head] {
    const auto end = head.find("\r\n");
    const auto line = head.substr(0, end);
    head.remove_prefix(end == std::string_view::npos ? head.size() : end + 2);
    return line;
  };
  const auto request_line = next_line();
  const auto first = request_line.find(' ');
  const auto last = request_line.rfind(' ');
  if (first == std::string_view::npos || last <= first) return false;
  const auto method = ParseMethod(request_line.substr(0, first));
  if (!method) return false;
  request_ = {};
  request_.method = *method;
  request_.target =
      std::string(request_line.substr(first + 1, last - first - 1));
  while (!head.empty()) {
    const auto field = next_line();
    const auto colon = field.find(':');
    if (colon == std::string_view::npos) continue;
    auto value = field.substr(colon + 1);
    while (value.starts_with(' ')) value.remove_prefix(1);
    request_.headers.Add(std::string(field.substr(0, colon)),
                         std::string(value));
  }
  const std::string length(request_.headers.Get("Content-Length"));
  body_bytes_ = std::strtoull(length.c_str(), nullptr, 10);
  return true;
}

void RawConnection::ProcessInput() {
  if (handling_request_ || bev_ == nullptr) return;
  evbuffer* input = bufferevent_get_input(bev_);
  if (!has_head_) {
    const evbuffer_ptr end =
        evbuffer_search(input, kEndOfHead.data(), kEndOfHead.size(), nullptr);
    if (end.pos < 0) return;
    std::string head(static_cast<std::size_t>(end.pos) + kEndOfHead.size(),
                     '\0');
    evbuffer_remove(input, head.data(), head.size());
    head.resize(static_cast<std::size_t>(end.pos));
    if (!ParseHead(head)) return Close();
    has_head_ = true;
  }
  if (evbuffer_get_length(input) < body_bytes_) return;
  std::string body(body_bytes_, '\0');
  evbuffer_remove(input, body.data(), body_bytes_);
  request_.body = std::move(body);
  has_head_ = false;
  handling_request_ = true;
  server_.handler_(shared_from_this());
}

void RawConnection::Reply(const net::Response& response) {
  Write(EncodeHead(response) +
        "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n");
  if (request_.method != net::Method::kHead) Write(response.body);
  ReadNextRequest();
}

void RawConnection::Write(std::string_view bytes) {
  if (bev_ != nullptr) bufferevent_write(bev_, bytes.data(), bytes.size());
}

void RawConnection::ReadNextRequest() {
  handling_request_ = false;
  // Posted to the loop, so that pipelined requests in the buffer do not cause
  // recursion.
  server_.loop_.Post([self = shared_from_this()] { self->ProcessInput(); });
}

void RawConnection::Close() {
  if (bev_ == nullptr) return;
  close_when_written_ = true;
  if (evbuffer_get_length(bufferevent_get_output(bev_)) > 0) return;
  const auto self = shared_from_this();
  FreeBufferevent();
  server_.connections_.erase(self);
}

RawServer::RawServer(base::EventLoop& loop, std::size_t max_connections,
                     Handler handler)
    : loop_(loop),
      max_connections_(max_connections),
      handler_(std::move(handler)) {}

RawServer::~RawServer() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

Result<Address> RawServer::Listen(const Address& address) {
  listener_ = ListenOn(
      loop_, address,
      [](evconnlistener* /*listener*/, int fd, sockaddr* /*from*/, int /*size*/,
         void* arg) { static_cast<RawServer*>(arg)->Accept(fd); },
      this);
  if (listener_ == nullptr) return Error{Errc::kUnavailable, ToString(address)};
  return BoundAddress(listener_, address);
}

void RawServer::Accept(int fd) {
  if (connections_.size() >= max_connections_) {
    ++refused_;
    Log("refused a connection: " + std::to_string(connections_.size()) +
        " connections are open");
    close(fd);
    return;
  }
  const auto connection = std::make_shared<RawConnection>(*this);
  connections_.insert(connection);
  max_open_ = std::max(max_open_, connections_.size());
  connection->Start(fd);
}

}  // namespace mangospread::standin
