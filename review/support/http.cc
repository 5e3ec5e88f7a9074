#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <utility>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadBytes = 65'536;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// Parses the header fields that follow the first line.
std::map<std::string, std::string> ParseHeaders(const std::string& head) {
  std::map<std::string, std::string> headers;
  std::size_t from = head.find("\r\n");
  while (from != std::string::npos && from + 2 < head.size()) {
    from += 2;
    const std::size_t to = std::min(head.find("\r\n", from), head.size());
    const std::size_t colon = head.find(':', from);
    if (colon < to) {
      std::size_t value = colon + 1;
      while (value < to && head[value] == ' ') ++value;
      headers[Lower(head.substr(from, colon - from))] =
          head.substr(value, to - value);
    }
    from = head.find("\r\n", from);
  }
  return headers;
}

/// Length of the first complete message in `data`; 0 if it is not complete.
std::size_t MessageLength(const std::string& data) {
  const std::size_t end = data.find("\r\n\r\n");
  if (end == std::string::npos) return 0;
  const auto headers = ParseHeaders(data.substr(0, end));
  const auto length = headers.find("content-length");
  const std::size_t body =
      length == headers.end()
          ? 0
          : std::strtoul(length->second.c_str(), nullptr, 10);
  const std::size_t total = end + 4 + body;
  return data.size() < total ? 0 : total;
}

bool SendAll(int socket, const std::string& data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t n =
        send(socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

Request ParseRequest(const std::string& message) {
  const std::size_t end = message.find("\r\n\r\n");
  const std::string head = message.substr(0, end);
  const std::size_t space = head.find(' ');
  Request request;
  request.method = head.substr(0, space);
  request.target =
      head.substr(space + 1, head.find(' ', space + 1) - space - 1);
  request.headers = ParseHeaders(head);
  request.body = message.substr(end + 4);
  return request;
}

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

bool HttpServer::Start(int port) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  socklen_t size = sizeof(address);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener_, 512) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    close(std::exchange(listener_, -1));
    return false;
  }
  port_ = ntohs(address.sin_port);
  stopping_ = false;
  acceptor_ =
      std::thread([this, listener = listener_] { AcceptLoop(listener); });
  return true;
}

void HttpServer::AcceptLoop(int listener) {
  while (true) {
    const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) return;
    SetNoDelay(socket);
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      close(socket);
      return;
    }
    connections_.insert(socket);
    std::thread([this, socket] { Serve(socket); }).detach();
  }
}

void HttpServer::Stop() {
  if (listener_ < 0) return;
  std::unique_lock lock(mutex_);
  stopping_ = true;
  for (const int socket : connections_) {
    // A process that ends without notice resets its connections.
    const linger reset{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(socket, SHUT_RD);
  }
  changed_.notify_all();
  shutdown(listener_, SHUT_RDWR);
  lock.unlock();
  acceptor_.join();
  close(std::exchange(listener_, -1));
  lock.lock();
  changed_.wait(lock, [this] { return connections_.empty(); });
}

void HttpServer::SetCut(bool cut) {
  const std::lock_guard lock(mutex_);
  cut_ = cut;
  changed_.notify_all();
}

bool HttpServer::AwaitPath(int socket) {
  std::unique_lock lock(mutex_);
  const bool was_cut = cut_;
  changed_.wait(lock, [this] { return stopping_ || !cut_; });
  if (stopping_) return false;
  lock.unlock();
  if (!was_cut) return true;
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

void HttpServer::Serve(int socket) {
  std::string data;
  std::string chunk(kReadBytes, '\0');
  while (true) {
    const std::size_t length = MessageLength(data);
    if (length == 0) {
      const ssize_t n = recv(socket, chunk.data(), chunk.size(), 0);
      if (n <= 0) break;
      data.append(chunk, 0, static_cast<std::size_t>(n));
      continue;
    }
    const Request request = ParseRequest(data.substr(0, length));
    data.erase(0, length);
    if (!AwaitPath(socket)) break;
    const auto response = handler_(request);
    if (!response) continue;
    if (!AwaitPath(socket)) break;
    const std::string message =
        "HTTP/1.1 " + std::to_string(response->status) +
        " -\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
    if (!SendAll(socket, message)) break;
  }
  const std::lock_guard lock(mutex_);
  connections_.erase(socket);
  close(socket);
  changed_.notify_all();
}

Response Call(int port, const Request& request, int timeout_ms) {
  const auto deadline = Clock::now() + std::chrono::milliseconds(timeout_ms);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  Response response;
  std::string message = request.method + " " + request.target +
                        " HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
                        std::to_string(request.body.size()) + "\r\n";
  for (const auto& [name, value] : request.headers) {
    message.append(name).append(": ").append(value).append("\r\n");
  }
  message += "\r\n" + request.body;
  std::string data;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0 &&
      SendAll(fd, message)) {
    std::string chunk(kReadBytes, '\0');
    while (MessageLength(data) == 0) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          deadline - Clock::now());
      pollfd readable{fd, POLLIN, 0};
      if (left.count() <= 0 ||
          poll(&readable, 1, static_cast<int>(left.count())) <= 0) {
        break;
      }
      const ssize_t n = recv(fd, chunk.data(), chunk.size(), 0);
      if (n <= 0) break;
      data.append(chunk, 0, static_cast<std::size_t>(n));
    }
  }
  close(fd);
  if (MessageLength(data) == 0) return response;
  response.status = std::atoi(data.c_str() + data.find(' ') + 1);
  response.body = data.substr(data.find("\r\n\r\n") + 4);
  return response;
}

}  // namespace review
