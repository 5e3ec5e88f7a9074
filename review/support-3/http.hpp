/// @file
/// Minimal HTTP/1.1 server and client with blocking sockets, one thread for
/// each connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
};

inline std::string LowerCase(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

/// Reads bytes from a socket and parses messages.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  /// Reads one message: start line, headers and a body with Content-Length.
  bool Read(std::string& start, Request& message) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) return false;
    }
    std::size_t line_end = buffer_.find("\r\n");
    start = buffer_.substr(0, line_end);
    while (line_end < end) {
      const std::size_t begin = line_end + 2;
      line_end = buffer_.find("\r\n", begin);
      const std::string line = buffer_.substr(begin, line_end - begin);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[LowerCase(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    std::size_t length = 0;
    if (message.headers.contains("content-length")) {
      length = std::stoul(message.headers["content-length"]);
    }
    while (buffer_.size() < end + 4 + length) {
      if (!Fill()) return false;
    }
    message.body = buffer_.substr(end + 4, length);
    buffer_.erase(0, end + 4 + length);
    return true;
  }

 private:
  bool Fill() {
    char bytes[16'384];
    const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Accepts connections and calls the handler for each request. A handler that
/// returns nothing closes the connection without a response.
class Server {
 public:
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {}
  ~Server() { Stop(); }

  /// Listens on `port`, or on a free one if it is 0. Returns the port, 0 on
  /// failure.
  int Listen(const std::string& ip, int port) {
    listen_fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = SocketAddress(ip, port);
    if (bind(listen_fd_, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(listen_fd_, 256) != 0) {
      close(listen_fd_);
      listen_fd_ = -1;
      return 0;
    }
    socklen_t size = sizeof(address);
    getsockname(listen_fd_, reinterpret_cast<sockaddr*>(&address), &size);
    stopping_ = false;
    acceptor_ = std::thread([this] { Accept(); });
    return ntohs(address.sin_port);
  }

  /// Closes the listener and resets all connections.
  void Stop() {
    if (listen_fd_ < 0) return;
    stopping_ = true;
    shutdown(listen_fd_, SHUT_RDWR);
    acceptor_.join();
    close(listen_fd_);
    listen_fd_ = -1;
    std::unique_lock lock(mutex_);
    for (const int fd : connections_) shutdown(fd, SHUT_RDWR);
    lock.unlock();
    while (active_ > 0) std::this_thread::sleep_for(Millis(2));
  }

  [[nodiscard]] bool stopping() const { return stopping_; }

 private:
  void Accept() {
    while (!stopping_) {
      const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      ++active_;
      std::unique_lock lock(mutex_);
      connections_.insert(fd);
      lock.unlock();
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    Reader reader(fd);
    std::string start;
    for (Request request; reader.Read(start, request); request = Request()) {
      const std::size_t first = start.find(' ');
      const std::size_t second = start.find(' ', first + 1);
      request.method = start.substr(0, first);
      request.target = start.substr(first + 1, second - first - 1);
      const auto response = handler_(request);
      if (!response) break;
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response->status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(response->body.size()) + "\r\n\r\n" +
                           response->body)) {
        break;
      }
    }
    std::unique_lock lock(mutex_);
    connections_.erase(fd);
    close(fd);
    lock.unlock();
    --active_;
  }

  Handler handler_;
  int listen_fd_ = -1;
  std::thread acceptor_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> active_{0};
  std::mutex mutex_;
  std::set<int> connections_;
};

/// Sends one request on a connection of its own. Status 0: no response within
/// `timeout`; the client has then closed the connection.
inline Response Call(const std::string& ip, int port, const std::string& method,
                     const std::string& target, const std::string& host,
                     const std::string& body, Millis timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{};
  limit.tv_sec = timeout.count() / 1'000;
  limit.tv_usec = timeout.count() % 1'000 * 1'000;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  sockaddr_in address = SocketAddress(ip, port);
  Response response;
  response.status = 0;
  std::string head = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                     "\r\nDeadline-Ms: " + std::to_string(timeout.count()) +
                     "\r\n";
  if (!body.empty()) head += "Content-Type: application/json\r\n";
  head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0 &&
      SendAll(fd, head + body)) {
    Reader reader(fd);
    std::string start;
    Request message;
    if (reader.Read(start, message) && start.size() > 12) {
      response.status = std::stoi(start.substr(9, 3));
      response.body = message.body;
    }
  }
  close(fd);
  return response;
}

}  // namespace review
