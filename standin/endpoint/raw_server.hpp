/// @file
/// Minimal HTTP/1.1 server whose handler controls every byte of a response.
/// evhttp always sends well-formed responses, so it cannot serve as a
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

/// One client connection; handles one request at a time.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
 public:
  explicit RawConnection(RawServer& server) : server_(server) {}
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// The request that is being handled.
  [[nodiscard]] const net::Request& request() const { return request_; }

  /// Sends a complete response with Content-Length and reads the next request.
  void Reply(const net::Response& response);

  /// Sends bytes unmodified.
  void Write(std::string_view bytes);
  /// Reads the next request of this connection.
  void ReadNextRequest();
  /// Closes the connection once all output has been sent.
  void Close();

 private:
  friend class RawServer;

  void Start(int fd);
  void ProcessInput();
  [[nodiscard]] bool ParseHead(std::string_view head);
  void FreeBufferevent();

  RawServer& server_;
  bufferevent* bev_ = nullptr;
  net::Request request_;
  std::size_t body_bytes_ = 0;
  bool has_head_ = false;
  bool handling_request_ = false;
  bool close_when_written_ = false;
};

/// Encodes the status line and the header fields, without the empty line that
/// ends them.
[[nodiscard]] std::string EncodeHead(const net::Response& response);

/// Listens on one address and passes the requests of all connections to a
/// handler.
class RawServer {
 public:
  /// Called for each complete request.
  using Handler = std::function<void(std::shared_ptr<RawConnection>)>;

  /// Connections beyond `max_connections` are closed and counted as refused.
  RawServer(base::EventLoop& loop, std::size_t max_connections,
            Handler handler);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  /// @return the bound address.
  /// @errors kUnavailable when the address is in use.
  [[nodiscard]] Result<Address> Listen(const Address& address);

  [[nodiscard]] std::size_t max_open_connections() const { return max_open_; }
  [[nodiscard]] std::size_t refused_connections() const { return refused_; }

 private:
  friend class RawConnection;

  void Accept(int fd);

  base::EventLoop& loop_;
  std::size_t max_connections_;
  Handler handler_;
  evconnlistener* listener_ = nullptr;
  std::set<std::shared_ptr<RawConnection>> connections_;
  std::size_t max_open_ = 0;
  std::size_t refused_ = 0;
};

}  // namespace mangospread::standin
