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

enum class ReadResult : unsigned char { kBytes, kEnd, kTimeout };

ReadResult ReadMore(int fd, Clock::time_point until, std::string& buffer) {
  const auto left =
      std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
  pollfd ready{fd, POLLIN, 0};
  if (poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(0, left))) <= 0) {
    return ReadResult::kTimeout;
  }
  char chunk[65'536];
  const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
  if (n <= 0) return ReadResult::kEnd;
  buffer.append(chunk, static_cast<std::size_t>(n));
  return ReadResult::kBytes;
}

/// Sends everything; an early reply (a refusal) ends the sending, as does a
/// closed connection.
void WriteAll(int fd, std::string_view bytes, Clock::time_point until) {
  while (!bytes.empty() && Clock::now() < until) {
    pollfd ready{fd, POLLIN | POLLOUT, 0};
    constexpr int kSliceMs = 100;
    if (poll(&ready, 1, kSliceMs) <= 0) continue;
    if ((ready.revents & POLLIN) != 0) return;
    const ssize_t n =
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno != EAGAIN) return;
    if (n > 0) bytes.remove_prefix(static_cast<std::size_t>(n));
  }
}

void ParseHead(Reply& reply) {
  std::string_view rest = reply.head;
  const auto next_line = [&rest] {
    const auto end = rest.find("\r\n");
    const auto line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 2);
    return line;
  };
  const std::string line(next_line());
  constexpr std::size_t kStatusAt = 9;
  if (line.size() > kStatusAt) reply.status = std::atoi(&line[kStatusAt]);
  while (!rest.empty()) {
    const auto field = next_line();
    const auto colon = field.find(':');
    if (colon == std::string_view::npos) continue;
    auto value = field.substr(colon + 1);
    while (value.starts_with(' ')) value.remove_prefix(1);
    reply.headers.Add(std::string(field.substr(0, colon)), std::string(value));
  }
}

/// Takes whole chunks off `in`; true after the last one.
bool TakeChunks(std::string& in, std::string& body) {
  for (;;) {
    const auto end = in.find("\r\n");
    if (end == std::string::npos) return false;
    constexpr int kHex = 16;
    const auto size = std::strtoull(in.c_str(), nullptr, kHex);
    if (in.size() < end + 2 + size + 2) return false;
    body.append(in, end + 2, size);
    in.erase(0, end + 2 + size + 2);
    if (size == 0) return true;
  }
}

class ReplyReader {
 public:
  ReplyReader(int fd, Clock::time_point until) : fd_(fd), until_(until) {}

  Reply Read(bool head_only) {
    if (!ReadHead()) return std::move(reply_);
    constexpr int kNoContent = 204;
    if (head_only || reply_.status == kNoContent) return std::move(reply_);
    const auto length = reply_.headers.Get("Content-Length");
    if (net::EqualsIgnoreCase(reply_.headers.Get("Transfer-Encoding"),
                              "chunked")) {
      while (!TakeChunks(buffer_, reply_.body) && More()) {
      }
    } else if (!length.empty()) {
      const auto size = std::strtoull(std::string(length).c_str(), nullptr, 10);
      while (buffer_.size() < size && More()) {
      }
      reply_.body = buffer_.substr(0, size);
    } else {
      while (More()) {
      }
      if (reply_.failure == Failure::kClosedInReply) {
        reply_.failure = Failure::kNone;
      }
      reply_.body = buffer_;
    }
    return std::move(reply_);
  }

 private:
  bool ReadHead() {
    for (;;) {
      const auto end = buffer_.find("\r\n\r\n");
      if (end != std::string::npos) {
        reply_.head = buffer_.substr(0, end);
        buffer_.erase(0, end + 4);
        ParseHead(reply_);
        return true;
      }
      if (!More()) return false;
    }
  }

  bool More() {
    switch (ReadMore(fd_, until_, buffer_)) {
      case ReadResult::kBytes:
        return true;
      case ReadResult::kTimeout:
        reply_.failure = Failure::kTimeout;
        return false;
      case ReadResult::kEnd:
        reply_.failure = buffer_.empty() && reply_.head.empty()
                             ? Failure::kClosedBeforeReply
                             : Failure::kClosedInReply;
        return false;
    }
    return false;
  }

  int fd_;
  Clock::time_point until_;
  std::string buffer_;
  Reply reply_;
};

Reply FetchText(const Address& address, net::Method method,
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
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address_.port);
  inet_pton(AF_INET, address_.ip.c_str(), &to.sin_addr);
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0) {
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

Reply HttpConnection::Send(const net::Request& request, Milliseconds deadline) {
  std::string bytes(net::MethodName(request.method));
  bytes += " " + request.target + " HTTP/1.1\r\n";
  if (!request.headers.Has("Host")) bytes += "Host: test\r\n";
  for (const auto& [name, value] : request.headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  bytes +=
      "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
  bytes += request.body;
  return SendBytes(bytes, deadline, request.method == net::Method::kHead);
}

Reply HttpConnection::SendBytes(std::string_view bytes, Milliseconds deadline,
                                bool head) {
  const auto until = Clock::now() + deadline;
  if (!reusable() && !Connect()) {
    Reply reply;
    reply.failure = Failure::kConnect;
    return reply;
  }
  WriteAll(fd_, bytes, until);
  Reply reply = ReplyReader(fd_, until).Read(head);
  const bool ended =
      net::EqualsIgnoreCase(reply.headers.Get("Connection"), "close");
  if (!reply.ok() || ended) Close();
  return reply;
}

Reply Fetch(const Address& address, const net::Request& request,
            Milliseconds deadline) {
  return HttpConnection(address).Send(request, deadline);
}

Reply Get(const Address& address, const std::string& target) {
  return FetchText(address, net::Method::kGet, target, "");
}
Reply Post(const Address& address, const std::string& target,
           const std::string& body) {
  return FetchText(address, net::Method::kPost, target, body);
}
Reply Put(const Address& address, const std::string& target,
          const std::string& body) {
  return FetchText(address, net::Method::kPut, target, body);
}

}  // namespace mangospread::testing
