/// @file
/// Small blocking HTTP/1.1 server and client for the stand-ins, one thread a
/// connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace review2 {

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  [[nodiscard]] std::string Path() const {
    return target.substr(0, target.find('?'));
  }
  [[nodiscard]] std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
  /// A parameter of the query without percent decoding except %2F.
  [[nodiscard]] std::string Query(const std::string& name) const {
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) return "";
    std::string rest = "&" + target.substr(mark + 1);
    const std::size_t at = rest.find("&" + name + "=");
    if (at == std::string::npos) return "";
    const std::size_t from = at + name.size() + 2;
    std::string raw = rest.substr(from, rest.find('&', from) - from);
    std::string text;
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        text += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        text += raw[i];
      }
    }
    return text;
  }
};

struct Reply {
  int status = 0;  ///< 0 stands for no answer: the connection is closed.
  std::string body;
};

namespace detail {

/// Reads one message head and body. Returns false at the end of the connection.
inline bool ReadMessage(int fd, std::string& buffer, std::string& head,
                        std::string& body) {
  const auto fill = [&] {
    char chunk[16384];
    const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    buffer.append(chunk, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) return false;
  }
  head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  std::size_t length = 0;
  std::string lower = head;
  for (char& c : lower) c = static_cast<char>(std::tolower(c));
  const std::size_t at = lower.find("\r\ncontent-length:");
  if (at != std::string::npos) length = std::stoul(lower.substr(at + 17));
  while (buffer.size() < length) {
    if (!fill()) return false;
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

inline bool WriteAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline std::map<std::string, std::string> ParseHeaders(
    const std::string& head) {
  std::map<std::string, std::string> headers;
  std::size_t from = head.find("\r\n");
  while (from != std::string::npos && from + 2 < head.size()) {
    from += 2;
    const std::size_t end = head.find("\r\n", from);
    const std::string line = head.substr(from, end - from);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      headers[name] = line.substr(value);
    }
    from = end;
  }
  return headers;
}

inline sockaddr_in ToAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

}  // namespace detail

/// Binds a loopback address; port 0 selects a free port.
inline int BindSocket(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = detail::ToAddress(address);
  // A former server at this address may be about to close its socket.
  for (int tries = 0; tries < 100; ++tries) {
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) return fd;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  close(fd);
  throw std::runtime_error("cannot bind " + address);
}

/// A free port of a loopback address, found by binding it for a moment.
inline int FreePort(const std::string& ip) {
  const int fd = BindSocket(ip + ":0");
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  close(fd);
  return ntohs(at.sin_port);
}

/// Server on a loopback address. Closing it resets nothing and answers nothing
/// more, as the end of a process does.
class Server {
 public:
  using Handler = std::function<Reply(const Request&)>;

  Server(const std::string& address, Handler handler)
      : state_(std::make_shared<State>()) {
    state_->handler = std::move(handler);
    const int fd = BindSocket(address);
    listen(fd, 512);
    state_->listener = fd;
    ++threads();
    std::thread([state = state_] {
      Accept(state);
      --threads();
    }).detach();
  }
  ~Server() { Close(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void Close() {
    const std::lock_guard lock(state_->mutex);
    if (std::exchange(state_->closed, true)) return;
    shutdown(state_->listener, SHUT_RDWR);
    for (const int fd : state_->connections) shutdown(fd, SHUT_RDWR);
  }

  /// Number of threads of all servers that have not ended. What the handlers
  /// refer to must exist until it is 0.
  static std::atomic<int>& threads() {
    static std::atomic<int> count{0};
    return count;
  }

 private:
  struct State {
    std::mutex mutex;
    bool closed = false;
    int listener = -1;
    std::set<int> connections;
    Handler handler;
  };

  static void Accept(const std::shared_ptr<State>& state) {
    for (;;) {
      const int fd = accept(state->listener, nullptr, nullptr);
      const std::lock_guard lock(state->mutex);
      if (state->closed || (fd < 0 && errno != ECONNABORTED)) {
        if (fd >= 0) close(fd);
        close(state->listener);
        return;
      }
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      state->connections.insert(fd);
      ++threads();
      std::thread([state, fd] {
        Serve(state, fd);
        --threads();
      }).detach();
    }
  }

  static void Serve(const std::shared_ptr<State>& state, int fd) {
    std::string buffer;
    std::string head;
    Request request;
    while (detail::ReadMessage(fd, buffer, head, request.body)) {
      const std::size_t space = head.find(' ');
      request.method = head.substr(0, space);
      request.target =
          head.substr(space + 1, head.find(' ', space + 1) - space - 1);
      request.headers = detail::ParseHeaders(head);
      const Reply reply = state->handler(request);
      if (reply.status == 0) break;
      if (!detail::WriteAll(fd, "HTTP/1.1 " + std::to_string(reply.status) +
                                    " X\r\nContent-Type: application/json\r\n"
                                    "Content-Length: " +
                                    std::to_string(reply.body.size()) +
                                    "\r\n\r\n" + reply.body)) {
        break;
      }
    }
    const std::lock_guard lock(state->mutex);
    state->connections.erase(fd);
    close(fd);
  }

  std::shared_ptr<State> state_;
};

/// Sends one request on a new connection and waits for the response. The status
/// is 0 if there is none within the timeout.
inline Reply Call(const std::string& address, const std::string& method,
                  const std::string& path, const std::string& host,
                  const std::string& body, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  sockaddr_in at = detail::ToAddress(address);
  Reply reply;
  std::string buffer;
  std::string head;
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
      detail::WriteAll(fd,
                       method + " " + path + " HTTP/1.1\r\nHost: " + host +
                           "\r\nDeadline-Ms: " + std::to_string(timeout_ms) +
                           "\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body) &&
      detail::ReadMessage(fd, buffer, head, reply.body)) {
    reply.status = std::stoi(head.substr(head.find(' ') + 1));
  }
  close(fd);
  return reply;
}

}  // namespace review2
