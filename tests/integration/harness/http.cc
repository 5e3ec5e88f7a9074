#include "integration/harness/http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace mangospread::testing {
namespace {

using Clock = std::chrono::steady_clock;

enum class ReceiveResult : unsigned char { kData, kEndOfStream, kTimeout };

ReceiveResult Receive(int fd, Clock::time_point deadline, std::string& buffer) {
  const auto remaining_ms =
      std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
  pollfd poll_entry{fd, POLLIN, 0};
  if (poll(&poll_entry, 1,
           static_cast<int>(std::max<std::int64_t>(0, remaining_ms))) <= 0) {
    return ReceiveResult::kTimeout;
  }
  char chunk[65'536];
  const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
  if (n <= 0) return ReceiveResult::kEndOfStream;
  buffer.append(chunk, static_cast<std::size_t>(n));
  return ReceiveResult::kData;
}

/// Sends all bytes. Stops early if the connection is closed, or if response
/// data arrives before all bytes are sent, since the server then refuses the
/// request.
void SendAll(int fd, std::string_view bytes, Clock::time_point deadline) {
  while (!bytes.empty() && Clock::now() < deadline) {
    pollfd poll_entry{fd, POLLIN | POLLOUT, 0};
    constexpr int kPollTimeoutMs = 100;
    if (poll(&poll_entry, 1, kPollTimeoutMs) <= 0) continue;
    if ((poll_entry.revents & POLLIN) != 0) return;
    const ssize_t n =
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno != EAGAIN) return;
    if (n > 0) bytes.remove_prefix(static_cast<std::size_t>(n));
  }
}

void ParseHead(Response& response) {
  std::string_view remaining = response.head;
  const auto next_line = [&remaining] {
    const auto end = remaining.find("\r\n");
    const auto line = remaining.substr(0, end);
    remaining.remove_prefix(end == std::string_view::npos ? remaining.size()
                                                          : end + 2);
    return line;
  };
  const std::string line(next_line());
  constexpr std::size_t kStatusPos = 9;
  if (line.size() > kStatusPos) response.status = std::atoi(&line[kStatusPos]);
  while (!remaining.empty()) {
    const auto field = next_line();
    const auto colon = field.find(':');
    if (colon == std::string_view::npos) continue;
    auto value = field.substr(colon + 1);
    while (value.starts_with(' ')) value.remove_prefix(1);
    response.headers.Add(std::string(field.substr(0, colon)),
                         std::string(value));
  }
}

/// Moves complete chunks from `buffer` to `body`. Returns true after the last
/// chunk.
bool ExtractChunks(std::string& buffer, std::string& body) {
  for (;;) {
    const auto end = buffer.find("\r\n");
    if (end == std::string::npos) return false;
    constexpr int kHexadecimal = 16;
    const auto size = std::strtoull(buffer.c_str(), nullptr, kHexadecimal);
    if (buffer.size() < end + 2 + size + 2) return false;
    body.append(buffer, end + 2, size);
    buffer.erase(0, end + 2 + size + 2);
    if (size == 0) return true;
  }
}

class ResponseReader {
 public:
  ResponseReader(int fd, Clock::time_point deadline)
      : fd_(fd), deadline_(deadline) {}

  Response Read(bool no_body) {
    if (!ReadHead()) return std::move(response_);
    constexpr int kNoContent = 204;
    if (no_body || response_.status == kNoContent) return std::move(response_);
    const auto length = response_.headers.Get("Content-Length");
    if (net::EqualsIgnoreCase(response_.headers.Get("Transfer-Encoding"),
                              "chunked")) {
      while (!ExtractChunks(buffer_, response_.body) && ReceiveMore()) {
      }
    } else if (!length.empty()) {
      const auto size = std::strtoull(std::string(length).c_str(), nullptr, 10);
      while (buffer_.size() < size && ReceiveMore()) {
      }
      response_.body = buffer_.substr(0, size);
    } else {
      while (ReceiveMore()) {
      }
      if (response_.failure == RequestFailure::kClosedInResponse) {
        response_.failure = RequestFailure::kNone;
      }
      response_.body = buffer_;
    }
    return std::move(response_);
  }

 private:
  bool ReadHead() {
    for (;;) {
      const auto end = buffer_.find("\r\n\r\n");
      if (end != std::string::npos) {
        response_.head = buffer_.substr(0, end);
        buffer_.erase(0, end + 4);
        ParseHead(response_);
        return true;
      }
      if (!ReceiveMore()) return false;
    }
  }

  bool ReceiveMore() {
    switch (Receive(fd_, deadline_, buffer_)) {
      case ReceiveResult::kData:
        return true;
      case ReceiveResult::kTimeout:
        response_.failure = RequestFailure::kTimeout;
        return false;
      case ReceiveResult::kEndOfStream:
        response_.failure = buffer_.empty() && response_.head.empty()
                                ? RequestFailure::kClosedBeforeResponse
                                : RequestFailure::kClosedInResponse;
        return false;
    }
    return false;
  }

  int fd_;
  Clock::time_point deadline_;
  std::string buffer_;
  Response response_;
};

Response FetchTarget(const Address& address, net::Method method,
                     const std::string& target, const std::string& body) {
  net::Request request;
  request.method = method;
  request.target = target;
  request.body = body;
  return Fetch(address, request);
}

}  // namespace

bool HttpConnection::Connect() {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in server{};
  server.sin_family = AF_INET;
  server.sin_port = htons(address_.port);
  inet_pton(AF_INET, address_.ip.c_str(), &server.sin_addr);
  const int enabled = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  if (connect(fd_, reinterpret_cast<sockaddr*>(&server), sizeof(server)) == 0) {
    return true;
  }
  Close();
  return false;
}

void HttpConnection::Close() {
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

bool HttpConnection::reusable() {
  if (fd_ < 0) return false;
  char byte = 0;
  const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
  Close();
  return false;
}

Response HttpConnection::Send(const net::Request& request,
                              Milliseconds timeout) {
  std::string bytes(net::MethodName(request.method));
  bytes += " " + request.target + " HTTP/1.1\r\n";
  if (!request.headers.Has("Host")) bytes += "Host: test\r\n";
  for (const auto& [name, value] : request.headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  bytes +=
      "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
  bytes += request.body;
  return SendBytes(bytes, timeout, request.method == net::Method::kHead);
}

Response HttpConnection::SendBytes(std::string_view bytes, Milliseconds timeout,
                                   bool is_head_request) {
  const auto deadline = Clock::now() + timeout;
  if (!reusable() && !Connect()) {
    Response response;
    response.failure = RequestFailure::kConnect;
    return response;
  }
  SendAll(fd_, bytes, deadline);
  Response response = ResponseReader(fd_, deadline).Read(is_head_request);
  const bool close_requested =
      net::EqualsIgnoreCase(response.headers.Get("Connection"), "close");
  if (!response.ok() || close_requested) Close();
  return response;
}

Response Fetch(const Address& address, const net::Request& request,
               Milliseconds timeout) {
  return HttpConnection(address).Send(request, timeout);
}

Response Get(const Address& address, const std::string& target) {
  return FetchTarget(address, net::Method::kGet, target, "");
}
Response Post(const Address& address, const std::string& target,
              const std::string& body) {
  return FetchTarget(address, net::Method::kPost, target, body);
}
Response Put(const Address& address, const std::string& target,
             const std::string& body) {
  return FetchTarget(address, net::Method::kPut, target, body);
}

}  // namespace mangospread::testing
