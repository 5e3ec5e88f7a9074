/// @file
/// Small HTTP/1.1 server whose handler decides about every byte of a reply.
/// evhttp always sends well-formed replies, so it cannot stand in for a
/// misbehaving endpoint.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "base/loop/event_loop.hpp"
#include "mangospread/address.hpp"
#include "mangospread/error.hpp"
#include "net/http_message.hpp"

struct bufferevent;
struct evconnlistener;

namespace mangospread::standin {

class RawServer;

/// One connection; carries one request at a time.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
 public:
  explicit RawConnection(RawServer& server) : server_(server) {}
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  [[nodiscard]] const net::Request& request() const { return request_; }

  /// Sends a whole reply with Content-Length and takes the next request.
  void Reply(const net::Response& response);

  /// Sends bytes as they are.
  void Write(std::string_view bytes);
  /// Takes the next request of this connection.
  void Next();
  /// Closes the connection once everything has been sent.
  void Close();

 private:
  friend class RawServer;

  void Start(int fd);
  void TakeInput();
  [[nodiscard]] bool ParseHead(std::string_view head);
  void Drop();

  RawServer& server_;
  bufferevent* bev_ = nullptr;
  net::Request request_;
  std::size_t body_bytes_ = 0;
  bool has_head_ = false;
  bool busy_ = false;
  bool closing_ = false;
};

/// Status line and fields, without the empty line that ends them.
[[nodiscard]] std::string EncodeHead(const net::Response& response);

class RawServer {
 public:
  using Handler = std::function<void(std::shared_ptr<RawConnection>)>;

  /// Connections beyond `max_connections` are closed and counted.
  RawServer(base::EventLoop& loop, std::size_t max_connections,
            Handler handler);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  [[nodiscard]] Result<Address> Listen(const Address& address);

  [[nodiscard]] std::size_t most_connections() const { return most_; }
  [[nodiscard]] std::size_t refused_connections() const { return refused_; }

 private:
  friend class RawConnection;

  void Accept(int fd);

  base::EventLoop& loop_;
  std::size_t max_connections_;
  Handler handler_;
  evconnlistener* listener_ = nullptr;
  std::set<std::shared_ptr<RawConnection>> connections_;
  std::size_t most_ = 0;
  std::size_t refused_ = 0;
};

}  // namespace mangospread::standin
