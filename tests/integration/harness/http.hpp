/// @file
/// Synchronous HTTP client of the tests.
#pragma once

#include <string>
#include <string_view>

#include "mangospread/address.hpp"
#include "mangospread/units.hpp"
#include "net/http_message.hpp"

namespace mangospread::testing {

enum class Failure : unsigned char {
  kNone,
  kConnect,
  kTimeout,
  kClosedBeforeReply,  ///< Closed without any byte of a reply.
  kClosedInReply,      ///< Closed before the reply was complete.
};

struct Reply {
  Failure failure = Failure::kNone;
  int status = 0;
  std::string head;  ///< Status line and headers as received.
  net::Headers headers;
  std::string body;

  [[nodiscard]] bool ok() const { return failure == Failure::kNone; }
  /// Value of the Mangospread-Outcome header.
  [[nodiscard]] std::string outcome() const {
    return std::string(headers.Get("Mangospread-Outcome"));
  }
};

inline constexpr Milliseconds kReplyDeadline{20'000};

/// A connection that is kept open between requests unless the server closes
/// it. For one thread.
class HttpConnection {
 public:
  explicit HttpConnection(Address address) : address_(std::move(address)) {}
  ~HttpConnection() { Close(); }
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Connects if necessary, sends and waits for the reply. Never sends twice.
  Reply Send(const net::Request& request,
             Milliseconds deadline = kReplyDeadline);
  /// Sends bytes as they are.
  Reply SendBytes(std::string_view bytes,
                  Milliseconds deadline = kReplyDeadline, bool head = false);
  /// True if a connection is open that the server has not closed.
  [[nodiscard]] bool reusable();
  void Close();

 private:
  [[nodiscard]] bool Connect();

  Address address_;
  int fd_ = -1;
};

/// One request on a connection of its own.
Reply Fetch(const Address& address, const net::Request& request,
            Milliseconds deadline = kReplyDeadline);
Reply Get(const Address& address, const std::string& target);
Reply Post(const Address& address, const std::string& target,
           const std::string& body);
Reply Put(const Address& address, const std::string& target,
          const std::string& body);

}  // namespace mangospread::testing
