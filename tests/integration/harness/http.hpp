/// @file
/// Blocking HTTP client for tests.
#pragma once

#include <string>
#include <string_view>

#include "mangospread/address.hpp"
#include "mangospread/units.hpp"
#include "net/http_message.hpp"

namespace mangospread::testing {

/// Error of a request without a complete response.
enum class RequestFailure : unsigned char {
  kNone,
  kConnect,
  kTimeout,
  kClosedBeforeResponse,  ///< Closed before the first byte of a response.
  kClosedInResponse,      ///< Closed before the response was complete.
};

/// Response to a request, or the error that occurred instead.
struct Response {
  RequestFailure failure = RequestFailure::kNone;
  int status = 0;
  std::string head;  ///< Status line and header fields as received.
  net::Headers headers;
  std::string body;

  /// True if a complete response was received, whatever its status.
  [[nodiscard]] bool ok() const { return failure == RequestFailure::kNone; }
  /// Value of the Mangospread-Outcome header.
  [[nodiscard]] std::string outcome() const {
    return std::string(headers.Get("Mangospread-Outcome"));
  }
};

/// Default limit of the time from the start of a request to the end of its
/// response.
inline constexpr Milliseconds kResponseTimeout{20'000};

/// Connection that is kept open between requests unless the server closes it.
/// Not thread-safe.
class HttpConnection {
 public:
  explicit HttpConnection(Address address) : address_(std::move(address)) {}
  ~HttpConnection() { Close(); }
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Connects if necessary, sends the request and waits for the response. Sends
  /// the request once at most.
  Response Send(const net::Request& request,
                Milliseconds timeout = kResponseTimeout);
  /// Sends `bytes` unchanged and waits for the response, which has no body if
  /// `is_head_request` is set.
  Response SendBytes(std::string_view bytes,
                     Milliseconds timeout = kResponseTimeout,
                     bool is_head_request = false);
  /// True if a connection is open and the server has not closed it. Closes the
  /// connection otherwise.
  [[nodiscard]] bool reusable();
  void Close();

 private:
  [[nodiscard]] bool Connect();

  Address address_;
  int fd_ = -1;
};

/// Sends one request on a new connection.
Response Fetch(const Address& address, const net::Request& request,
               Milliseconds timeout = kResponseTimeout);
/// Send a request with the method of that name on a new connection.
Response Get(const Address& address, const std::string& target);
Response Post(const Address& address, const std::string& target,
              const std::string& body);
Response Put(const Address& address, const std::string& target,
             const std::string& body);

}  // namespace mangospread::testing
