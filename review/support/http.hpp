/// @file
/// A small blocking HTTP/1.1 server and client on loopback addresses.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Request {
  std::string method;
  std::string target;                          ///< Path and query.
  std::map<std::string, std::string> headers;  ///< Lower-case names.
  std::string body;
};

struct Response {
  int status = 0;  ///< 0 if there was no complete response.
  std::string body;
};

/// Serves each connection in a thread of its own. A handler may block; without
/// a result the request gets no response and the connection stays open.
class HttpServer {
 public:
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit HttpServer(Handler handler) : handler_(std::move(handler)) {}
  ~HttpServer() { Stop(); }
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on 127.0.0.1. @param port 0 for any free one.
  bool Start(int port);
  /// Resets all connections and stops listening.
  void Stop();
  [[nodiscard]] int port() const noexcept { return port_; }

  /// While cut, nothing that arrives is handled and no response leaves. Held
  /// requests are handled afterwards, unless their sender has closed the
  /// connection by then.
  void SetCut(bool cut);

 private:
  void AcceptLoop(int listener);
  void Serve(int socket);
  /// Waits for the end of a cut; false if the connection carries nothing more.
  bool AwaitPath(int socket);

  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::thread acceptor_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool cut_ = false;
  bool stopping_ = false;
  std::set<int> connections_;  ///< Sockets.
};

/// Sends one request to 127.0.0.1 and waits for its response.
[[nodiscard]] Response Call(int port, const Request& request, int timeout_ms);

}  // namespace review
